"""Compares orders of work under heavy loads: ``python -m caroblead.bench.overload``.

Each load is replayed on plain tables (:mod:`caroblead.standin.overload`) without the optional
decisions, with sized requests for advice, and with fair share as well. Printed are means over some
seeds of the fraction of the work, and of the jobs of each kind, that was served in time.
"""

import statistics
from dataclasses import replace

import cyclopts

from ..dispatch.features import Features
from ..standin.overload import EXAMS, TEAM_PARTS, Load, Outcome, Replay

LARGE_TEAM, SMALL_TEAM = "t01", "t08"
LOADS = {
    "calm": Load(),
    "reviews x2": Load(bursts=[("reviews", 8, 15, 2.0)]),
    "marking x2.2": Load(bursts=[("marking", 8, 15, 2.2)]),
    "autosaves x2.2": Load(bursts=[("autosaves", 8, 15, 2.2)]),
    "queues in series": Load(
        bursts=[("reviews", 6, 12, 2.0), ("marking", 12, 18, 2.2), ("autosaves", 18, 24, 2.0)]
    ),
    "large team x7": Load(bursts=[(LARGE_TEAM, 8, 16, 7.0)]),
    "small team x10": Load(bursts=[(SMALL_TEAM, 8, 16, 10.0)]),
    "tenth leaves": Load(leave_s=10.0),
    "all at once": Load(
        bursts=[("reviews", 8, 14, 1.9), (LARGE_TEAM, 9, 16, 6.0), ("marking", 14, 20, 2.0)],
        leave_s=12.0,
        return_s=20.0,
    ),
}
VARIANTS = {
    "before": Features(),
    "sized": Features(sized_advice=True),
    "sized, fair": Features(sized_advice=True, fair_share=True),
}

app = cyclopts.App(help="Compares orders of work under heavy loads.")


def format_outcomes(load: Load, outcomes: list[Outcome]) -> str:
    """Returns the means of some replays of a load as one line."""

    def average(function) -> float:
        return statistics.mean(function(outcome) for outcome in outcomes)

    bursting = [name for name, *_ in load.bursts if name in TEAM_PARTS]
    others = [name for name in TEAM_PARTS if name not in bursting]
    parts = [f"work {average(lambda o: o.get_by_work('all')):.3f}"]
    for kind in EXAMS:
        name = kind.queue.name
        whole = average(lambda o, name=name: o.get(name))
        largest = average(lambda o, name=name: o.get(f"{name}-largest"))
        parts.append(f"{name} {whole:.3f} (largest {largest:.2f})")
    parts.append(f"worst teams {average(lambda o: o.get_worst_tenth()):.2f}")
    if bursting:
        parts.append(f"burst {average(lambda o: o.get_by_work(*bursting)):.3f}")
        parts.append(f"others {average(lambda o: o.get_by_work(*others)):.3f}")
    return ", ".join(parts)


@app.default
def compare(seeds: int = 3, loads: tuple[str, ...] = tuple(LOADS)):
    """Prints a line for each load and variant."""
    for name in loads:
        for variant, features in VARIANTS.items():
            outcomes = [
                Replay(replace(LOADS[name], seed=seed), features).run()
                for seed in range(1, seeds + 1)
            ]
            print(f"{name:16} {variant:11} {format_outcomes(LOADS[name], outcomes)}", flush=True)


if __name__ == "__main__":
    app()
