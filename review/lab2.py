"""Stand-ins and process control for the scripts of the second review (review/6 to review/10).

A small system of the project's own programs, each at a loopback address of its own, with stand-in runners,
clients and an operator that speak what PROTOCOL.md says. Everything is written to record.txt.
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
import subprocess
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = pathlib.Path(os.environ.get("PROGRAM") or REPOSITORY / "target" / "fireflycrank-platform")
HOST = "review.example"
KEY, TENANT = "key-of-temples", "temples"
CONTROL, FRONT, READY, DIRECTORY, RUNNER = 8229, 8227, 8220, 8224, 8080
PEER_PORTS = (7340, 7355)
ZONES = ("a", "b", "c")
HEARTBEAT_MS = 1200
# Bounds of sites/kumamoto-shakyo.toml.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
    "partition_bound_ms": 5000, "fail_closed": False, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "retry_allowance": 92, "recovery_s": 12, "iteration_ms": 120, "retry_after_s": 0,
    "stall_ms": 1500, "fencing_enabled": True, "ttl_max_s": 5,
}
READ_LIMIT = 8 << 20
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    pass


async def read_message(reader):
    """Reads one HTTP message with a length or chunks. Returns first line, fields and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += await reader.readexactly(size)
            await reader.readuntil(b"\r\n")
            if size == 0:
                break
    return lines[0], fields, body


def answer_bytes(status, fields=(), body=b""):
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}", *fields, "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def exchange(address, request, timeout):
    """One request on a connection of its own. Returns status, fields and body."""
    ip, port = address

    async def run():
        reader, writer = await asyncio.open_connection(ip, port, limit=READ_LIMIT)
        try:
            writer.write(request)
            await writer.drain()
            line, fields, body = await read_message(reader)
            return int(line.split(" ")[1]), fields, body
        finally:
            writer.transport.abort()

    return await asyncio.wait_for(run(), timeout)


def post_bytes(path, body):
    """A POST request. The path may be bytes."""
    raw = path if isinstance(path, bytes) else path.encode()
    text = body if isinstance(body, bytes) else json.dumps(body).encode()
    head = b"POST " + raw + b" HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
    return head + f"Content-Length: {len(text)}\r\n\r\n".encode() + text


