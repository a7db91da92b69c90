"""Tests of VMs whose capacity changes while they run, judged by the history of the VMs."""

import asyncio

import pytest

from ..core.resource import NOTHING, Resources
from ..jobs.record import KeyedRecord
from ..standin.cluster import (
    CAPACITY,
    find_leader,
    kill_node,
    make_listed_vm,
    put_vm_entry,
    resize_vm,
    run_scenario,
    start_site,
    submit,
    submit_stream,
)
from ..standin.keyedlog import CallerFaults
from ..standin.trial import check_site
from ..standin.verdict import SHRINK_GRACE_S
from ..standin.work import make_spec, make_step
from .fleet import RunPhase

HALF = Resources(2000, 8192)
SETTLE_S = SHRINK_GRACE_S + 0.1


def judge(site):
    assert check_site(site) == []


def list_starts(site, job=None):
    return [
        event
        for event in site.vm_simulator.history
        if event.kind == "start" and job in (None, event.task.job)
    ]


def list_ends(site, kind):
    return [event for event in site.vm_simulator.history if event.kind == kind]


def get_row(site, name):
    return site.nodes[find_leader(site)].leader.fleet.rows[name]


def count_running(site, name):
    return len(site.vm_simulator.vms[name].active_runs)


async def shrink_and_grow_under_load():
    """Halves a VM under load and lets it grow again 15 s later; returns the site."""
    site = await start_site(vm_count=2)
    stream = asyncio.create_task(submit_stream(site, make_spec(make_step(6), seconds=1), 40, 0.6))
    await asyncio.sleep(2)
    await resize_vm(site, 0, HALF)
    await asyncio.sleep(15)
    await resize_vm(site, 0, CAPACITY)
    await stream
    await asyncio.sleep(60)
    return site


def test_vm_that_shrinks_under_load_is_never_overfilled_for_longer_than_it_takes_to_notice():
    judge(run_scenario(shrink_and_grow_under_load))


def test_capacity_that_has_grown_again_is_used():
    async def scenario():
        site = await start_site(vm_count=1)
        await resize_vm(site, 0, HALF)
        await asyncio.sleep(1)
        await submit(site, "n0", make_spec(make_step(8), seconds=20))
        await asyncio.sleep(SETTLE_S)
        assert count_running(site, "vm-0") == 2
        await resize_vm(site, 0, CAPACITY)
        await asyncio.sleep(1)
        assert count_running(site, "vm-0") == 4
        await resize_vm(site, 0, Resources(8000, 8192))
        await asyncio.sleep(1)
        assert count_running(site, "vm-0") == 8
        await asyncio.sleep(60)
        return site

    judge(run_scenario(scenario))


def test_runs_over_the_new_capacity_go_on_and_nothing_starts_beside_them():
    async def scenario():
        site = await start_site(vm_count=1)
        await submit(site, "n0", make_spec(make_step(4), seconds=12))
        await asyncio.sleep(0.5)
        await resize_vm(site, 0, HALF)
        await asyncio.sleep(1)
        assert get_row(site, "vm-0").free == Resources(-2000, 4096)
        small = make_step(1, need=Resources(0, 64))
        waiting = await submit(site, "n0", make_spec(small, make_step(2)))
        await asyncio.sleep(6)
        assert (count_running(site, "vm-0"), list_starts(site, waiting)) == (4, [])
        await asyncio.sleep(30)
        assert not list_ends(site, "stopped") and not list_ends(site, "lapsed")
        return site

    judge(run_scenario(scenario))


def test_step_whose_need_exceeds_the_shrunk_vm_waits_for_it_to_grow():
    async def scenario():
        site = await start_site(vm_count=1)
        await resize_vm(site, 0, HALF)
        await asyncio.sleep(1)
        wide = await submit(site, "n0", make_spec(make_step(1, need=Resources(3000, 64))))
        narrow = await submit(site, "n0", make_spec(make_step(2)))
        await asyncio.sleep(5)
        assert (len(list_starts(site, wide)), len(list_starts(site, narrow))) == (0, 2)
        await resize_vm(site, 0, CAPACITY)
        await asyncio.sleep(2)
        assert len(list_starts(site, wide)) == 1
        return site

    judge(run_scenario(scenario))


def test_vm_without_any_capacity_gets_no_work():
    async def scenario():
        site = await start_site(vm_count=2)
        await resize_vm(site, 0, NOTHING)
        await asyncio.sleep(SETTLE_S)
        job = await submit(site, "n0", make_spec(make_step(6, need=Resources(1000, 0))))
        await asyncio.sleep(5)
        assert {event.vm for event in list_starts(site, job)} == {"vm-1"}
        return site

    judge(run_scenario(scenario))


