"""Counts and waiting times of a gate, in the usual text format."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from ..core.metric import record_seconds, write_gauges, write_summary


class Metrics:
    """The numbers of one process."""

    def __init__(self):
        self.counts: Counter[tuple[str, str, str]] = Counter()
        self.waits: dict[str, HdrHistogram] = {}

    def count_outcome(self, queue: str, outcome: str, reason: str):
        """Counts a request's outcome."""
        self.counts[queue, outcome, reason] += 1

    def record_wait(self, queue: str, seconds: float):
        """Takes in the time from a request's arrival to its answer."""
        record_seconds(self.waits, queue, seconds)


def write_metrics(metrics: Metrics, gauges: dict[str, float]) -> str:
    """Writes all numbers as lines of text, a sample a line."""
    lines = ["# TYPE caroblead_requests_total counter"]
    for (queue, outcome, reason), count in sorted(metrics.counts.items()):
        labels = f'queue="{queue}",outcome="{outcome}",reason="{reason}"'
        lines.append(f"caroblead_requests_total{{{labels}}} {count}")
    lines += write_summary("request_seconds", "queue", metrics.waits)
    lines += write_gauges(gauges)
    return "\n".join(lines) + "\n"
