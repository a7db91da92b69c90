"""Guards against a backlog of accepted work that costs the leader so much that nothing starts."""

import asyncio
from collections import Counter
from dataclasses import replace

from ..core.clock import get_wall_s
from ..core.resource import Resources
from ..jobs.data import Job, JobQueue, JobSpec, JobState, Progress, StepSpec
from ..jobs.ledger import find_state
from ..standin.cluster import (
    CAPACITY,
    find_leader,
    kill_node,
    run_scenario,
    start_site,
    submit,
    wait_for_leader,
)
from ..standin.trial import check_site
from ..standin.work import make_spec, make_step
from .completion import settle_end
from .fleet import Run, RunPhase
from .interface import Configuration, EndReason
from .orderwindow import MAX_STARTS_PER_PLAN, OrderLimits
from .planning import plan_starts
from .planning_test import NOW_S, make_fleet, make_steps
from .tick import MAX_READY_STEPS, MIN_READY_STEPS
from .work import (
    add_run,
    count_unopened,
    is_job_done,
    open_due_occurrences,
    open_job,
    snapshot_progress,
)

QUEUE = JobQueue("q", "h", "/p/", "s")
SMALL = Resources(50, 10)
OVERDUE = 45_000
CHAIN = (StepSpec(1, SMALL), StepSpec(2, SMALL, after=(0,)))


def make_work(repeats=OVERDUE, steps=(StepSpec(1, SMALL),), progress=None):
    spec = JobSpec("", steps, repeats, 0.0, 1.0)
    return open_job(Job("a", "t", QUEUE, spec, 1.0), progress or Progress())


def end_as_done(step, index, vm=None):
    step.step_progress.last_run += 1
    number = step.step_progress.last_run
    run = Run(step.make_task_name(index), number, vm, "t", SMALL, RunPhase.RUNNING)
    add_run(step, run)
    settle_end(step, run, EndReason.DONE, "")


def make_overdue_spec(repeats, **options):
    spec = make_spec(make_step(1, need=SMALL), **options)
    first_due_s = get_wall_s() - repeats
    return replace(spec, repeats=repeats, first_due_s=first_due_s, interval_s=1.0)


# All overdue occurrences were opened at once, and each tick went through all of them.
def test_only_the_first_overdue_occurrences_are_open_at_a_time():
    work = make_work()
    assert len(open_due_occurrences(work, OVERDUE, 100)) == 100
    assert len(work.steps) == 100
    assert count_unopened(work, OVERDUE) == OVERDUE - 100


def test_occurrence_opens_when_it_is_due_and_not_before():
    work = make_work(5)
    assert open_due_occurrences(work, -0.1) == []
    opened = [(at_s, len(open_due_occurrences(work, at_s))) for at_s in (0.0, 0.9, 1.0, 3.5, 99.0)]
    assert opened == [(0.0, 1), (0.9, 0), (1.0, 1), (3.5, 2), (99.0, 1)]


