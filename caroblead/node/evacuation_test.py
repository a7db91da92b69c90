"""Tests of the evacuation of zones under load and failures, checked against what the VMs did."""

import asyncio
from functools import partial

import pytest

from ..standin.cluster import (
    evacuate_zone,
    find_leader,
    kill_node,
    make_listed_vm,
    put_vm_entry,
    restore_zone,
    run_scenario,
    start_node,
    start_site,
    submit,
    submit_stream,
    wait_for_leader,
)
from ..standin.keyedlog import CallerFaults
from ..standin.trial import EVACUATION_MS, check_site
from ..standin.work import make_spec, make_step
from .program import CONFIGURATION_WAIT_S

BOUND_S = EVACUATION_MS / 1000
# In calm, a node reads the operators' log without delay, so a zone empties and fills sooner.
CALM_S = 0.5
NEVER_S = float("inf")
LOAD = make_spec(make_step(2), seconds=0.4)


def list_starts(site, zone, from_s=0.0, until_s=NEVER_S):
    """Returns the starts on the VMs of a zone within a time."""
    names = {f"vm-{n}" for n in range(100) if site.zones[n % len(site.zones)] == zone}
    return [
        event
        for event in site.vm_simulator.history
        if event.kind == "start" and event.vm in names and from_s < event.at_s <= until_s
    ]


def get_evacuated_s(site, zone):
    """Returns when a zone was first evacuated."""
    return next(item.began_s for item in site.evacuations if item.zone == zone)


def get_time_s():
    return asyncio.get_running_loop().time()


def cut_from_operators_log(site, name):
    """Cuts a node off from the operators' log only; it still reaches the ledger and the VMs."""
    faults = site.nodes[name].configuration_tail.log.caller_faults = CallerFaults(silent=True)
    return faults


async def start_loaded_site(zones=("a", "b"), vm_count=4, node_count=3, seconds=20):
    site = await start_site(vm_count, node_count, zones=zones, evacuation_ms=EVACUATION_MS)
    count = int(seconds / 0.1)
    stream = asyncio.create_task(submit_stream(site, LOAD, count, 0.1))
    await asyncio.sleep(2)
    return site, stream


async def finish(site, stream, settle_s=10):
    await stream
    await asyncio.sleep(settle_s)
    assert check_site(site) == []
    return site


async def evacuate_zones(evacuated):
    """Evacuates zones under load for 6 s."""
    site, stream = await start_loaded_site(("a", "b", "c"), 6, seconds=12)
    for zone in evacuated:
        evacuate_zone(site, zone)
    await asyncio.sleep(6)
    for zone in evacuated:
        restore_zone(site, zone)
    return await finish(site, stream)


@pytest.mark.parametrize("evacuated", [("a",), ("a", "b"), ("a", "b", "c")])
def test_zone_gets_no_tasks_while_it_is_evacuated_and_gets_some_at_once_after(evacuated):
    site = run_scenario(partial(evacuate_zones, evacuated))
    began_s = get_evacuated_s(site, "a")
    ended_s = began_s + 6
    for zone in site.zones:
        assert list_starts(site, zone, 0, began_s)
        during = list_starts(site, zone, began_s + CALM_S, ended_s)
        assert bool(during) is (zone not in evacuated)
        assert list_starts(site, zone, ended_s, ended_s + CALM_S)


def test_unknown_zone_changes_nothing():
    async def scenario():
        site, stream = await start_loaded_site(seconds=5)
        evacuate_zone(site, "nowhere")
        await asyncio.sleep(1)
        now_s = get_time_s()
        await finish(site, stream)
        assert all(list_starts(site, zone, now_s) for zone in site.zones)
        return site

    run_scenario(scenario)


def test_new_leader_waits_for_no_more_than_the_read_that_is_under_way():
    async def scenario():
        site, stream = await start_loaded_site(seconds=8)
        await kill_node(site, find_leader(site))
        leader = site.nodes[await wait_for_leader(site)].leader
        began_s = leader.fleet.term_began_s
        await finish(site, stream)
        first_s = min(list_starts(site, zone, began_s)[0].at_s for zone in site.zones)
        assert first_s - began_s < CONFIGURATION_WAIT_S + 0.1
        return site

    run_scenario(scenario)


