"""Guards against a task that runs twice because a restarted VM carries out an order given up."""

import pytest

from ..standin.trial import run_trial
from . import lateorder

# Trials, as pairs of a seed and the number of crashing jobs, in which a restarted VM carries out an
# order of a task that waits again.
TRIALS = ((1013, 3), (602, 2), (1037, 3))


@pytest.mark.parametrize(("seed", "crashing_jobs"), TRIALS)
def test_task_of_an_order_carried_out_late_starts_nowhere_else(seed, crashing_jobs):
    assert run_trial(seed, crashing_jobs).problems == []


def test_task_runs_twice_if_its_run_is_not_taken_back(monkeypatch):
    seed, crashing_jobs = TRIALS[0]
    monkeypatch.setattr(lateorder, "_take_back", lambda state, row, task, number: False)
    problems = run_trial(seed, crashing_jobs).problems
    assert any("is running already" in problem for problem in problems)
