"""Tests of the order of steps under overload, and of evictions for urgent work."""

from ..core.resource import Resources
from ..jobs.data import Job, JobQueue, JobSpec, Progress, StepSpec
from .eviction import choose_evictions, choose_vms_to_reserve
from .fleet import Run, RunPhase, book_run
from .interface import Configuration, TaskName, TeamLimits
from .planning import plan_starts
from .planning_test import NOW_S, make_fleet, make_steps
from .rank import Tier, TokenBucket, find_tier, rank_step, take_share_token
from .work import open_job

URGENT = JobQueue("u", "h", "/u/", "s", priority=0, stretch=1.5, latency_s=0.25)
SLACK = JobQueue("l", "h", "/l/", "s", priority=2, stretch=4.0, latency_s=3.0)


def make_step(queue, accepted_s, name="a", estimate_s=1.0):
    spec = StepSpec(1, Resources(1000, 1), estimate_s)
    (step,) = make_steps(spec, queue=queue, name=name)
    work = open_job(Job(name, "t", queue, JobSpec("", (spec,)), accepted_s), Progress())
    step.work.due_s, step.work.target_s = work.due_s, work.target_s
    return step


def test_work_in_time_goes_before_late_work_and_useless_work_goes_last():
    late, useless = make_step(URGENT, 98.0, "late"), make_step(URGENT, 80.0, "useless")
    fresh, slack = make_step(URGENT, 99.9, "fresh"), make_step(SLACK, 95.0, "slack")
    assert [find_tier(step, 100.0) for step in (fresh, late, useless, slack)] == [
        Tier.IN_TIME,
        Tier.LATE,
        Tier.USELESS,
        Tier.IN_TIME,
    ]
    order = sorted((late, useless, fresh, slack), key=lambda step: rank_step(step, 100.0))
    assert [step.key.job for step in order] == ["fresh", "slack", "late", "useless"]


def test_jobs_beyond_the_share_of_a_team_are_surplus_until_its_tokens_refill():
    buckets: dict[str, TokenBucket] = {}
    team = TeamLimits("t", 2, Resources())

    def send(at_s):
        return take_share_token(buckets, team, Job("a", "t", SLACK, JobSpec("", ()), at_s))

    assert [send(10.0) for _ in range(6)] == [False] * 4 + [True] * 2
    assert not send(10.5)
    assert send(10.5)


def add_running(fleet, row, number, priority, has_checkpoints, started_s):
    run = Run(TaskName("other", 0, 0, number), number, row, "o", Resources(1000, 1000))
    run.phase, run.priority, run.started_s = RunPhase.RUNNING, priority, started_s
    run.evictable, run.has_checkpoints = True, has_checkpoints
    book_run(fleet, run)
    return run


def test_urgent_step_evicts_the_run_that_loses_least():
    fleet = make_fleet(1)
    row = fleet.rows["v0"]
    checkpointed = add_running(fleet, row, 1, 2, True, NOW_S - 50)
    add_running(fleet, row, 2, 2, False, NOW_S - 4)
    add_running(fleet, row, 3, 0, True, NOW_S - 50)
    add_running(fleet, row, 4, 2, False, NOW_S - 5)
    step = make_step(URGENT, 0.9)
    plan = plan_starts([step], fleet, Configuration(), NOW_S, 1.0)
    assert plan.evictions == [checkpointed]
    assert fleet.reservations["v0"].step == step.key
    again = plan_starts([step], fleet, Configuration(), NOW_S + 0.01, 1.0)
    assert again.evictions == []


def test_late_work_evicts_nothing():
    fleet = make_fleet(1, Resources(1000, 1000))
    add_running(fleet, fleet.rows["v0"], 1, 2, True, NOW_S - 1)
    plan = plan_starts([make_step(URGENT, -2.0)], fleet, Configuration(), NOW_S, 1.0)
    assert plan.evictions == []


