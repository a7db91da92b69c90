"""Trials under mixed faults: a fixed range of seeds, and every seed that ever found something."""

import pytest

from ..standin.trial import run_trial

SEEDS = range(16)
# The store forgot its history early in a term, and the leader began the same term once more.
TERM_LED_TWICE = (19, 47, 65, 72)
# A VM started again, and its new life answered an order that was meant for the old one.
ANSWERED_BY_NEXT_LIFE = (187,)


@pytest.mark.parametrize("seed", [*SEEDS, *TERM_LED_TWICE, *ANSWERED_BY_NEXT_LIFE])
def test_trial_keeps_every_promise(seed):
    outcome = run_trial(seed)
    assert outcome.problems == [], outcome.faults
    assert outcome.starts > 50
