"""Tests of how long the rest of a job is expected to take."""

import pytest

from ..core.resource import Resources
from ..jobs.data import AdviceTimes, Job, JobQueue, JobSpec, Progress, StepSpec
from .chain import ESTIMATE_AGE_S, VMS_PER_REQUEST, estimate_chain
from .expectation import Expectation
from .rank import Tier, find_tier
from .share import ShareTable
from .work import open_due_occurrences, open_job

ADVICE = AdviceTimes(0.7, 0.01, 1.5)
ADVICE_S = 0.7 + VMS_PER_REQUEST * 0.01
NEED = Resources(1000, 1)


def make_steps(queue, *specs):
    work = open_job(Job("a", "t", queue, JobSpec("", specs), 0.0), Progress())
    open_due_occurrences(work, 0.0)
    return [work.steps[0, number] for number in range(len(specs))]


def test_longest_chain_of_the_remaining_steps_counts_with_its_requests_for_advice():
    queue = JobQueue("q", "h", "/p/", "s", advice=ADVICE)
    first, short, long, _ = make_steps(
        queue,
        StepSpec(1, NEED, 1.0),
        StepSpec(1, NEED, 2.0, (0,)),
        StepSpec(1, NEED, 5.0, (0,)),
        StepSpec(1, NEED, 1.0, (1,)),
    )
    assert estimate_chain(first, 0.0).remaining_s == pytest.approx(6.0 + 2 * ADVICE_S)
    assert estimate_chain(short, 0.0).remaining_s == pytest.approx(3.0 + 2 * ADVICE_S)
    long.advice.tickets = {"v0": "t"}
    assert estimate_chain(long, 0.0).remaining_s == pytest.approx(5.0)


def test_estimate_follows_what_is_learned_after_a_while():
    (step,) = make_steps(JobQueue("q", "h", "/p/", "s"), StepSpec(1, NEED, 1.0))
    assert estimate_chain(step, 0.0).remaining_s == 1.0
    step.expectation = Expectation(4.0, 9.0, 30)
    assert estimate_chain(step, 0.1).remaining_s == 1.0
    found = estimate_chain(step, ESTIMATE_AGE_S)
    assert (found.remaining_s, found.unplanned_s) == (4.0, 3.0)


def test_job_whose_caller_estimates_too_little_is_in_time_when_it_arrives():
    """Guards against new work that counts as useless because it takes longer than estimated."""
    queue = JobQueue("q", "h", "/p/", "s", stretch=1.5, latency_s=0.3)
    (step,) = make_steps(queue, StepSpec(1, NEED, 0.1))
    step.expectation = Expectation(4.0, 9.0, 30)
    assert find_tier(step, 0.0, ShareTable()) is Tier.IN_TIME
    assert find_tier(step, 60.0, ShareTable()) is Tier.USELESS
