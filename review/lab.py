"""Runs a small deployment of the product's programs on loopback, with stand-ins for clients, runners and the operator.

Three registrars and two gateways run as separate processes with the commands of deploy/system.toml. Runners and
clients live in this process; they follow PROTOCOL.md. Every process that is started here is ended here.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = "target/fireflycrank-platform"  # from the root, as in deploy/system.toml
HOST, KEY, TEAM = "review.example", "key-of-review-team", "review-team"
HEARTBEAT = 1.2  # seconds
GRACE = 8.0  # seconds from SIGTERM to SIGKILL
ZONES = ("a", "b", "c")
LONGEST = 110.0  # seconds of a case
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": GRACE,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "partition_bound_ms": 5000,
    "fail_closed": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_allowance": 92,
    "recovery_s": 12,
    "iteration_ms": 120,
    "retry_after_s": 0,
    "stall_ms": 1500,
    "fencing_enabled": True,
    "ttl_max_s": 5,
}


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def note(self, text):
        line = f"{time.monotonic() - self.begun:8.3f} {text}"
        print(line, file=self.file, flush=True)


def reset(writer):
    """Closes a connection with a reset."""
    try:
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except (OSError, AttributeError):
        pass
    writer.transport.abort()


def listening_socket(ip, port, segment=None, window=None):
    """A listening socket, optionally with the segment size of an Ethernet link and a small receive window."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if segment:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
    if window:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    sock.bind((ip, port))
    sock.listen(64)
    sock.setblocking(False)
    return sock


def parse_head(head):
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_answer(reader):
    """Reads a whole answer. Returns status, fields and body; raises if it ends early."""
    line, fields = parse_head(await reader.readuntil(b"\r\n\r\n"))
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    return int(line.split(" ")[1]), fields, body


async def call(address, method, path, body=None, seconds=1.0):
    """One call with a JSON body to a daemon. Returns status, fields and body."""
    ip, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 22)
        try:
            text = json.dumps(body).encode() if body is not None else b""
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
            writer.write(f"{head}Content-Length: {len(text)}\r\n\r\n".encode() + text)
            return await read_answer(reader)
        finally:
            writer.transport.abort()

    return await asyncio.wait_for(exchange(), seconds)


CALL_FAILURES = (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, asyncio.LimitOverrunError, ValueError)


async def call_control(addresses, method, path, body=None, seconds=1.0):
    """A call to the daemons that serve control: in random order, two redirects followed, on to the next one after a
    failure. Returns the last status and body."""
    status, content = 0, b""
    for first in random.sample(addresses, len(addresses)):
        address = first
        for _ in range(3):
            try:
                status, fields, content = await call(address, method, path, body, seconds)
            except CALL_FAILURES:
                status = 0
                break
            if status != 307:
                break
            address = fields["location"].split("/")[2]
        if status and status < 500 and status not in (307, 408, 429):
            return status, content
    return status, content


