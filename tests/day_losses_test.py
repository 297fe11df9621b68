"""Tests scripts/day-losses.py on a small log: each cause of lateness must be counted once, in the
second in which the stream began."""
import importlib.util
import pathlib
import sys
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parent.parent / "scripts" / "day-losses.py"
spec = importlib.util.spec_from_file_location("day_losses", SCRIPT)
day_losses = importlib.util.module_from_spec(spec)
spec.loader.exec_module(day_losses)


def line(second, event, **fields):
    text = ",".join(f'"{name}":{value}' for name, value in fields.items())
    return f'  {second} edge-1 {{"time":"2026-01-01T00:00:{second:06.3f}Z","event":{event},{text}}}'


def stream(second, first_event_ms, longest_pause_ms):
    return line(second, 713, took_ms=1500, first_event_ms=first_event_ms, longest_pause_ms=longest_pause_ms)


class DayLosses(unittest.TestCase):
    def test_each_stream_counts_for_one_cause(self):
        lines = [
            line(0, 701, seeds=1),
            stream(2.0, 300, 90),
            stream(2.1, 300, 130),
            stream(2.2, 500, 90),
            stream(2.3, 500, 130),
            line(2.4, 714, took_ms=100),
            line(2.5, 732, skew_before=2.5),
            line(2.6, 711, group_limit=400, group_running=380),
            "not a structured line",
            '  3 edge-1 {"time":"2026-01-01T00:00:03.000Z","event":',
        ]
        seconds = day_losses.attribute(lines, 400, 120)
        began = seconds[0]
        for cause in ("in_time", "pause", "first", "both"):
            self.assertEqual(began[cause], 1, cause)
        self.assertEqual(began["streams"], 4)
        self.assertEqual(seconds[2]["refused"], 1)
        self.assertEqual(seconds[2]["skew"], 2.5)
        self.assertEqual((seconds[2]["limit"], seconds[2]["reported"]), (400, 380))
        self.assertEqual(began["most"], 4)
        self.assertEqual(began["least"], 0)

    # A route whose streams are refused must not hide behind the other routes' sums.
    def test_rows_by_route(self):
        lines = [
            line(2.0, 713, took_ms=1500, first_event_ms=300, longest_pause_ms=90, route='"r-a"'),
            line(2.1, 715, took_ms=1500, first_event_ms=300, longest_pause_ms=90, route='"r-a"'),
            line(2.4, 714, took_ms=100, route='"r-b"'),
            line(2.6, 711, group_limit=400, group_running=380, route='"r-c"'),
        ]
        routes = day_losses.attribute_by("route", lines, 400, 120)
        self.assertEqual(routes["r-a"], {"streams": 2, "in_time": 1, "failed": 1})
        self.assertEqual(routes["r-b"], {"refused": 1})
        self.assertNotIn("r-c", routes)

    # A delay of one kind of prompt must not be averaged away by the other, nor by calm seconds.
    def test_short_and_long_prompts_are_apart(self):
        def prompt(second, tokens, first_event_ms, route):
            return line(second, 713, took_ms=1000, first_event_ms=first_event_ms, longest_pause_ms=80,
                        prompt_tokens=tokens, route=f'"{route}"')

        lines = [line(0, 701, seeds=1)]
        lines += [prompt(2 + number / 100, 100 + number, 200 + number, "r-a") for number in range(9)]
        lines += [prompt(2.5, 3000, 450, "r-a"), prompt(9, 50, 4000, "r-a"), prompt(2.6, 700, 300, "r-b")]
        lines += [line(2.7, 713, took_ms=10, status=200), line(2.8, 714, took_ms=10, prompt_tokens=900)]
        rows = day_losses.compare_prompts(lines, 400, 120, 0, 5)
        shortest, longest = rows["r-a shortest half"], rows["r-a longest tenth"]
        self.assertEqual((shortest["streams"], shortest["first_50"], shortest["first_99"]), (5, 202, 204))
        self.assertEqual((shortest["in_time"], longest["in_time"]), (100, 0))
        self.assertEqual((longest["streams"], longest["tokens"], longest["first_99"]), (1, 3000, 450))
        self.assertEqual(rows["all longest tenth"]["streams"], 2)

    def test_a_log_without_streams_gives_no_rows(self):
        self.assertEqual(day_losses.attribute([], 400, 120), {})


if __name__ == "__main__":
    unittest.main()
