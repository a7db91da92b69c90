"""A seeded search over mixed faults of the node program: ``python -m caroblead.bench.trial``.

Prints a line for each seed whose trial breaks a promise and exits with 1 if there is one.
"""

import sys

import cyclopts

from ..standin.trial import run_trial

app = cyclopts.App(help="Trials of several nodes under mixed faults, in virtual time.")


@app.default
def search(seeds: int = 100, first: int = 1000):
    """Runs the trials of a range of seeds.

    Parameters
    ----------
    seeds
        How many trials to run.
    first
        The first seed.
    """
    broken = accepted = starts = 0
    for seed in range(first, first + seeds):
        outcome = run_trial(seed)
        accepted += outcome.accepted
        starts += outcome.starts
        if outcome.problems:
            broken += 1
            print(f"seed {seed}: {', '.join(outcome.faults)}")
            for problem in outcome.problems:
                print(f"  {problem}")
    print(f"{seeds} trials, {accepted} jobs accepted, {starts} starts, {broken} trials broken")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    app()
