"""An evacuation is ordered again soon after it was taken back."""

import asyncio
import pathlib
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from lab2 import TROUBLE, CannotRun, main  # noqa: E402

# Bounds of demands/bin-day-south-grown.toml, whose pages have evacuations.
BOUNDS = {"contact_ms": 4000, "ack_timeout_ms": 5000, "evacuation_ms": 5000, "catch_up_s": 6, "drain_ms": 2500,
          "config_apply_ms": 2500, "cold_overage": 1.5, "cold_allowance": 5}
WATCH = 10.0  # seconds after evacuation_ms


async def scenario(lab):
    inside = lab.runner("inside", "hauler-sync", 1)  # zone b
    outside = lab.runner("outside", "hauler-sync", 2)  # zone c
    await lab.start()
    await lab.operator("POST", "/-/Config.Replace",
                       lab.configuration(1, [lab.route("lookup", "idempotent", "hauler-sync")], ["hauler-sync"]))
    await lab.until_ready()
    await asyncio.sleep(5)
    gateways = lab.of_role("gateway")
    for call in ("Begin", "Finish", "Begin"):
        status, _ = await lab.operator("POST", f"/-/Evacuations.{call}/{inside.zone}")
        if status != 200:
            raise CannotRun(f"{call} was not acknowledged")
        acknowledged = time.monotonic()
        # Without the disruption, each order comes when the last one can't be repeated any more.
        await asyncio.sleep(1.0 if TROUBLE else 6.0)
    judged_from = acknowledged + lab.bounds["evacuation_ms"] / 1000
    while time.monotonic() < judged_from + WATCH:
        for gateway in gateways:
            await lab.call(gateway, "GET", "/lookup/1", deadline_ms=1000)
        await asyncio.sleep(0.2)
    late = sum(at > judged_from for _, at in inside.ran)
    lab.note(f"later than evacuation_ms: {late} run inside the zone, "
             f"{sum(at > judged_from for _, at in outside.ran)} outside")
    return f"EVAC: {late} requests reached a runner in the evacuated zone" if late else None


main("8", scenario, bounds=BOUNDS)
