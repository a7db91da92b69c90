"""Tests of the fair share of teams: levels, history, marks, and changes of weights and quotas."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ..core.resource import NOTHING, Resources
from ..jobs.data import JobQueue, StepSpec
from .features import Features
from .fleet import Run, book_run, release_run
from .interface import Configuration, TaskName, TeamLimits
from .planning import plan_starts
from .planning_test import NOW_S, make_fleet, make_steps
from .rank import Tier, find_tier, rank_steps
from .share import (
    FULL_HOLD_S,
    HISTORY_HALF_LIFE_S,
    MAX_TASK_SHARES,
    ShareTable,
    compute_level,
    mark_over_share,
    note_without_room,
    report_changes,
    sample_use,
)

QUEUE = JobQueue("q", "h", "/p/", "s", priority=1, stretch=3.0, latency_s=10.0)
# The VMs of planning_test have 4 cores.
CORE = Resources(1000, 1)
FAIR = Features(fair_share=True)


def make_teams(**weights):
    return {name: TeamLimits(name, weight, NOTHING) for name, weight in weights.items()}


def make_work(team, name, count=1, queue=QUEUE):
    (step,) = make_steps(StepSpec(count, CORE, 1.0), queue=queue, name=name, team=team)
    return step


def run_tasks(fleet, team, count):
    """Books runs of one core each on the VMs with the most room."""
    runs = []
    for number in range(count):
        row = max(fleet.rows.values(), key=lambda row: row.free.millicores)
        run = Run(TaskName(f"{team}-running", 0, 0, number), 1, row, team, CORE)
        book_run(fleet, run)
        runs.append(run)
    return runs


def sample(fleet, now_s=NOW_S, table=None):
    table = table or ShareTable()
    sample_use(table, fleet, now_s)
    return table


def mark(table, steps, teams, now_s=NOW_S):
    note_without_room(table, now_s)
    mark_over_share(table, steps, teams, now_s)
    return {step.key.job for step in steps if step.key in table.over}


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0.1, 10), st.floats(0, 1)), min_size=1, max_size=8),
    st.floats(0.01, 3),
)
def test_level_gives_out_the_amount_and_no_team_more_than_it_needs(demands, amount):
    level = compute_level(demands, amount)
    given_out = sum(min(demand, level * weight) for weight, demand in demands)
    assert given_out == pytest.approx(min(amount, sum(demand for _, demand in demands)))


def test_team_that_bursts_is_over_its_share_and_the_others_are_not():
    """Guards against a burst of one team that delays the work of others."""
    fleet = make_fleet(10)
    run_tasks(fleet, "loud", 30)
    run_tasks(fleet, "calm", 10)
    steps = [make_work("loud", f"l{n}") for n in range(50)] + [make_work("calm", "c")]
    teams = make_teams(loud=1, calm=1)
    assert mark(sample(fleet), steps, teams) == {f"l{n}" for n in range(50)}
    assert find_tier(steps[0], 1.0) is Tier.IN_TIME
    table = sample(fleet)
    mark(table, steps, teams)
    assert find_tier(steps[0], 1.0, table) is Tier.OVER_SHARE
    assert find_tier(steps[-1], 1.0, table) is Tier.IN_TIME


def test_room_goes_to_the_team_below_its_share_although_the_other_is_due_first():
    fleet = make_fleet(2)
    run_tasks(fleet, "loud", 6)
    table, teams = sample(fleet), make_teams(loud=1, calm=1)
    steps = [make_work("loud", f"a{n}", 2) for n in range(5)] + [make_work("calm", "b", 2)]
    note_without_room(table, NOW_S)
    configuration = Configuration(teams=teams)
    plan = plan_starts(steps, fleet, configuration, NOW_S, 1.0, features=FAIR, shares=table)
    assert {item.step.key.job for item in plan.placements} == {"b"}
    plan = plan_starts(steps, fleet, configuration, NOW_S, 1.0, shares=table)
    assert {item.step.key.job for item in plan.placements} == {"a0"}


def test_nobody_is_over_its_share_while_nothing_waits_without_room():
    """Guards against room left idle or work delayed by its share (work conservation)."""
    fleet = make_fleet(10)
    run_tasks(fleet, "loud", 30)
    table, teams = sample(fleet), make_teams(loud=1, calm=99)
    steps = [make_work("loud", "l", 10)]
    mark_over_share(table, steps, teams, NOW_S)
    assert not table.over
    configuration = Configuration(teams=teams)
    plan = plan_starts(steps, fleet, configuration, NOW_S, 1.0, features=FAIR, shares=table)
    assert len(plan.placements) == 10
    assert table.full_until_s < NOW_S
    # A team over its share takes all the room that nobody else needs.
    note_without_room(table, NOW_S)
    plan = plan_starts(steps, fleet, configuration, NOW_S, 1.0, features=FAIR, shares=table)
    assert len(plan.placements) == 10


def test_step_that_waits_without_room_makes_the_shares_count():
    fleet = make_fleet(1)
    run_tasks(fleet, "loud", 4)
    table, teams = sample(fleet), make_teams(loud=1, calm=1)
    steps = [make_work("calm", "c")]
    configuration = Configuration(teams=teams)
    plan_starts(steps, fleet, configuration, NOW_S, 1.0, features=FAIR, shares=table)
    assert table.full_until_s == NOW_S + FULL_HOLD_S


def test_step_that_waits_for_its_quota_only_does_not_make_the_shares_count():
    fleet = make_fleet(2)
    run_tasks(fleet, "capped", 1)
    teams = {"capped": TeamLimits("capped", 1, Resources(1000))}
    table = sample(fleet)
    configuration = Configuration(teams=teams)
    steps = [make_work("capped", "c")]
    plan = plan_starts(steps, fleet, configuration, NOW_S, 1.0, features=FAIR, shares=table)
    assert (plan.placements, table.full_until_s) == ([], float("-inf"))


def test_change_of_weights_takes_effect_in_the_next_tick():
    fleet = make_fleet(10)
    run_tasks(fleet, "a", 20)
    run_tasks(fleet, "b", 20)
    table, steps = sample(fleet), [make_work("a", "a", 9), make_work("b", "b", 9)]
    assert mark(table, steps, make_teams(a=3, b=1)) == {"b"}
    assert mark(table, steps, make_teams(a=1, b=3)) == {"a"}


def test_demand_beyond_a_quota_does_not_lower_the_level_of_others():
    """Guards against a team that may not run more work keeping a part for it."""
    fleet = make_fleet(10)
    run_tasks(fleet, "capped", 4)
    run_tasks(fleet, "b", 26)
    run_tasks(fleet, "c", 10)
    steps = [make_work("capped", "x", 500), make_work("b", "b", 5), make_work("c", "c", 20)]
    teams = make_teams(capped=1, b=1, c=1)
    assert mark(sample(fleet), steps, teams) == {"b"}
    level = sample(fleet)
    mark(level, steps, teams)
    before = level.level
    teams["capped"] = TeamLimits("capped", 1, Resources(4000))
    assert mark(level, steps, teams) == {"b"}
    assert level.level > before


def test_use_of_the_last_seconds_counts_and_fades():
    fleet = make_fleet(10)
    runs = run_tasks(fleet, "loud", 40)
    table = sample(fleet)
    for run in runs:
        release_run(fleet, run)
    sample(fleet, NOW_S + 1.0, table)
    use = table.teams["loud"]
    assert (use.now, use.history) == (0.0, pytest.approx(1.0))
    assert use.get_effective() == pytest.approx(0.5)
    sample(fleet, NOW_S + 1.0 + HISTORY_HALF_LIFE_S, table)
    assert use.history == pytest.approx(0.5)
    sample(fleet, NOW_S + 200.0, table)
    assert table.teams == {}


def test_new_leader_counts_the_runs_that_it_has_taken_over_as_history():
    """Guards against a change of leader that forgives the team whose burst filled the fleet."""
    fleet = make_fleet(10)
    run_tasks(fleet, "loud", 30)
    run_tasks(fleet, "calm", 10)
    table = sample(fleet)
    assert table.teams["loud"].get_effective() == pytest.approx(0.75)
    steps = [make_work("loud", "l", 9), make_work("calm", "c", 9)]
    assert mark(table, steps, make_teams(loud=1, calm=1)) == {"l"}


def test_first_step_of_a_small_team_is_within_its_share_however_large_it_is():
    """Guards against a job wider than its team's part that would never be served."""
    fleet = make_fleet(10)
    run_tasks(fleet, "big", 40)
    steps = [make_work("small", "s0", 30), make_work("small", "s1", 30), make_work("big", "b", 9)]
    assert mark(sample(fleet), steps, make_teams(big=9, small=1)) == {"s1", "b"}


