"""Counts and waiting times of a gate, in the usual text format."""

from collections import Counter

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 3
QUANTILES = (50.0, 90.0, 99.0, 99.9)


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
        histogram = self.waits.get(queue)
        if histogram is None:
            histogram = self.waits[queue] = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))


def write_metrics(metrics: Metrics, gauges: dict[str, float]) -> str:
    """Writes all numbers as lines of text, a sample a line."""
    lines = ["# TYPE caroblead_requests_total counter"]
    for (queue, outcome, reason), count in sorted(metrics.counts.items()):
        labels = f'queue="{queue}",outcome="{outcome}",reason="{reason}"'
        lines.append(f"caroblead_requests_total{{{labels}}} {count}")
    lines.append("# TYPE caroblead_request_seconds summary")
    for queue, histogram in sorted(metrics.waits.items()):
        for quantile in QUANTILES:
            seconds = histogram.get_value_at_percentile(quantile) / 1e6
            labels = f'queue="{queue}",quantile="{quantile / 100:g}"'
            lines.append(f"caroblead_request_seconds{{{labels}}} {seconds:.6f}")
        total = histogram.get_total_count()
        lines.append(f'caroblead_request_seconds_count{{queue="{queue}"}} {total}')
    for name, value in sorted(gauges.items()):
        lines.append(f"# TYPE caroblead_{name} gauge")
        lines.append(f"caroblead_{name} {value:g}")
    return "\n".join(lines) + "\n"
