"""Tests that callers outside the limits cannot make a process hold more memory or descriptors than its settings allow.

Guards against a gateway or a registrar that is ended for its memory, or accepts no more connections, because each of
many connections holds a body that stops short of its end, sends nothing, or does not read its answer. Each variant
starts three registrars, one gateway and one target on loopback addresses, lets one crowd of connections stay open, and
checks the peak of memory (VmHWM), the peak of open descriptors, that the processes live, and that an ordinary request
is answered while the crowd is still there. Two variants add what the kernel holds for the gateway's callers to its
memory. No check depends on the machine's speed.

Run one variant: caller_memory_test.py NAME, as ctest does. Without a name it runs all, one after the other.
"""
import asyncio
import os
import pathlib
import random
import selectors
import socket
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parent / "soak"))
import soak  # noqa: E402
import standins  # noqa: E402
import stopping  # noqa: E402

PROGRAM = pathlib.Path(os.environ.get("FIREFLYCRANK_BIN", "build")) / "fireflycrank-platform"
NET = 20 + os.getpid() % 40
MIB = 1 << 20
MEGABYTE = 1_000_000
# The bounds, and the crowds that pass them on a product that limits each connection only. They were fixed before the
# product was changed and stay as they are.
GATEWAY_MB, REGISTRAR_MB = 128, 160
DESCRIPTORS = 400
BODY = 4 * MIB  # the largest legal body of a caller
OPERATOR_BODY = 16 * MIB  # the largest legal body of the operator
SHORT = 20  # bytes that a body stops before its end
BODIES, OPERATOR_BODIES, READERS, SILENT = 60, 20, 60, 600
WAITING, SMALL_GATEWAY_MB, UNREAD_GATEWAY_MB = 140, 48, 80
TINY_BODIES, TINY_BODY, TINY_GATEWAY_MB = 40, 2 * MIB, 64  # 1-byte chunks: six bytes sent for each of the body
ENDLESS = 24 * MIB  # of a body without an end, far over any limit
ANSWER = 8 * MIB  # of a target to a reader that does not read
CROWD_SECONDS = 90.0  # a crowd that has not sent all by then goes on to the checks
SETTLE_SECONDS = 30.0  # for what is under way when the crowd has sent all
SLOW_SECONDS = 5.0  # of a target that holds whole bodies
ROUTE_SECONDS = 20.0  # long enough for the target to give all its large answers
ANSWER_SECONDS = 60.0  # for an ordinary request, which is repeated until it is answered


class Target(standins.Target):
    """Answers with the size of the body it got, or with a large body."""

    async def answer(self, method, path, fields, body, writer):
        if path == "/healthz" or path.startswith("/-/"):
            return await super().answer(method, path, fields, body, writer)
        attempt = fields.get("attempt-id", "")
        if "slow" in path:
            await asyncio.sleep(SLOW_SECONDS)
        fields = [f"Attempt-Id: {attempt}", f"Server-Signature: {standins.signature_of(attempt, self.instance)}"]
        standins.write_answer(writer, 200, fields, b"a" * ANSWER if "large" in path else str(len(body)).encode())
        return True


def request_head(method, path, *fields):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {soak.HOST}", f"Credential: {soak.KEY}", *fields, "", ""]
    return "\r\n".join(lines).encode()


def attempt_fields():
    return [f"Attempt-Id: {random.randbytes(8).hex()}", f"Deadline-Ms: {int(ROUTE_SECONDS * 1000)}"]


def pieces_of(size, piece):
    block = b"x" * piece
    while size > 0:
        yield block[:size]
        size -= piece


