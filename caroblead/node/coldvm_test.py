"""Tests of the preference for VMs that are not cold; one that has just started is cold."""

import asyncio

from ..standin.cluster import (
    make_listed_vm,
    put_vm_entry,
    run_scenario,
    start_site,
    submit,
    submit_stream,
)
from ..standin.trial import EVACUATION_MS
from ..standin.work import make_spec, make_step


def test_cold_vm_is_used_only_when_the_others_are_full():
    async def scenario():
        site = await start_site(2, node_count=1, evacuation_ms=EVACUATION_MS)
        # Of two empty VMs the first by name is chosen otherwise.
        put_vm_entry(site, make_listed_vm(0, draining=True, cold_remaining_ms=4000))
        await asyncio.sleep(1)
        put_vm_entry(site, make_listed_vm(0, cold_remaining_ms=4000))
        await asyncio.sleep(1)
        await submit_stream(site, make_spec(make_step(1), seconds=2), 4, 0.05)
        assert {event.vm for event in site.vm_simulator.history} == {"vm-1"}
        await submit(site, "n0", make_spec(make_step(1), seconds=2))
        await asyncio.sleep(0.5)
        assert [event.vm for event in site.vm_simulator.history if event.kind == "start"][4:] == [
            "vm-0"
        ]
        await asyncio.sleep(5)
        await submit(site, "n0", make_spec(make_step(1), seconds=2))
        await asyncio.sleep(0.5)
        assert site.vm_simulator.history[-1].vm == "vm-0"
        return site

    run_scenario(scenario)


def test_cold_vm_is_used_like_any_other_where_zones_are_not_evacuated():
    async def scenario():
        site = await start_site(2, node_count=1)
        put_vm_entry(site, make_listed_vm(0, draining=True, cold_remaining_ms=4000))
        await asyncio.sleep(1)
        put_vm_entry(site, make_listed_vm(0, cold_remaining_ms=4000))
        await asyncio.sleep(1)
        await submit_stream(site, make_spec(make_step(1), seconds=2), 4, 0.05)
        assert {event.vm for event in site.vm_simulator.history} == {"vm-0"}
        return site

    run_scenario(scenario)