def test_key_removed_during_a_leader_change_frees_the_zone_for_the_new_leader():
    async def scenario():
        site, stream = await start_loaded_site()
        began_s = get_time_s()
        evacuate_zone(site, "a")
        await asyncio.sleep(3)
        await kill_node(site, find_leader(site))
        restore_zone(site, "a")
        ended_s = get_time_s()
        assert list_starts(site, "a", began_s + CALM_S, ended_s) == []
        await wait_for_leader(site)
        new_s = get_time_s()
        await finish(site, stream)
        assert list_starts(site, "a", new_s, new_s + 2.0)
        return site

    run_scenario(scenario)


async def evacuate_during_a_leader_change():
    """Evacuates a zone when the leader is killed; the next one hears the operators' log late."""
    site, stream = await start_loaded_site(node_count=2, seconds=8)
    killed = find_leader(site)
    (other,) = set(site.nodes) - {killed}
    site.nodes[other].configuration_tail.log.caller_faults = CallerFaults(read_delay_s=1.4)
    await asyncio.sleep(1.6)
    await kill_node(site, killed)
    evacuate_zone(site, "a")
    await finish(site, stream)
    return site


def test_new_leader_reads_the_operators_log_to_its_end_before_its_first_start():
    site = run_scenario(evacuate_during_a_leader_change)
    assert list_starts(site, "b", get_evacuated_s(site, "a"))
    assert list_starts(site, "a", get_evacuated_s(site, "a") + CALM_S) == []


async def run_with_slow_reads(read_delay_s):
    """Evacuates a zone while the operators' log answers each read late."""
    site, stream = await start_loaded_site()
    logs = [node.configuration_tail.log for node in site.nodes.values()]
    before = [log.caller_faults for log in logs]
    for log in logs:
        log.caller_faults = CallerFaults(read_delay_s=read_delay_s)
    await asyncio.sleep(read_delay_s + 0.5)
    evacuate_zone(site, "a")
    await asyncio.sleep(12)
    for log, caller_faults in zip(logs, before, strict=True):
        log.caller_faults = caller_faults
    return await finish(site, stream, 30)


@pytest.mark.parametrize("read_delay_s", [0.3, 1.0, 2.5, 4.0, 7.0])
def test_bound_holds_while_the_store_is_slow(read_delay_s):
    site = run_scenario(partial(run_with_slow_reads, read_delay_s))
    assert list_starts(site, "a", get_evacuated_s(site, "a") + BOUND_S) == []
    assert list_starts(site, "b", get_evacuated_s(site, "a") + BOUND_S)


async def evacuate_without_the_leader():
    """Cuts the leader off from the operators' log before a zone is evacuated."""
    site, stream = await start_loaded_site()
    faults = cut_from_operators_log(site, find_leader(site))
    await asyncio.sleep(0.5)
    evacuate_zone(site, "a")
    await asyncio.sleep(10)
    faults.silent = False
    await finish(site, stream, 30)
    return site


def test_leader_that_cannot_read_the_operators_log_starts_nothing_anywhere():
    site = run_scenario(evacuate_without_the_leader)
    assert list_starts(site, "a", get_evacuated_s(site, "a") + BOUND_S) == []
    back_s = get_evacuated_s(site, "a") + 10
    assert list_starts(site, "b", back_s - 6.5, back_s) == []
    assert list_starts(site, "b", back_s, back_s + 1.5)


async def lose_history_while_the_zones_change():
    """Evacuates another zone, and drops the log's history, while the leader can't read the log."""
    site, stream = await start_loaded_site(("a", "b", "c"), 6)
    evacuate_zone(site, "a")
    await asyncio.sleep(1)
    faults = cut_from_operators_log(site, find_leader(site))
    await asyncio.sleep(0.6)
    restore_zone(site, "a")
    evacuate_zone(site, "b")
    site.config.drop_history()
    await asyncio.sleep(5)
    faults.silent = False
    return await finish(site, stream, 30)