async def stop_ledger_while_recording(site, gap_s):
    """Waits for a start that is being recorded and makes the ledger refuse it for ``gap_s``.

    The registry is served meanwhile.
    """
    leader = site.nodes[find_leader(site)].leader
    for node in site.nodes.values():
        node.registry_tail.log.caller_faults = CallerFaults()
    while not any(row.runs for row in leader.fleet.rows.values()):
        await asyncio.sleep(0.001)
    phases = {run.phase for row in leader.fleet.rows.values() for run in row.runs.values()}
    assert phases == {RunPhase.RECORDING}
    for caller_faults in site.faults_by_node.values():
        caller_faults.down = True
    await asyncio.sleep(gap_s)
    for caller_faults in site.faults_by_node.values():
        caller_faults.down = False


async def shrink_while_a_start_is_recorded(step, vm_count=1, capacity=HALF):
    """Shrinks the first VM while the starts of a job are recorded; returns the site and the job."""
    site = await start_site(vm_count, node_count=1)
    job = await submit(site, find_leader(site), make_spec(step, seconds=2))
    stop = asyncio.create_task(stop_ledger_while_recording(site, SHRINK_GRACE_S + 1.0))
    await asyncio.sleep(0.1)
    await resize_vm(site, 0, capacity)
    await stop
    return site, job


async def shrink_while_four_starts_are_recorded():
    """Halves the only VM while four starts are recorded that fill it."""
    site, _ = await shrink_while_a_start_is_recorded(make_step(4))
    await asyncio.sleep(20)
    return site


def test_recorded_start_is_not_sent_to_a_vm_that_has_shrunk_meanwhile():
    judge(run_scenario(shrink_while_four_starts_are_recorded))


def test_recorded_start_that_still_fits_the_shrunk_vm_is_sent():
    async def scenario():
        site, job = await shrink_while_a_start_is_recorded(make_step(2))
        await asyncio.sleep(0.5)
        assert [event.number for event in list_starts(site, job)] == [1, 2]
        await asyncio.sleep(8)
        return site

    judge(run_scenario(scenario))


def test_recorded_start_of_a_filling_step_follows_the_memory_of_the_shrunk_vm():
    async def scenario():
        step = make_step(4, need=Resources(4000, 2048), fills=True)
        site, job = await shrink_while_a_start_is_recorded(step, capacity=Resources(4000, 4096))
        await asyncio.sleep(0.5)
        assert len(list_starts(site, job)) == 2
        await asyncio.sleep(12)
        return site

    judge(run_scenario(scenario))


def test_filling_step_starts_on_a_vm_that_has_lost_cores_but_no_memory():
    async def scenario():
        step = make_step(4, need=Resources(4000, 2048), fills=True)
        site, job = await shrink_while_a_start_is_recorded(step, capacity=Resources(500, 8192))
        await asyncio.sleep(0.5)
        assert len(list_starts(site, job)) == 4
        await asyncio.sleep(12)
        return site

    judge(run_scenario(scenario))


def test_recorded_gang_starts_whole_or_not_at_all_when_a_vm_shrinks():
    async def scenario():
        site, job = await shrink_while_a_start_is_recorded(make_step(8, gang=True), vm_count=2)
        await asyncio.sleep(3)
        assert list_starts(site, job) == []
        await resize_vm(site, 0, CAPACITY)
        await asyncio.sleep(4)
        assert len(list_starts(site, job)) == 8
        await asyncio.sleep(4)
        return site

    judge(run_scenario(scenario))


def test_recorded_gang_starts_at_once_where_it_fits_when_a_vm_shrinks():
    async def scenario():
        site, job = await shrink_while_a_start_is_recorded(make_step(4, gang=True), 3, NOTHING)
        await asyncio.sleep(1)
        starts = list_starts(site, job)
        assert len(starts) == 4 and len({event.number for event in starts}) == 1
        await asyncio.sleep(8)
        return site

    judge(run_scenario(scenario))


@pytest.mark.parametrize("late_s", [1.0, 4.0, 7.0])
def test_unanswered_order_counts_on_the_shrunk_vm_until_it_is_settled(late_s):
    async def scenario():
        site = await start_site(vm_count=1)
        site.vm_simulator.late_s = late_s
        site.vm_simulator.late_orders = 3
        await submit(site, "n0", make_spec(make_step(4), seconds=4))
        await asyncio.sleep(0.2)
        await resize_vm(site, 0, Resources(1000, 8192))
        site.vm_simulator.late_orders = 0
        await submit_stream(site, make_spec(make_step(1), seconds=1), 6, 0.5)
        await asyncio.sleep(40)
        return site

    judge(run_scenario(scenario))


