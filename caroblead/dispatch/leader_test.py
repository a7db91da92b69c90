"""Tests of the leader under failures of VMs and nodes, checked against the history of the VMs."""

import asyncio
from types import SimpleNamespace

import pytest

from ..core.clock import get_elapsed_s, get_wall_s
from ..core.resource import Resources
from ..jobs.data import Job, JobState, Progress, StepProgress
from ..jobs.ledger import JobAdded, StoredJob, find_state
from ..jobs.progressrecord import encode_progress
from ..jobs.record import KeyedRecord, RecordKind, encode_job, make_key
from ..node.gauges import write_metrics
from ..standin.cluster import (
    ADVISED,
    QUEUES,
    find_leader,
    kill_node,
    make_listed_vm,
    put_vm_entry,
    run_scenario,
    start_site,
    submit,
    submit_stream,
)
from ..standin.trial import check_site
from ..standin.verdict import list_late_starts
from ..standin.work import make_spec, make_step

# How long after a VM was listed as draining it may still get new tasks.
DRAIN_S = 2.0


def judge(site):
    assert check_site(site) == []


def test_job_with_a_failing_run_is_retried_and_one_that_always_fails_ends_as_failed():
    async def scenario():
        site = await start_site()
        once = await submit(site, "n0", make_spec(make_step(1), failing_runs=1))
        always = await submit(site, "n0", make_spec(make_step(1), failing_runs=99))
        await asyncio.sleep(6)
        ledger = site.nodes["n1"].ledger
        assert find_state(ledger, once) is JobState.DONE
        assert find_state(ledger, always) is JobState.FAILED
        failed = [line for line in site.vm_simulator.history if line.kind == "failed"]
        assert len([line for line in failed if line.task.job == always]) == 3
        return site

    judge(run_scenario(scenario))


def test_step_that_needs_advice_runs_with_tickets():
    async def scenario():
        site = await start_site()
        for _ in range(3):
            await submit(site, "n0", make_spec(make_step()), ADVISED.name)
        await asyncio.sleep(4)
        assert site.nodes[find_leader(site)].advice_queue.calls >= 3
        return site

    judge(run_scenario(scenario))


def test_gang_starts_whole_under_one_run_number():
    async def scenario():
        site = await start_site(vm_count=2)
        await submit_stream(site, make_spec(make_step(6, gang=True)), 3, 0.05)
        await asyncio.sleep(8)
        starts = [line for line in site.vm_simulator.history if line.kind == "start"]
        by_job = {}
        for line in starts:
            by_job.setdefault((line.task.job, line.number), []).append(line)
        assert all(len(lines) == 6 for lines in by_job.values())
        return site

    judge(run_scenario(scenario))


def test_team_never_runs_more_than_its_cap():
    async def scenario():
        site = await start_site(cap=Resources(3000, 0))
        await submit_stream(site, make_spec(make_step(4)), 5, 0.02)
        await asyncio.sleep(12)
        return site

    judge(run_scenario(scenario))


@pytest.mark.parametrize("late_s", [0.6, 2.0, 5.0])
def test_starts_carried_out_late_never_duplicate_a_task(late_s):
    async def scenario():
        site = await start_site()
        site.vm_simulator.late_s = late_s
        for _ in range(4):
            site.vm_simulator.late_orders = 3
            await submit_stream(site, make_spec(make_step(), seconds=0.7), 4, 0.1)
        site.vm_simulator.late_orders = 0
        await asyncio.sleep(12)
        return site

    judge(run_scenario(scenario))


def test_lost_answers_to_starts_are_found_in_the_lists():
    async def scenario():
        site = await start_site()
        site.vm_simulator.lose_answers = 6
        await submit_stream(site, make_spec(make_step(), seconds=1), 6, 0.1)
        await asyncio.sleep(8)
        starts = [line for line in site.vm_simulator.history if line.kind == "start"]
        assert len(starts) == 12
        return site

    judge(run_scenario(scenario))


def test_lost_tasks_of_a_restarted_vm_run_elsewhere():
    async def scenario():
        site = await start_site()
        await submit_stream(site, make_spec(make_step(4), seconds=2), 3, 0.05)
        await asyncio.sleep(0.5)
        site.vm_simulator.crash("vm-0", 1.0)
        await asyncio.sleep(1.2)
        put_vm_entry(site, make_listed_vm(0, 2))
        await asyncio.sleep(15)
        return site

    judge(run_scenario(scenario))


def test_order_carried_out_late_by_the_next_incarnation_of_a_vm_duplicates_no_task():
    async def scenario():
        site = await start_site(vm_count=2)
        site.vm_simulator.late_s = 3.0
        site.vm_simulator.late_orders = 2
        await submit(site, "n0", make_spec(make_step(), seconds=6))
        await asyncio.sleep(0.05)
        site.vm_simulator.crash("vm-0", 1.0)
        await asyncio.sleep(0.6)
        put_vm_entry(site, make_listed_vm(0, 2))
        await asyncio.sleep(25)
        return site

    judge(run_scenario(scenario))


