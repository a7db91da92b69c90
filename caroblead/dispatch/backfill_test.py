"""Tests of backfilling and of the bounds of evictions."""

import asyncio
from dataclasses import replace

import pytest

from ..core.resource import Resources
from ..jobs.data import CrashRecord, JobQueue, JobState, StepSpec
from ..jobs.ledger import find_state
from ..node import program
from ..node.gauges import write_metrics
from ..standin.cluster import (
    find_leader,
    kill_node,
    run_scenario,
    start_site,
    submit,
    wait_for_leader,
)
from ..standin.trial import check_site
from ..standin.work import make_spec
from .backfill import estimate_earliest_start, may_evict
from .features import Features
from .fleet import Run, RunPhase, book_run, release_run
from .interface import Configuration
from .planning import plan_starts
from .planning_test import NOW_S, make_fleet, make_steps
from .work import StepWork, add_run, copy_step_attributes, remove_run

GANGS = JobQueue("g", "h", "/g/", "s", priority=1, stretch=9.0, latency_s=100.0)
SHORT = JobQueue("l", "h", "/l/", "s", priority=2, stretch=9.0, latency_s=100.0)
URGENT = JobQueue("u", "h", "/u/", "s", priority=0, stretch=2.0, latency_s=1.0)
WHOLE_VM = Resources(4000, 1000)
ON, OFF = Features(backfill=True), Features()


def plan(steps, fleet, features=ON, now_s=NOW_S):
    for row in fleet.rows.values():
        row.heard_s = now_s
    return plan_starts(steps, fleet, Configuration(), now_s, now_s - NOW_S, frozenset(), features)


def make_one(name, queue, spec) -> StepWork:
    (step,) = make_steps(spec, queue=queue, name=name)
    return step


def make_gang(count=3, name="g"):
    return make_one(name, GANGS, StepSpec(count, WHOLE_VM, 10.0, gang=True))


def make_short(estimate_s, name="s", queue=SHORT, **options):
    return make_one(name, queue, StepSpec(1, Resources(1000, 1), estimate_s, **options))


def start(fleet, step, index, vm, now_s=NOW_S, backfills=None):
    run = Run(step.make_task_name(index), 1, fleet.rows[vm], "t", step.spec.need, RunPhase.RUNNING)
    run.started_s, run.backfills = now_s, backfills
    book_run(fleet, run)
    add_run(step, copy_step_attributes(step, run))
    return run


def make_waiting_gang(estimate_s=20.0):
    """Returns three VMs with a gang that needs all, and a run on one of them; two are idle."""
    fleet, gang = make_fleet(3), make_gang()
    other = make_one("other", GANGS, StepSpec(1, WHOLE_VM, estimate_s))
    run = start(fleet, other, 0, "v2")
    return fleet, gang, run


def test_short_work_uses_the_vms_of_a_gang_only_if_enabled():
    fleet, gang, _ = make_waiting_gang()
    assert plan([gang, make_short(2.0)], fleet, OFF).placements == []
    (placement,) = plan([gang, make_short(2.0)], fleet).placements
    assert placement.backfills == gang.key
    assert placement.vm.name in ("v0", "v1")


@pytest.mark.parametrize(
    ("estimate_s", "elapsed_s", "expected"), [(4.7, 0, 1), (4.9, 0, 0), (2.0, 5, 1), (2.0, 6, 0)]
)
def test_work_that_may_end_after_the_gang_can_start_does_not_start(estimate_s, elapsed_s, expected):
    # Estimated at 20 s, the run on the last VM may end 10 s after its start at the earliest.
    fleet, gang, _ = make_waiting_gang(20.0)
    steps = [gang, make_short(estimate_s)]
    assert len(plan(steps, fleet, now_s=NOW_S + elapsed_s).placements) == expected


def test_slow_vm_is_backfilled_only_with_work_that_ends_there_in_time():
    """Guards against a gang delayed by work that takes four times as long on a slow VM."""
    fleet, gang, _ = make_waiting_gang(20.0)
    fleet.rows["v0"].speed = fleet.rows["v1"].speed = 0.25
    assert plan([gang, make_short(2.0)], fleet).placements == []
    assert len(plan([gang, make_short(1.0)], fleet).placements) == 1
    fleet, gang, _ = make_waiting_gang(20.0)
    fleet.rows["v0"].speed = 0.25
    (placement,) = plan([gang, make_short(4.0)], fleet).placements
    assert placement.vm.name == "v1"


def test_end_of_a_run_is_expected_by_the_speed_of_its_vm():
    fleet = make_fleet(2)
    fleet.rows["v0"].speed = 0.5
    slow, normal = (start(fleet, make_short(2.0, name), 0, name) for name in ("v0", "v1"))
    assert slow.high_s == pytest.approx(2 * normal.high_s)
    assert slow.low_s == pytest.approx(2 * normal.low_s)


