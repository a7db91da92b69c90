"""Searches mixed faults of the node program by seed: ``python -m caroblead.bench.trial``.

Prints the faults and the problems of each seed whose trial violates a guarantee, and exits with 1
if there is any.
"""

import sys

import cyclopts

from ..dispatch.interface import LogLimits
from ..standin.trial import run_trial

app = cyclopts.App(help="Trials of several nodes under mixed faults, in virtual time.")


@app.default
def search(
    seeds: int = 100,
    first: int = 1000,
    crashing_jobs: int = 0,
    checkpoint_length: int = 0,
    record_bytes: int = LogLimits().record_bytes,
    early_cancels: int = 0,
    restarts: int = 0,
    overdue: int = 0,
):
    """Runs the trials of a range of seeds.

    Parameters
    ----------
    seeds
        The number of trials to run.
    first
        The first seed.
    crashing_jobs
        The number of jobs in each trial whose tasks crash their VMs.
    checkpoint_length
        The length in characters of the checkpoints that tasks save.
    record_bytes
        The size of the largest record that the log accepts; an append may hold four of them.
    early_cancels
        The number of jobs in each trial that are cancelled while they may still be stored.
    restarts
        The number of VMs in each trial that restart at once and may be cut off then.
    overdue
        The number of overdue occurrences of a job in each trial.
    """
    limits = LogLimits(record_bytes, 4 * record_bytes)
    failed_trials = accepted = starts = 0
    for seed in range(first, first + seeds):
        outcome = run_trial(
            seed,
            crashing_jobs,
            checkpoint_length=checkpoint_length,
            limits=limits,
            early_cancels=early_cancels,
            restarts=restarts,
            overdue=overdue,
        )
        accepted += outcome.accepted
        starts += outcome.starts
        if outcome.problems:
            failed_trials += 1
            print(f"seed {seed}: {', '.join(outcome.faults)}")
            for problem in outcome.problems:
                print(f"  {problem}")
    print(
        f"{seeds} trials, {accepted} jobs accepted, {starts} starts, {failed_trials} trials failed"
    )
    sys.exit(1 if failed_trials else 0)


if __name__ == "__main__":
    app()
