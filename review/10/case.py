"""A runner leaves, and all processes of the core and one gateway are killed just after that was acknowledged."""

import asyncio
import pathlib
import signal
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from lab2 import TROUBLE, CannotRun, exchange, main, post_bytes  # noqa: E402

LATE = 4.0  # seconds from the restart to the arrival of the late heartbeat
WATCH = 4.0  # seconds in which requests are judged


async def deliver_late(lab, runner, body):
    """A heartbeat that the runner sent before it left arrives now."""
    for address in lab.control_addresses():
        try:
            status, _, _ = await exchange(address, post_bytes(f"/-/Instances.Heartbeat/{runner.instance}", body), 1.0)
            lab.note(f"late heartbeat {body['sequence']} of {runner.name} arrives at {address[0]}: {status}")
            if status == 200:
                return
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as failed:
            lab.note(f"late heartbeat at {address[0]}: {type(failed).__name__}")


async def scenario(lab):
    leaving = lab.runner("leaving", "order-desk", 1)
    lab.runner("staying", "order-desk", 2)
    await lab.start()
    await lab.operator("POST", "/-/Config.Replace",
                       lab.configuration(1, [lab.route("status", "idempotent", "order-desk")], ["order-desk"]))
    await lab.until_ready()
    await asyncio.sleep(5)
    late = leaving.heartbeat()  # on its way when the runner leaves
    leaving.beating.cancel()
    # It never reports `draining`, and goes on serving for as long as this script runs.
    if not await leaving.tell("Deregister", {"born": leaving.born}):
        raise CannotRun("the departure was not acknowledged")
    left = time.monotonic()
    lab.note("the departure is acknowledged")
    await asyncio.sleep(0.3)
    gateway = lab.of_role("gateway")[0]
    killed = [*lab.of_role("registrar"), gateway]
    if TROUBLE:
        for one in killed:
            one.send(signal.SIGKILL)
        for one in killed:
            one.child.wait()
        await asyncio.sleep(0.7)
        for one in killed:
            one.start()
    back = time.monotonic()
    await asyncio.sleep(LATE)
    await deliver_late(lab, leaving, late)
    await lab.until_ready()
    judged_from = max(time.monotonic(), back + lab.bounds["contact_ms"] / 1000 + 0.5,
                      left + lab.bounds["drain_ms"] / 1000)
    lab.note("drain_ms and contact_ms are over")
    while time.monotonic() < judged_from + WATCH:
        for one in lab.of_role("gateway"):
            await lab.call(one, "GET", "/status/1", deadline_ms=1500)
        await asyncio.sleep(0.1)
    reached = sum(at > judged_from for _, at in leaving.ran)
    return f"DRAIN: {reached} requests reached the runner that had left" if reached else None


main("10", scenario, gateways=8)