@pytest.mark.parametrize("is_unlisted", [False, True])
def test_order_settled_with_one_incarnation_of_a_vm_is_not_carried_out_by_the_next(is_unlisted):
    async def scenario():
        site = await start_site(vm_count=2)
        site.vm_simulator.late_s = 6.0
        site.vm_simulator.late_orders = 1
        await submit(site, "n0", make_spec(make_step(1), seconds=0.3))
        await asyncio.sleep(2.5)
        site.vm_simulator.crash("vm-0", 1.0)
        if is_unlisted:
            site.registry.append([KeyedRecord("vm-0", b"")], None)
        await asyncio.sleep(1.3)
        put_vm_entry(site, make_listed_vm(0, 2))
        await asyncio.sleep(25)
        return site

    judge(run_scenario(scenario))


async def submit_while_a_vm_restarts():
    """Submits jobs just after a VM has restarted, before any node has noticed it."""
    site = await start_site(vm_count=2)
    for number in range(6):
        site.vm_simulator.crash("vm-0", 0.05)
        await asyncio.sleep(0.06)
        await submit(site, "n0", make_spec(make_step(6), seconds=2))
        await asyncio.sleep(0.5)
        put_vm_entry(site, make_listed_vm(0, number + 2))
        await asyncio.sleep(1.0)
    await asyncio.sleep(25)
    return site


def test_order_answered_by_the_next_incarnation_of_a_vm_duplicates_no_task():
    judge(run_scenario(submit_while_a_vm_restarts))


def test_partitioned_vm_with_its_leader_killed_runs_no_task_twice():
    async def scenario():
        site = await start_site()
        await submit_stream(site, make_spec(make_step(4), seconds=6), 3, 0.05)
        await asyncio.sleep(0.3)
        site.vm_simulator.cut = {(name, "vm-1") for name in ("n0", "n1", "n2")}
        await kill_node(site, find_leader(site))
        await asyncio.sleep(30)
        return site

    judge(run_scenario(scenario))


async def freeze_leader_that_alone_reaches_a_vm():
    """Freezes the leader just after its term was confirmed; the others can't reach one VM."""
    site = await start_site()
    await submit_stream(site, make_spec(make_step(4), seconds=30), 3, 0.05)
    await asyncio.sleep(0.5)
    frozen = find_leader(site)
    site.vm_simulator.cut = {(name, "vm-1") for name in site.nodes if name != frozen}
    site.faults_by_node[frozen].frozen = True
    await asyncio.sleep(6.0)
    site.faults_by_node[frozen].frozen = False
    await asyncio.sleep(80)
    return site


def test_leader_frozen_after_its_term_was_confirmed_extends_no_lease():
    judge(run_scenario(freeze_leader_that_alone_reaches_a_vm))


def test_lease_of_a_partitioned_vm_expires_before_its_tasks_start_elsewhere():
    async def scenario():
        site = await start_site()
        await submit_stream(site, make_spec(make_step(4), seconds=20), 3, 0.05)
        await asyncio.sleep(0.3)
        site.vm_simulator.cut = {(name, "vm-1") for name in site.nodes}
        await asyncio.sleep(60)
        return site

    judge(run_scenario(scenario))


async def drain_a_vm():
    """Lists a VM as draining while jobs are submitted continuously."""
    site = await start_site(vm_count=2)
    stream = asyncio.create_task(submit_stream(site, make_spec(make_step(), seconds=1), 60, 0.1))
    await asyncio.sleep(2)
    put_vm_entry(site, make_listed_vm(0, draining=True))
    await stream
    await asyncio.sleep(30)
    return site


def test_vm_that_drains_gets_no_new_work():
    site = run_scenario(drain_a_vm)
    judge(site)
    assert any(line.vm == "vm-0" for line in site.vm_simulator.history)
    assert list_late_starts(site.vm_simulator.history, site.draining_s, DRAIN_S) == []


def test_leader_that_drains_while_the_store_is_slow_places_nothing_that_it_can_not_start():
    async def scenario():
        site = await start_site()
        name = find_leader(site)
        leader = site.nodes[name].leader
        append = leader.commit.log.append

        async def append_slowly(records, fence, timeout_s):
            await asyncio.sleep(0.3)
            return await append(records, fence, timeout_s)

        leader.commit.log.append = append_slowly
        # The placement and the resignation would go into one append behind that in flight.
        while leader.commit.append_started_s is None:
            await asyncio.sleep(0.01)
        frontend = SimpleNamespace(open_calls=0, closing=False)
        drain = asyncio.create_task(site.nodes[name].drain(frontend, get_elapsed_s()))
        other = next(node for node in sorted(site.nodes) if node != name)
        job = await submit(site, other, make_spec(make_step(1)))
        await drain
        await asyncio.sleep(4)
        starts = [line for line in site.vm_simulator.history if line.kind == "start"]
        assert [line.number for line in starts if line.task.job == job] == [1]
        return site

    judge(run_scenario(scenario))


