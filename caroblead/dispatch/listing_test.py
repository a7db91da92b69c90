"""The leader goes by the present entries of the VMs in the registry, not by former ones."""

import asyncio

import pytest

from ..standin.cluster import (
    find_leader,
    make_listed_vm,
    put_vm_entry,
    resize_vm,
    run_scenario,
    start_site,
    submit,
    submit_stream,
)
from ..standin.keyedlog import CallerFaults
from ..standin.verdict import SHRINK_GRACE_S
from ..standin.work import make_spec, make_step
from .capacity_test import HALF, SETTLE_S, judge, list_starts


async def restart_a_vm_with_less_capacity(entry_delay_s):
    """Restarts a VM with half of its capacity under the same name while jobs are submitted.

    Its new entry is in the registry ``entry_delay_s`` after the restart.
    """
    site = await start_site(vm_count=2)
    stream = asyncio.create_task(submit_stream(site, make_spec(make_step(4), seconds=1), 30, 0.4))
    await asyncio.sleep(2)
    site.vm_simulator.crash("vm-0", 0.3)
    site.vm_simulator.resize("vm-0", HALF)
    await asyncio.sleep(0.3 + entry_delay_s)
    put_vm_entry(site, make_listed_vm(0, 2, capacity=HALF))
    await stream
    await asyncio.sleep(40)
    return site


async def restart_a_vm_long_before_its_entry():
    """Restarts a VM with half of its capacity 9 s before the registry shows that."""
    return await restart_a_vm_with_less_capacity(9.0)


@pytest.mark.parametrize("entry_delay_s", [0.05, 1.5, 9.0])
def test_vm_that_restarts_with_less_capacity_is_not_overfilled(entry_delay_s):
    async def scenario():
        site = await restart_a_vm_with_less_capacity(entry_delay_s)
        late = [event for event in list_starts(site) if event.vm == "vm-0" and event.at_s > 14]
        assert late
        return site

    judge(run_scenario(scenario))


async def reconnect_to_the_store_after_a_vm_has_shrunk():
    """Cuts all nodes off from the store while the only VM shrinks; their jobs wait meanwhile."""
    site = await start_site(vm_count=1)
    for _ in range(6):
        await submit(site, find_leader(site), make_spec(make_step(2), seconds=6))
    await asyncio.sleep(0.3)
    for caller_faults in site.faults_by_node.values():
        caller_faults.silent = True
    await resize_vm(site, 0, HALF)
    await asyncio.sleep(SHRINK_GRACE_S + 1)
    for caller_faults in site.faults_by_node.values():
        caller_faults.silent = False
    await asyncio.sleep(120)
    return site


def test_leader_that_reaches_the_store_again_reads_the_registry_before_it_starts_anything():
    judge(run_scenario(reconnect_to_the_store_after_a_vm_has_shrunk))


def test_leader_that_cannot_read_the_registry_starts_nothing_until_it_can():
    async def scenario():
        site = await start_site(vm_count=1, node_count=1)
        (node,) = site.nodes.values()
        faults = node.registry_tail.log.caller_faults = CallerFaults(down=True)
        await resize_vm(site, 0, HALF)
        await asyncio.sleep(SETTLE_S)
        job = await submit(site, "n0", make_spec(make_step(4), seconds=2))
        await asyncio.sleep(2)
        assert list_starts(site, job) == []
        faults.down = False
        await asyncio.sleep(1)
        assert len(list_starts(site, job)) == 2
        await asyncio.sleep(8)
        return site

    judge(run_scenario(scenario))