def test_gang_without_room_keeps_vms_that_less_urgent_work_may_not_take():
    fleet = make_fleet(2)
    for row in fleet.rows.values():
        run = add_running(fleet, row, 1, 1, False, NOW_S - 1)
        run.evictable = False
    queue = JobQueue("g", "h", "/g/", "s", priority=1, latency_s=5.0)
    (gang,) = make_steps(StepSpec(8, Resources(1000, 1), 1.0, gang=True), queue=queue, name="g")
    (small,) = make_steps(StepSpec(6, Resources(1000, 1), 1.0), queue=SLACK, name="s")
    (urgent,) = make_steps(StepSpec(1, Resources(1000, 1), 1.0), queue=URGENT, name="u")
    plan = plan_starts([gang, small, urgent], fleet, Configuration(), NOW_S, 1.0)
    assert set(fleet.reservations) == {"v0", "v1"}
    assert [item.step.key.job for item in plan.placements] == ["u"]


def test_eviction_for_a_gang_is_all_or_nothing():
    fleet = make_fleet(1)
    row = fleet.rows["v0"]
    for number in range(1, 4):
        add_running(fleet, row, number, 2, True, NOW_S - 1)
    queue = JobQueue("g", "h", "/g/", "s", priority=1)
    (gang,) = make_steps(StepSpec(5, Resources(1000, 1), gang=True), queue=queue)
    free = {"v0": row.free}
    assert choose_evictions(gang, [row], free, 5, NOW_S) is None
    assert choose_vms_to_reserve(gang, [row], free, 5) == []
    (fits,) = make_steps(StepSpec(4, Resources(1000, 1), gang=True), queue=queue)
    assert len(choose_evictions(fits, [row], free, 4, NOW_S).runs) == 3


def make_blocked_gang(fleet, latency_s):
    """Returns a gang of six tasks that needs three empty VMs; each VM has room for one task now."""
    for row in fleet.rows.values():
        run = add_running(fleet, row, 1, 1, False, NOW_S - 1)
        run.evictable = False
    queue = JobQueue("g", "h", "/g/", "s", priority=1, latency_s=latency_s)
    spec = StepSpec(6, Resources(2000, 1), 0.5, gang=True)
    (gang,) = make_steps(spec, queue=queue, name="g")
    return gang


def test_urgent_work_leaves_vms_kept_for_a_gang_alone_while_others_have_room():
    fleet = make_fleet(4)
    gang = make_blocked_gang(fleet, 5.0)
    plan_starts([gang], fleet, Configuration(), NOW_S, 1.0)
    kept = set(fleet.reservations)
    assert len(kept) == 3
    (urgent,) = make_steps(StepSpec(3, Resources(1000, 1), 1.0), queue=URGENT, name="u")
    plan = plan_starts([gang, urgent], fleet, Configuration(), NOW_S, 1.0)
    assert len(plan.placements) == 3
    assert not kept & {item.vm.name for item in plan.placements}


def test_gang_that_has_become_late_keeps_its_vms_against_work_in_time():
    fleet = make_fleet(3)
    gang = make_blocked_gang(fleet, 1.0)
    (small,) = make_steps(StepSpec(6, Resources(1000, 1), 9.0), queue=SLACK, name="s")
    plan_starts([gang], fleet, Configuration(), NOW_S, 1.0)
    assert len(fleet.reservations) == 3
    for tick in range(1, 4):
        plan = plan_starts([gang, small], fleet, Configuration(), NOW_S + tick / 10, 20.0)
        assert plan.placements == []


def make_serving_step(accepted_s, last_run):
    """Returns a lasting step of two tasks, one of which runs on no VM now."""
    spec = StepSpec(2, Resources(1000, 1), 1.0, endless=True)
    (step,) = make_steps(spec, queue=SLACK, name="service")
    work = open_job(Job("service", "t", SLACK, JobSpec("", (spec,)), accepted_s), Progress())
    step.work.due_s, step.work.target_s = work.due_s, work.target_s
    step.step_progress.last_run = last_run
    step.waiting = {1}
    return step


