#!/usr/bin/env python3
"""Compares docs/EVENTS.md with src/events.h: every event has one row with its number, name and level,
no number is used twice, and every event is written somewhere."""
import pathlib
import re
import sys

root = pathlib.Path(__file__).resolve().parent.parent
code = re.findall(
    r"log_event_kind (\w+)\{\s*(\d+),\s*\"(\w+)\",\s*log_level::(\w+)\}",
    (root / "src/events.h").read_text(),
)
rows = re.findall(r"^\| (\d+) \| `(\w+)` \| (\w+) \| \S", (root / "docs/EVENTS.md").read_text(), re.M)
faults = []
in_code = {(number, name, level) for _, number, name, level in code}
in_docs = set(rows)
if not code or len(in_code) != len(code) or len({number for _, number, _, _ in code}) != len(code):
    faults.append("src/events.h: no events, or a number is used twice")
faults += [f"docs/EVENTS.md lacks event {' '.join(event)}" for event in sorted(in_code - in_docs)]
faults += [f"src/events.h lacks event {' '.join(event)}" for event in sorted(in_docs - in_code)]
sources = "\n".join(p.read_text() for p in [*(root / "src").glob("*.cpp"), *(root / "platform").glob("*.cpp")])
faults += [f"event {name} is never written" for constant, _, name, _ in code
           if f"events::{constant}" not in sources]
print("\n".join(faults) if faults else f"event catalogue: {len(code)} events match")
sys.exit(1 if faults else 0)
