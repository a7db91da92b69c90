"""Request counters and latency summaries of a gate, in the Prometheus text format."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from ..core.metric import record_seconds, write_gauges, write_summary


class Metrics:
    """The counters and latency histograms of one gate process."""

    def __init__(self):
        self.outcome_counts: Counter[tuple[str, str, str]] = Counter()
        self.latencies: dict[str, HdrHistogram] = {}

    def count_outcome(self, queue: str, outcome: str, reason: str):
        """Counts the outcome of a request, by queue and reason."""
        self.outcome_counts[queue, outcome, reason] += 1

    def record_latency(self, queue: str, seconds: float):
        """Records the time in seconds from the arrival of a request to its answer."""
        record_seconds(self.latencies, queue, seconds)


def write_metrics(metrics: Metrics, gauges: dict[str, float]) -> str:
    """Returns all metrics as text, one sample per line."""
    lines = ["# TYPE caroblead_requests_total counter"]
    for (queue, outcome, reason), count in sorted(metrics.outcome_counts.items()):
        labels = f'queue="{queue}",outcome="{outcome}",reason="{reason}"'
        lines.append(f"caroblead_requests_total{{{labels}}} {count}")
    lines += write_summary("request_seconds", "queue", metrics.latencies)
    lines += write_gauges(gauges)
    return "\n".join(lines) + "\n"
