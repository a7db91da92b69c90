"""Tests of the evidence against tasks that crash VMs, and of the placement of suspects."""

import pytest

from ..core.resource import Resources
from ..jobs.data import CrashRecord, Job, JobQueue, JobSpec, Progress, StepSpec
from .crash import (
    GIVE_UP_DELAY_S,
    SURVIVED_S,
    CrashTable,
    clear_survivors,
    judge_isolation,
    list_condemned,
    note_crash,
    note_loss,
)
from .fleet import Fleet, Isolation, Run, RunPhase, book_run, put_vm, release_run
from .interface import Configuration, ListedVm
from .isolation import MAX_WAIT_APART_S, MAX_WAIT_ENDLESS_S, MAX_WAIT_S
from .planning import plan_starts
from .work import add_run, open_due_occurrences, open_job

NOW_S = 100.0
NEED = Resources(1000, 1000)
QUEUE = JobQueue("q", "h", "/p/", "s")


def make_fleet(count):
    fleet = Fleet()
    for number in range(count):
        capacity = Resources(4000, 8000)
        listed = ListedVm(f"v{number}", 1, "s", "a:1", "z", "r", (), capacity, False)
        row = put_vm(fleet, listed)
        row.answered, row.heard_s = True, NOW_S
    return fleet


def make_step(name, count=1, **options):
    job = Job(name, "t", QUEUE, JobSpec("", (StepSpec(count, NEED, **options),)), 1.0)
    work = open_job(job, Progress())
    open_due_occurrences(work, 1.0)
    return work.steps[0, 0]


def start_run(fleet, step, index, vm, number=1, phase=RunPhase.RUNNING):
    row = fleet.rows[vm]
    run = Run(step.make_task_name(index), number, row, "t", NEED, phase, incarnation=1)
    run.isolation = min(judge_isolation(step, index), Isolation.ALONE)
    run.expects_progress = not step.spec.endless
    book_run(fleet, run)
    add_run(step, run)
    return run


def crash(table, fleet, steps, vm, at_s):
    """Notes a crash of a VM and ends its runs, as the leader does."""
    row = fleet.rows[vm]
    changed = note_crash(table, {step.key.job: step.work for step in steps}, row, 2, at_s)
    for run in list(row.runs.values()):
        release_run(fleet, run)
        for step in steps:
            if step.key.job == run.task.job:
                step.active.pop(run.task.index, None)
                step.waiting.add(run.task.index)
    return changed


def plan(steps, fleet, now_s=NOW_S):
    for row in fleet.rows.values():
        row.heard_s = now_s
    return plan_starts(steps, fleet, Configuration(), now_s, 1.0).placements


def blame(step, index, blamed, alone=0):
    step.step_progress.crashes[index] = CrashRecord(blamed, blamed, alone)


def test_run_that_was_not_yet_ordered_or_not_wanted_is_no_suspect():
    fleet, table = make_fleet(1), CrashTable()
    steps = [make_step("a"), make_step("b"), make_step("c")]
    start_run(fleet, steps[0], 0, "v0", phase=RunPhase.RECORDING)
    start_run(fleet, steps[1], 0, "v0").wanted = False
    start_run(fleet, steps[2], 0, "v0")
    assert crash(table, fleet, steps, "v0", NOW_S) == [steps[2]]
    assert steps[2].step_progress.crashes == {0: CrashRecord(1, 1, 0, 1)}


def test_run_that_a_restarted_vm_does_not_list_is_not_counted_for_its_next_restart():
    fleet, table, step = make_fleet(1), CrashTable(), make_step("a")
    run = start_run(fleet, step, 0, "v0")
    for incarnation, phase in ((2, RunPhase.UNSURE), (3, RunPhase.UNSURE)):
        note_crash(table, {"a": step.work}, run.vm, incarnation, NOW_S)
        run.phase = phase
    assert step.step_progress.crashes[0].total == 1
    run.phase = RunPhase.RUNNING
    note_crash(table, {"a": step.work}, run.vm, 4, NOW_S)
    assert step.step_progress.crashes[0].total == 2


def test_members_of_a_gang_on_several_vms_count_as_one_crash():
    fleet, table, gang = make_fleet(4), CrashTable(), make_step("a", 4, gang=True)
    for index in range(4):
        start_run(fleet, gang, index, f"v{index}")
    for index in range(4):
        crash(table, fleet, [gang], f"v{index}", NOW_S)
    assert gang.step_progress.crashes == {0: CrashRecord(1, 1, 1, 1)}


def test_loss_of_several_vms_at_once_is_blamed_on_no_task():
    fleet, table = make_fleet(4), CrashTable()
    steps = [make_step(f"j{number}") for number in range(4)]
    for number, step in enumerate(steps):
        start_run(fleet, step, 0, f"v{number}")
    for number in range(4):
        crash(table, fleet, steps, f"v{number}", NOW_S + 0.1 * number)
    assert [step.step_progress.crashes[0].blamed for step in steps] == [0, 0, 0, 0]
    assert [step.step_progress.crashes[0].total for step in steps] == [1, 1, 1, 1]


