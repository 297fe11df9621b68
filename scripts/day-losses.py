#!/usr/bin/env python3
"""Shows second by second why streams of a played day were late or refused, from the gateways' and
rank agents' structured logs.

    scripts/day-losses.py [--by second|route|team|prompt] LOG...   lines may have a prefix before the JSON object

Columns by second: second since the first line; streams that began in it; in time; late because of a
pause, of the first event, or of both; failed; refused attempts; streams running at the least and at
the most; median limit of a group and streams reported to run, as gateways saw them; highest skew at a
planned map change. By route or team: the columns up to the refused attempts. By prompt: for the
shortest half and the longest tenth of the prompts of each route and of all, the streams, those in time
of 100, and the median and 99th percentile of the first event and of the longest pause in milliseconds.
"""
import argparse
import collections
import datetime
import json
import math
import statistics
import sys

ATTEMPT, ANSWERED, REFUSED, FAILED, ABANDONED, MAP_PLANNED = 711, 713, 714, 715, 716, 732
SAMPLES_PER_SECOND = 10


def entries(lines):
    """Yields the time in seconds and the fields of each structured line."""
    for line in lines:
        begin = line.find('{"time"')
        if begin < 0:
            continue
        try:
            entry = json.loads(line[begin:])
        except json.JSONDecodeError:
            continue
        yield datetime.datetime.fromisoformat(entry["time"].replace("Z", "+00:00")).timestamp(), entry


def lateness(entry, first_event_ms, pause_ms):
    first = entry["first_event_ms"] > first_event_ms
    pause = entry["longest_pause_ms"] > pause_ms
    return {(False, False): "in_time", (True, False): "first", (False, True): "pause"}.get((first, pause), "both")


def outcomes_of(entry, first_event_ms, pause_ms):
    """Returns the counters that the line adds to: none unless it ends a stream or refuses an attempt."""
    event = entry.get("event")
    if event == REFUSED:
        return ["refused"]
    if event in (ANSWERED, ABANDONED) and "first_event_ms" in entry:
        return ["streams", lateness(entry, first_event_ms, pause_ms)]
    return ["streams", "failed"] if event == FAILED and "first_event_ms" in entry else []


def attribute_by(field, lines, first_event_ms, pause_ms):
    """Returns counters by route or team."""
    groups = collections.defaultdict(collections.Counter)
    for _, entry in entries(lines):
        for outcome in outcomes_of(entry, first_event_ms, pause_ms):
            groups[entry.get(field, "")][outcome] += 1
    return groups


