"""Tests of the learned durations without a network, on replayed loads and on the failures."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...bench.durations import CUSTOMERS, WAYS, find_quantile, generate_runs, replay
from ...core.resource import Resources
from .duration import (
    MAX_QUEUES,
    MAX_TEAM_ENTRIES,
    MAX_TEAMS,
    DurationTable,
    RunFeatures,
    find_size,
    is_sampled,
    predict,
    record_run,
    set_running,
)
from .samplewindow import MAX_TEAM_PART, Sample, SampleWindow, add_sample, find_quantiles, fit_slope

SEED = 7
REPLAY_S = 30.0
# Of fewer runs, by chance none may be over the high quantile.
MIN_CALIBRATED_RUNS = 100
SIZE = find_size(Resources(1000, 1024))


def make_features(team="north", estimate_s=1.0, queue="q", step=0, size=SIZE):
    return RunFeatures(queue, step, team, size, estimate_s)


def record_many(table, work_s, count=40, estimate_s=1.0, first=0, **features):
    for number in range(first, first + count):
        found = make_features(estimate_s=estimate_s, **features)
        record_run(table, found, number, math.log(work_s), True, 1.0)


@pytest.mark.parametrize("customer", CUSTOMERS, ids=lambda customer: customer.name)
def test_replayed_load_is_expected_better_than_by_estimate_or_one_ratio(customer):
    """Guards against learning that is worse than the estimate for a queue of the customers."""
    runs = generate_runs(customer, REPLAY_S, random.Random(SEED))
    scores = {name: replay(make_way(), runs, 5.0) for name, make_way in WAYS.items()}
    for queue in customer.queues:
        medians = {
            name: find_quantile(found[queue.name].errors, 0.5) for name, found in scores.items()
        }
        learned = scores["back-off, speeds"][queue.name]
        assert medians["back-off, speeds"] < 0.85 * medians["estimate"], queue.name
        # On gangs with good estimates, one ratio for the queue is as good.
        assert medians["back-off, speeds"] < 1.3 * medians["queue ratio"], queue.name
        over_high = sum(learned.over_high) / len(learned.over_high)
        assert over_high < 0.2, queue.name
        assert over_high > 0.03 or len(learned.over_high) < MIN_CALIBRATED_RUNS, queue.name


def test_without_samples_the_estimate_is_expected():
    prediction = predict(DurationTable(), make_features(estimate_s=3.0), 1.0)
    expectation = prediction.make_expectation()
    assert expectation.median_s == pytest.approx(3.0)
    assert expectation.high_s == pytest.approx(6.0)
    assert expectation.samples == 0


def test_estimate_counts_only_where_it_tells_the_work():
    """Guards against trusting an estimate that says nothing, and against ignoring a good one."""
    generator = random.Random(SEED)
    good, useless = SampleWindow(200), SampleWindow(200)
    for number in range(200):
        work, other = generator.gauss(0, 0.5), generator.gauss(0, 0.5)
        add_sample(good, Sample(work, work + generator.gauss(0, 0.05), True, "t", number), 1.0)
        add_sample(useless, Sample(work, other, True, "t", number), 1.0)
    assert fit_slope(good) > 0.9
    assert fit_slope(useless) < 0.2


def test_flood_of_new_requirements_replaces_only_entries_of_its_own_team():
    """Guards against tables that grow with what callers send."""
    table = DurationTable()
    record_many(table, 2.0, team="south")
    for number in range(5000):
        features = make_features("north", 1.0, "q", number % 50, number)
        record_run(table, features, number, math.log(30.0), True, 2.0)
    assert len(table.teams["north"]) <= MAX_TEAM_ENTRIES
    assert len(table.teams["south"]) == 2
    steps = table.queues["q"].steps
    assert len(steps) <= 8
    # The flood has at most its part of the shared windows.
    window = table.queues["q"].window
    assert window.team_counts["north"] <= MAX_TEAM_PART * window.size
    assert predict(table, make_features("south"), 2.0).log_median < math.log(2.5)


def test_flood_of_teams_and_queues_is_bounded():
    """Guards against tables that grow with names."""
    table = DurationTable()
    for number in range(3 * MAX_TEAMS):
        features = make_features(f"t{number}", 1.0, f"q{number}")
        record_run(table, features, number, 0.0, True, 1.0)
    assert len(table.teams) <= MAX_TEAMS
    assert len(table.queues) <= MAX_QUEUES


def test_stopped_runs_count_as_longer_than_they_ran():
    """Guards against taking the time until an eviction for the duration."""
    table, ignoring = DurationTable(), DurationTable()
    for number in range(60):
        features = make_features()
        stopped = number % 2 == 0
        work_s = 0.5 if stopped else 4.0
        record_run(table, features, number, math.log(work_s), not stopped, 1.0)
        record_run(ignoring, features, number, math.log(work_s), True, 1.0)
    assert predict(table, make_features(), 1.0).log_median > math.log(3.0)
    assert predict(ignoring, make_features(), 1.0).log_median < math.log(3.0)


def test_running_runs_count_until_the_window_is_full():
    """Guards against expecting only the short runs, which end first after a start."""
    table = DurationTable()
    record_many(table, 0.2, count=4)
    before = predict(table, make_features(), 1.0).log_median
    set_running(table, [(make_features(), math.log(5.0))] * 30)
    assert predict(table, make_features(), 1.0).log_median > before
    set_running(table, [])
    assert predict(table, make_features(), 1.0).log_median == pytest.approx(before)


def test_change_of_a_queue_is_followed():
    """Guards against samples of the past that count forever."""
    table = DurationTable()
    record_many(table, 1.0, count=300)
    record_many(table, 4.0, count=150, first=1000)
    assert predict(table, make_features(), 1.0).log_median > math.log(3.0)


def test_few_tasks_of_a_wide_step_are_sampled_and_all_of_a_narrow_one():
    assert [index for index in range(3) if is_sampled(index, 3)] == [0, 1, 2]
    assert 3 <= sum(is_sampled(index, 25) for index in range(25)) <= 4
    assert is_sampled(0, 0)


@given(st.lists(st.tuples(st.floats(-5, 5), st.booleans()), min_size=1, max_size=40))
def test_quantiles_ascend_and_are_among_the_values(values):
    """Guards against quantiles that cross when samples are censored."""
    found = find_quantiles(list(values), (0.25, 0.5, 0.75, 0.9))
    assert found == sorted(found)
    assert set(found) <= {value for value, _ in values}


def test_quantiles_of_exact_values_are_those_of_the_sample():
    values = [(float(number), False) for number in range(1, 100)]
    assert find_quantiles(values, (0.5, 0.9)) == [50.0, 90.0]