def test_crashes_at_the_same_time_of_vms_with_isolated_tasks_have_no_common_cause():
    fleet, table = make_fleet(4), CrashTable()
    steps = [make_step(f"j{number}") for number in range(4)]
    for number, step in enumerate(steps):
        blame(step, 0, 2, alone=1)
        start_run(fleet, step, 0, f"v{number}")
    for number in range(4):
        crash(table, fleet, steps, f"v{number}", NOW_S)
    assert [step.step_progress.crashes[0].blamed for step in steps] == [3, 3, 3, 3]
    assert list_condemned(table, NOW_S) == []
    assert len(list_condemned(table, NOW_S + GIVE_UP_DELAY_S)) == 4


def test_vm_that_only_lapsed_is_blamed_on_an_isolated_task_alone():
    fleet, table = make_fleet(2), CrashTable()
    steps = [make_step("a"), make_step("b")]
    blame(steps[1], 0, 2)
    for number, step in enumerate(steps):
        run = start_run(fleet, step, 0, f"v{number}")
        note_loss(table, {step.key.job: step.work}, run.vm, list(run.vm.runs.values()))
    assert [step.step_progress.crashes[0].blamed for step in steps] == [0, 3]


def test_neighbour_of_a_crashing_task_is_not_given_up_without_having_run_alone():
    fleet, table, steps = make_fleet(1), CrashTable(), [make_step("a"), make_step("b")]
    for number in range(1, 4):
        for step in steps:
            start_run(fleet, step, 0, "v0", number)
        crash(table, fleet, steps, "v0", NOW_S + 10 * number)
    assert [judge_isolation(step, 0) for step in steps] == [Isolation.ALONE] * 2
    for number in (4, 5):
        start_run(fleet, steps[0], 0, "v0", number)
        crash(table, fleet, steps, "v0", NOW_S + 10 * number)
    assert [judge_isolation(step, 0) for step in steps] == [Isolation.HELD, Isolation.ALONE]


def test_run_that_goes_on_clears_its_task_and_opens_its_vm():
    fleet, table, step = make_fleet(1), CrashTable(), make_step("a", endless=True)
    blame(step, 0, 2)
    table.suspects[step.key] = step
    run = start_run(fleet, step, 0, "v0")
    run.started_s = NOW_S
    other = make_step("b")
    assert plan([other], fleet) == []
    assert clear_survivors(table, NOW_S + SURVIVED_S - 1, 0.0) == []
    assert clear_survivors(table, NOW_S + SURVIVED_S, 0.0) == [step]
    assert len(plan([other], fleet)) == 1


def test_suspects_are_spread_over_the_vms():
    fleet = make_fleet(4)
    steps = [make_step(f"j{number}") for number in range(4)]
    for step in steps:
        blame(step, 0, 1)
    assert len({placement.vm.name for placement in plan(steps, fleet)}) == 4


def test_suspect_waits_for_a_vm_without_others_but_not_for_long():
    fleet, step = make_fleet(1), make_step("a", 2)
    for index in range(2):
        blame(step, index, 1)
    start_run(fleet, step, 0, "v0")
    assert plan([step], fleet) == []
    assert len(plan([step], fleet, NOW_S + MAX_WAIT_APART_S)) == 1


def test_task_that_must_be_alone_shares_its_vm_with_no_other_placement_of_the_tick():
    fleet, suspect = make_fleet(2), make_step("a", 4)
    blame(suspect, 2, 2)
    others = [make_step(f"j{number}") for number in range(8)]
    placements = plan([suspect, *others], fleet)
    (alone,) = [item for item in placements if item.step is suspect and item.index == 2]
    assert [item for item in placements if item.vm is alone.vm] == [alone]
    assert len(placements) == 5


@pytest.mark.parametrize(
    ("endless", "max_wait_s"), [(False, MAX_WAIT_S), (True, MAX_WAIT_ENDLESS_S)]
)
def test_task_that_must_be_alone_does_not_starve_where_no_vm_is_empty(endless, max_wait_s):
    fleet, suspect = make_fleet(2), make_step("a", endless=endless)
    blame(suspect, 0, 2)
    service = make_step("b", 2, endless=True)
    for index in range(2):
        start_run(fleet, service, index, f"v{index}")
    assert plan([suspect], fleet) == []
    assert plan([suspect], fleet, NOW_S + max_wait_s - 0.1) == []
    assert len(plan([suspect], fleet, NOW_S + max_wait_s)) == 1


def test_vm_is_emptied_for_a_task_that_must_be_alone():
    fleet, suspect = make_fleet(2), make_step("a")
    blame(suspect, 0, 2)
    busy = make_step("b", 2)
    runs = [start_run(fleet, busy, index, f"v{index}") for index in range(2)]
    assert plan([suspect], fleet) == []
    (reserved,) = fleet.reservations
    later = make_step("c", 8)
    later.work.job.accepted_s = 2.0
    placements = plan([suspect, later], fleet)
    assert len(placements) == 3
    assert reserved not in {placement.vm.name for placement in placements}
    release_run(fleet, runs[0 if reserved == "v0" else 1])
    assert [placement.step for placement in plan([suspect], fleet)] == [suspect]


def test_gang_that_must_be_alone_gets_empty_vms():
    fleet, gang = make_fleet(3), make_step("a", 6, gang=True)
    blame(gang, 0, 2)
    other = make_step("b")
    start_run(fleet, other, 0, "v1")
    assert {item.vm.name for item in plan([gang], fleet)} == {"v0", "v2"}


def test_task_that_is_to_be_given_up_is_not_started():
    fleet, step = make_fleet(1), make_step("a", 2)
    blame(step, 1, 3, alone=2)
    assert [placement.index for placement in plan([step], fleet)] == [0]