def test_teams_without_a_weight_have_no_limit():
    fleet = make_fleet(10)
    run_tasks(fleet, "free", 40)
    steps = [make_work("free", "f", 9), make_work("unknown", "u", 9)]
    assert mark(sample(fleet), steps, make_teams(free=0)) == set()


def test_changes_are_reported_once():
    fleet = make_fleet(10)
    run_tasks(fleet, "loud", 40)
    table, teams = sample(fleet), make_teams(loud=1, calm=1)
    steps = [make_work("loud", "l", 9), make_work("calm", "c", 40)]
    mark(table, steps, teams)
    assert report_changes(table) == [("loud", True)]
    mark(table, steps, teams)
    assert report_changes(table) == []
    mark_over_share(table, steps, teams, NOW_S + 2 * FULL_HOLD_S)
    assert report_changes(table) == [("loud", False)]


def test_work_that_can_not_be_finished_in_time_goes_after_work_that_can():
    """Guards against serving what is due first, which makes all work late under overload."""
    tight = JobQueue("q", "h", "/p/", "s", priority=1, stretch=2.0, latency_s=0.0)
    doomed, fresh = make_work("t", "doomed", queue=tight), make_work("t", "fresh", queue=tight)
    lost = make_work("t", "lost", queue=tight)
    # Each takes 1 s and is due 2 s after its acceptance at 1.0.
    fresh.work.due_s, lost.work.due_s = 4.0, -1.2
    shares = ShareTable()
    tiers = [find_tier(step, 2.5, shares) for step in (doomed, fresh, lost)]
    assert tiers == [Tier.LATE, Tier.IN_TIME, Tier.USELESS]
    order = rank_steps([lost, doomed, fresh], 2.5, shares, {}, NOW_S)
    assert [step.key.job for _, step in order] == ["fresh", "doomed", "lost"]
    assert find_tier(doomed, 2.5) is Tier.IN_TIME


def test_urgent_step_is_not_charged_with_the_long_runs_of_its_team():
    """Guards against interactive requests that wait because their team's reviews fill the fleet."""
    fleet = make_fleet(10)
    for run in run_tasks(fleet, "loud", 30):
        run.priority = 2
    run_tasks(fleet, "calm", 10)
    urgent = JobQueue("u", "h", "/u/", "s", priority=0, stretch=3.0, latency_s=10.0)
    steps = [
        make_work("loud", "u", queue=urgent),
        make_work("loud", "l", 9),
        make_work("calm", "c", 9),
    ]
    table = ShareTable()
    note_without_room(table, NOW_S)
    sample(fleet, NOW_S, table)
    assert mark(table, steps, make_teams(loud=1, calm=1)) == {"l"}


def test_shares_of_needs_are_bounded():
    """Guards against a flood of jobs with new needs that fills the leader's memory."""
    fleet = make_fleet(2)
    table = sample(fleet)
    for number in range(2 * MAX_TASK_SHARES):
        need = Resources(1, number)
        step = make_steps(StepSpec(1, need, 1.0), queue=QUEUE, name=f"s{number}")[0]
        mark(table, [step], make_teams(t=1))
    assert len(table.task_shares) <= MAX_TASK_SHARES