def test_new_leader_starts_nothing_on_a_vm_whose_inherited_runs_exceed_its_capacity():
    async def scenario():
        site = await start_site(vm_count=1)
        await submit(site, "n0", make_spec(make_step(4), seconds=20))
        await asyncio.sleep(0.5)
        await kill_node(site, find_leader(site))
        await resize_vm(site, 0, HALF)
        node = sorted(site.nodes)[0]
        job = await submit(site, node, make_spec(make_step(2), seconds=1))
        await asyncio.sleep(8)
        assert get_row(site, "vm-0").free == Resources(-2000, 4096)
        assert (count_running(site, "vm-0"), list_starts(site, job)) == (4, [])
        await asyncio.sleep(30)
        assert not list_ends(site, "stopped")
        return site

    judge(run_scenario(scenario))


def test_inherited_runs_count_on_a_vm_that_is_listed_later_with_another_capacity():
    async def scenario():
        site = await start_site(vm_count=1)
        await submit(site, "n0", make_spec(make_step(2), seconds=25))
        await asyncio.sleep(0.5)
        site.registry.append([KeyedRecord("vm-0", b"")], None)
        site.vm_simulator.resize("vm-0", Resources(3000, 4096))
        await asyncio.sleep(3)
        await kill_node(site, find_leader(site))
        await asyncio.sleep(4)
        assert get_row(site, "vm-0").free == Resources(-2000, -2048)
        put_vm_entry(site, make_listed_vm(0, capacity=Resources(3000, 4096)))
        await asyncio.sleep(0.5)
        assert get_row(site, "vm-0").free == Resources(1000, 2048)
        await submit(site, sorted(site.nodes)[0], make_spec(make_step(4), seconds=2))
        await asyncio.sleep(2)
        assert count_running(site, "vm-0") == 3
        await asyncio.sleep(40)
        assert not list_ends(site, "stopped")
        return site

    judge(run_scenario(scenario))


def test_stopped_runs_count_on_the_shrunk_vm_until_their_end_is_listed(monkeypatch):
    monkeypatch.setattr("caroblead.standin.vmsimulator.STOP_DELAY_S", 3.0)

    async def scenario():
        site = await start_site(vm_count=1)
        await submit(site, "n0", make_spec(make_step(4), seconds=30), "reviews")
        await asyncio.sleep(0.5)
        resize = asyncio.create_task(resize_vm(site, 0, HALF))
        await submit_stream(site, make_spec(make_step(2), seconds=1), 6, 0.7)
        await resize
        await asyncio.sleep(90)
        assert list_ends(site, "stopped")
        return site

    judge(run_scenario(scenario))


def test_urgent_work_evicts_what_it_needs_on_a_vm_that_is_over_its_capacity():
    async def scenario():
        site = await start_site(vm_count=1)
        await submit(site, "n0", make_spec(make_step(4), seconds=30), "reviews")
        await asyncio.sleep(0.3)
        await resize_vm(site, 0, HALF, 0.2)
        await asyncio.sleep(0.3)
        urgent = await submit(site, "n0", make_spec(make_step(1), seconds=9))
        await asyncio.sleep(2)
        assert len(list_starts(site, urgent)) == 1
        assert count_running(site, "vm-0") == 2
        await asyncio.sleep(90)
        return site

    judge(run_scenario(scenario))


def test_gang_that_fits_no_longer_anywhere_does_not_keep_its_vms_from_other_work():
    async def scenario():
        site = await start_site(vm_count=2)
        await submit(site, "n0", make_spec(make_step(8), seconds=3))
        gang = await submit(site, "n0", make_spec(make_step(8, gang=True)))
        await asyncio.sleep(0.5)
        leader = site.nodes[find_leader(site)].leader
        assert {found.step.job for found in leader.fleet.reservations.values()} == {gang}
        await resize_vm(site, 0, HALF)
        other = await submit(site, "n0", make_spec(make_step(6)))
        await asyncio.sleep(3)
        assert (len(list_starts(site, gang)), len(list_starts(site, other))) == (0, 6)
        await resize_vm(site, 0, CAPACITY)
        await asyncio.sleep(3)
        assert len(list_starts(site, gang)) == 8
        return site

    judge(run_scenario(scenario))
