"""Trials under mixed faults: a fixed range of seeds, and each seed that has ever revealed a bug."""

import pytest

from ..standin.trial import run_trial

SEEDS = range(16)
# The history of the store expired early in a term, and the leader began the same term again.
TERM_LED_TWICE = (19, 47, 65, 72)
# A VM restarted, and its new incarnation answered an order that was addressed to the old one.
ANSWERED_BY_NEXT_INCARNATION = (187,)
# The members of a gang failed before and after a hand-over, and were counted as two failures.
GANG_FAILURE_COUNTED_TWICE = (2016,)

# With crashing jobs, as pairs of a seed and their number. An innocent job was given up because its
# task shared VMs with a crashing one, and another fault crashed the next VM.
INNOCENT_GIVEN_UP = ((2071, 2),)
# A restarted VM carried out an order that its former incarnation had been told to refuse.
SETTLED_ORDER_CARRIED_OUT = ((2008, 2), (2044, 2), (2053, 2), (3000, 2), (1004, 3), (1029, 3))
# The same, and the task ran elsewhere before the order was refused again or its run had ended.
REFUSED_ORDER_RUNS_BESIDE = ((602, 2), (1013, 3), (1037, 3), (1051, 3), (1074, 3), (1123, 3))


@pytest.mark.parametrize(
    "seed", [*SEEDS, *TERM_LED_TWICE, *ANSWERED_BY_NEXT_INCARNATION, *GANG_FAILURE_COUNTED_TWICE]
)
def test_trial_keeps_every_guarantee(seed):
    outcome = run_trial(seed)
    assert outcome.problems == [], outcome.faults
    assert outcome.starts > 50


@pytest.mark.parametrize(
    ("seed", "crashing_jobs"),
    [
        *((seed, 2) for seed in range(6)),
        *INNOCENT_GIVEN_UP,
        *SETTLED_ORDER_CARRIED_OUT,
        *REFUSED_ORDER_RUNS_BESIDE,
    ],
)
def test_trial_with_crashing_jobs_keeps_every_guarantee(seed, crashing_jobs):
    outcome = run_trial(seed, crashing_jobs)
    assert outcome.problems == [], outcome.faults
    assert outcome.starts > 50


@pytest.mark.parametrize("seed", SEEDS)
def test_trial_with_evacuated_zones_keeps_every_guarantee(seed):
    outcome = run_trial(seed, evacuations=4)
    assert outcome.problems == [], outcome.faults
    assert outcome.starts > 50
