"""Targets that are cold for a while: they declare it, and count the requests that reach them."""

import time

SECONDS = 3.0  # for which a target is cold
PER_S = 2.0  # requests per second that it declares to bear
OVERAGE, ALLOWANCE = 1.5, 2  # more than PER_S x OVERAGE + ALLOWANCE in one second is too many
NOTICE = 1.5  # seconds until gateways know of a target that becomes cold without a new start


class Cold:
    def __init__(self, fleet):
        self.fleet = fleet
        self.until = self.counted_from = 0.0
        self.arrived = []  # when each request was sent by its caller and came

    def begin(self, notice=0.0):
        now = time.monotonic()
        self.until, self.counted_from, self.arrived = now + SECONDS, now + notice, []
        self.fleet.ledger.count("targets that became cold")

    def left(self):
        return max(0.0, self.until - time.monotonic())

    def arrive(self, target, attempt):
        """Counts a request. Not one that its caller sent more than a second ago: what a stopped process or a slow link
        held comes in a bunch, though it was sent in time."""
        now = time.monotonic()
        if not self.counted_from <= now < self.until:
            return
        self.fleet.ledger.count("requests at cold targets")
        self.arrived.append((self.fleet.begun_at.get(attempt, now), now))
        recent = [sent for sent, came in self.arrived if min(sent, came) > now - 1.0]
        if len(recent) > PER_S * OVERAGE + ALLOWANCE:
            self.fleet.ledger.violate(f"{target.name} got {len(recent)} requests within a second while it was cold")
