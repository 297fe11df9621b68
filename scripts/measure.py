#!/usr/bin/env python3
"""Measures the cost of real processes on loopback at several sizes, for docs/CAPACITY.md.

Starts one control replica, one entry and agents with stand-in engines from ./build, sends bounded
load, and reads processor time and memory of each process from /proc. Prints one JSON line for each
measurement and the fitted slopes. Everything it started is ended."""
import concurrent.futures
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

BIN = pathlib.Path(__file__).resolve().parent.parent / "build"
TICK = os.sysconf("SC_CLK_TCK")


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class System:
    def __init__(self, targets):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fireflycrank-measure-"))
        self.processes = {}
        self.http = {}
        self.control = {"c1": {"mailbox": self.address(), "http": self.address()}}
        self.seed = self.address()
        self.http["c1"] = self.control["c1"]["http"]
        self.daemon("fireflycrank-control", "c1", self.control["c1"]["mailbox"],
                    {"data_folder": str(self.folder / "data")})
        self.daemon("fireflycrank-entry", "entry-1", self.seed, {"http_threads": 8})
        for number in range(targets):
            engine = self.address()
            self.start(f"engine-{number}", [BIN / "standin-engine", "--address", engine, "--token-ms", "1"])
            self.daemon("fireflycrank-agent", f"runner-{number}", self.address(),
                        {"target": {"engine": engine, "serves": ["fude@1", "press"], "slots": 64,
                                    "tokens_per_second": 20000}})

    @staticmethod
    def address():
        return f"127.0.0.1:{free_port()}"

    def start(self, name, command):
        log = open(self.folder / f"{name}.err", "w")
        self.processes[name] = subprocess.Popen([str(part) for part in command], stderr=log, stdout=log)

    def daemon(self, program, name, mailbox, extra):
        self.http.setdefault(name, self.address())
        folder = self.folder / name
        folder.mkdir()
        settings = {"name": name, "zone": "a", "mailbox": mailbox, "http": self.http[name],
                    "seeds": [self.seed], "control": self.control,
                    "log_file": str(self.folder / f"{name}.log"), **extra}
        (folder / "10.json").write_text(json.dumps(settings))
        self.start(name, [BIN / program, "--settings", folder])

    def get(self, name, path):
        host, port = self.http[name].split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        connection.request("GET", path)
        return connection.getresponse().read().decode()

    def ready(self, targets):
        intent = self.folder / "intent"
        intent.mkdir()
        (intent / "10.json").write_text(json.dumps({
            "teams": {"clerks": {}}, "models": {"fude": {"version": "1"}},
            "routes": {"draft": {"kind": "model", "serves": "fude", "idempotent": True,
                                 "default_team": "clerks", "deadline_ms": 120000},
                       "print": {"kind": "service", "serves": "press", "path": "/print",
                                 "idempotent": False, "default_team": "clerks",
                                 "deadline_ms": 120000}}}))
        subprocess.run([BIN / "fireflycrank", "apply", intent, "--control", self.http["c1"],
                        "--operator", "measure", "--wait", "16"], check=True, stdout=subprocess.DEVNULL)
        for _ in range(600):
            metrics = self.get("entry-1", "/metrics")
            if (f"fireflycrank_targets {targets}\n" in metrics and "fireflycrank_serving 1" in metrics
                    and "fireflycrank_orders_possible 1" in metrics):
                return
            time.sleep(0.05)
        raise RuntimeError("the entry does not know all targets")

    def usage(self, name):
        pid = self.processes[name].pid
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        rss = int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        return (int(fields[11]) + int(fields[12])) / TICK, rss

    def post(self, tokens, number):
        host, port = self.http["entry-1"].split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=120)
        body = json.dumps({"prompt": f"p{number}", "max_tokens": tokens, "stream": True})
        connection.request("POST", "/v1/routes/draft", body)
        answer = connection.getresponse()
        data = answer.read()
        return answer.status == 200 and data.count(b"data:") == tokens + 1

    def order(self, number):
        host, port = self.http["entry-1"].split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=120)
        connection.request("POST", "/v1/routes/print", json.dumps({"order": f"{time.time_ns()}-{number}"}))
        answer = connection.getresponse()
        return b'"run":1' in answer.read()

    def close(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def slope(points):
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread


def load(system, requests, tokens, agents):
    """Sends streamed requests, or orders if tokens is 0."""
    send = (lambda number: system.post(tokens, number)) if tokens else system.order
    before = {name: system.usage(name)[0] for name in ["entry-1", "c1", *agents]}
    started = time.time()
    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        whole = sum(pool.map(send, range(requests)))
    after = {name: system.usage(name) for name in before}
    line = {"requests": requests, "tokens_each": tokens, "whole": whole,
            "seconds": round(time.time() - started, 2),
            "entry_cpu_s": round(after["entry-1"][0] - before["entry-1"], 3),
            "agents_cpu_s": round(sum(after[a][0] - before[a] for a in agents), 3),
            "control_cpu_s": round(after["c1"][0] - before["c1"], 3),
            "entry_rss_mb": round(after["entry-1"][1], 1),
            "agent_rss_mb": round(max(after[a][1] for a in agents), 1),
            "control_rss_mb": round(after["c1"][1], 1)}
    print(json.dumps(line), flush=True)
    return line


def measure_path():
    targets = 4
    system = System(targets)
    agents = [f"runner-{number}" for number in range(targets)]
    try:
        system.ready(targets)
        load(system, 100, 8, agents)  # warms connections and allocators up
        by_request = [load(system, count, 8, agents) for count in (400, 800, 1600)]
        by_token = [load(system, 400, tokens, agents) for tokens in (8, 64, 512)]
        by_order = [load(system, count, 0, agents) for count in (200, 400, 800)]
    finally:
        system.close()
    for role in ("entry", "agents"):
        request = slope([(line["requests"], line[f"{role}_cpu_s"]) for line in by_request])
        token = slope([(line["requests"] * line["tokens_each"], line[f"{role}_cpu_s"]) for line in by_token])
        print(json.dumps({"slope": f"{role}_cpu_us_per_request_of_8_tokens", "value": round(request * 1e6, 1)}))
        print(json.dumps({"slope": f"{role}_cpu_us_per_token", "value": round(token * 1e6, 2)}))
    for role in ("entry", "agents", "control"):
        order = slope([(line["requests"], line[f"{role}_cpu_s"]) for line in by_order])
        print(json.dumps({"slope": f"{role}_cpu_us_per_order", "value": round(order * 1e6, 1)}))
    disk = slope([(line["requests"], line["control_rss_mb"]) for line in by_order])
    print(json.dumps({"slope": "control_rss_kb_per_order", "value": round(disk * 1e3, 2)}))


def measure_idle():
    lines = []
    for targets in (4, 16, 48):
        system = System(targets)
        try:
            system.ready(targets)
            time.sleep(3)
            names = ["entry-1", "runner-0", "c1"]
            before = {name: (system.usage(name)[0], traffic(system, name)) for name in names}
            seconds = 8
            time.sleep(seconds)
            line = {"targets": targets}
            for name in names:
                cpu, rss = system.usage(name)
                line[name] = {"core_pct": round(100 * (cpu - before[name][0]) / seconds, 2),
                              "bytes_per_s": round((traffic(system, name) - before[name][1]) / seconds),
                              "rss_mb": round(rss, 1)}
            lines.append(line)
            print(json.dumps(line), flush=True)
        finally:
            system.close()
    for name in ("entry-1", "runner-0", "c1"):
        for figure in ("core_pct", "bytes_per_s", "rss_mb"):
            value = slope([(line["targets"], line[name][figure]) for line in lines])
            print(json.dumps({"slope": f"{name}_{figure}_per_target", "value": round(value, 4)}))


def traffic(system, name):
    text = system.get(name, "/metrics")
    return sum(float(line.split()[1]) for line in text.splitlines()
               if line.startswith(("fireflycrank_mailbox_sent_bytes ", "fireflycrank_mailbox_received_bytes ")))


if __name__ == "__main__":
    wanted = sys.argv[1:] or ["path", "idle"]
    if "path" in wanted:
        measure_path()
    if "idle" in wanted:
        measure_idle()
