#!/usr/bin/env python3
"""Randomized soak of the platform programs as separate processes on loopback.

Gateways, registrars and rank agents run as they do on the platform, each at a loopback address of its
own, with stand-in runners behind loopback proxies. Faults come in overlapping series from outside:
signals (kill, terminate, stop, hang-up), emptied and full disks, proxies that delay, reset, cut one way or
silence, runners that crash, restart, refuse, lose answers, send late copies of answers and answer requests that they
have run like a refusal. While it runs it checks, from what callers and runners see:

- an answer is whole, and its bytes and signature are those of a runner that ran the request;
- a refusal (408, 421, 429, 503) is true: the request has not run and never does;
- an unrepeatable request runs at most once; no request runs at more targets than its route allows;
- a call ends within its deadline, unless its gateway was stopped or died;
- all ranks of a group use one expert map in each pass;
- a request that ended three runners, or requests with a part in common that ended five, hardly reach others once
  processes in touch can know of it;
- no request reaches a runner in a zone later than EVACUATION after its evacuation was acknowledged;
- a cold runner gets no more requests in a second than its service declares;
- a gateway stays within the memory of its settings while clients hold bodies that stop short of their end;
- an acknowledged configuration is never lost or shown in an older state;
- once the faults end, all of it is served again;
- with --stops: a request that was passed on gets a complete answer though its gateway is terminated.

Clocks of other processes can't be changed without privileges; stopped processes see the steady clock jump.
"""

import argparse
import asyncio
import hashlib
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import cold
import crashing
import standins
import stopping

HOST = "soak.example"
KEY, TEAM = "key-of-temples", "temples"
CONTROL_PORT, DIRECTORY_PORT, FRONT_PORT, READY_PORT = 18229, 18224, 18227, 18220
PEER_PORTS = (17340, 17355)
TARGET_PORT = 18228
HEARTBEAT = 0.6  # seconds between announcements
GRACE = 8.0  # seconds from SIGTERM to SIGKILL
DEADLINES = {"draft": 8.0, "order": 1.5, "status": 1.5}  # seconds
DEADLINE_SLACK = 1.0  # seconds that a busy machine may add
RECOVERY = 20.0  # seconds until all is served again: recovery_s of 12, and 8 of a full restart
CRASHING_SECONDS = 12.0  # without faults, in which requests that end their runners are recognized
HOT_SHARE = 0.1  # of calls that have one path, caller and body in common
CATCH_UP = 5.0  # seconds after which an emptied disk counts as whole again
PROMISES = (408, 421, 429, 503)
MAX_ATTEMPTS = 2
ZONES = ("a", "b", "c")
GATEWAY_MB = 96  # of each gateway's settings
CROWD, CROWD_BODY = 64, 1 << 20  # clients that hold a body which stops short of its end, and its bytes
EVACUATION = 5.0  # seconds until an acknowledged evacuation is obeyed