def chunks_of(size, chunk, batch):
    """A chunked body, a number of chunks at a time."""
    one = f"{chunk:x}\r\n".encode() + b"x" * chunk + b"\r\n"
    for _ in range(size // chunk // batch):
        yield one * batch


def whole(path, size):
    yield request_head("POST", path, f"Content-Length: {size}", *attempt_fields())
    yield from pieces_of(size - SHORT, MIB)


def complete(path, size):
    yield request_head("POST", path, f"Content-Length: {size}", *attempt_fields())
    yield from pieces_of(size, MIB)


def piecewise(path, size):
    yield request_head("POST", path, f"Content-Length: {size}", *attempt_fields())
    yield from pieces_of(size - SHORT, 1500)


def chunked(path, size, chunk, batch):
    yield request_head("POST", path, "Transfer-Encoding: chunked", *attempt_fields())
    yield from chunks_of(size - chunk, chunk, batch)


def announced(path):
    yield request_head("POST", path, f"Content-Length: {1 << 40}", *attempt_fields())
    yield from pieces_of(ENDLESS, MIB)


def endless(path):
    yield request_head("POST", path, "Transfer-Encoding: chunked", *attempt_fields())
    yield from chunks_of(ENDLESS, 65536, 1)


def silent():
    yield b""


def dense(path):
    """A whole body of values that take far more memory when decoded than as text."""
    body = b"[" + b"[]," * (OPERATOR_BODY // 3 - 2) + b"[]]"
    yield request_head("POST", path, f"Content-Length: {len(body)}")
    yield body


def behind(path):
    """A small request, and what is no request behind it while it is being answered."""
    yield request_head("POST", path, "Content-Length: 2", *attempt_fields()) + b"xx"
    yield from pieces_of(ENDLESS, MIB)


def unread(path):
    yield request_head("GET", path, *attempt_fields())


class Crowd:
    """Connections that each send what a generator yields and stay open, without reading, until the process closes."""

    def __init__(self, address, make, count, receive_bytes=None):
        self.address, self.make, self.count, self.receive_bytes = address, make, count, receive_bytes
        self.sockets, self.sent, self.closed = [], 0, 0

    def open(self):
        one = socket.socket()
        if self.receive_bytes:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_bytes)
        one.settimeout(5.0)
        one.connect(self.address)
        one.setblocking(False)
        return one

    def run(self):
        """Sends all that the process takes."""
        selector = selectors.DefaultSelector()
        for _ in range(self.count):
            try:
                one = self.open()
            except OSError:
                self.closed += 1
                continue
            self.sockets.append(one)
            selector.register(one, selectors.EVENT_WRITE, [self.make(), b""])
        until = time.monotonic() + CROWD_SECONDS
        while selector.get_map() and time.monotonic() < until:
            for key, _ in selector.select(0.1):
                self.send(selector, key.fileobj, key.data)
        selector.close()

    def send(self, selector, one, state):
        try:
            if not state[1]:
                state[1] = memoryview(next(state[0]))
            taken = one.send(state[1])
            self.sent += taken
            state[1] = state[1][taken:]
        except BlockingIOError:
            pass
        except StopIteration:
            selector.unregister(one)
        except OSError:
            selector.unregister(one)
            self.closed += 1

    def close(self):
        for one in self.sockets:
            one.close()


def kernel_bytes(ip, port):
    """What the kernel holds for the connections of a listening address: not read yet, or not acknowledged."""
    local = f"{int.from_bytes(socket.inet_aton(ip), sys.byteorder):08X}:{port:04X}"
    rows = [line.split() for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(int(part, 16) for row in rows if row[1] == local for part in row[4].split(":"))


class Watch:
    """Samples the open descriptors of a process and what the kernel holds for its outsiders; the kernel keeps the peak
    of its memory."""

    def __init__(self, process, port):
        self.process, self.port, self.descriptors, self.kernel, self.ended = process, port, 0, 0, threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.ended.wait(0.02):
            try:
                self.descriptors = max(self.descriptors, len(os.listdir(f"/proc/{self.process.child.pid}/fd")))
            except OSError:
                return
            self.kernel = max(self.kernel, kernel_bytes(self.process.ip, self.port))

    def peak_bytes(self):
        for line in pathlib.Path(f"/proc/{self.process.child.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        return 0

    def end(self):
        self.ended.set()
        self.thread.join()


def configuration(version):
    config = stopping.configuration(version)
    for route in config["routes"]:
        route["timeout_ms"] = int(ROUTE_SECONDS * 1000)
    return config


class CallerMemory(unittest.IsolatedAsyncioTestCase):
    async def start(self, gateway_mb=GATEWAY_MB):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = fleet = soak.Fleet(str(PROGRAM), pathlib.Path(folder.name), 1, 1, NET, stops=True)
        registrars = fleet.of_role("registrar")
        self.registrar, self.gateway = registrars[0], fleet.of_role("gateway")[0]
        fleet.processes = [*registrars, self.gateway]
        fleet.targets = [Target(fleet, "t1", f"{fleet.target_net}.0.1", soak.TARGET_PORT, "orders", "a")]
        fleet.targets[0].slots = 2 * READERS
        fleet.configuration = configuration
        for one in fleet.processes:
            megabytes = gateway_mb if one is self.gateway else REGISTRAR_MB
            one.extra.append(f"limits: {{memory_mb: {megabytes}, file_descriptors: {DESCRIPTORS}}}")
            one.start()
        self.addCleanup(self.end_processes)
        await fleet.targets[0].start()
        self.assertTrue(await fleet.put_config(20.0))
        await self.check_gateway(100)
        for one in registrars:  # the leader is the one that decodes configurations
            status, _ = await standins.post(one.ip, soak.CONTROL_PORT, "/-/Config.Replace", fleet.configuration(1))
            self.registrar = one if status == 200 else self.registrar

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

    async def check_gateway(self, size):
        """A request is answered with what its target got. A refused one is repeated, as callers do."""
        until = time.monotonic() + ANSWER_SECONDS
        seen = None
        while time.monotonic() < until:
            head = request_head("POST", "/order/1", f"Content-Length: {size}", *attempt_fields())
            try:
                seen = await asyncio.wait_for(
                    standins.exchange(self.gateway.ip, soak.FRONT_PORT, head + b"x" * size), timeout=10.0
                )
                if seen[0] == 200:
                    self.assertEqual(seen[2], str(size).encode())
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as failed:
                seen = failed
            await asyncio.sleep(0.2)
        self.fail(f"no ordinary request was answered; last seen: {seen!r}")

    async def check_registrar(self):
        """A configuration is acknowledged, and a target's announcement, at the crowded registrar itself."""
        until = time.monotonic() + ANSWER_SECONDS
        calls = [
            ("/-/Config.Replace", self.fleet.configuration(self.fleet.next_version)),
            (f"/-/Instances.Heartbeat/{self.fleet.targets[0].instance}", self.fleet.targets[0].announcement()),
        ]
        seen = None
        while calls and time.monotonic() < until:
            try:
                seen = await asyncio.wait_for(
                    standins.post(self.registrar.ip, soak.CONTROL_PORT, *calls[0]), timeout=10.0
                )
                if seen[0] in (200, 307):  # 307: another registrar leads by now
                    del calls[0]
                    continue
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as failed:
                seen = failed
            await asyncio.sleep(0.2)
        self.assertFalse(calls, f"not acknowledged; last seen: {seen!r}")

    async def settle(self, watch):
        """Waits until the process has read what its kernel holds: until its peak stands still for two seconds."""
        until, peak, since = time.monotonic() + SETTLE_SECONDS, 0, time.monotonic()
        while time.monotonic() < min(until, since + 2.0):
            if watch.process.alive() and watch.peak_bytes() > peak:
                peak, since = watch.peak_bytes(), time.monotonic()
            await asyncio.sleep(0.1)

    async def play(self, process, port, make, count, check, megabytes, receive_bytes=None, with_kernel=False):
        watch = Watch(process, port)
        crowd = Crowd((process.ip, port), make, count, receive_bytes)
        try:
            await asyncio.to_thread(crowd.run)
            await self.settle(watch)
            await check()
        finally:
            crowd.close()
            watch.end()
        self.assertTrue(process.alive(), "the process ended")
        peak = (watch.peak_bytes() + (watch.kernel if with_kernel else 0)) / MEGABYTE
        print(
            f"{self._testMethodName}: peak {peak:.1f} MB of {megabytes}, {watch.kernel / MEGABYTE:.1f} MB in the kernel, "
            f"descriptors {watch.descriptors} of {DESCRIPTORS}, "
            f"crowd sent {crowd.sent / MEGABYTE:.0f} MB, {crowd.closed} of {count} closed while they sent",
            flush=True,
        )
        self.assertLessEqual(peak, megabytes)
        self.assertLessEqual(watch.descriptors, DESCRIPTORS)

    async def play_gateway(self, make, count, gateway_mb=GATEWAY_MB, **more):
        await self.start(gateway_mb)
        await self.play(
            self.gateway, soak.FRONT_PORT, make, count, lambda: self.check_gateway(200), gateway_mb, **more
        )

    async def play_registrar(self, make, count=OPERATOR_BODIES):
        await self.start()
        await self.play(self.registrar, soak.CONTROL_PORT, make, count, self.check_registrar, REGISTRAR_MB)

    async def test_calm(self):
        """A body of the largest legal size is served whole, and the process stays inside its bound."""
        await self.start()
        for _ in range(5):
            await self.check_gateway(BODY)
        watch = Watch(self.gateway, soak.FRONT_PORT)
        watch.end()
        self.assertLessEqual(watch.peak_bytes() / MEGABYTE, GATEWAY_MB)

    async def test_whole(self):
        await self.play_gateway(lambda: whole("/order/1", BODY), BODIES)
        await self.check_gateway(BODY)  # in calm again

    async def test_complete(self):
        """Whole bodies that wait for their target: they are held beside their copies for the target."""
        await self.play_gateway(lambda: complete("/order/slow", BODY), BODIES)

    async def test_piecewise(self):
        await self.play_gateway(lambda: piecewise("/order/1", BODY), BODIES)

    async def test_large_chunks(self):
        await self.play_gateway(lambda: chunked("/order/1", BODY, 65536, 1), BODIES)

    async def test_tiny_chunks(self):
        await self.play_gateway(lambda: chunked("/order/1", TINY_BODY, 1, 4096), TINY_BODIES, TINY_GATEWAY_MB)

    async def test_announced(self):
        await self.play_gateway(lambda: announced("/order/1"), BODIES)

    async def test_endless(self):
        await self.play_gateway(lambda: endless("/order/1"), BODIES)

    async def test_silent(self):
        await self.play_gateway(silent, SILENT)

    async def test_unread(self):
        await self.play_gateway(lambda: unread("/order/large"), READERS, receive_bytes=4096)

    async def test_behind(self):
        await self.play_gateway(lambda: behind("/order/slow"), WAITING, SMALL_GATEWAY_MB, with_kernel=True)

    async def test_unread_in_kernel(self):
        await self.play_gateway(lambda: unread("/order/large"), WAITING, UNREAD_GATEWAY_MB, with_kernel=True)

    async def test_operator_bodies(self):
        await self.play_registrar(lambda: whole("/-/Config.Replace", OPERATOR_BODY))

    async def test_heartbeat_bodies(self):
        await self.play_registrar(lambda: whole("/-/Instances.Heartbeat/i-1", OPERATOR_BODY))

    async def test_dense_values(self):
        await self.play_registrar(lambda: dense("/-/Config.Replace"), 1)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        sys.argv[1] = f"CallerMemory.test_{sys.argv[1]}"
    unittest.main()
