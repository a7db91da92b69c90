"""Tests of placement by speed: single tasks, gangs, and the replayed load of the customers."""

import math

import pytest

from ..bench.durations import CUSTOMERS
from ..bench.speedplacement import replay
from ..core.resource import Resources
from ..jobs.data import Job, JobQueue, JobSpec, Progress, StepSpec
from .expectation import Expectation
from .features import Features
from .fleet import Fleet, put_vm
from .interface import Configuration, ListedVm
from .planning import plan_starts
from .speedscore import (
    MAX_SHORT_SCORE,
    NO_REQUIREMENT,
    choose_similar,
    estimate_rest,
    find_required_speed,
    list_log_speeds,
    score_speed,
)
from .work import open_due_occurrences, open_job

WALL_S = 1000.0
LEARNED = Features(learned_durations=True)
QUEUE = JobQueue("q", "h", "/", "s", stretch=2.0, latency_s=0.0)


def make_fleet(*speeds, cores=16_000):
    fleet = Fleet()
    for number, speed in enumerate(speeds):
        capacity = Resources(cores, 65_536)
        listed = ListedVm(f"v{number}", 1, "s", "a:1", "z", "r", (), capacity, False)
        row = put_vm(fleet, listed)
        row.answered, row.heard_s, row.speed = True, 1.0, speed
    return fleet


def make_step(estimate_s=2.0, expected_s=None, count=1, gang=False, steps=None, **options):
    need = Resources(4000, 4096)
    spec = StepSpec(count, need, estimate_s, gang=gang, **options)
    work = open_job(Job("j", "t", QUEUE, JobSpec("", steps or (spec,)), WALL_S), Progress())
    open_due_occurrences(work, WALL_S)
    step = work.steps[0, 0]
    if expected_s:
        step.expectation = Expectation(expected_s, 2 * expected_s, 50)
    return step


def list_placed(fleet, step, wall_s=WALL_S, features=LEARNED):
    plan = plan_starts([step], fleet, Configuration(), 1.0, wall_s, features=features)
    return [placement.vm.speed for placement in plan.placements]


def test_work_with_slack_goes_to_slow_vms_and_urgent_work_to_fast_ones():
    """Guards against slack work that fills the fast VMs while urgent work is late on slow ones."""
    assert list_placed(make_fleet(1.6, 1.0, 0.6), make_step(expected_s=0.5)) == [0.6]
    assert list_placed(make_fleet(0.6, 1.0, 1.6), make_step(expected_s=4.0)) == [1.6]
    # It needs 1.3 x 2.4 s of work within 4 s.
    assert list_placed(make_fleet(0.6, 1.6, 1.0), make_step(expected_s=2.4)) == [1.0]


def test_without_the_setting_speeds_do_not_count():
    """Guards against a change for deployments without the setting."""
    for speeds in ((0.6, 1.6), (1.6, 0.6)):
        placed = list_placed(make_fleet(*speeds), make_step(expected_s=4.0), features=Features())
        assert placed == [speeds[0]]


def test_urgent_work_takes_a_slow_vm_rather_than_wait():
    assert list_placed(make_fleet(0.6), make_step(expected_s=8.0)) == [0.6]


def test_best_fit_still_counts_among_vms_of_equal_speed():
    fleet = make_fleet(1.0, 1.0)
    fleet.rows["v1"].free = Resources(4000, 4096)
    plan = plan_starts([make_step()], fleet, Configuration(), 1.0, WALL_S, features=LEARNED)
    assert plan.placements[0].vm.name == "v1"


def test_gang_gets_vms_of_similar_speed():
    """Guards against a slow member that holds up fast VMs."""
    speeds = (1.6, 0.6, 1.6, 0.6, 1.6, 0.6)
    # Two of its tasks fit on each VM.
    slack = list_placed(
        make_fleet(*speeds, cores=8000), make_step(expected_s=0.5, count=6, gang=True)
    )
    assert slack == [0.6] * 6
    urgent = list_placed(
        make_fleet(*speeds, cores=8000), make_step(expected_s=4.0, count=6, gang=True)
    )
    assert urgent == [1.6] * 6


