"""Common parts of the script cases 11 to 15: a small deployment of the real programs on loopback.

Gateways, registrars and rank agents are started as the deploy file says. Clients, servers and the operator are the
project's own stand-ins of tests/soak, extended where the pages ask for more: engines check fencing tokens, clients
retry once. Every run writes record.txt beside the script.
"""

import asyncio
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "soak"))
sys.dont_write_bytecode = True

import soak  # noqa: E402
import standins  # noqa: E402

PROGRAM = ROOT / "target" / "fireflycrank-platform"
CORE = 5  # registrars; the first three are the seeds
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
RETRY_AFTER_SHARE = 3  # clients wait for up to this part of the time that they have left
LONGEST = 105.0  # seconds of a case; the start and the end take some more


class FencedRunner(standins.Runner):
    """An engine with fencing: an order with a lower token than one already seen gets 412 and does nothing."""

    def clear_maps(self):
        super().clear_maps()
        self.fence = 0

    def carry_out(self, order):
        if not self.up or order.get("epoch", self.group.epoch) != self.group.epoch:
            return 409
        token = order.get("fencing_token", 0)
        if token < self.fence:
            status = 412
        else:
            self.fence = token
            status = super().carry_out(order)
        operation = order["operation"]
        if operation in ("retention", "go"):
            self.fleet.note(f"{self.name} {operation} step {order.get('step')} token {token}: {status}")
        if self.fleet.on_order:
            self.fleet.on_order(self, operation, status)
        return status

    def finish_pass(self):
        """Another expert is in demand every `shift_passes` passes (expert_shift)."""
        for one in self.counts:
            for expert in range(standins.EXPERTS):
                hot = expert == self.group.step // self.fleet.shift_passes % standins.EXPERTS
                one[expert] += 40 if hot else 4
        for stream in list(self.streams):
            stream.set()


standins.Runner = FencedRunner


class Fleet(soak.Fleet):
    """Five registrars, three gateways, a group of four model runners and three order runners."""

    on_order = None
    shift_passes = 100

    def __init__(self, folder, net):
        self.started = time.monotonic()
        self.notes = []
        super().__init__(str(PROGRAM), folder, 1, 1, net)
        self.journal = open(folder / "journal", "w")
        for n in range(4, CORE + 1):
            data = folder / f"data-{n}"
            data.mkdir()
            ip = f"{self.own_net}.0.{n}"
            listen = f"listen: {{control_plane: '{ip}:{soak.CONTROL_PORT}'}}"
            zone = soak.ZONES[n % 3]
            self.add("registrar", f"core-{n}", ip, zone, [listen, f"data_dir: '{data}'"])
        ip = f"{self.target_net}.1.3"
        self.targets.append(standins.Target(self, "o3", ip, soak.TARGET_PORT, "orders", soak.ZONES[0]))
        for one in self.targets:
            one.starts_cold = False

    def note(self, text):
        self.notes.append(f"{time.monotonic() - self.started:9.3f} {text}")

    def configuration(self, version):
        config = super().configuration(version)
        for service in config["services"]:
            service.pop("cold_start_s", None)
            service.pop("cold_per_s", None)
        return config

    async def operator_order(self, path, seconds=5.0):
        """Sends an order without a body, as the operator does: follows a redirection, else goes on to another registrar."""
        until = time.monotonic() + seconds
        at = None
        while time.monotonic() < until:
            ip, port = at or self.random.choice(self.control_addresses())
            at = None
            head = f"POST {path} HTTP/1.1\r\nHost: {ip}\r\nContent-Length: 0\r\n\r\n"
            try:
                status, fields, _ = await asyncio.wait_for(standins.exchange(ip, port, head.encode()), timeout=1.0)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
                status, fields = 0, {}
            if status == 200:
                return True
            if status == 307:
                host, _, number = fields["location"].removeprefix("http://").partition("/")[0].partition(":")
                at = host, int(number)
                continue
            await asyncio.sleep(0.1)
        return False

    def orders(self):
        return [one for one in self.targets if one.service == "orders"]


class Client(soak.Caller):
    """Makes calls like a sound client: retries once, on a new connection, where the pages allow it."""

    async def ask(self, route):
        """Returns whether the call, or its one retry, was served."""
        begun = time.monotonic()
        before = set(self.ledger.refused)
        if await self.traced(route):
            return True
        refused = set(self.ledger.refused) - before
        left = soak.DEADLINES[route] - (time.monotonic() - begun)
        if left <= 0.05 or (route == "order" and not refused):
            return False
        await asyncio.sleep(min(1.0, left / RETRY_AFTER_SHARE))
        return await self.traced(route)

    async def traced(self, route):
        begun = time.monotonic()
        served = await self.call(route)
        took = int(1000 * (time.monotonic() - begun))
        self.fleet.note(f"{route} client {self.number}/{self.calls}: {'served' if served else 'not served'}, {took} ms")
        return served