def test_complete_read_after_lost_history_replaces_the_evacuated_zones():
    site = run_scenario(lose_history_while_the_zones_change)
    assert {node.evacuation_view.zones for node in site.nodes.values()} == {frozenset("b")}
    assert list_starts(site, "a", get_evacuated_s(site, "b") + 6.5)
    assert list_starts(site, "b", get_evacuated_s(site, "b") + BOUND_S) == []


async def evacuate_while_starts_are_recorded(gang, zone="a"):
    """Evacuates a zone after a step of 8 was planned and before it is sent."""
    site = await start_site(2, zones=("a", "b"), evacuation_ms=EVACUATION_MS)
    await asyncio.sleep(1)
    leader = site.nodes[find_leader(site)].leader
    append = leader.commit.log.append

    async def append_slowly(records, fence, timeout_s):
        await asyncio.sleep(0.5)
        return await append(records, fence, timeout_s)

    leader.commit.log.append = append_slowly
    spec = make_spec(make_step(8, gang=gang, max_per_vm=4), seconds=1)
    await submit(site, "n0", spec)
    while not leader.fleet.rows["vm-0"].runs:
        await asyncio.sleep(0.01)
    evacuate_zone(site, zone)
    await asyncio.sleep(4)
    return site


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize(("evacuated", "other"), [("a", "b"), ("b", "a")])
def test_recorded_start_is_withdrawn_and_a_gang_as_a_whole(gang, evacuated, other):
    site = run_scenario(partial(evacuate_while_starts_are_recorded, gang, evacuated))
    assert list_starts(site, evacuated) == []
    assert bool(list_starts(site, other)) is not gang


async def delay_an_order_beyond_the_bound():
    """Delays a start order by more than the bound; no node reaches its VM meanwhile."""
    site = await start_site(1, evacuation_ms=EVACUATION_MS)
    await asyncio.sleep(1)
    site.vm_simulator.late_orders, site.vm_simulator.late_s = 1, BOUND_S + 1.0
    await submit(site, "n0", make_spec(make_step(1), seconds=1))
    while site.vm_simulator.late_orders:
        await asyncio.sleep(0.01)
    # Otherwise the leader would ask the VM for the run and keep it from starting.
    site.vm_simulator.cut = {(name, "vm-0") for name in site.nodes}
    evacuate_zone(site, "a")
    await asyncio.sleep(BOUND_S + 3.0)
    return site


def test_delayed_order_is_not_carried_out_after_the_bound():
    site = run_scenario(delay_an_order_beyond_the_bound)
    assert list_starts(site, "a", get_evacuated_s(site, "a") + BOUND_S) == []


def test_runs_in_the_zone_continue_and_a_lasting_task_moves_only_once_it_has_ended():
    async def scenario():
        site = await start_site(2, zones=("a", "b"), evacuation_ms=EVACUATION_MS)
        lasting = make_spec(make_step(2, endless=True, max_per_vm=1), seconds=100)
        job = await submit(site, "n0", lasting, "reviews")
        await asyncio.sleep(1)
        evacuate_zone(site, "a")
        await asyncio.sleep(8)
        assert len(list_starts(site, "a")) == len(list_starts(site, "b")) == 1
        assert [event for event in site.vm_simulator.history if event.kind != "start"] == []
        site.vm_simulator.crash("vm-0", 1.0)
        await asyncio.sleep(0.5)
        put_vm_entry(site, make_listed_vm(0, 2, zone="a"))
        site.vm_simulator.add(make_listed_vm(3, zone="b"))
        put_vm_entry(site, make_listed_vm(3, zone="b"))
        await asyncio.sleep(8)
        starts = [event for event in site.vm_simulator.history if event.kind == "start"]
        assert [event.vm for event in starts if event.task.job == job][2:] == ["vm-3"]
        return site

    run_scenario(scenario)


def test_node_that_starts_anew_evacuates_the_zones_of_before():
    async def scenario():
        site, stream = await start_loaded_site(seconds=10)
        evacuate_zone(site, "a")
        await asyncio.sleep(1)
        site.config.drop_history()
        names = sorted(site.nodes)
        for name in names:
            await kill_node(site, name)
        began_s = get_time_s()
        for name in names:
            await start_node(site, name)
        await finish(site, stream)
        assert list_starts(site, "a", began_s) == []
        assert list_starts(site, "b", began_s)
        return site

    run_scenario(scenario)