class Process:
    """One process of the product."""

    def __init__(self, lab, role, name, settings):
        self.lab, self.role, self.name, self.settings = lab, role, name, settings
        self.child = None
        self.bootstrap = True

    def start(self):
        settings = self.settings | {"bootstrap": self.bootstrap}
        path = self.lab.folder / f"{self.name}.yaml"
        path.write_text(json.dumps(settings, indent=1))  # JSON is YAML
        log = open(self.lab.folder / f"{self.name}.log", "ab")
        self.child = subprocess.Popen(
            [PROGRAM, self.role],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={"PATH": "/usr/bin:/bin", "HOME": "/tmp", "LANG": "C", "FIREFLYCRANK_NODE_FILE": str(path)},
        )
        log.close()
        self.bootstrap = False
        self.lab.record.note(f"process {self.name} starts")

    def alive(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        if self.alive():
            self.lab.record.note(f"process {self.name} gets {signal.Signals(number).name}")
            self.child.send_signal(number)

    def end(self):
        if self.alive():
            self.child.kill()
            self.child.wait()


class Lab:
    """The deployment."""

    def __init__(self, record, gateways=2, registrars=3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.port = self.free_port()
        self.registrars, self.gateways, self.runners = [], [], []
        self.control = [f"{self.net}.{n}:{self.port}" for n in range(1, registrars + 1)]
        for n in range(1, registrars + 1):
            data = self.folder / f"data-{n}"
            data.mkdir()
            listen = {"control_plane": f"{self.net}.{n}:{self.port}"}
            self.registrars.append(
                self.process("registrar", "core", f"core-{n}", n, ["control"], listen, str(data))
            )
        for n in range(1, gateways + 1):
            ip = f"{self.net}.{100 + n}"
            listen = {
                "frontend": f"{ip}:{self.port + 1}",
                "readiness": f"{ip}:{self.port + 2}",
                "directory_service": f"{ip}:{self.port + 3}",
            }
            self.gateways.append(
                self.process("gateway", "edge", f"edge-{n}", 100 + n, ["edge", "registry"], listen, None)
            )

    def free_port(self):
        """A port with the following ones free at the addresses used here."""
        for _ in range(50):
            port = random.randint(20000, 30000)
            try:
                for offset in range(45):
                    with socket.socket() as probe:
                        probe.bind((f"{self.net}.1", port + offset))
                return port
            except OSError:
                continue
        raise CannotRun("no free ports")

    def process(self, role, machine_class, name, number, serves, listen, data):
        zone = ZONES[number % 3]
        return Process(
            self,
            role,
            name,
            {
                "node_name": name,
                "role": role,
                "machine_class": machine_class,
                "serves": serves,
                "ip": f"{self.net}.{number}",
                "zone": zone,
                "region": "r",
                "zones": {one: "r" for one in ZONES},
                "listen": listen,
                "internal_ports": [self.port + 20, self.port + 35],
                "seed_nodes": self.control[:3],
                "in_tolerance": role == "registrar",
                "limits": {
                    "cpu_fraction": 0.25,
                    "cpu_cores": 1,
                    "memory_mb": 260,
                    "file_descriptors": 4100,
                    "link_mbps": 1000.0,
                    "disk_mb": 128 if data else 0,
                },
                "data_dir": data,
                "discovery": "registration",
                "entry_mode": "registry",
                "heartbeat_ms": int(HEARTBEAT * 1000),
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"],
                "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
                "bounds": BOUNDS,
                "config_mode": "highest",
            },
        )

    def route(self, name, kind, service, **more):
        return {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "route_type": kind,
            "timeout_ms": 8000,
            "target_latency_ms": 400,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
            "public": False,
        } | more

    def configuration(self, version, routes, services):
        return {
            "version": version,
            "routes": routes,
            "services": [
                {"name": one, "health_check_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}
                for one in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": TEAM, "api_keys": [KEY], "priority": 1}],
        }

    async def start(self, routes, services):
        """Starts all processes and runners, and waits until each gateway is ready and listed."""
        if not (ROOT / PROGRAM).exists():
            raise CannotRun(f"{PROGRAM} is not built")
        for one in self.registrars + self.gateways:
            one.start()
        for one in self.runners:
            await one.start()
        await self.replace(self.configuration(1, routes, services))
        until = time.monotonic() + 20
        while time.monotonic() < until:
            if all([await self.is_ready(one) for one in self.gateways]):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the gateways did not become ready")

    async def replace(self, configuration):
        until = time.monotonic() + 20
        while time.monotonic() < until:
            status, _ = await call_control(self.control, "POST", "/-/Config.Replace", configuration)
            if status == 200:
                self.record.note(f"configuration {configuration['version']} is acknowledged")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("no configuration was acknowledged")

    async def is_ready(self, gateway):
        listen = gateway.settings["listen"]
        path = f"/-/resolve?name={HOST}&region=r&zone={gateway.settings['zone']}"
        try:
            ready, _, _ = await call(listen["readiness"], "GET", "/-/readyz")
            status, _, body = await call(listen["directory_service"], "GET", path)
        except CALL_FAILURES:
            return False
        listed = json.loads(body)["addresses"] if status == 200 else []
        return ready == 200 and listen["frontend"] in listed

    def end(self):
        for one in self.registrars + self.gateways:
            one.end()
        for one in self.runners:
            one.crash()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Runner:
    """A runner of a plain service. Subclasses change how it answers."""

    segment = window = None
    slots = 6

    def __init__(self, lab, name, number, service, zone="a"):
        self.lab, self.name, self.service, self.zone = lab, name, service, zone
        self.record = lab.record
        self.ip, self.port = f"{lab.net}.{200 + number}", lab.port + 5
        self.starts = 0
        self.up = False
        self.runs = []  # attempt ids, in the order in which work began
        self.tasks = set()
        self.active = 0
        lab.runners.append(self)

    async def start(self):
        self.starts += 1
        self.instance = f"i-{self.name}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        sock = listening_socket(self.ip, self.port, self.segment, self.window)
        self.server = await asyncio.start_server(self.accept, sock=sock, limit=1 << 14)
        self.up = True
        self.beats = asyncio.ensure_future(self.beat_for_ever())
        self.record.note(f"runner {self.instance} starts")

    def crash(self):
        """Ends as a killed process does: its connections are closed and nothing is said."""
        if not self.up:
            return
        self.up = False
        self.record.note(f"runner {self.instance} ends")
        self.server.close()
        self.beats.cancel()
        for task in list(self.tasks):
            task.cancel()
        self.active = 0

    def announcement(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def beat(self):
        path = f"/-/Instances.Heartbeat/{self.instance}"
        status, _ = await call_control(self.lab.control, "POST", path, self.announcement())
        return status == 200

    async def beat_for_ever(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT)

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                line, fields = parse_head(await reader.readuntil(b"\r\n\r\n"))
                method, path, _ = line.split(" ")
                if not await self.serve(method, path, fields, reader, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.close(writer)

    def close(self, writer):
        reset(writer)

    def load(self):
        return f"Server-Load: {self.active},0,{self.slots}"

    def signature(self, attempt):
        return hashlib.sha256(f"{attempt}/{self.instance}".encode()).hexdigest()[:16]

    def head(self, attempt, status, length, fields=()):
        lines = [f"HTTP/1.1 {status} -", *fields, self.load()]
        if attempt:
            lines.append(f"Attempt-Id: {attempt}")
        if length is not None:
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def serve(self, method, path, fields, reader, writer):
        """Answers one request whose head was read. Returns whether the connection stays open."""
        length = int(fields.get("content-length", 0))
        attempt = fields.get("attempt-id", "")
        if path == "/healthz":
            writer.write(self.head("", 200, 0, [f"Instance-Id: {self.instance}"]))
            return True
        if fields.get("expected-instance", self.instance) != self.instance:
            await reader.readexactly(length)
            writer.write(self.head(attempt, 421, 0, ["Not-Executed: 1"]))
            return True
        return await self.run(attempt, path, length, reader, writer)

    def begin(self, attempt, path):
        self.runs.append(attempt)
        self.record.note(f"runner {self.instance} begins to run {attempt} ({path})")

    async def run(self, attempt, path, length, reader, writer):
        raise NotImplementedError


class Client:
    """Sends requests to one gateway and reads the answers."""

    def __init__(self, lab, gateway, name):
        self.lab, self.gateway, self.name = lab, gateway, name
        self.sent = 0

    def next_attempt(self):
        self.sent += 1
        return hashlib.sha256(f"{self.lab.net}/{self.lab.port}/{self.name}/{self.sent}".encode()).hexdigest()[:16]

    def request(self, method, path, attempt, deadline_ms, body=b"", more=()):
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {attempt}",
            f"Deadline-Ms: {deadline_ms}",
            f"Credential: {KEY}",
            *more,
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def send(self, method, path, deadline_ms, body=b"", more=()):
        """One request on a connection of its own. Returns attempt, status (0 for none), fields and body."""
        attempt = self.next_attempt()
        ip, port = self.gateway.settings["listen"]["frontend"].split(":")
        self.lab.record.note(f"client {self.name} sends {attempt} {method} {path} with {len(body)} bytes")
        status, fields, content = 0, {}, b""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port), limit=1 << 22), 1.0)
            try:
                writer.write(self.request(method, path, attempt, deadline_ms, body, more))
                status, fields, content = await asyncio.wait_for(read_answer(reader), deadline_ms / 1000 + 1.0)
            finally:
                writer.transport.abort()
        except CALL_FAILURES as failed:
            self.lab.record.note(f"client {self.name} gets no whole answer to {attempt}: {type(failed).__name__}")
            return attempt, 0, {}, b""
        self.lab.record.note(f"client {self.name} gets {status} for {attempt} with {len(content)} bytes")
        return attempt, status, fields, content


def run_case(case, folder):
    """Runs a case: an async function of a record that returns the broken rules. Ends the process with 0, 1 or 2."""
    record = Record(pathlib.Path(folder) / "record.txt")
    record.note(f"trouble {'on' if TROUBLE else 'off'}")

    async def limited():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(record), LONGEST)

    try:
        broken = asyncio.run(limited())
    except CannotRun as why:
        record.note(f"cannot run: {why}")
        sys.exit(2)
    except Exception as why:  # pylint: disable=broad-except
        record.note(f"cannot run: {type(why).__name__}: {why}")
        raise SystemExit(2) from why
    for one in broken:
        record.note(f"BROKEN {one}")
    record.note(f"rule {'broken' if broken else 'held'}")
    print(f"{'broken' if broken else 'held'}: {len(broken)} findings")
    for one in broken[:10]:
        print(f"  {one}")
    sys.exit(1 if broken else 0)