class Process:
    def __init__(self, lab, role, name, ip, zone, extra):
        self.lab, self.role, self.name, self.ip, self.zone, self.extra = lab, role, name, ip, zone, extra
        self.first_start = True
        self.child = None

    def write_settings(self):
        lines = [
            f'node_name: "{self.name}"',
            f'role: "{self.role}"',
            f'ip: "{self.ip}"',
            f'zone: "{self.zone}"',
            'region: "r"',
            "zones: {a: r, b: r, c: r}",
            f"internal_ports: [{PEER_PORTS[0]}, {PEER_PORTS[1]}]",
            f"seed_nodes: {json.dumps(self.lab.seeds)}",
            f"bootstrap: {json.dumps(self.first_start)}",
            f"heartbeat_ms: {HEARTBEAT_MS}",
            "fault_tolerance: {machines: 1, zones: 0, regions: 0}",
            f"bounds: {json.dumps(self.lab.bounds)}",
            *self.extra,
        ]
        path = self.lab.folder / f"{self.name}.yaml"
        fresh = path.with_suffix(".new")
        fresh.write_text("\n".join(lines) + "\n")
        fresh.rename(path)
        return path

    def start(self):
        path = self.write_settings()
        self.first_start = False
        with open(self.lab.folder / f"{self.name}.log", "ab") as log:
            self.child = subprocess.Popen(
                [str(PROGRAM), self.role], stdout=log, stderr=log, cwd=REPOSITORY,
                env={"PATH": "/usr/bin:/bin", "FIREFLYCRANK_NODE_FILE": str(path)},
            )
        self.lab.note(f"{self.name} started")

    def alive(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        if self.alive():
            self.child.send_signal(number)
            self.lab.note(f"{self.name} gets {signal.Signals(number).name}")

    def events(self):
        """The lines of its log as objects."""
        lines = (self.lab.folder / f"{self.name}.log").read_text(errors="replace").splitlines()
        out = []
        for line in lines:
            try:
                out.append(json.loads(line))
            except ValueError:
                pass
        return out


class Runner:
    """A runner of a service. Its heartbeats go on while it is up."""

    def __init__(self, lab, name, ip, service, zone, slots=6):
        self.lab, self.name, self.ip, self.service, self.zone, self.slots = lab, name, ip, service, zone, slots
        self.state, self.sequence, self.active = "ready", 0, 0
        self.instance = f"i-{name}"
        self.beats_from = 0.0  # no heartbeat before
        self.serve = None  # another way to run a request
        self.ran = []
        self.tasks = set()

    async def start(self):
        self.born = int(time.time() * 1000)
        self.state, self.sequence = "ready", 0
        self.server = await asyncio.start_server(self.accept, self.ip, RUNNER, limit=READ_LIMIT)
        self.beating = asyncio.ensure_future(self.beat())
        self.lab.note(f"runner {self.name} started as {self.instance}, born {self.born}")

    def crash(self):
        """Ends as a killed process does: the kernel closes its sockets."""
        self.server.close()
        self.beating.cancel()
        for task in list(self.tasks):
            task.cancel()
        self.lab.note(f"runner {self.name} crashed")

    def heartbeat(self):
        self.sequence += 1
        return {
            "service": self.service, "address": f"{self.ip}:{RUNNER}", "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "phase": "unified",
            "sequence": self.sequence, "born": self.born,
        }

    async def tell(self, call, body):
        order = list(self.lab.control_addresses())
        random.shuffle(order)
        for address in order:
            try:
                status, _, _ = await exchange(address, post_bytes(f"/-/Instances.{call}/{self.instance}", body), 1.0)
                if 200 <= status < 300:
                    return True
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
                pass
        return False

    async def beat(self):
        while True:
            if time.monotonic() >= self.beats_from:
                await self.tell("Heartbeat", self.heartbeat())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def signature(self, attempt):
        return hashlib.sha256(f"{attempt}/{self.instance}/{self.born}".encode()).hexdigest()[:16]

    def load(self):
        return f"Server-Load: {self.active},0,{self.slots}"

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                line, fields, body = await read_message(reader)
                method, path, _ = line.split(" ")
                if not await self.answer(method, path, fields, body, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def answer(self, method, path, fields, body, writer):
        if path == "/healthz":
            fields = [f"Instance-Id: {self.instance}", self.load()]
            writer.write(answer_bytes(200 if self.state == "ready" else 503, fields))
            return True
        attempt = fields.get("attempt-id")
        if attempt is None:
            writer.write(answer_bytes(400, ["Not-Executed: 1"]))
            return True
        if fields.get("expected-instance", self.instance) != self.instance:
            writer.write(answer_bytes(421, ["Not-Executed: 1", f"Attempt-Id: {attempt}"]))
            return True
        if self.active >= self.slots:
            writer.write(answer_bytes(503, ["Not-Executed: 1", f"Attempt-Id: {attempt}", self.load()]))
            return True
        self.active += 1
        self.ran.append((attempt, time.monotonic()))
        self.lab.note(f"runner {self.name} ({self.service}) runs {attempt} {method} {path}")
        try:
            if self.serve is not None:
                return await self.serve(self, attempt, method, path, fields, body, writer)
            await asyncio.sleep(0.03)
            writer.write(answer_bytes(200, self.head_fields(attempt), self.body_of(attempt)))
            return True
        finally:
            self.active -= 1

    def head_fields(self, attempt):
        return [f"Attempt-Id: {attempt}", f"Server-Signature: {self.signature(attempt)}", self.load()]

    def body_of(self, attempt):
        return (hashlib.sha256(attempt.encode()).hexdigest() * 13)[:800].encode()


class Lab:
    def __init__(self, name, registrars=5, gateways=3, bounds=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"fireflycrank-{name}-"))
        self.record = open(pathlib.Path(os.environ.get("RECORD") or REPOSITORY / "review" / name) / "record.txt", "w")
        self.begun = time.monotonic()
        self.bounds = BOUNDS | (bounds or {})
        self.core_net, self.edge_net, self.side_net = self.free_networks()
        self.processes, self.runners = [], []
        self.seeds = [f"{self.core_net}.{n}:{CONTROL}" for n in range(1, min(registrars, 3) + 1)]
        for n in range(1, registrars + 1):
            ip = f"{self.core_net}.{n}"
            data = self.folder / f"data-{n}"
            data.mkdir()
            extra = [f"listen: {{control_plane: '{ip}:{CONTROL}'}}", f"data_dir: '{data}'",
                     "limits: {memory_mb: 256, file_descriptors: 4096, link_mbps: 170.0, disk_mb: 128}"]
            self.processes.append(Process(self, "registrar", f"core-{n}", ip, ZONES[(n - 1) % 3], extra))
        for n in range(1, gateways + 1):
            ip = f"{self.edge_net}.{n}"
            listen = {"frontend": FRONT, "readiness": READY, "directory_service": DIRECTORY}
            listen = json.dumps({name: f"{ip}:{port}" for name, port in listen.items()})
            extra = [f"listen: {listen}", "data_dir: null",
                     "limits: {memory_mb: 260, file_descriptors: 4100, link_mbps: 1000.0, disk_mb: 0}"]
            self.processes.append(Process(self, "gateway", f"edge-{n}", ip, ZONES[(n - 1) % 3], extra))
        self.note(f"TROUBLE={'1' if TROUBLE else '0'}")

    @staticmethod
    def free_networks():
        """Loopback networks of three octets for core, edge and side."""
        draw = random.SystemRandom()
        for _ in range(50):
            first, second = draw.randint(20, 250), 3 * draw.randint(0, 84)
            nets = [f"127.{first}.{second + number}" for number in range(3)]
            try:
                for net, port in zip(nets, (CONTROL, FRONT, RUNNER)):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.1", port))
                return nets
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.record.flush()

    def of_role(self, role):
        return [one for one in self.processes if one.role == role]

    def control_addresses(self):
        return [(one.ip, CONTROL) for one in self.of_role("registrar")]

    def runner(self, name, service, number, **more):
        one = Runner(self, name, f"{self.side_net}.{number}", service, ZONES[number % 3], **more)
        self.runners.append(one)
        return one

    async def start(self):
        if not PROGRAM.exists():
            raise CannotRun("the program is not built")
        for one in self.processes:
            one.start()
        for one in self.runners:
            await one.start()

    async def until_ready(self, seconds=20):
        """Waits until every gateway says that it is ready."""
        until = time.monotonic() + seconds
        waiting = self.of_role("gateway")
        while waiting and time.monotonic() < until:
            for one in list(waiting):
                try:
                    request = f"GET /-/readyz HTTP/1.1\r\nHost: {one.ip}\r\n\r\n".encode()
                    status, _, _ = await exchange((one.ip, READY), request, 1.0)
                    if status == 200:
                        waiting.remove(one)
                except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                    pass
            await asyncio.sleep(0.1)
        if waiting:
            raise CannotRun("gateways are not ready")

    async def operator(self, method, path, body=None, seconds=10.0, at=None):
        """Sends an order to any daemon until it has a clear answer. Returns status and body."""
        until = time.monotonic() + seconds
        text = b"" if body is None else json.dumps(body).encode()
        request = f"{method} {path} HTTP/1.1\r\nHost: control\r\n"
        if method == "POST":
            request += f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n"
        request = request.encode() + b"\r\n" + text
        while time.monotonic() < until:
            address = at or random.choice(self.control_addresses())
            try:
                for _ in range(3):
                    status, fields, answer = await exchange(address, request, 1.0)
                    self.note(f"operator {method} {path[:60]} at {address[0]}: {status}")
                    if status != 307:
                        break
                    place = fields["location"].split("/")[2].split(":")
                    address = (place[0], int(place[1]))
                if status < 300 or status in (400, 409, 412, 413, 422):
                    return status, answer
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError, KeyError) as failed:
                self.note(f"operator {method} {path[:60]} at {address[0]}: {type(failed).__name__}")
            await asyncio.sleep(0.2)
        return None, b""

    def route(self, name, kind, service, **more):
        return {
            "name": name, "host": HOST, "path_prefix": f"/{name}/", "route_type": kind, "timeout_ms": 8000,
            "target_latency_ms": 400, "priority": 1, "service": service, "max_attempts": 2, "public": False,
        } | more

    def configuration(self, version, routes, services):
        return {
            "version": version, "routes": routes,
            "services": [
                {"name": name, "health_check_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}
                for name in services
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        }

    async def call(self, gateway, method, path, attempt=None, deadline_ms=8000, body=b"x", fields=()):
        """A client's request on a connection of its own. Returns (status, fields, body, complete)."""
        attempt = attempt or f"{random.getrandbits(64):016x}"
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}", f"Credential: {KEY}",
                 f"Deadline-Ms: {deadline_ms}", *fields]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        request = "\r\n".join([*lines, "", ""]).encode() + (b"" if method == "GET" else body)
        try:
            status, got, answer = await exchange((gateway.ip, FRONT), request, deadline_ms / 1000 + 1.0)
            self.note(f"client {attempt} {method} {path} at {gateway.name}: {status}, {len(answer)} B")
            return status, got, answer, True
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as failed:
            self.note(f"client {attempt} {method} {path} at {gateway.name}: {type(failed).__name__}")
            return 0, {}, b"", False

    def end(self):
        for one in self.runners:
            if hasattr(one, "server"):
                one.server.close()
        for one in self.processes:
            if one.alive():
                one.child.send_signal(signal.SIGCONT)
                one.child.kill()
        for one in self.processes:
            if one.child is not None:
                one.child.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def main(name, scenario, seconds=110, **more):
    """Runs a scenario. Exit: 1 the rule was broken, 0 it held, 2 the case could not run."""
    lab = None
    result = 2
    try:
        lab = Lab(name, **more)

        async def run():
            return await asyncio.wait_for(scenario(lab), seconds)

        broken = asyncio.run(run())
        lab.note(f"result: {broken or 'the rule held'}")
        print(broken or "the rule held")
        result = 1 if broken else 0
    except Exception as failed:  # a fault of the script itself is no finding
        print(f"could not run: {type(failed).__name__} {failed}")
        if lab:
            lab.note(f"could not run: {type(failed).__name__} {failed}")
    finally:
        if lab:
            lab.end()
    raise SystemExit(result)
