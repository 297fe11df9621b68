"""Tests the operator's orders of evacuation at a registrar process with its own disk.

Guards against orders that are acknowledged and not there after the process was killed, against refused repeats, and
against a zone that nobody knows being accepted, and against orders that wait in the sockets of a suspended process and
take effect when their sender has given up, and against an order that is acknowledged and not in force.
"""
import http.client
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import unittest

PROGRAM = pathlib.Path(os.environ.get("FIREFLYCRANK_BIN", "build")) / "fireflycrank-platform"
IP = f"127.78.{os.getpid() % 250}.1"
REPEAT = 1.5  # seconds for which an order is repeated, of the settings


def settings(data):
    return f"""
node_name: "p"
role: "registrar"
ip: "{IP}"
zone: "a"
region: "r"
zones: {{a: r, b: r}}
internal_ports: [17340, 17355]
seed_nodes: ["{IP}:18229"]
bootstrap: true
heartbeat_ms: 600
fault_tolerance: {{machines: 0, zones: 0, regions: 0}}
bounds: {{drain_ms: 2000, grace_s: 0.1, config_apply_ms: 2000, stall_ms: 1500, ttl_max_s: 5,
  retry_budget_ratio: 0.2, retry_allowance: 92, budget_window_s: 10, ack_timeout_ms: 1500}}
data_dir: '{data}'
listen: {{control_plane: '{IP}:18229'}}
"""


def post(path):
    """Sends an order once. Returns the status, 0 without an answer."""
    caller = http.client.HTTPConnection(IP, 18229, timeout=5.0)
    try:
        caller.request("POST", path)
        return caller.getresponse().status
    except OSError:
        return 0
    finally:
        caller.close()


def order(path):
    """Sends an order until it is acknowledged. Returns the statuses."""
    statuses = []
    until = time.monotonic() + 20.0
    while time.monotonic() < until and 200 not in statuses:
        statuses.append(post(path))
        if statuses[-1] != 200:
            time.sleep(0.05)
    return statuses


class EvacuationOrders(unittest.TestCase):
    def setUp(self):
        self.acknowledged = 0  # orders, in the folder of the present system

    def start(self, folder):
        path = pathlib.Path(folder) / "settings.yaml"
        path.write_text(settings(pathlib.Path(folder) / "data"))
        with open(pathlib.Path(folder) / "log", "a") as log:
            child = subprocess.Popen([PROGRAM, "registrar", "--settings", path], stdout=log, stderr=log)
        self.addCleanup(child.wait)
        self.addCleanup(child.kill)
        return child

    def zones(self, folder):
        """The zones after the last order, as event 306 tells them. A thread of the process writes the log, so the line of
        an order may come after its answer; it is waited for, and each order has one."""
        until = time.monotonic() + 5.0
        while True:
            text = (pathlib.Path(folder) / "log").read_text()
            lines = [one for one in text.splitlines() if "evacuation_ordered" in one]
            if len(lines) >= self.acknowledged:
                return lines[-1]
            self.assertLess(time.monotonic(), until, f"{len(lines)} orders logged, {self.acknowledged} acknowledged")
            time.sleep(0.002)

    def check_accepted(self, path):
        statuses = order(path)
        self.assertEqual(statuses[-1], 200)
        self.assertTrue(set(statuses) <= {0, 200, 503}, statuses)
        self.acknowledged += 1

    def test_orders_are_acknowledged_and_kept(self):
        with tempfile.TemporaryDirectory() as folder:
            (pathlib.Path(folder) / "data").mkdir()
            child = self.start(folder)
            self.check_accepted("/-/Evacuations.Begin/a")
            self.check_accepted("/-/Evacuations.Begin/a")
            self.check_accepted("/-/Evacuations.Begin/b")
            self.check_accepted("/-/Evacuations.Finish/b")
            # May be a copy of the one before: no answer promises anything until no copy can come any more.
            self.assertEqual(post("/-/Evacuations.Begin/b"), 503)
            self.assertIn('"zones":"a"', self.zones(folder))
            self.check_accepted("/-/Evacuations.Begin/b")
            self.assertIn('"zones":"a,b"', self.zones(folder))
            self.assertEqual(post("/-/Evacuations.Begin/nowhere"), 400)
            child.kill()
            child.wait()
            self.start(folder)
            self.check_accepted("/-/Evacuations.Finish/b")
            self.assertIn('"zones":"a"', self.zones(folder))
            time.sleep(2.0)  # longer than an order is repeated
            self.check_accepted("/-/Evacuations.Begin/b")
            self.assertIn('"zones":"a,b"', self.zones(folder))

    def test_orders_by_turns_end_with_the_last_one_in_force(self):
        for pause in (0.1, 0.5):
            for first in ("Begin", "Finish"):
                with self.subTest(pause=pause, first=first), tempfile.TemporaryDirectory() as folder:
                    (pathlib.Path(folder) / "data").mkdir()
                    child = self.start(folder)
                    self.acknowledged = 0
                    try:
                        for call in 2 * [first, "Finish" if first == "Begin" else "Begin"]:
                            self.check_accepted(f"/-/Evacuations.{call}/a")
                            self.assertIn(f'"zones":"{"a" if call == "Begin" else ""}"', self.zones(folder))
                            time.sleep(pause)
                    finally:
                        child.kill()
                        child.wait()

    def test_a_refused_order_says_when_to_come_back(self):
        with tempfile.TemporaryDirectory() as folder:
            (pathlib.Path(folder) / "data").mkdir()
            self.start(folder)
            self.check_accepted("/-/Evacuations.Begin/a")
            self.check_accepted("/-/Evacuations.Finish/a")
            caller = http.client.HTTPConnection(IP, 18229, timeout=5.0)
            caller.request("POST", "/-/Evacuations.Begin/a")
            refused = caller.getresponse()
            self.assertEqual(refused.status, 503)
            seconds = float(refused.getheader("Retry-After"))
            caller.close()
            self.assertLessEqual(seconds, REPEAT)
            time.sleep(seconds)
            self.assertEqual(post("/-/Evacuations.Begin/a"), 200)

    def test_an_order_that_its_sender_gave_up_is_dropped(self):
        with tempfile.TemporaryDirectory() as folder:
            (pathlib.Path(folder) / "data").mkdir()
            child = self.start(folder)
            self.check_accepted("/-/Evacuations.Begin/a")
            child.send_signal(signal.SIGSTOP)
            with socket.create_connection((IP, 18229), timeout=5.0) as late:
                late.sendall(f"POST /-/Evacuations.Begin/b HTTP/1.1\r\nHost: {IP}\r\nContent-Length: 0\r\n\r\n".encode())
            child.send_signal(signal.SIGCONT)
            time.sleep(0.5)
            self.check_accepted("/-/Evacuations.Begin/a")
            self.assertIn('"zones":"a"', self.zones(folder))


if __name__ == "__main__":
    unittest.main()
