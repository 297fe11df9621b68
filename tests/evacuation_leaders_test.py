"""Tests the operator's orders of evacuation at several registrars and a gateway, while leaders change between the orders.

Guards against an order that is acknowledged by a new leader and never in force at gateways.
"""
import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parent / "soak"))
import soak  # noqa: E402
import standins  # noqa: E402
import stopping  # noqa: E402

PROGRAM = pathlib.Path(os.environ.get("FIREFLYCRANK_BIN", "build")) / "fireflycrank-platform"
NET = 65  # of the loopback networks; soaks in CI and other tests of processes have others
EVACUATION = 5.0  # seconds until an acknowledged order is obeyed
PAUSE = 0.4  # seconds between orders


class EvacuationLeaders(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = fleet = soak.Fleet(str(PROGRAM), pathlib.Path(folder.name), 1, 1, NET, stops=True)
        self.registrars = fleet.of_role("registrar")
        self.gateway = fleet.of_role("gateway")[0]
        fleet.processes = [*self.registrars, self.gateway]
        fleet.configuration = stopping.configuration
        for one in fleet.processes:
            one.start()
        self.addCleanup(self.end_processes)
        self.assertTrue(await fleet.put_config(20.0))

    async def asyncTearDown(self):
        await self.fleet.connections.end()

    def end_processes(self):
        for one in self.fleet.processes:
            if one.alive():
                one.child.kill()
            one.child.wait()
            one.log.close()

    async def order(self, call):
        """Sends an order until it is acknowledged. Returns the registrar that did."""
        until = time.monotonic() + 20.0
        while time.monotonic() < until:
            for one in self.registrars:
                try:
                    posted = standins.post(one.ip, soak.CONTROL_PORT, f"/-/Evacuations.{call}/a", {})
                    status, _ = await asyncio.wait_for(posted, 1.0)
                except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
                    continue
                if status == 200:
                    return one
                self.assertIn(status, (307, 503))
            await asyncio.sleep(0.1)
        self.fail(f"{call} was never acknowledged")

    def zones_in_force(self):
        """As the gateway logged them last; None before it was told."""
        lines = (self.fleet.folder / f"{self.gateway.name}.log").read_text().splitlines()
        told = [json.loads(one) for one in lines if '"evacuations_in_force"' in one]
        return told[-1]["zones"] if told else None

    async def check_in_force(self, zones):
        until = time.monotonic() + EVACUATION
        while self.zones_in_force() != zones:
            self.assertLess(time.monotonic(), until, f"in force is {self.zones_in_force()!r}, acknowledged {zones!r}")
            await asyncio.sleep(0.05)

    async def restart(self, ended):
        for one in ended:
            one.send(signal.SIGKILL)
        for one in ended:
            self.assertTrue(await one.wait_end(5.0))
            one.start()

    async def check(self, calls, ended_after):
        for call in calls:
            leader = await self.order(call)
            await self.restart(ended_after(leader))
            await asyncio.sleep(PAUSE)
        await self.check_in_force("a" if calls[-1] == "Begin" else "")

    async def test_orders_by_turns(self):
        await self.check(["Begin", "Finish", "Begin", "Finish", "Begin"], lambda leader: [])

    async def test_leader_ends_between_orders(self):
        await self.check(["Begin", "Finish", "Begin"], lambda leader: [leader])

    async def test_follower_ends_between_orders(self):
        await self.check(["Begin", "Finish", "Begin"], lambda leader: [one for one in self.registrars if one != leader][:1])

    async def test_all_end_between_orders(self):
        await self.check(["Begin", "Finish", "Begin"], lambda leader: self.registrars)

    async def test_finish_before_the_first_begin(self):
        await self.check(["Finish", "Begin", "Finish", "Begin"], lambda leader: [])


if __name__ == "__main__":
    unittest.main()
