"""Requests that end every runner that begins to run them, and the check that they stop reaching runners.

One caller sends the same path and body at any gateway again and again, each time under another attempt id. Another one
sends requests that have only a part of their prompts in common.
"""

import asyncio
import time

CRASH_AFTER = 0.03  # seconds from the begin of the run to the runner's end
DOWN = 1.5  # seconds until the runner is back
CONTACT = 3.0  # contact_ms: news of the third end has reached every process by then
ENDS_BEFORE_LIMIT = 3
MAX_LATE_SENDS = 3
PAUSES = {"draft": (1.0, 2.0), "status": (0.6, 1.2)}  # seconds between the caller's attempts
DEADLY_PART = "dead1eaf"
PART_PAUSES = (0.3, 0.9)
PART_ENDS_BEFORE_LIMIT = 5


class CrashingRequest:
    """One such request: what it ended, and the sends that came too late."""

    ends_before_limit = ENDS_BEFORE_LIMIT

    def __init__(self, fleet, route):
        self.fleet, self.route = fleet, route
        self.path = f"/{route}/crashing"
        self.ended = []  # (time, instance) of each runner that ended under it
        self.sends = self.late = 0

    def begin(self, target, gateway):
        """Called as a runner begins to run it."""
        now = time.monotonic()
        self.sends += 1
        self.note(f"send {self.sends} by {gateway.name} begins at {target.instance}")
        limit = self.ends_before_limit
        known = len(self.ended) >= limit and now > self.ended[limit - 1][0] + CONTACT
        if known and self.fleet.in_touch(gateway, now - CONTACT):
            self.late += 1
            if self.late == MAX_LATE_SENDS + 1:
                self.fleet.ledger.violate(
                    f"{self.path} reached runners {self.late} times later than {CONTACT} s after it had ended"
                    f" {limit}: {self.sends} sends, {len(self.ended)} ends"
                )
        asyncio.get_running_loop().call_later(CRASH_AFTER, self.end_target, target, target.instance)

    def end_target(self, target, instance):
        if target.up and target.instance == instance:
            self.ended.append((time.monotonic(), instance))
            self.note(f"end {len(self.ended)}: {instance}")
            self.fleet.ledger.count(f"ended by {self.route}")
            target.crash_for(DOWN)

    def note(self, text):
        now = time.time()
        clock = time.strftime("%H:%M:%S", time.gmtime(now))
        print(f"{clock}.{int(now * 1000) % 1000:03} {self.path} {text}", file=self.fleet.journal, flush=True)

    async def send_for_ever(self, caller):
        while True:
            await caller.call(self.route, self.path)
            await asyncio.sleep(caller.random.uniform(*PAUSES[self.route]))


class DeadlyPart(CrashingRequest):
    """Requests with a part of their prompts in common that ends runners."""

    ends_before_limit = PART_ENDS_BEFORE_LIMIT

    def __init__(self, fleet):
        super().__init__(fleet, "draft")
        self.path = f"part {DEADLY_PART}"

    async def send_for_ever(self, caller):
        while True:
            await caller.call("draft", parts=[DEADLY_PART])
            await asyncio.sleep(caller.random.uniform(*PART_PAUSES))
