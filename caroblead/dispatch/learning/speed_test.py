"""Tests of the learned speeds of VMs: changes, recoveries, losses and gangs."""

import math
import random

import pytest

from .duration import RunFeatures
from .learner import Learner, ObservedRun, learn
from .speed import (
    MAX_ESTIMATES,
    ProgressReport,
    SpeedTable,
    center_speeds,
    find_log_speed,
    get_estimate,
    observe_gang,
    observe_progress,
    observe_run,
)

NOISE = 0.3
SEED = 5


def feed_ends(table, vm, speed, count, generator, first=0, now_s=1.0):
    """Feeds ends of runs of different steps; returns after how many a change was detected."""
    detected = None
    for number in range(first, first + count):
        value = math.log(speed) + generator.gauss(0, NOISE)
        if observe_run(table, vm, 1, value, NOISE, number, now_s + number * 0.2):
            detected = detected or number - first + 1
    return detected


def get_speed(table, vm, incarnation=1):
    return math.exp(find_log_speed(table, vm, incarnation))


def test_vm_without_samples_counts_as_normal():
    assert get_speed(SpeedTable(), "vm") == 1.0


@pytest.mark.parametrize("speed", [0.6, 0.8, 1.0, 1.25, 1.6])
def test_speed_is_found_with_its_uncertainty(speed):
    table = SpeedTable()
    feed_ends(table, "vm", speed, 80, random.Random(SEED))
    assert get_speed(table, "vm") == pytest.approx(speed, rel=0.2)
    assert get_estimate(table, "vm", 1).get_deviation() < 0.15


@pytest.mark.parametrize("seed", range(10))
def test_slowdown_by_four_and_recovery_are_followed_within_a_few_ends(seed):
    """Guards against an average that takes many runs to follow a VM that became slow."""
    table, generator = SpeedTable(), random.Random(seed)
    feed_ends(table, "vm", 1.0, 60, generator)
    assert feed_ends(table, "vm", 0.25, 8, generator, 60) <= 5
    assert get_speed(table, "vm") < 0.45
    assert feed_ends(table, "vm", 1.0, 8, generator, 68) <= 5
    assert get_speed(table, "vm") > 0.65


def test_single_long_runs_do_not_make_a_vm_slow():
    """Guards against taking the runs that take seven times as long for a slow VM."""
    table, generator = SpeedTable(), random.Random(SEED)
    feed_ends(table, "vm", 1.0, 40, generator)
    for number in range(5):
        observe_run(table, "vm", 1, -math.log(7.0), NOISE, 1000 + number, 20.0 + number)
        feed_ends(table, "vm", 1.0, 12, generator, 2000 + 100 * number, 20.0)
    assert get_speed(table, "vm") > 0.75


def poll(table, percents, clock_ms, vm="vm", expected_s=0.0, incarnation=1):
    reports = [
        ProgressReport(("job", 0, run), run, percent, expected_s)
        for run, percent in percents.items()
    ]
    return observe_progress(table, vm, incarnation, clock_ms, reports, clock_ms / 1000)


def test_slowdown_in_the_middle_of_runs_shows_in_their_progress():
    """Guards against knowing of a slow VM only when its runs, four times as long, have ended."""
    table = SpeedTable()
    progress = {1: 0.0, 2: 10.0, 3: 30.0}
    detected_ms = None
    for clock_ms in range(1000, 9000, 700):
        slow = 4000 < clock_ms < 8000
        gained = 10.0 / (4 if slow else 1)
        if poll(table, progress, clock_ms) and detected_ms is None:
            detected_ms = clock_ms
        progress = {run: percent + gained for run, percent in progress.items()}
    assert detected_ms is not None and detected_ms < 8000
    assert table.changes >= 1


def test_recovery_in_the_middle_of_runs_shows_in_their_progress():
    table = SpeedTable()
    estimate = get_estimate(table, "vm", 1)
    estimate.log_speed, estimate.samples = math.log(0.25), 20
    progress = {1: 0.0, 2: 5.0}
    for clock_ms in range(1000, 12000, 700):
        poll(table, progress, clock_ms)
        gained = 3.0 if clock_ms < 6000 else 12.0
        progress = {run: percent + gained for run, percent in progress.items()}
    assert get_speed(table, "vm") > 0.6