def test_gang_that_needs_more_vms_than_are_similar_still_starts():
    placed = list_placed(
        make_fleet(1.6, 1.0, 0.6, 0.6, cores=8000), make_step(expected_s=4.0, count=6, gang=True)
    )
    assert sorted(placed) == [0.6, 0.6, 1.0, 1.0, 1.6, 1.6]
    placed = list_placed(
        make_fleet(1.6, 1.0, 0.6, cores=8000), make_step(expected_s=4.0, count=4, gang=True)
    )
    assert sorted(placed) == [1.0, 1.0, 1.6, 1.6]


def test_gang_avoids_vms_that_are_marked_as_slow_or_reserved():
    rows = make_fleet(1.0, 1.0, 0.6).rows
    slots = [(2, 1.0, rows["v0"]), (2, 21.0, rows["v1"]), (2, 1.0, rows["v2"])]
    log_speeds = list_log_speeds(list(rows.values()))
    chosen = choose_similar(slots, 4, 0.0, log_speeds)
    assert {row.name for _, _, row in chosen} == {"v0", "v2"}
    assert choose_similar(slots, 6, 0.0, log_speeds) == slots


def test_requirement_counts_the_steps_that_follow():
    first = StepSpec(1, Resources(1000, 1024), 1.0)
    second = StepSpec(1, Resources(1000, 1024), 2.0, after=(0,))
    third = StepSpec(1, Resources(1000, 1024), 5.0, after=(1,))
    other = StepSpec(1, Resources(1000, 1024), 9.0)
    step = make_step(steps=(first, second, third, other))
    assert estimate_rest(step) == pytest.approx(7.0)
    assert estimate_rest(step.work.steps[0, 2]) == 0.0


def test_requirement_grows_with_waiting_and_ends_with_the_use_of_the_work():
    step = make_step(estimate_s=2.0)
    assert find_required_speed(step, WALL_S) < find_required_speed(step, WALL_S + 2.0)
    # It is late, but of use until three times its objective of 4 s have passed.
    assert find_required_speed(step, WALL_S + 5.0) > NO_REQUIREMENT
    assert find_required_speed(step, WALL_S + 12.5) == NO_REQUIREMENT
    assert find_required_speed(make_step(endless=True), WALL_S) == NO_REQUIREMENT


@pytest.mark.parametrize("speed", [0.05, 0.6, 1.0, 1.6, 8.0])
def test_score_stays_below_the_penalties_and_prefers_what_suffices(speed):
    log_speed = list_log_speeds(list(make_fleet(speed).rows.values()))["v0"]
    for required in (NO_REQUIREMENT, math.log(0.05), 0.0, math.log(4.0)):
        assert abs(score_speed(required, log_speed)) <= MAX_SHORT_SCORE + 2.0
    assert score_speed(0.0, 0.0) < score_speed(0.0, math.log(0.6))


@pytest.mark.parametrize("customer", CUSTOMERS, ids=lambda customer: customer.name)
def test_replayed_load_is_not_served_worse_by_speed(customer):
    """Guards against placement by speed that makes jobs late which best fit alone would not."""
    without, with_speeds = {}, {}
    for seed in (1, 2, 3):
        for found, learned in ((without, False), (with_speeds, True)):
            for queue, outcome in replay(customer, learned, 25.0, seed, 1.0).items():
                jobs, in_time = found.get(queue, (0, 0))
                found[queue] = jobs + outcome.jobs, in_time + outcome.in_time
    for queue, (jobs, in_time) in without.items():
        assert with_speeds[queue][1] >= in_time - 0.02 * jobs, queue
    widest = customer.queues[0].name
    assert with_speeds[widest][1] > without[widest][1], widest