def test_ended_task_of_an_old_lasting_step_starts_before_new_urgent_work():
    fleet = make_fleet(1, Resources(1000, 1000))
    fresh, serving = make_step(URGENT, 99.9, "fresh"), make_serving_step(10.0, 2)
    plan = plan_starts([fresh, serving], fleet, Configuration(), NOW_S, 100.0)
    assert [item.step.key.job for item in plan.placements] == ["service"]


def test_vms_kept_for_a_gang_do_not_keep_an_ended_lasting_task_from_its_restart():
    fleet = make_fleet(3)
    gang = make_blocked_gang(fleet, 5.0)
    plan_starts([gang], fleet, Configuration(), NOW_S, 1.0)
    assert len(fleet.reservations) == 3
    plan = plan_starts([gang, make_serving_step(-90.0, 2)], fleet, Configuration(), NOW_S, 1.0)
    assert [item.step.key.job for item in plan.placements] == ["service"]


def test_lasting_step_that_never_had_all_its_tasks_is_late_but_of_use():
    assert find_tier(make_serving_step(10.0, 1), 100.0) is Tier.LATE
    assert find_tier(make_serving_step(99.9, 1), 100.0) is Tier.IN_TIME


def test_gang_keeps_no_vm_whose_room_is_held_by_a_lasting_run():
    fleet = make_fleet(3)
    gang = make_blocked_gang(fleet, 5.0)
    for run in fleet.rows["v1"].runs.values():
        run.endless = True
    (small,) = make_steps(StepSpec(1, Resources(1000, 1), 1.0), queue=SLACK, name="s")
    plan = plan_starts([gang, small], fleet, Configuration(), NOW_S, 1.0)
    assert fleet.reservations == {}
    assert [item.step.key.job for item in plan.placements] == ["s"]


def test_gang_gives_up_its_vms_when_one_of_them_is_lost():
    fleet = make_fleet(3)
    gang = make_blocked_gang(fleet, 5.0)
    (small,) = make_steps(StepSpec(1, Resources(1000, 1), 1.0), queue=SLACK, name="s")
    plan_starts([gang], fleet, Configuration(), NOW_S, 1.0)
    assert len(fleet.reservations) == 3
    fleet.rows["v1"].in_registry = False
    for tick in range(20):
        plan = plan_starts([gang, small], fleet, Configuration(), NOW_S + tick / 10, 1.0)
        for name in ("v0", "v2"):
            fleet.rows[name].heard_s = NOW_S + tick / 10
    assert [item.step.key.job for item in plan.placements] == ["s"]


def test_gang_limited_to_one_task_a_vm_keeps_no_vms_when_there_are_too_few():
    fleet = make_fleet(3)
    for row in fleet.rows.values():
        add_running(fleet, row, 1, 1, False, NOW_S - 1).evictable = False
    queue = JobQueue("g", "h", "/g/", "s", priority=1, latency_s=5.0)
    spec = StepSpec(4, Resources(1000, 1), 0.5, gang=True, max_per_vm=1)
    (gang,) = make_steps(spec, queue=queue, name="g")
    (small,) = make_steps(StepSpec(1, Resources(1000, 1), 1.0), queue=SLACK, name="s")
    plan = plan_starts([gang, small], fleet, Configuration(), NOW_S, 1.0)
    assert fleet.reservations == {}
    assert [item.step.key.job for item in plan.placements] == ["s"]


def test_step_limited_to_one_task_a_vm_evicts_nothing_where_it_may_not_start():
    fleet = make_fleet(1)
    row = fleet.rows["v0"]
    add_running(fleet, row, 1, 2, True, NOW_S - 50)
    add_running(fleet, row, 2, 2, True, NOW_S - 50)
    spec = StepSpec(3, Resources(2000, 1), 1.0, max_per_vm=1)
    (step,) = make_steps(spec, queue=URGENT, name="u")
    plan = plan_starts([step], fleet, Configuration(), NOW_S, 1.0)
    assert (len(plan.placements), plan.evictions) == (1, [])
