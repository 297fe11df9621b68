"""Runners begin to work on long orders as their heads arrive, and some of the answers are lost."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import lab  # noqa: E402

BODY = b"x" * (1 << 20)  # within max_body_bytes
RUNNERS, LOSING_RUNNERS = 5, 3  # a share of 0.6
LOST_SHARE = 0.4  # of their answers
SECONDS = 4.0
RATE = 15  # orders a second
WORK = 0.03  # seconds
KNOWN_RETRIES = 11.5  # seconds; a gateway that has just started takes no retries from the allowance
PROMISES = (408, 421, 429, 503)


class EarlyRunner(lab.Runner):
    """Works on an order and answers it before it has read the long body, and reads that later."""

    segment, window = 1448, 1 << 16  # as on a link between machines

    def __init__(self, fleet, number, loses):
        super().__init__(fleet, f"o{number}", number, "orders", lab.ZONES[number % 3])
        self.loses = loses

    async def run(self, attempt, path, length, reader, writer):
        self.begin(attempt, path)
        await asyncio.sleep(WORK)
        if lab.TROUBLE and self.loses and random.random() < LOST_SHARE:
            self.record.note(f"runner {self.instance} has run {attempt}; its answer is lost by a reset")
            return False
        body = b"done " + attempt.encode()
        writer.write(self.head(attempt, 200, len(body), [f"Server-Signature: {self.signature(attempt)}"]) + body)
        await writer.drain()
        left = length
        while left > 0:
            block = await reader.read(min(left, 65536))
            if not block:
                return False
            left -= len(block)
        return True


async def case(record):
    fleet = lab.Lab(record)
    try:
        for n in range(1, RUNNERS + 1):
            EarlyRunner(fleet, n, n <= LOSING_RUNNERS)
        routes = [
            fleet.route("order", "non_idempotent", "orders", max_attempts=2, timeout_ms=1500),
            fleet.route("order-once", "non_idempotent", "orders", max_attempts=1, timeout_ms=1500),
        ]
        await fleet.start(routes, ["orders"])
        await asyncio.sleep(KNOWN_RETRIES)
        calls = []
        for number in range(int(SECONDS * RATE)):
            route = "order-once" if number % 4 == 3 else "order"
            client = lab.Client(fleet, fleet.gateways[number % 2], f"c{number}")
            calls.append(asyncio.ensure_future(client.send("POST", f"/{route}/{number}", 1500, BODY)))
            await asyncio.sleep(1 / RATE)
        answers = await asyncio.gather(*calls)
        await asyncio.sleep(1.0)
        ran_at = {}
        for one in fleet.runners:
            for attempt in one.runs:
                ran_at.setdefault(attempt, []).append(one.instance)
        broken = []
        for attempt, status, _, _ in answers:
            ran = ran_at.get(attempt, [])
            if len(ran) > 1:
                broken.append(f"TWICE: {attempt} ran at {', '.join(ran)}; the client got {status}")
            elif status in PROMISES and ran:
                record.note(f"also REFUSED: {attempt} got {status} and ran at {', '.join(ran)}")
        answered = sum(status == 200 for _, status, _, _ in answers)
        record.note(f"{answered} of {len(answers)} orders were answered")
        if answered < len(answers) / 2:
            raise lab.CannotRun("under half of the orders were answered")
        return broken
    finally:
        fleet.end()


lab.run_case(case, pathlib.Path(__file__).resolve().parent)
