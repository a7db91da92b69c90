"""Runs the benchmarks of ``make bench``, prints a table and JSON, and draws plots if possible.

The exit code is 1 when any count of safety violations is not zero. A missed time target does not
change the exit code.
"""

import dataclasses
import json
import sys
import time
from pathlib import Path

import cyclopts
from rich.console import Console
from rich.table import Table

from .cost import measure_cancellation, measure_cost, measure_memory
from .failure import measure_quarantine, measure_retries, measure_sizing
from .plot import draw_plots
from .propagation import measure_propagation
from .request import (
    measure_admission,
    measure_choice,
    measure_isolation,
    measure_tick,
    measure_urgent_requests,
)
from .result import Results
from .start import measure_start
from .task import (
    measure_gangs,
    measure_packing,
    measure_share,
    measure_spread,
    measure_urgent_tasks,
)

MEASUREMENTS = (
    measure_urgent_requests,
    measure_urgent_tasks,
    measure_packing,
    measure_share,
    measure_isolation,
    measure_choice,
    measure_sizing,
    measure_quarantine,
    measure_retries,
    measure_admission,
    measure_tick,
    measure_gangs,
    measure_spread,
    measure_cost,
    measure_cancellation,
    measure_memory,
    measure_propagation,
    measure_start,
)

OUTPUT = "var/bench.json"


def run(only: str = "", output: str = OUTPUT) -> int:
    """Run the benchmarks of the scheduling decisions.

    Parameters
    ----------
    only: run only the benchmarks whose function name contains this text
    output: the JSON file to which the figures are written
    """
    results = Results()
    for measure in MEASUREMENTS:
        if only in measure.__name__:
            started = time.monotonic()
            measure(results)
            elapsed_s = time.monotonic() - started
            print(f"{measure.__name__}: {elapsed_s:.1f} s", file=sys.stderr, flush=True)
    table = Table(title="scheduling decisions")
    for column in ("measure", "figures", "target", "met", "unsafe"):
        table.add_column(column, overflow="fold")
    for row in results.rows:
        figures = "\n".join(f"{name} = {value}" for name, value in row.figures.items())
        met = "" if row.met is None else "yes" if row.met else "NO"
        table.add_row(row.name, figures, row.target, met, str(row.unsafe))
    Console(width=120).print(table)
    Path(output).parent.mkdir(parents=True, exist_ok=True)
    rows = [dataclasses.asdict(row) for row in results.rows]
    Path(output).write_text(json.dumps(rows, indent=1))
    for path in draw_plots(results, Path(output).parent):
        print(f"plot: {path}")
    unsafe = sum(row.unsafe for row in results.rows)
    print(json.dumps({"rows": len(rows), "unsafe": unsafe, "output": output}))
    return 1 if unsafe else 0


if __name__ == "__main__":
    sys.exit(cyclopts.App(default_command=run)())