class Tally:
    """Requests by span and route: [asked, served]."""

    def __init__(self, fleet):
        self.fleet, self.counts, self.clients = fleet, {}, 0
        self.tasks = set()

    async def one(self, span, route):
        entry = self.counts.setdefault((span, route), [0, 0])
        entry[0] += 1
        self.clients += 1
        if await Client(self.fleet, 10_000 + self.clients).ask(route):
            entry[1] += 1

    async def traffic(self, span, seconds, rates, draw=random.Random(7)):
        """Sends requests at rates (route -> a second) for a while, each from a client of its own."""
        until = time.monotonic() + seconds
        total = sum(rates.values())
        while time.monotonic() < until:
            route = draw.choices(list(rates), list(rates.values()))[0]
            task = asyncio.ensure_future(self.one(span, route))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(draw.expovariate(total))

    async def settle(self, seconds=10.0):
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=seconds)

    def share(self, spans=None, routes=None):
        """Share served of what was asked in some spans on some routes; all by default."""
        chosen = [
            entry
            for (span, route), entry in self.counts.items()
            if (spans is None or span in spans) and (routes is None or route in routes)
        ]
        asked = sum(entry[0] for entry in chosen)
        return sum(entry[1] for entry in chosen) / asked if asked else 1.0

    def lines(self):
        return [
            f"{span}, {route}: {asked} asked, {served} served"
            for (span, route), (asked, served) in sorted(self.counts.items())
        ]


async def start(fleet):
    """Starts all and waits until it serves. Returns the tasks of the stand-ins, or nothing if it doesn't serve."""
    for target in fleet.targets:
        await target.start()
    for process in fleet.processes:
        process.start()
    tasks = [asyncio.ensure_future(group.run_for_ever()) for group in fleet.groups]
    if not await fleet.put_config(15.0) or not await soak.wait_served(fleet, 1000, 15.0):
        return None
    return tasks


def kill_all(fleet):
    for process in fleet.processes:
        process.send(signal.SIGKILL)


async def play(case, folder, net, notes):
    fleet = Fleet(folder, net)
    notes.append(fleet)
    try:
        tasks = await start(fleet)
        if tasks is None:
            fleet.note("the system did not serve at its start")
            return COULD_NOT_RUN
        fleet.note("the system serves")
        playing = asyncio.ensure_future(case(fleet, Tally(fleet)))
        await asyncio.wait({playing}, timeout=LONGEST)
        for task in tasks:
            task.cancel()
        if not playing.done():
            fleet.note("the case took too long")
            return COULD_NOT_RUN
        return playing.result()
    finally:
        # Connections that end with the run are of no interest.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        soak.end_processes(fleet)
        soak.end_stand_ins(fleet)
        await fleet.connections.end()


def free_network():
    """Returns the number of three loopback networks that no other run uses, and a socket that marks them as taken."""
    for n in range(70):
        number = (os.getpid() + n) % 70
        mark = socket.socket()
        try:
            mark.bind((f"127.{10 + 3 * number}.255.1", soak.CONTROL_PORT))
            mark.listen()
            return number, mark
        except OSError:
            mark.close()
    raise OSError("no free loopback network")


def run(case, here):
    """Runs a case and exits with its verdict. `case` takes the fleet and a tally, and returns the verdict."""
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
    folder = pathlib.Path(tempfile.mkdtemp(prefix="fireflycrank-review-"))
    record = pathlib.Path(here).resolve().parent / "record.txt"
    notes, verdict = [], COULD_NOT_RUN
    try:
        if not os.access(PROGRAM, os.X_OK):
            print(f"{PROGRAM} is missing: make the deploy build")
        else:
            number, mark = free_network()
            with mark:
                verdict = asyncio.run(play(case, folder, number, notes))
    except (Exception, asyncio.CancelledError) as failure:  # a case that can't run must say so
        print(f"could not run: {failure!r}")
    lines = notes[0].notes if notes else []
    text = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "the case could not run"}[verdict]
    record.write_text("\n".join([*lines, text, ""]))
    print(text)
    shutil.rmtree(folder, ignore_errors=True)
    sys.exit(verdict)


def trouble():
    """"0": without the disruption; "1" by default. Some cases know more."""
    return os.environ.get("TROUBLE", "1")
