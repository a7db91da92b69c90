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


@pytest.mark.parametrize(
    "seed", [*SEEDS, *TERM_LED_TWICE, *ANSWERED_BY_NEXT_INCARNATION, *GANG_FAILURE_COUNTED_TWICE]
)
def test_trial_keeps_every_guarantee(seed):
    outcome = run_trial(seed)
    assert outcome.problems == [], outcome.faults
    assert outcome.starts > 50