def test_first_progress_of_runs_shows_a_slow_vm_before_they_end():
    table = SpeedTable()
    progress = {run: 0.0 for run in range(8)}
    for clock_ms in range(1000, 5000, 700):
        poll(table, progress, clock_ms, expected_s=4.0)
        # Four times slower than expected.
        progress = {run: percent + 700 / 160 for run, percent in progress.items()}
    assert get_speed(table, "vm") < 0.7


def test_new_incarnation_starts_without_samples():
    """Guards against the speed of a VM that was replaced under the same name."""
    table = SpeedTable()
    feed_ends(table, "vm", 1.6, 40, random.Random(SEED))
    assert get_speed(table, "vm", 2) == 1.0
    assert get_estimate(table, "vm", 2).samples == 0


def test_estimate_without_new_samples_returns_to_normal():
    """Guards against avoiding a VM forever that was slow once."""
    table = SpeedTable()
    feed_ends(table, "vm", 0.25, 40, random.Random(SEED))
    center_speeds(table, ["vm"], 3600.0)
    assert get_speed(table, "vm") == pytest.approx(1.0, abs=0.01)


def test_slow_vm_without_work_is_soon_tried_again():
    """Guards against a recovery that never shows because the VM gets no work."""
    table = SpeedTable()
    feed_ends(table, "vm", 0.25, 40, random.Random(SEED))
    assert get_speed(table, "vm") < 0.4
    for second in range(20):
        center_speeds(table, ["vm"], 10.0 + second)
    assert get_speed(table, "vm") > 0.42


def test_gang_slows_only_its_slowest_vm():
    """Guards against blaming fast VMs for the pace of a slow member of their gang."""
    table = SpeedTable()
    feed_ends(table, "slow", 0.6, 40, random.Random(SEED))
    feed_ends(table, "fast", 1.6, 40, random.Random(SEED))
    fast = get_speed(table, "fast")
    for number in range(20):
        vms = [("slow", 1), ("fast", 1)]
        observe_gang(table, vms, math.log(0.6), NOISE, 500 + number, 10.0 + number)
    assert get_speed(table, "fast") == pytest.approx(fast, rel=0.1)
    assert get_speed(table, "slow") == pytest.approx(0.6, rel=0.2)


def test_lost_fast_vm_with_the_only_samples_does_not_shift_what_is_expected():
    """Guards against work that counts as short because only a fast VM, now lost, ran it."""
    generator, learner = random.Random(SEED), Learner()
    features = RunFeatures("q", 0, "north", 1, 2.0)

    def end(vm, speed, number):
        duration_s = 2.0 / speed * math.exp(generator.gauss(0, 0.1))
        learn(learner, ObservedRun(features, number, [(vm, 1)], 1.0, duration_s, True), 1.0)

    for number in range(200):
        end(f"vm-{number % 10}", 1.0, number)
    other = RunFeatures("rare", 0, "north", 1, 2.0)
    for number in range(300, 340):
        end("fast", 1.6, number)
    learn(learner, ObservedRun(other, 900, [("fast", 1)], 1.0, 2.0 / 1.6, True), 2.0)
    center_speeds(learner.speeds, [f"vm-{number}" for number in range(10)], 3.0)
    assert get_speed(learner.speeds, "fast") > 1.3
    assert get_speed(learner.speeds, "fast", 2) == 1.0
    assert learner.durations.queues["rare"].window.samples[0].log_work == pytest.approx(
        math.log(2.0), abs=0.2
    )


def test_run_that_spans_a_change_of_speed_tells_nothing():
    learner = Learner()
    get_estimate(learner.speeds, "vm", 1).changed_s = 5.0
    features = RunFeatures("q", 0, "north", 1, 1.0)
    assert not learn(learner, ObservedRun(features, 1, [("vm", 1)], 4.0, 9.0, True), 13.0)
    assert not learner.durations.queues


def test_estimates_of_vms_that_left_are_bounded():
    table = SpeedTable()
    for number in range(MAX_ESTIMATES + 50):
        get_estimate(table, f"vm-{number}", 1)
    assert len(table.estimates) == MAX_ESTIMATES
