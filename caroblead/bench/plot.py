"""Draws plots of the benchmark results if the optional matplotlib is installed."""

from pathlib import Path

from .result import Results

try:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot
except ImportError:
    pyplot = None


def draw_plots(results: Results, directory: Path) -> list[Path]:
    """Plots the decision cost and the waits of urgent requests; returns the files written."""
    if pyplot is None:
        return []
    written = []
    for row in results.rows:
        if row.name == "decision cost":
            costs = {
                int(name.removeprefix("ms_at_")): value
                for name, value in row.figures.items()
                if name.startswith("ms_at_")
            }
            written.append(_draw_cost(costs, directory))
    waits = [row for row in results.rows if row.name.startswith("urgent requests at")]
    if waits:
        written.append(_draw_waits(waits, directory))
    return written


def _draw_cost(costs: dict[int, float], directory: Path) -> Path:
    figure, axes = pyplot.subplots(figsize=(5, 3.5))
    axes.plot(list(costs), list(costs.values()), marker="o")
    axes.axhline(0.2, linestyle="--", color="grey", label="target")
    axes.set_xscale("log")
    axes.set_ylim(bottom=0)
    axes.set_xlabel("workers")
    axes.set_ylabel("milliseconds per placement")
    axes.legend()
    return _save(figure, directory / "decision-cost.png")


def _draw_waits(rows: list, directory: Path) -> Path:
    figure, axes = pyplot.subplots(figsize=(5, 3.5))
    loads = [row.name.removeprefix("urgent requests at ") for row in rows]
    for policy in ("caroblead", "fifo_first_fit"):
        waits = [max(row.figures[f"{policy}_p99_s"], 1e-3) for row in rows]
        axes.plot(loads, waits, marker="o", label=policy)
    axes.set_yscale("log")
    axes.set_xlabel("load")
    axes.set_ylabel("99th percentile of the wait (seconds)")
    axes.legend()
    return _save(figure, directory / "urgent-waits.png")


def _save(figure, path: Path) -> Path:
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    pyplot.close(figure)
    return path
