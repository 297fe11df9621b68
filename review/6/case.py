"""A heartbeat of another writer, whose id holds bytes that can't be read, while the configuration changes."""

import asyncio
import pathlib
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from lab2 import HEARTBEAT_MS, TROUBLE, CannotRun, exchange, main, post_bytes  # noqa: E402

SERVICES = ["desk-one", "desk-two"]
WATCH = 8.0  # seconds after config_apply_ms in which requests are judged


async def other_writer(lab):
    """Sends one heartbeat to each daemon in turn, one in heartbeat_ms. Its body is proper and its id is not."""
    name = b"i-\xff\xfe" if TROUBLE else b"i-other"
    body = {
        "service": "desk-one", "address": f"{lab.side_net}.9:8080", "zone": "a", "version": "v1", "slots": 6,
        "state": "ready", "cold_remaining_ms": 0, "phase": "unified", "born": int(time.time() * 1000),
    }
    for sequence, address in enumerate(lab.control_addresses(), 1):
        request = post_bytes(b"/-/Instances.Heartbeat/" + name, body | {"sequence": sequence})
        try:
            status, _, _ = await exchange(address, request, 1.0)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as failed:
            status = type(failed).__name__
        lab.note(f"heartbeat of {name!r} at {address[0]}: {status}")
        await asyncio.sleep(HEARTBEAT_MS / 1000)


async def scenario(lab):
    one = lab.runner("one", "desk-one", 1)
    two = lab.runner("two", "desk-two", 2)
    await lab.start()
    await lab.operator("POST", "/-/Config.Replace",
                       lab.configuration(1, [lab.route("order", "idempotent", "desk-one")], SERVICES))
    await lab.until_ready()
    await asyncio.sleep(4)  # contact_ms is over
    gateways = lab.of_role("gateway")
    for gateway in gateways:
        await lab.call(gateway, "GET", "/order/before")
    await other_writer(lab)
    status, _ = await lab.operator("POST", "/-/Config.Replace",
                                   lab.configuration(2, [lab.route("order", "idempotent", "desk-two")], SERVICES))
    if status != 200:
        raise CannotRun("version 2 was not acknowledged")
    lab.note("version 2 is acknowledged: the route goes to desk-two")
    await asyncio.sleep(lab.bounds["config_apply_ms"] / 1000)
    judged_from = time.monotonic()
    lab.note("config_apply_ms is over")
    answered = 0
    while time.monotonic() < judged_from + WATCH:
        for gateway in gateways:
            status, _, _, _ = await lab.call(gateway, "GET", "/order/after")
            answered += status == 200
        await asyncio.sleep(0.3)
    old = sum(at > judged_from for _, at in one.ran)
    new = sum(at > judged_from for _, at in two.ran)
    lab.note(f"sent later than config_apply_ms: {old} run by the old service, {new} by the new one")
    return f"CONFIG: {old} requests were run by the old service, {new} by the new one" if old else None


main("6", scenario)
