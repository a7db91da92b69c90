"""Counters and histograms of a node, as text in the usual format."""

from collections import Counter

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0)


class NodeMetrics:
    """The numbers of one node."""

    def __init__(self):
        self.calls: Counter[tuple[str, int]] = Counter()
        self.spans: dict[str, HdrHistogram] = {}

    def record_call(self, method: str, status: int, seconds: float):
        """Counts a caller's request and takes in how long its answer took."""
        self.calls[method, status] += 1
        self.record_span(f"call_{method.lower()}", seconds)

    def record_span(self, name: str, seconds: float):
        """Takes in a length of time."""
        histogram = self.spans.get(name)
        if histogram is None:
            histogram = self.spans[name] = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))


def write_node_metrics(metrics: NodeMetrics, gauges: dict[str, float]) -> str:
    """Writes all numbers, a sample a line."""
    lines = ["# TYPE caroblead_calls_total counter"]
    for (method, status), count in sorted(metrics.calls.items()):
        lines.append(f'caroblead_calls_total{{method="{method}",status="{status}"}} {count}')
    lines.append("# TYPE caroblead_span_seconds summary")
    for name, histogram in sorted(metrics.spans.items()):
        for quantile in QUANTILES:
            value = histogram.get_value_at_percentile(quantile) / 1e6
            labels = f'span="{name}",quantile="{quantile / 100:g}"'
            lines.append(f"caroblead_span_seconds{{{labels}}} {value:.6f}")
        lines.append(f'caroblead_span_seconds_count{{span="{name}"}} {histogram.get_total_count()}')
    for name, value in sorted(gauges.items()):
        lines.append(f"# TYPE caroblead_{name} gauge")
        lines.append(f"caroblead_{name} {value:g}")
    return "\n".join(lines) + "\n"
