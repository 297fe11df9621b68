"""The operator raises max_body_bytes while clients hold idle connections, which they use again."""

import asyncio
import pathlib
import random
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from lab2 import FRONT, HOST, KEY, READ_LIMIT, TROUBLE, main, read_message  # noqa: E402

CLIENTS = 10  # at each gateway
BODY = 200_000  # bytes; within the limit of version 2


class Client:
    """A client that keeps its connection and sends a request now and then."""

    def __init__(self, lab, gateway):
        self.lab, self.gateway = lab, gateway

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.gateway.ip, FRONT, limit=READ_LIMIT)

    async def send(self, size):
        attempt = f"{random.getrandbits(64):016x}"
        head = ["POST /draft/1 HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}", f"Credential: {KEY}",
                "Deadline-Ms: 8000", f"Content-Length: {size}", "", ""]
        try:
            self.writer.write("\r\n".join(head).encode() + b"x" * size)
            line, _, _ = await asyncio.wait_for(read_message(self.reader), 9.0)
            status = int(line.split(" ")[1])
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as failed:
            status = type(failed).__name__
        self.lab.note(f"client {attempt}, {size} B at {self.gateway.name} on a kept connection: {status}")
        return status


async def scenario(lab):
    for number in (1, 2):
        lab.runner(f"r{number}", "order-desk", number, slots=40)

    def configuration(version, body_bytes):
        content = lab.configuration(version, [lab.route("draft", "idempotent", "order-desk")], ["order-desk"])
        content["limits"]["max_body_bytes"] = body_bytes
        return content

    await lab.start()
    await lab.operator("POST", "/-/Config.Replace", configuration(1, 65_536 if TROUBLE else 4_194_304))
    await lab.until_ready()
    await asyncio.sleep(4)
    clients = [Client(lab, gateway) for gateway in lab.of_role("gateway") for _ in range(CLIENTS)]
    for one in clients:
        await one.connect()
    await asyncio.gather(*(one.send(600) for one in clients))
    status, _ = await lab.operator("POST", "/-/Config.Replace", configuration(2, 4_194_304))
    if status != 200:
        return "version 2 was not acknowledged"
    await asyncio.sleep(lab.bounds["config_apply_ms"] / 1000 + 1.0)
    lab.note("config_apply_ms was over 1 s ago")
    answers = []
    for one in clients:
        answers.append(await one.send(BODY))
    denied = sum(one == 413 for one in answers)
    requests = 2 * len(clients)
    lab.note(f"{denied} of {requests} proper requests were denied with 413")
    allowed = 5 + requests / 500
    return f"DENIED: {denied} of {requests} proper requests got 413" if denied > allowed else None


main("10", scenario)