@pytest.mark.parametrize(
    "options", [{"gang": True}, {"endless": True}, {"fills": True}, {"miss_tolerance": 1}]
)
def test_work_that_cannot_be_evicted_or_does_not_end_is_not_backfilled(options):
    fleet, gang, _ = make_waiting_gang()
    short = make_short(2.0, **options)
    assert plan([gang, short], fleet).placements == []


def test_task_that_was_evicted_before_is_not_backfilled():
    fleet, gang, _ = make_waiting_gang()
    short = make_short(2.0)
    short.evicted.add(0)
    assert plan([gang, short], fleet).placements == []


def test_runs_whose_end_is_not_known_may_end_now():
    for phase, started_s in ((RunPhase.INHERITED, 0.0), (RunPhase.STOPPING, NOW_S)):
        fleet, gang, run = make_waiting_gang()
        run.phase, run.started_s = phase, started_s
        assert plan([gang, make_short(0.1)], fleet).placements == []


def test_vms_that_must_become_empty_for_an_isolated_gang_are_not_backfilled():
    fleet, gang, _ = make_waiting_gang()
    for row in fleet.rows.values():
        for run in row.runs.values():
            run.expects_progress = True
    gang.step_progress.crashes[0] = CrashRecord(2, 2, 0)
    assert plan([gang, make_short(2.0)], fleet).placements == []
    assert len(fleet.reservations) == 3


def test_backfilled_work_does_not_put_off_the_time_until_which_other_work_may_run():
    fleet, gang, run = make_waiting_gang()
    rows = list(fleet.rows.values())
    assert estimate_earliest_start(gang, rows, NOW_S) == NOW_S + 10
    start(fleet, make_short(40.0), 0, "v0", backfills=gang.key)
    assert estimate_earliest_start(gang, rows, NOW_S) == NOW_S + 10
    release_run(fleet, run)
    assert estimate_earliest_start(gang, rows, NOW_S) == NOW_S


def test_work_without_room_takes_no_reservation_of_a_gang_and_evicts_nothing_there():
    fleet, gang, _ = make_waiting_gang()
    plan([gang], fleet)
    filler = make_one("filler", SHORT, StepSpec(8, Resources(1000, 1), 2.0))
    for index in range(8):
        start(fleet, filler, index, f"v{index % 2}", backfills=gang.key)
    later = replace(GANGS, latency_s=900.0)
    short = make_short(2.0, queue=later)
    found = plan([gang, short], fleet, now_s=NOW_S + 0.5)
    assert (found.placements, found.evictions) == ([], [])
    assert {item.step for item in fleet.reservations.values()} == {gang.key}


def test_gang_that_could_start_but_for_backfilled_work_evicts_it():
    fleet, gang, run = make_waiting_gang()
    plan([gang], fleet)
    short = start(fleet, make_short(4.0), 0, "v0", backfills=gang.key)
    assert plan([gang], fleet, now_s=NOW_S + 0.5).evictions == []
    release_run(fleet, run)
    assert plan([gang], fleet, now_s=NOW_S + 1).evictions == [short]
    short.evictable = False
    assert plan([gang], fleet, now_s=NOW_S + 1).evictions == []


def make_run(fleet, queue, spec, now_s=NOW_S):
    return start(fleet, make_one("victim", queue, spec), 0, "v0", now_s)


def test_run_is_evicted_only_if_its_job_can_still_be_in_time_or_is_of_no_use():
    queue = JobQueue("q", "h", "/q/", "s", priority=2, stretch=5.0, latency_s=0.0)
    run = make_run(make_fleet(1), queue, StepSpec(1, Resources(1000, 1), 2.0))
    # The job was accepted at 1 s and is due at 11 s; a run takes up to 4 s, the other work 1 s.
    assert may_evict(run, NOW_S, 6.0, 1.0)
    assert not may_evict(run, NOW_S, 6.1, 1.0)
    assert not may_evict(run, NOW_S, 30.9, 1.0)
    assert may_evict(run, NOW_S, 31.1, 1.0)


def test_saved_work_and_the_steps_that_follow_count_in_what_remains_of_a_job():
    queue = JobQueue("q", "h", "/q/", "s", priority=2, stretch=5.0, latency_s=0.0)
    spec = StepSpec(1, Resources(1000, 1), 2.0, checkpoints=True)
    run = make_run(make_fleet(1), queue, spec)
    assert may_evict(run, NOW_S + 3, 8.0, 1.0)
    assert not may_evict(run, NOW_S + 3, 8.1, 1.0)
    first, second = StepSpec(1, WHOLE_VM, 2.0), StepSpec(1, WHOLE_VM, 3.0, after=(0,))
    (step,) = make_steps(first, second, queue=queue)
    assert start(make_fleet(1), step, 0, "v0").rest_s == 7.0


