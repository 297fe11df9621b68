"""Tests that an acknowledged departure outlives the end of all registrars, with real processes.

Guards against a departure that is forgotten once all registrars have ended, so that a late heartbeat brings the target
back at a gateway that was started anew, and against a new incarnation under the same id being held back.
"""
import asyncio
import os
import pathlib
import shutil
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
NET = 64  # of the loopback networks; soaks in CI and other tests of processes have others
DRAIN = 2.0  # seconds, of the processes' settings


class CountingTarget(standins.Target):
    runs = 0

    def begin(self, attempt, path, fields):
        self.runs += 1


class Departures(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = fleet = soak.Fleet(str(PROGRAM), pathlib.Path(folder.name), 1, 1, NET, stops=True)
        self.registrars = fleet.of_role("registrar")
        self.gateways = fleet.of_role("gateway")
        fleet.processes = [*self.registrars, *self.gateways]
        self.leaving, self.staying = (
            CountingTarget(fleet, f"t{n}", f"{fleet.target_net}.0.{n}", soak.TARGET_PORT, "orders", "a") for n in (1, 2)
        )
        fleet.targets = [self.leaving, self.staying]
        fleet.configuration = stopping.configuration
        for one in fleet.processes:
            one.start()
        self.addCleanup(self.end_processes)
        for one in fleet.targets:
            await one.start()
        self.assertTrue(await fleet.put_config(20.0))
        await self.until_served()
        while self.leaving.runs == 0:
            await self.send_orders(1)

    async def asyncTearDown(self):
        for one in self.fleet.targets:
            one.crash()
        await self.fleet.connections.end()

    def end_processes(self):
        for one in self.fleet.processes:
            if one.alive():
                one.child.kill()
            one.child.wait()
            one.log.close()

    async def send(self, gateway):
        head = "\r\n".join([
            "POST /order/1 HTTP/1.1", f"Host: {soak.HOST}", f"Credential: {soak.KEY}",
            f"Attempt-Id: {time.monotonic_ns():016x}", "Deadline-Ms: 1000", "Content-Length: 0", "", "",
        ])
        try:
            exchanged = standins.exchange(gateway.ip, soak.FRONT_PORT, head.encode())
            return (await asyncio.wait_for(exchanged, 1.5))[0]
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            return 0

    async def send_orders(self, count):
        for _ in range(count):
            for one in self.gateways:
                await self.send(one)

    async def until_served(self):
        until = time.monotonic() + 20.0
        for one in self.gateways:
            while (status := await self.send(one)) != 200:
                self.assertLess(time.monotonic(), until, f"{one.name} answers with {status}")
                await asyncio.sleep(0.1)

    async def end_all(self, number):
        """Ends all registrars and one gateway with a signal, and starts them again."""
        ended = [*self.registrars, self.gateways[0]]
        for one in ended:
            one.send(number)
        for one in ended:
            self.assertTrue(await one.wait_end(soak.GRACE + 2.0))
        await asyncio.sleep(0.7)
        self.wipe_disk()
        for one in ended:
            one.start()

    def wipe_disk(self):
        if self.wiped:
            folder = self.fleet.folder / "data-1"
            shutil.rmtree(folder)
            folder.mkdir()

    async def deliver_everywhere(self, body):
        for one in self.registrars:
            path = f"/-/Instances.Heartbeat/{self.leaving.instance}"
            status, _ = await standins.post(one.ip, soak.CONTROL_PORT, path, body)
            self.assertEqual(status, 200)

    async def check(self, leave, ends, wiped=False):
        self.wiped = wiped
        late = self.leaving.announcement()  # on its way while the target leaves
        self.leaving.beats.cancel()
        self.assertTrue(await leave(self.leaving))
        acknowledged = time.monotonic()
        for number in ends:
            await self.end_all(number)
            await asyncio.sleep(1.0)
        await self.until_served()
        await asyncio.sleep(max(0.0, acknowledged + DRAIN + 1.0 - time.monotonic()))
        await self.deliver_everywhere(late)
        await asyncio.sleep(1.0)
        before = self.leaving.runs
        await self.send_orders(12)
        self.assertEqual(self.leaving.runs, before, "requests reached the target that had left")
        # The same id again, started later.
        await self.deliver_everywhere(late | {"born": int(time.time() * 1000), "sequence": 1})
        await asyncio.sleep(1.0)
        await self.send_orders(12)
        self.assertGreater(self.leaving.runs, before, "a new incarnation is held back")

    @staticmethod
    async def deregister(target):
        return await target.tell("Deregister", {"born": target.born})

    @staticmethod
    async def drain(target):
        return await target.tell("Heartbeat", target.announcement() | {"state": "draining"})

    async def test_deregistration_outlives_a_kill_of_all(self):
        await self.check(self.deregister, [signal.SIGKILL])

    async def test_draining_outlives_a_kill_of_all(self):
        await self.check(self.drain, [signal.SIGKILL])

    async def test_deregistration_outlives_two_kills_of_all(self):
        await self.check(self.deregister, [signal.SIGKILL, signal.SIGKILL])

    async def test_draining_outlives_an_orderly_stop_of_all(self):
        await self.check(self.drain, [signal.SIGTERM])

    async def test_deregistration_outlives_a_kill_and_the_loss_of_a_disk(self):
        await self.check(self.deregister, [signal.SIGKILL], wiped=True)


if __name__ == "__main__":
    unittest.main()