def percentile(values, share):
    """Returns the smallest value that `share` of the values do not exceed."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)] if ordered else 0


def summarize_streams(streams, first_event_ms, pause_ms):
    """Returns the columns of a row by prompt."""
    first_events = [entry["first_event_ms"] for entry in streams]
    pauses = [entry["longest_pause_ms"] for entry in streams]
    in_time = sum(lateness(entry, first_event_ms, pause_ms) == "in_time" for entry in streams)
    return {"streams": len(streams), "tokens": statistics.median(entry["prompt_tokens"] for entry in streams),
            "in_time": 100 * in_time / len(streams),
            "first_50": percentile(first_events, 0.5), "first_99": percentile(first_events, 0.99),
            "pause_50": percentile(pauses, 0.5), "pause_99": percentile(pauses, 0.99)}


def compare_prompts(lines, first_event_ms, pause_ms, begin=0, end=math.inf):
    """Returns rows for the shortest half and the longest tenth of the prompts, by route and for all.

    Counts the streams with an event that began `begin` to `end` seconds after the first line."""
    routes = collections.defaultdict(list)
    origin = None
    for time, entry in entries(lines):
        origin = time if origin is None else origin
        began = time - origin - entry.get("took_ms", 0) / 1000
        ends_stream = entry.get("event") in (ANSWERED, FAILED, ABANDONED) and "first_event_ms" in entry
        if ends_stream and entry.get("prompt_tokens", 0) > 0 and begin <= began < end:
            routes[entry.get("route", "")].append(entry)
            routes["all"].append(entry)
    rows = {}
    for route, streams in routes.items():
        streams.sort(key=lambda entry: entry["prompt_tokens"])
        shortest, longest = streams[: math.ceil(len(streams) / 2)], streams[-math.ceil(len(streams) / 10):]
        rows[f"{route} shortest half"] = summarize_streams(shortest, first_event_ms, pause_ms)
        rows[f"{route} longest tenth"] = summarize_streams(longest, first_event_ms, pause_ms)
    return rows


def attribute(lines, first_event_ms, pause_ms):
    """Returns counters by second."""
    seconds = collections.defaultdict(collections.Counter)
    running = collections.Counter()
    limits = collections.defaultdict(list)
    origin = None
    for time, entry in entries(lines):
        origin = time if origin is None else origin
        at, event = time - origin, entry.get("event")
        began = at - entry.get("took_ms", 0) / 1000
        for outcome in outcomes_of(entry, first_event_ms, pause_ms):
            seconds[int(began)][outcome] += 1
        if event in (ANSWERED, FAILED, ABANDONED) and "first_event_ms" in entry:
            running.update(range(int(began * SAMPLES_PER_SECOND), int(at * SAMPLES_PER_SECOND)))
        elif event == MAP_PLANNED:
            second = seconds[int(at)]
            second["skew"] = max(second["skew"], entry["skew_before"])
        elif event == ATTEMPT and entry.get("group_limit", 0) > 0:
            limits[int(at)].append((entry["group_limit"], entry["group_running"]))
    for second, counts in seconds.items():
        samples = [running[second * SAMPLES_PER_SECOND + step] for step in range(SAMPLES_PER_SECOND)]
        counts["least"], counts["most"] = min(samples), max(samples)
        if limits[second]:
            counts["limit"] = statistics.median(limit for limit, _ in limits[second])
            counts["reported"] = statistics.median(reported for _, reported in limits[second])
    return seconds


OUTCOMES = ["streams", "in_time", "pause", "first", "both", "failed", "refused"]
PROMPT_COLUMNS = ["streams", "tokens", "in_time", "first_50", "first_99", "pause_50", "pause_99"]
COLUMNS = [*OUTCOMES, "least", "most", "limit", "reported", "skew"]


def print_table(title, columns, rows):
    width = max([len(title), *(len(str(key)) for key in rows)])
    print(f"{title:{width}} " + " ".join(f"{name:>8}" for name in columns))
    for key, counts in sorted(rows.items()):
        print(f"{key!s:>{width}} " + " ".join(f"{counts[name]:8.4g}" for name in columns))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+", metavar="LOG")
    parser.add_argument("--first-event-ms", type=float, default=400, help="objective for the first event")
    parser.add_argument("--pause-ms", type=float, default=120, help="longest pause that is still in time")
    parser.add_argument("--by", choices=["second", "route", "team", "prompt"], default="second", help="what a row stands for")
    parser.add_argument("--begin", type=float, default=0, metavar="S", help="by prompt: streams from this second on")
    parser.add_argument("--end", type=float, default=math.inf, metavar="S", help="by prompt: streams before it")
    options = parser.parse_args()
    lines = []
    for path in options.logs:
        with open(path, encoding="utf-8", errors="replace") as file:
            lines += [line for line in file if '{"time"' in line]
    lines.sort(key=lambda line: line[line.find('{"time"'):][:40])
    if options.by == "second":
        print_table("second", COLUMNS, attribute(lines, options.first_event_ms, options.pause_ms))
    elif options.by == "prompt":
        rows = compare_prompts(lines, options.first_event_ms, options.pause_ms, options.begin, options.end)
        print_table("prompts", PROMPT_COLUMNS, rows)
    else:
        groups = attribute_by(options.by, lines, options.first_event_ms, options.pause_ms)
        print_table(options.by, OUTCOMES, groups)
    return 0


if __name__ == "__main__":
    sys.exit(main())
