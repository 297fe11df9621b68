"""Tests the command that explains where a gateway would send a request now, with processes of the system.

Guards against an explanation that differs from what happens to the next request, that sends the request, or that a
gateway gives to other VMs.
"""
import asyncio
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parent / "soak"))
import soak  # noqa: E402
import standins  # noqa: E402
import stopping  # noqa: E402

PROGRAM = pathlib.Path(os.environ.get("FIREFLYCRANK_BIN", "build")) / "fireflycrank-platform"
NET = 62  # of the loopback networks; soaks in CI and the tests of callers' memory have others


class WhereCommand(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = fleet = soak.Fleet(str(PROGRAM), pathlib.Path(folder.name), 1, 1, NET, stops=True)
        self.gateway = fleet.of_role("gateway")[0]
        fleet.processes = [*fleet.of_role("registrar"), self.gateway]
        self.target = standins.Target(fleet, "t1", f"{fleet.target_net}.0.1", soak.TARGET_PORT, "orders", "a")
        fleet.targets = [self.target]
        fleet.configuration = stopping.configuration
        for one in fleet.processes:
            one.start()
        self.addCleanup(self.end_processes)
        await self.target.start()
        self.assertTrue(await fleet.put_config(20.0))

    async def asyncTearDown(self):
        self.target.crash()
        await self.fleet.connections.end()

    def end_processes(self):
        for one in self.fleet.processes:
            if one.alive():
                one.child.kill()
            one.child.wait()
            one.log.close()

    async def ask(self, *more):
        words = ["where", "--gateway", f"{self.gateway.ip}:9464", "--host", soak.HOST, "--target", "/order/1", *more]
        asked = await asyncio.to_thread(
            subprocess.run, [PROGRAM, *words], capture_output=True, text=True, timeout=30, check=False
        )
        self.assertEqual(asked.returncode, 0, asked.stderr)
        return asked.stdout

    async def explained(self, wanted):
        """Asks until the answer is the wanted one, as the news of targets takes a moment to arrive."""
        for _ in range(200):
            explanation = json.loads(await self.ask("--json"))
            if (explanation["outcome"], explanation["reason"]) == wanted:
                return explanation
            await asyncio.sleep(0.1)
        self.fail(f"the last explanation was {explanation}")

    async def test_agrees_with_the_next_request(self):
        explanation = await self.explained(("send", ""))
        ratings = {one["id"]: one["rating"] for one in explanation["targets"]}
        self.assertEqual(ratings, {self.target.instance: "chosen"})
        self.assertTrue((await self.ask()).startswith("send\n"))
        head = "\r\n".join([
            "POST /order/1 HTTP/1.1", f"Host: {soak.HOST}", f"Credential: {soak.KEY}", "Attempt-Id: a1b2c3d4",
            "Deadline-Ms: 5000", "Content-Length: 0", "", "",
        ])
        status, _, _ = await standins.exchange(self.gateway.ip, soak.FRONT_PORT, head.encode())
        self.assertEqual(status, 200)
        self.target.crash()
        await self.explained(("wait", "no_target"))

    async def test_answers_its_own_vm_only(self):
        await self.explained(("send", ""))
        body = json.dumps({"host": soak.HOST, "target": "/order/1"})
        head = f"POST /explain-choice HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        reader, writer = await asyncio.open_connection(self.gateway.ip, 9464, local_addr=(self.target.ip, 0))
        writer.write(head.encode())
        line = await asyncio.wait_for(reader.readline(), timeout=10.0)
        writer.close()
        self.assertIn(b" 403 ", line)


if __name__ == "__main__":
    unittest.main()