def make_full_vm(estimate_s, started_s):
    """Returns a VM that is full of a run that less urgent work has started."""
    fleet = make_fleet(1)
    victim = make_one("victim", SHORT, StepSpec(1, WHOLE_VM, estimate_s))
    return fleet, victim, start(fleet, victim, 0, "v0", started_s)


def test_urgent_work_evicts_only_what_loses_less_than_it_gains():
    for features, elapsed_s, expected in ((OFF, 3.0, 1), (ON, 3.0, 0), (ON, 0.2, 1)):
        fleet, _, _ = make_full_vm(5.0, NOW_S - elapsed_s)
        urgent = make_one("u", URGENT, StepSpec(1, Resources(2000, 1), 1.0))
        assert len(plan([urgent], fleet, features).evictions) == expected


def test_run_of_a_task_that_was_evicted_once_is_not_evicted_again():
    fleet, victim, run = make_full_vm(5.0, NOW_S - 0.1)
    urgent = make_one("u", URGENT, StepSpec(1, Resources(2000, 1), 1.0))
    assert plan([urgent], fleet).evictions == [run]
    release_run(fleet, run)
    remove_run(victim, run)
    victim.evicted.add(0)
    start(fleet, victim, 0, "v0")
    urgent.next_search_s, fleet.reservations = 0.0, {}
    assert plan([urgent], fleet).evictions == []


# Through the log, with real nodes.


async def submit_long_gang_and_short(site):
    """Submits a run that takes 12 s, a gang that waits for its VM, and short work; returns ids."""
    long = StepSpec(1, WHOLE_VM, 20.0)
    await submit(site, "n0", make_spec(long, seconds=12.0))
    await asyncio.sleep(0.5)
    spec = StepSpec(3, WHOLE_VM, 5.0, gang=True)
    gang = await submit(site, "n0", make_spec(spec, seconds=2.0))
    await asyncio.sleep(0.5)
    short = await submit(
        site, "n0", make_spec(StepSpec(2, Resources(1000, 512), 1.5), seconds=1.5), "reviews"
    )
    return gang, short


def get_start_s(site, job):
    return min(
        event.at_s
        for event in site.vm_simulator.history
        if event.kind == "start" and event.task.job == job
    )


@pytest.mark.parametrize("kills_leader", [False, True])
def test_nodes_with_the_setting_backfill_and_without_it_do_not(monkeypatch, kills_leader):
    async def scenario():
        site = await start_site(vm_count=3)
        gang, short = await submit_long_gang_and_short(site)
        await asyncio.sleep(1)
        leader = site.nodes[find_leader(site)]
        backfilled = leader.leader.fleet.backfilled_runs
        assert f"caroblead_runs_backfilled_total {backfilled}" in write_metrics(leader)
        if kills_leader:
            await kill_node(site, find_leader(site))
            await wait_for_leader(site)
        await asyncio.sleep(40)
        ledger = site.nodes[find_leader(site)].ledger
        assert [find_state(ledger, job) for job in (gang, short)] == [JobState.DONE] * 2
        waits.append((backfilled, get_start_s(site, gang), get_start_s(site, short)))
        return site

    waits = []
    for features in (OFF, ON):
        monkeypatch.setattr(program, "make_features", lambda settings, found=features: found)
        assert check_site(run_scenario(scenario)) == []
    (none, gang_s, short_s), (some, backfilled_gang_s, backfilled_short_s) = waits
    assert (none, some) == (0, 2)
    assert backfilled_short_s < gang_s - 5
    if not kills_leader:
        assert short_s > gang_s
        assert backfilled_gang_s < gang_s + 0.1


def test_leader_remembers_which_tasks_it_has_evicted(monkeypatch):
    async def scenario():
        site = await start_site(vm_count=1)
        # Its objective is 1.1 s, so that it is of no use when the urgent work arrives.
        useless = StepSpec(1, WHOLE_VM, 0.1)
        await submit(site, "n0", make_spec(useless, seconds=15.0), "reviews")
        for _ in range(2):
            await asyncio.sleep(4)
            await submit(site, "n0", make_spec(StepSpec(1, WHOLE_VM, 5.0), seconds=1.0))
        await asyncio.sleep(60)
        stops.append(sum(event.kind == "stopped" for event in site.vm_simulator.history))
        return site

    stops = []
    for features in (OFF, ON):
        monkeypatch.setattr(program, "make_features", lambda settings, found=features: found)
        assert check_site(run_scenario(scenario)) == []
    assert stops == [2, 1]