class Process:
    """One process of the product, started and ended by its own id only."""

    def __init__(self, fleet, role, name, ip, zone, extra):
        self.fleet, self.role, self.name, self.ip, self.zone, self.extra = fleet, role, name, ip, zone, extra
        self.child = None
        self.bootstrap = True
        self.troubled_until = 0.0  # calls through it may break off until then
        self.busy = False  # a fault holds it
        self.file_limit = None

    def write_settings(self):
        seeds = list(self.fleet.seeds)
        self.fleet.random.shuffle(seeds)
        lines = [
            f'node_name: "{self.name}"',
            f'role: "{self.role}"',
            f'ip: "{self.ip}"',
            f'zone: "{self.zone}"',
            'region: "r"',
            "zones: {a: r, b: r, c: r}",
            f"internal_ports: [{PEER_PORTS[0]}, {PEER_PORTS[1]}]",
            f"seed_nodes: {json.dumps(seeds)}",
            f"bootstrap: {'true' if self.bootstrap else 'false'}",
            f"heartbeat_ms: {int(HEARTBEAT * 1000)}",
            "fault_tolerance: {machines: 1, zones: 0, regions: 0}",
            f"bounds: {{drain_ms: 2000, grace_s: {GRACE}, config_apply_ms: 2000, stall_ms: 1500, ttl_max_s: 5,"
            f" retry_budget_ratio: 0.2, retry_allowance: 92, budget_window_s: 10,"
            f" cold_overage: {cold.OVERAGE}, cold_allowance: {cold.ALLOWANCE}}}",
            *self.extra,
        ]
        path = self.fleet.folder / f"{self.name}.yaml"
        fresh = path.with_suffix(".new")
        fresh.write_text("\n".join(lines) + "\n")
        fresh.rename(path)
        return path

    def start(self):
        path = self.write_settings()
        self.log = open(self.fleet.folder / f"{self.name}.log", "ab")
        # Ignored SIGXFSZ is inherited: writes over the file limit fail instead of ending the process.
        self.child = subprocess.Popen(
            [self.fleet.program, self.role, "--settings", str(path)],
            stdout=self.log,
            stderr=self.log,
            restore_signals=False,
            env={"PATH": "/usr/bin:/bin", "FIREFLYCRANK_NODE_FILE": str(path)},
        )
        self.bootstrap = False
        self.troubled_until = max(self.troubled_until, time.monotonic() + 1.0)

    def alive(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        if self.alive():
            self.child.send_signal(number)

    async def wait_end(self, seconds):
        until = time.monotonic() + seconds
        while self.alive() and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return not self.alive()

    def peak_bytes(self):
        """Highest resident memory of the running process; 0 once it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.child.pid}/status").read_text()
        except OSError:
            return 0
        return next((int(line.split()[1]) * 1024 for line in status.splitlines() if line.startswith("VmHWM:")), 0)

    def trouble(self, seconds):
        self.troubled_until = max(self.troubled_until, time.monotonic() + seconds)


class Fleet:
    def __init__(self, program, folder, seed, size, net, stops=False):
        self.grace = GRACE
        self.program, self.folder, self.seed = program, folder, seed
        # Three loopback networks: processes, targets, and the proxies before the targets.
        self.own_net, self.target_net, self.proxy_net = (f"127.{10 + 3 * net + n}" for n in range(3))
        self.random = random.Random(seed)
        self.ledger = standins.Ledger()
        self.connections = standins.Connections()
        self.heartbeat = HEARTBEAT
        self.lost_order_share = 0.0
        self.acknowledged = 0  # highest acknowledged configuration version
        self.sent_configs = {}
        self.evacuated = {}  # zone -> when its evacuation was acknowledged
        self.next_version = 1
        self.calm = asyncio.Event()
        self.processes, self.targets, self.groups = [], [], []
        self.crashing = {one.path: one for one in (crashing.CrashingRequest(self, name) for name in crashing.PAUSES)}
        self.deadly_part = crashing.DeadlyPart(self)
        self.sent_at = {}  # attempt -> gateway to which its caller sent it
        self.begun_at = {}  # attempt -> when its caller sent it
        self.seeds = [f"{self.own_net}.0.{n}:{CONTROL_PORT}" for n in range(1, 4)]
        for n in range(1, 4):
            data = folder / f"data-{n}"
            data.mkdir()
            listen = f"listen: {{control_plane: '{self.own_net}.0.{n}:{CONTROL_PORT}'}}"
            self.add("registrar", f"core-{n}", f"{self.own_net}.0.{n}", ZONES[n - 1], [listen, f"data_dir: '{data}'"])
        for n in range(1, 3 * size + 1):
            ip = f"{self.own_net}.1.{n}"
            ports = {"frontend": FRONT_PORT, "readiness": READY_PORT, "directory_service": DIRECTORY_PORT}
            listen = "listen: " + json.dumps({name: f"{ip}:{port}" for name, port in ports.items()})
            limits = [] if stops else [f"limits: {{memory_mb: {GATEWAY_MB}, file_descriptors: 1000}}"]
            self.add("gateway", f"edge-{n}", ip, ZONES[n % 3], [listen, "data_dir: null", *limits])
        if stops:
            stopping.add_targets(self, TARGET_PORT)
            return
        for number in range(size):
            group = standins.Group(self, f"g{number}")
            self.groups.append(group)
            for rank in range(standins.RANKS):
                n = number * standins.RANKS + rank + 1
                name, zone = f"m{n}", ZONES[n % 3]
                runner = standins.Runner(self, name, f"{self.target_net}.0.{n}", TARGET_PORT, "model", zone, group, rank)
                self.targets.append(runner)
                # The address that the runner announces, by which an agent finds its target in the directory.
                extra = ["listen: {}", "data_dir: null", f"app: '{self.proxy_net}.0.{n}:{TARGET_PORT}'", "service: model"]
                self.add("rank-agent", f"side-{n}", f"{self.own_net}.2.{n}", zone, extra)
        for n in range(1, 3):
            one = standins.Target(self, f"o{n}", f"{self.target_net}.1.{n}", TARGET_PORT, "orders", ZONES[n % 3])
            one.starts_cold = True
            self.targets.append(one)

    def add(self, role, name, ip, zone, extra):
        self.processes.append(Process(self, role, name, ip, zone, extra))

    def of_role(self, role):
        return [one for one in self.processes if one.role == role]

    def in_touch(self, gateway, since):
        """Whether neither the gateway nor the core has been in trouble since a moment."""
        others = [gateway, *self.of_role("registrar")]
        return all(one.alive() and not one.busy and one.troubled_until < since for one in others)

    def control_addresses(self):
        return [(one.ip, CONTROL_PORT) for one in self.of_role("registrar")]

    def configuration(self, version):
        def route(name, kind, service, **more):
            return {
                "name": name,
                "host": HOST,
                "path_prefix": f"/{name}/",
                "route_type": kind,
                "timeout_ms": int(DEADLINES[name] * 1000),
                "target_latency_ms": 400,
                "priority": 1,
                "service": service,
                "max_attempts": MAX_ATTEMPTS,
                "public": False,
            } | more

        engine = {
            "slots": standins.SLOTS,
            "kv_capacity_tokens": 494000,
            "kv_bytes": 35136,
            "link_mbps": 92000.0,
            "stride": 6,
            "models": [{"name": "m"}],
            "step_ms": 3.0,
            "per_seq_ms": 0.3,
            "context_per_k": 0.011,
            "read_per_s": 74800.0,
            "pairs_per_m": 0.232,
            "chunk": 512,
            "report_lag_ms": 200.0,
            "usual": {"prompt": 835, "answer": 120},
            "expert_sets": standins.SETS,
            "experts": standins.EXPERTS,
            "placements": standins.PLACEMENTS,
            "spare_count": 4,
            "expert_mb": 1.0,
            "expert_fraction": 0.85,
            "form_ms": 600.0,
        }
        stream = {"session_affinity": True, "stream_resume": True, "itl_target_ms": 120}
        return {
            "version": version,
            "routes": [
                route("draft", "streaming", "model", **stream),
                route("order", "non_idempotent", "orders"),
                route("status", "idempotent", "orders"),
            ],
            "services": [
                {"name": "model", "health_check_path": "/healthz", "max_connections": 400, "inference_engine": engine},
                {
                    "name": "orders",
                    "health_check_path": "/healthz",
                    "max_connections": 100,
                    "cold_start_s": cold.SECONDS,
                    "cold_per_s": cold.PER_S,
                },
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": TEAM, "api_keys": [KEY], "priority": 1}],
        }

    async def put_config(self, seconds):
        """Sends the next configuration until it is acknowledged or the time is over."""
        version = self.next_version
        self.next_version += self.random.randint(1, 3)
        self.sent_configs[version] = config = self.configuration(version)
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            ip, port = self.random.choice(self.control_addresses())
            try:
                status, _ = await asyncio.wait_for(
                    standins.post(ip, port, "/-/Config.Replace", config), timeout=1.0
                )
                if status == 200:
                    self.acknowledged = max(self.acknowledged, version)
                    self.ledger.count("configurations acknowledged")
                    return True
                if status in (400, 409, 412, 413, 422):
                    self.ledger.violate(f"valid configuration {version} was refused with {status}")
                    return False
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
                pass
            await asyncio.sleep(0.2)
        return False

    async def send_order(self, path, seconds):
        """Sends an order without a body until it is acknowledged or the time is over."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            ip, port = self.random.choice(self.control_addresses())
            try:
                status, _ = await asyncio.wait_for(standins.post(ip, port, path, {}), timeout=1.0)
                if status == 200:
                    self.ledger.count("orders of evacuation acknowledged")
                    return True
                if 400 <= status < 500:
                    self.ledger.violate(f"{path} was refused with {status}")
                    return False
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
                pass
            await asyncio.sleep(0.2)
        return False

    def check_evacuated(self, target, attempt):
        """A request reached a target. Gateways out of touch may obey what they knew."""
        since = self.evacuated.get(target.zone)
        if since is None or time.monotonic() < since + EVACUATION:
            return
        gateway = self.sent_at[attempt]
        if self.in_touch(gateway, since):
            self.ledger.violate(f"a request of {gateway.name} reached {target.name} in the evacuated zone {target.zone}")

    async def check_config(self):
        """Reads the configuration back at one registrar; anything older than acknowledged is a fault."""
        before = self.acknowledged
        ip, port = self.random.choice(self.control_addresses())
        try:
            status, body = await asyncio.wait_for(standins.get(ip, port, "/-/Config.Fetch"), timeout=1.5)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            return False
        if status != 200:
            return False
        shown = json.loads(body)
        if shown["version"] < before:
            self.ledger.violate(f"configuration {shown['version']} was shown by {ip} after {before} was acknowledged")
        elif shown != self.sent_configs.get(shown["version"]):
            self.ledger.violate(f"configuration {shown['version']} is not what was sent")
        return shown["version"] >= before


class Caller:
    """Asks where to connect, keeps connections open until the gateway closes them, and checks each answer."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.ledger = fleet.ledger
        self.random = random.Random(f"{fleet.seed}/caller/{number}")
        self.addresses, self.addresses_until = [], 0.0
        self.connections = {}  # address -> idle connection
        self.calls = 0

    async def resolve(self):
        if time.monotonic() < self.addresses_until:
            return
        for one in self.random.sample(self.fleet.of_role("gateway"), 3):
            try:
                status, body = await asyncio.wait_for(
                    standins.get(one.ip, DIRECTORY_PORT, f"/-/resolve?name={HOST}&region=r&zone=a"), timeout=1.0
                )
                told = json.loads(body) if status == 200 else {}
                if told.get("addresses"):
                    self.addresses = told["addresses"]
                    self.addresses_until = time.monotonic() + min(5.0, told["ttl_s"])
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
                continue

    async def connect(self, address):
        if address in self.connections:
            return self.connections.pop(address)
        ip, port = address.split(":")
        return await asyncio.wait_for(self.fleet.connections.open(ip, int(port)), timeout=1.0)

    async def call(self, route, path=None, parts=()):
        """Makes one call, with a path of its own or a given one, and with more parts of its prompt. Returns whether it
        was answered with 200 in time."""
        await self.resolve()
        if not self.addresses:
            self.ledger.count("no address")
            return False
        address = self.random.choice(self.addresses)
        gateway = next(one for one in self.fleet.of_role("gateway") if address.startswith(one.ip + ":"))
        self.calls += 1
        attempt = hashlib.sha256(f"{self.fleet.seed}/{self.number}/{self.calls}".encode()).hexdigest()[:16]
        path = path or f"/{route}/{self.number}/{self.calls}"
        self.ledger.repeatable[attempt] = route != "order"
        self.fleet.sent_at[attempt] = gateway
        self.fleet.begun_at[attempt] = begun = time.monotonic()
        try:
            reader, writer = await self.connect(address)
        except (OSError, asyncio.TimeoutError):
            self.ledger.count("not connected")
            self.addresses_until = 0.0
            return False
        writer.write(self.request(route, path, attempt, parts))
        outcome, keep = None, False
        try:
            outcome, keep = await asyncio.wait_for(
                self.answer(route, path, attempt, reader), timeout=DEADLINES[route] + DEADLINE_SLACK
            )
        except asyncio.TimeoutError:
            if gateway.troubled_until < begun:
                self.ledger.violate(f"{attempt} on {route} at {gateway.name} had no end within its deadline")
            outcome = "timed out"
        except (OSError, asyncio.IncompleteReadError):
            outcome = "closed"
        if keep and len(self.connections) < 4 and address not in self.connections:
            self.connections[address] = (reader, writer)
        else:
            writer.transport.abort()
        self.ledger.count(f"{route} {outcome}")
        self.check_budget(route, attempt, begun)
        return outcome == 200

    def check_budget(self, route, attempt, begun):
        """Targets that ended, were cut off or reset since the call began don't count."""
        steady = {one.instance for one in self.fleet.targets if one.up and one.troubled_at < begun}
        ran_at = [one for one in self.ledger.runs.get(attempt, []) if one in steady]
        if len(ran_at) > MAX_ATTEMPTS:
            self.ledger.violate(f"{attempt} on {route} ran at {ran_at}")

    def request(self, route, path, attempt, parts):
        body = b"" if route == "status" else b"x" * 200
        fields = [
            f"{'GET' if route == 'status' else 'POST'} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {attempt}",
            f"Deadline-Ms: {int(DEADLINES[route] * 1000)}",
            f"Credential: {KEY}",
        ]
        if route == "draft":
            prompt = ",".join(f"{part}:40" for part in ["5c1e07a2", *parts, attempt[:8]])
            fields += ["Model: m", "Token-Usage: 700,120", f"Prompt-Prefix: {prompt}"]
        if body:
            fields.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(fields) + "\r\n\r\n").encode() + body

    async def answer(self, route, path, attempt, reader):
        """Reads and checks one answer. Returns its status and whether the connection may be used again."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        fields = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
        body = b""
        if "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        elif fields.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        keep = fields.get("connection", "").lower() != "close"
        if status in PROMISES:
            self.ledger.refuse(attempt, status)
        elif status == 200:
            self.check_answer(route, path, attempt, fields, body)
        elif status not in (500, 502, 504):
            self.ledger.violate(f"{attempt} on {route} got {status}")
        return status, keep

    def check_answer(self, route, path, attempt, fields, body):
        if fields.get("attempt-id", attempt) != attempt:
            self.ledger.violate(f"{attempt} got the answer of {fields['attempt-id']}")
        ran_at = self.ledger.runs.get(attempt, [])
        if fields.get("server-signature") not in [standins.signature_of(attempt, one) for one in ran_at]:
            self.ledger.violate(f"{attempt} on {route} got a signature of no target that ran it")
        if route == "draft":
            expected = b"".join(standins.event_of(path, n) for n in range(1, standins.STREAM_EVENTS + 1))
        else:
            expected = standins.order_body(attempt)
        if body != expected:
            self.ledger.violate(f"{attempt} on {route}: the answer is not whole ({len(body)} of {len(expected)} bytes)")

    async def call_for_ever(self):
        while True:
            route = self.random.choices(["draft", "order", "status"], [5, 3, 2])[0]
            hot = route != "order" and self.random.random() < HOT_SHARE
            await self.call(route, f"/{route}/hot" if hot else None)
            await asyncio.sleep(self.random.uniform(0.0, 0.25))


class Faults:
    """Draws faults from the seed and carries them out, several at a time."""

    def __init__(self, fleet):
        self.fleet, self.random = fleet, random.Random(f"{fleet.seed}/faults")
        self.disk_lost_at = 0.0
        self.evacuating = False
        self.kinds = [
            self.kill,
            self.kill,
            self.terminate,
            self.stop,
            self.stop,
            self.hang_up,
            self.lose_disk,
            self.fill_disk,
            self.kill_all,
            self.delay_link,
            self.reset_link,
            self.cut_link,
            self.crash_runner,
            self.crash_runner,
            self.drain_runner,
            self.lose_answers,
            self.shed,
            self.copy_answers,
            self.refuse_falsely,
            self.cut_streams,
            self.lie_on_health,
            self.lose_orders,
            self.change_config,
            self.evacuate,
            self.hold_bodies,
            self.chill,
        ]

    def pick(self, roles=("registrar", "gateway", "rank-agent")):
        free = [one for one in self.fleet.processes if one.role in roles and not one.busy and one.alive()]
        return self.random.choice(free) if free else None

    async def run(self, seconds):
        until = time.monotonic() + seconds
        running = set()
        while time.monotonic() < until:
            kind = self.random.choice(self.kinds)
            task = asyncio.ensure_future(kind())
            running.add(task)
            self.fleet.ledger.count(f"fault {kind.__name__}")
            print(f"{time.strftime('%H:%M:%S')} fault {kind.__name__}", file=self.fleet.journal, flush=True)
            await asyncio.sleep(self.random.uniform(0.05, 1.0))
        for task in running:
            await task

    async def restart(self, one, down):
        await asyncio.sleep(down)
        one.start()
        one.trouble(2.0)

    async def with_process(self, one, action):
        if one is None:
            return
        one.busy = True
        one.trouble(60.0)
        try:
            await action(one)
        finally:
            one.busy = False
            one.troubled_until = time.monotonic() + 2.0

    async def kill(self):
        async def action(one):
            one.send(signal.SIGKILL)
            await one.wait_end(5)
            await self.restart(one, self.random.uniform(0.1, 2.0))

        await self.with_process(self.pick(), action)

    async def terminate(self):
        async def action(one):
            one.send(signal.SIGTERM)
            if not await one.wait_end(GRACE):
                self.fleet.ledger.count("killed after the grace period")
                one.send(signal.SIGKILL)
                await one.wait_end(5)
            elif one.child.returncode != 0:
                self.fleet.ledger.violate(f"{one.name} ended with {one.child.returncode} after SIGTERM")
            await self.restart(one, 0.2)

        await self.with_process(self.pick(), action)

    async def stop(self):
        async def action(one):
            one.send(signal.SIGSTOP)
            await asyncio.sleep(self.random.choice([0.1, 0.5, 1.5, 4.0]))
            one.send(signal.SIGCONT)
            await asyncio.sleep(0.5)

        await self.with_process(self.pick(), action)

    async def hang_up(self):
        one = self.pick()
        if one is not None:
            one.write_settings()
            one.send(signal.SIGHUP)

    async def kill_all(self):
        """All registrars at the same moment; their disks are kept."""

        async def action(one):
            one.send(signal.SIGKILL)
            await one.wait_end(5)
            await self.restart(one, self.random.uniform(0.2, 1.0))

        free = [one for one in self.fleet.of_role("registrar") if not one.busy and one.alive()]
        await asyncio.gather(*(self.with_process(one, action) for one in free))

    async def lose_disk(self):
        """One registrar comes back with an empty disk; the next disk is lost only after it caught up."""
        calm = all(not one.busy and one.alive() for one in self.fleet.of_role("registrar"))
        if not calm or time.monotonic() - self.disk_lost_at < 3 * CATCH_UP:
            return
        others = self.fleet.of_role("registrar")
        for one in others:
            one.busy = True  # only one disk may be lost at a time, with the others up

        async def action(one):
            one.send(signal.SIGKILL)
            await one.wait_end(5)
            folder = self.fleet.folder / one.name.replace("core", "data")
            shutil.rmtree(folder)
            folder.mkdir()
            await self.restart(one, 0.3)
            await asyncio.sleep(CATCH_UP)

        try:
            await self.with_process(self.random.choice(others), action)
        finally:
            for one in others:
                one.busy = False
            self.disk_lost_at = time.monotonic()

    async def fill_disk(self):
        """Writes of one registrar fail for some seconds."""

        async def action(one):
            resource.prlimit(one.child.pid, resource.RLIMIT_FSIZE, (4096, resource.RLIM_INFINITY))
            await asyncio.sleep(self.random.uniform(0.5, 3.0))
            if one.alive():
                resource.prlimit(
                    one.child.pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
                )
            await asyncio.sleep(1.0)
            if not one.alive():
                await self.restart(one, 0.2)

        await self.with_process(self.pick(("registrar",)), action)

    def target(self):
        return self.random.choice(self.fleet.targets)

    def order_target(self):
        return self.random.choice([one for one in self.fleet.targets if one.service == "orders"])

    async def delay_link(self):
        proxy = self.target().proxy
        proxy.delay = self.random.choice([0.02, 0.1, 0.5])
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        proxy.delay = 0.0

    async def reset_link(self):
        target = self.target()
        target.troubled_at = time.monotonic()
        target.proxy.reset()

    async def cut_link(self):
        """Silences a link one way or both ways; its connections stay silent afterwards."""
        target = self.target()
        target.proxy.cut = self.random.choice([{"to"}, {"from"}, {"to", "from"}])
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        target.proxy.cut = set()
        target.troubled_at = time.monotonic()

    async def crash_runner(self):
        target = self.target()
        if not target.up:
            return
        await target.crash_for(self.random.uniform(0.3, 2.0))

    async def drain_runner(self):
        target = self.target()
        if not target.up or target.state != "ready":
            return
        target.state = "draining"
        if await target.tell("Heartbeat", target.announcement()):
            await asyncio.sleep(2.0)
        if not target.up or target.state != "draining":
            return
        await target.tell("Deregister", {"born": target.born, "sequence": target.sequence + 1})
        await asyncio.sleep(0.5)
        if target.up and target.state == "draining":
            await target.crash_for(0.5)

    async def lose_answers(self):
        target = self.target()
        target.lose_answers = 0.3
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        target.lose_answers = 0.0

    async def shed(self):
        target = self.target()
        target.shed = 0.5
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        target.shed = 0.0

    async def copy_answers(self):
        target = self.order_target()
        target.late_copies, target.shed = 0.3, 0.5
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        target.late_copies, target.shed = 0.0, 0.0

    async def refuse_falsely(self):
        target = self.order_target()
        target.false_refusals = 0.3
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        target.false_refusals = 0.0

    async def cut_streams(self):
        target = self.target()
        target.cut_streams = 0.5
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        target.cut_streams = 0.0

    async def lie_on_health(self):
        target = self.target()
        target.lying_health = True
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        target.lying_health = False

    async def lose_orders(self):
        self.fleet.lost_order_share = 0.3
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        self.fleet.lost_order_share = 0.0

    async def change_config(self):
        await self.fleet.put_config(3.0)

    async def evacuate(self):
        """Empties a zone and takes that back; one zone at a time, since two hold all targets of a service."""
        if self.evacuating:
            return
        self.evacuating = True
        zone = self.random.choice(ZONES)
        if await self.fleet.send_order(f"/-/Evacuations.Begin/{zone}", EVACUATION):
            self.fleet.evacuated[zone] = time.monotonic()
        await asyncio.sleep(EVACUATION + self.random.uniform(1.0, 4.0))
        self.fleet.evacuated.pop(zone, None)
        # Nobody else takes it back, so this order is repeated until it is acknowledged.
        if not await self.fleet.send_order(f"/-/Evacuations.Finish/{zone}", RECOVERY):
            self.fleet.ledger.violate(f"the end of the evacuation of {zone} was not acknowledged in {RECOVERY} s")
        self.evacuating = False

    async def chill(self):
        """A runner of orders becomes cold without a new start."""
        target = self.order_target()
        if target.up and not target.cold.left():
            target.cold.begin(cold.NOTICE)

    async def hold_bodies(self):
        """Clients outside the limits hold bodies at a gateway that stop just short of their end."""
        one = self.pick(("gateway",))
        if one is None:
            return
        head = f"POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\nCredential: {KEY}\r\nContent-Length: {CROWD_BODY}\r\n\r\n"
        held = []
        for _ in range(CROWD):
            try:
                _, writer = await asyncio.wait_for(asyncio.open_connection(one.ip, FRONT_PORT), timeout=1.0)
            except (OSError, asyncio.TimeoutError):
                break
            writer.write(head.encode() + b"x" * (CROWD_BODY - 20))
            held.append(writer)
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        for writer in held:
            writer.transport.abort()
        if one.peak_bytes() > GATEWAY_MB * 1_000_000:
            self.fleet.ledger.violate(f"{one.name} held {one.peak_bytes()} bytes of {GATEWAY_MB} MB")


# Calls that are to be answered in a row, some with a path that others have too.
WANTED = [("draft", None), ("order", None), ("status", None), ("draft", "/draft/hot"), ("order", None), ("status", "/status/hot")]


async def wait_served(fleet, number, seconds):
    """Waits until some calls of each route in a row are answered. Returns whether they were."""
    caller = Caller(fleet, number)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        caller.addresses_until = 0.0
        good = 0
        for route, path in WANTED:
            if not await caller.call(route, path):
                break
            good += 1
        if good == len(WANTED) and await fleet.check_config():
            return True
        await asyncio.sleep(0.2)
    return False


async def watch_config(fleet):
    while True:
        await asyncio.sleep(0.3)
        await fleet.check_config()


async def watch_ends(fleet):
    """A process that ends by itself is a fault and is started again, as the platform does."""
    while True:
        await asyncio.sleep(0.1)
        for one in fleet.processes:
            if not one.busy and not one.alive():
                fleet.ledger.violate(f"{one.name} ended by itself with {one.child.returncode}")
                one.start()


async def play(fleet, seconds, callers):
    for target in fleet.targets:
        await target.start()
    for one in fleet.processes:
        one.start()
    tasks = [asyncio.ensure_future(group.run_for_ever()) for group in fleet.groups]
    tasks.append(asyncio.ensure_future(watch_ends(fleet)))
    if not await fleet.put_config(15.0) or not await wait_served(fleet, 1000, 15.0):
        fleet.ledger.violate("nothing is served at the start")
    tasks += [asyncio.ensure_future(Caller(fleet, number).call_for_ever()) for number in range(callers)]
    tasks.append(asyncio.ensure_future(watch_config(fleet)))
    for number, one in enumerate([*fleet.crashing.values(), fleet.deadly_part]):
        tasks.append(asyncio.ensure_future(one.send_for_ever(Caller(fleet, 2000 + number))))
    await asyncio.sleep(CRASHING_SECONDS)
    await Faults(fleet).run(seconds)
    if not await wait_served(fleet, 1001, RECOVERY):
        fleet.ledger.violate(f"not all is served {RECOVERY} s after the last fault")
    for task in tasks:
        if task.done() and not task.cancelled() and task.exception():
            raise task.exception()
        task.cancel()


def end_stand_ins(fleet):
    for target in fleet.targets:
        if target.up:
            target.crash()
        target.ends_orderly = False  # the loop ends before an orderly close would
        target.proxy.reset()


def end_processes(fleet):
    for one in fleet.processes:
        if one.alive():
            one.child.send_signal(signal.SIGCONT)
            one.child.kill()
            one.child.wait()


def report(fleet, folder):
    """Prints what a run has seen. Returns whether all promises were kept."""
    violations = fleet.ledger.violations
    print(
        json.dumps(
            {
                "seed": fleet.seed,
                "violations": len(violations),
                "rules": stopping.broken_by_rule(violations),
                "maps": sum(len(group.maps_used) for group in fleet.groups),
                "passes": sum(group.passes for group in fleet.groups),
                "counts": dict(sorted(fleet.ledger.counts.items())),
            }
        ),
        flush=True,
    )
    for text in violations[:20]:
        print(f"BROKEN PROMISE soak seed {fleet.seed}: {text}", flush=True)
    if violations:
        print(f"logs: {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    return not violations


async def run_seed(options, seed):
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"fireflycrank-soak-{seed}-"))
    fleet = Fleet(os.path.abspath(options.program), folder, seed, options.size, options.net, options.stops)
    fleet.journal = open(folder / "faults.log", "w")
    try:
        try:
            if options.stops:
                callers = options.callers * options.size
                await stopping.play(fleet, options.seconds, callers, options.late_callers, FRONT_PORT)
            else:
                await play(fleet, options.seconds, options.callers * options.size)
        finally:
            end_processes(fleet)
            end_stand_ins(fleet)
        return report(fleet, folder)
    finally:
        await fleet.connections.end()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--program", default="build/fireflycrank-platform")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, one after the other")
    parser.add_argument("--seconds", type=float, default=20.0, help="of faults in each run")
    parser.add_argument("--size", type=int, default=1, help="groups of runners; 3 gateways and 4 agents each")
    parser.add_argument(
        "--net",
        type=int,
        default=os.getpid() % 70,
        help="number of the loopback networks, for runs side by side; default: by process id",
    )
    parser.add_argument("--stops", action="store_true", help="only SIGTERM and SIGHUP to gateways; see stopping.py")
    parser.add_argument("--late-callers", type=int, default=0, help="with --stops: send bodies late in a stop")
    parser.add_argument("--callers", type=int, default=12, help="for each group")
    options = parser.parse_args()
    good = [asyncio.run(run_seed(options, options.seed + n)) for n in range(options.seeds)]
    print(f"{len(good)} seeds, {good.count(False)} with a broken promise")
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