# What was done was looked at again in each tick, at each end and in each record.
def test_occurrences_that_are_done_cost_nothing_more():
    work = make_work(steps=CHAIN)
    for _ in range(300):
        open_due_occurrences(work, OVERDUE, 10 - len(work.steps) // 2)
        first = min(work.steps)[0]
        for number, index in ((0, 0), (1, 0), (1, 1)):
            end_as_done(work.steps[first, number], index)
        assert len(work.steps) <= 20
    assert (work.done_before, work.closed) == (300, {})
    assert snapshot_progress(work).steps == {}
    again = make_work(steps=CHAIN, progress=snapshot_progress(work))
    assert again.occurrences == 300 and again.steps == {}


def test_job_is_done_once_its_occurrences_are_in_whatever_order():
    work = make_work(6)
    open_due_occurrences(work, OVERDUE)
    for occurrence in (3, 0, 5, 1, 4):
        end_as_done(work.steps[occurrence, 0], 0)
        assert not is_job_done(work) and work.state is JobState.QUEUED
    assert sorted(work.closed) == [(3, 0), (4, 0), (5, 0)] and work.done_before == 2
    again = make_work(6, progress=snapshot_progress(work))
    assert sorted(again.steps) == [(2, 0)]
    end_as_done(again.steps[2, 0], 0)
    assert is_job_done(again) and again.state is JobState.DONE


# One step of 10,000 tasks filled a plan, however few starts it was to hold.
def test_wide_step_takes_no_more_starts_than_a_plan_holds_and_evicts_nothing_for_the_rest():
    fleet = make_fleet(40)
    (step,) = make_steps(StepSpec(10_000, Resources(1, 1), 1.0))
    plan = plan_starts([step], fleet, Configuration(), NOW_S, 1.0, limits=OrderLimits(30))
    assert len(plan.placements) == 30 and not plan.evictions and not fleet.reservations
    plan = plan_starts([step], fleet, Configuration(), NOW_S, 1.0)
    assert len(plan.placements) == MAX_STARTS_PER_PLAN


# Two accepted jobs with 90,000 overdue occurrences ended one term after the other before anything
# of anybody was started.
def test_small_job_starts_at_once_beside_a_long_backlog_of_overdue_occurrences():
    async def scenario():
        site = await start_site(vm_count=8, fair_share=True, admission=True, learned_durations=True)
        loop = asyncio.get_running_loop()
        for _ in range(2):
            await submit(site, "n0", make_overdue_spec(OVERDUE, seconds=0.2), "reviews")
        for _ in range(5):
            await asyncio.sleep(1.0)
            sent_s = loop.time()
            job = await submit(site, "n1", make_spec(make_step(1, need=SMALL), seconds=0.2))
            await asyncio.sleep(1.0)
            starts = [e.at_s for e in site.vm_simulator.history if e.task.job == job]
            assert starts and starts[0] - sent_s < 0.5
        leader = site.nodes[find_leader(site)].leader
        steps = sum(len(work.steps) for work in leader.state.open_jobs.values())
        running = sum(len(row.runs) for row in leader.fleet.rows.values())
        assert leader.term == 1
        assert steps <= running + MAX_READY_STEPS + MIN_READY_STEPS
        return site

    run_scenario(scenario)


# Each occurrence runs once, whatever a new leader finds recorded of the others.
def test_new_leader_goes_on_in_the_midst_of_a_backlog():
    repeats = 2500

    async def scenario():
        site = await start_site(vm_count=4)
        job = await submit(site, "n0", make_overdue_spec(repeats, seconds=0.1), "reviews")
        for _ in range(2):
            await asyncio.sleep(0.35)
            await kill_node(site, find_leader(site))
            await wait_for_leader(site)
        await asyncio.sleep(40.0)
        done = Counter(e.task for e in site.vm_simulator.history if e.kind == "noted done")
        assert len(done) == repeats and set(done.values()) == {1}
        assert find_state(site.nodes[find_leader(site)].ledger, job) is JobState.DONE
        return site

    assert check_site(run_scenario(scenario)) == []


# A new leader left out a job of which an occurrence was done behind one that wasn't.
def test_new_leader_takes_over_a_job_whose_occurrences_are_done_out_of_order():
    async def scenario():
        site = await start_site(vm_count=2)
        site.vm_simulator.set_speed("vm-0", 0.1)
        whole_vm = make_step(1, need=Resources(CAPACITY.millicores, 100))
        spec = replace(make_spec(whole_vm, seconds=0.5), repeats=8, first_due_s=get_wall_s())
        job = await submit(site, "n0", spec)
        await asyncio.sleep(3.0)
        (work,) = site.nodes[find_leader(site)].leader.state.open_jobs.values()
        assert work.closed and work.done_before < max(work.closed)[0]
        await kill_node(site, find_leader(site))
        await asyncio.sleep(12.0)
        leader = await wait_for_leader(site)
        assert find_state(site.nodes[leader].ledger, job) is JobState.DONE
        return site

    assert check_site(run_scenario(scenario)) == []


# The steps after the first one of an occurrence went without learned durations for up to a second.
def test_steps_that_wait_for_others_are_among_those_that_are_opened():
    work = make_work(steps=CHAIN)
    opened = open_due_occurrences(work, OVERDUE, 10)
    assert len(opened) == 20 and {step.key.step for step in opened} == {0, 1}
