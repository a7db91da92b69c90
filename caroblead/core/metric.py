"""Metrics: histograms of durations, and the Prometheus text format in which they are served."""

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


def record_seconds(histograms: dict[str, HdrHistogram], name: str, seconds: float):
    """Records a duration in the histogram of that name, which is created when it is missing."""
    histogram = histograms.get(name)
    if histogram is None:
        histogram = histograms[name] = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))


def write_summary(metric: str, label: str, histograms: dict[str, HdrHistogram]) -> list[str]:
    """Returns the quantiles of each histogram in seconds, one line for each sample.

    For example ``write_summary("span_seconds", "span", spans)`` gives lines such as
    ``caroblead_span_seconds{span="call_get",quantile="0.99"} 0.004128``.
    """
    lines = [f"# TYPE caroblead_{metric} summary"]
    for name, histogram in sorted(histograms.items()):
        for quantile in QUANTILES:
            seconds = histogram.get_value_at_percentile(quantile) / 1e6
            labels = f'{label}="{name}",quantile="{quantile / 100:g}"'
            lines.append(f"caroblead_{metric}{{{labels}}} {seconds:.6f}")
        total = histogram.get_total_count()
        lines.append(f'caroblead_{metric}_count{{{label}="{name}"}} {total}')
    return lines


def write_gauges(gauges: dict[str, float]) -> list[str]:
    """Returns the present value of each gauge, one line for each sample."""
    lines = []
    for name, value in sorted(gauges.items()):
        lines.append(f"# TYPE caroblead_{name} gauge")
        lines.append(f"caroblead_{name} {value:g}")
    return lines


def write_labelled_gauge(metric: str, label: str, values: dict[str, float]) -> list[str]:
    """Returns the present values of a gauge by a label, one line for each sample.

    For example ``write_labelled_gauge("team_share", "team", {"north": 0.25})`` gives lines such as
    ``caroblead_team_share{team="north"} 0.25``.
    """
    by_labels = {(name,): value for name, value in values.items()}
    return write_multi_labelled_gauge(metric, (label,), by_labels)


def write_multi_labelled_gauge(
    metric: str, labels: tuple[str, ...], values: dict[tuple[str, ...], float]
) -> list[str]:
    """Returns the present values of a gauge by several labels, one line for each sample."""
    lines = [f"# TYPE caroblead_{metric} gauge"] if values else []
    for names, value in sorted(values.items()):
        pairs = zip(labels, map(_escape_label, names), strict=True)
        text = ",".join(f'{label}="{name}"' for label, name in pairs)
        lines.append(f"caroblead_{metric}{{{text}}} {value:.4f}")
    return lines


def _escape_label(name: str) -> str:
    return name.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