def test_job_that_can_not_be_served_is_counted_in_the_metrics():
    metrics = []

    async def scenario():
        site = await start_site()
        for name, value in {"j/a": b"not a job", "p/b": b"r not a progress"}.items():
            site.ledger.append([KeyedRecord(name, value)], None)
        job = Job("b", "north", QUEUES["checks"], make_spec(make_step(1)), get_wall_s())
        site.ledger.append([KeyedRecord("j/b", encode_job(job))], None)
        await asyncio.sleep(1)
        metrics.append(write_metrics(site.nodes[find_leader(site)]))
        await kill_node(site, find_leader(site))
        await asyncio.sleep(5)
        metrics.append(write_metrics(site.nodes[find_leader(site)]))
        return site

    run_scenario(scenario)
    assert ["caroblead_jobs_unserved 2" in text for text in metrics] == [True, True]


def test_malformed_progress_of_one_job_does_not_keep_a_new_leader_from_the_others():
    async def scenario():
        site = await start_site()
        broken, sound = [
            await submit(site, "n0", make_spec(make_step(2), seconds=3)) for _ in range(2)
        ]
        await asyncio.sleep(0.5)
        await kill_node(site, find_leader(site))
        record = KeyedRecord(make_key(RecordKind.PROGRESS, broken), b"r not a progress")
        site.ledger.append([record], None)
        await asyncio.sleep(12)
        ledger = site.nodes[find_leader(site)].ledger
        assert find_state(ledger, sound) is JobState.DONE
        starts = [line for line in site.vm_simulator.history if line.kind == "start"]
        assert len([line for line in starts if line.task.job == broken]) == 2
        return site

    run_scenario(scenario)


def test_gang_that_failed_once_under_two_leaders_is_tried_again():
    jobs = []

    async def scenario():
        site = await start_site(vm_count=2)
        leader = find_leader(site)
        step = make_step(2, gang=True, max_per_vm=1)
        jobs.append(await submit(site, "n0", make_spec(step, failing_runs=1), "reviews"))
        await asyncio.sleep(0.3)
        # The leader hears of the failure of one member, and its successor of that of the other.
        site.vm_simulator.cut = {(leader, "vm-1")}
        while not any(line.kind == "noted failed" for line in site.vm_simulator.history):
            await asyncio.sleep(0.01)
        await kill_node(site, leader)
        await asyncio.sleep(12)
        return site

    site = run_scenario(scenario)
    judge(site)
    assert {find_state(node.ledger, jobs[0]) for node in site.nodes.values()} == {JobState.DONE}
    failed = [line.number for line in site.vm_simulator.history if line.kind == "failed"]
    assert failed == [1, 1]


def find_longest_gap_s(history, job):
    """Returns the longest time between the end of a run of a one-task job and the next start."""
    events = [line for line in history if line.task.job == job and " " not in line.kind]
    pairs = zip(events[1::2], events[2::2], strict=False)
    return max((start.at_s - end.at_s for end, start in pairs), default=float("inf"))


def test_lasting_task_restarts_within_seconds_beside_a_gang_that_finds_no_room():
    jobs = []

    async def scenario():
        site = await start_site(vm_count=3)
        lasting = make_step(1, endless=True)
        jobs.append(await submit(site, "n0", make_spec(lasting, seconds=7), "reviews"))
        # A task on each VM keeps the gang from its room for longer than the scenario takes.
        long = make_step(3, max_per_vm=1, need=Resources(1000, 100))
        await submit(site, "n0", make_spec(long, seconds=60))
        await asyncio.sleep(1)
        gang = make_step(6, gang=True, need=Resources(2000, 100))
        await submit(site, "n0", make_spec(gang), "reviews")
        await asyncio.sleep(25)
        return site

    site = run_scenario(scenario)
    history = site.vm_simulator.history
    assert len([line for line in history if line.kind == "start" and line.task.job in jobs]) == 4
    assert find_longest_gap_s(history, jobs[0]) < 3.0


def test_job_read_after_its_progress_in_a_term_starts_no_done_task_again():
    async def scenario():
        site = await start_site()
        leader = site.nodes[find_leader(site)].leader
        spec = make_spec(make_step(2))
        site.caller_records.jobs["a"], site.caller_records.queues["a"] = spec, QUEUES["checks"]
        job = Job("a", "north", QUEUES["checks"], spec, get_wall_s())
        progress = Progress(JobState.RUNNING, {(0, 0): StepProgress(last_run=2, done={0})})
        stored = StoredJob("a", encode_job(job), encoded_progress=encode_progress(progress, 1.0))
        leader.apply_change(JobAdded(stored))
        await asyncio.sleep(2)
        return site

    site = run_scenario(scenario)
    starts = [line for line in site.vm_simulator.history if line.kind == "start"]
    assert [(line.task.index, line.number) for line in starts] == [(1, 3)]
