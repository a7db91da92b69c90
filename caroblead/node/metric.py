"""Counters and histograms of a node, exported in the Prometheus text format."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from ..core.metric import record_seconds, write_gauges, write_labelled_gauge, write_summary


class NodeMetrics:
    """The metrics of one node."""

    def __init__(self):
        self.calls: Counter[tuple[str, int]] = Counter()
        self.spans: dict[str, HdrHistogram] = {}

    def record_call(self, method: str, status: int, seconds: float):
        """Counts a caller's request and records how long its answer took, in seconds."""
        self.calls[method, status] += 1
        self.record_span(f"call_{method.lower()}", seconds)

    def record_span(self, name: str, seconds: float):
        """Records a duration, in seconds."""
        record_seconds(self.spans, name, seconds)


def write_node_metrics(
    metrics: NodeMetrics,
    gauges: dict[str, float],
    labelled: dict[str, tuple[str, dict[str, float]]] | None = None,
) -> str:
    """Returns all metrics as text, with one sample per line.

    ``labelled`` holds the label of each further gauge and its value for each value of the label.
    """
    lines = ["# TYPE caroblead_calls_total counter"]
    for (method, status), count in sorted(metrics.calls.items()):
        lines.append(f'caroblead_calls_total{{method="{method}",status="{status}"}} {count}')
    lines += write_summary("span_seconds", "span", metrics.spans)
    lines += write_gauges(gauges)
    for name, (label, values) in (labelled or {}).items():
        lines += write_labelled_gauge(name, label, values)
    return "\n".join(lines) + "\n"
