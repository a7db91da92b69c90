"""A permission that ran out while a process was paused, cut off or restarted is not used again."""

import asyncio

import pytest

from ..core.outcome import Reason
from ..core.resource import Resources
from ..dispatch.fleet import RunPhase
from ..dispatch.interface import Configuration
from ..jobs.record import KeyedRecord
from ..standin.cluster import (
    KEY,
    QUEUES,
    find_leader,
    kill_node,
    publish_config,
    run_scenario,
    start_node,
    start_site,
    submit_stream,
    wait_for_leader,
)
from ..standin.trial import check_site
from ..standin.work import make_spec, make_step
from .answer import Admission

# The first version of the configuration in which the key is withdrawn.
WITHDRAWN_IN = 2
REVOKE_S = 5.0
# Long enough for a read of the configuration after a fault has ended.
READ_S = 1.5


def decode_with_withdrawn_key(value: bytes) -> Configuration:
    version = int(value)
    keys = {} if version >= WITHDRAWN_IN else {KEY: "north"}
    return Configuration(version, dict(QUEUES), {}, keys)


def admit(site, name):
    return site.nodes[name].access.admit("x.example", "/c/1", KEY)


async def start_site_with_key():
    site = await start_site()
    for node in site.nodes.values():
        node.configuration_view.decode = decode_with_withdrawn_key
    return site


@pytest.mark.parametrize("fault", ["silent", "frozen"])
def test_node_that_was_cut_off_or_paused_does_not_accept_a_key_withdrawn_meanwhile(fault):
    async def scenario():
        site = await start_site_with_key()
        assert isinstance(admit(site, "n0"), Admission)
        setattr(site.faults_by_node["n0"], fault, True)
        publish_config(site, WITHDRAWN_IN)
        await asyncio.sleep(REVOKE_S)
        # The first request after a pause is handled before any answer of the store.
        assert admit(site, "n0").fault.reason is Reason.NO_CONFIG
        setattr(site.faults_by_node["n0"], fault, False)
        await asyncio.sleep(READ_S)
        assert admit(site, "n0").fault.reason is Reason.BAD_KEY
        return site

    run_scenario(scenario)


def test_restarted_node_never_accepts_a_withdrawn_key():
    async def scenario():
        site = await start_site_with_key()
        publish_config(site, WITHDRAWN_IN)
        site.config.drop_history()
        await kill_node(site, "n0")
        await start_node(site, "n0")
        site.nodes["n0"].configuration_view.decode = decode_with_withdrawn_key
        for _ in range(40):
            assert not isinstance(admit(site, "n0"), Admission)
            await asyncio.sleep(0.05)
        assert admit(site, "n0").fault.reason is Reason.BAD_KEY
        return site

    run_scenario(scenario)


def test_vm_that_left_gets_no_work_after_a_restart_of_every_node():
    async def scenario():
        site = await start_site()
        site.registry.append([KeyedRecord("vm-1", b"")], None)
        site.registry.drop_history()
        for name in list(site.nodes):
            await kill_node(site, name)
        for name in ("n0", "n1", "n2"):
            await start_node(site, name)
        await wait_for_leader(site)
        await submit_stream(site, make_spec(make_step(4), seconds=0.5), 6, 0.05)
        await asyncio.sleep(6)
        starts = [line for line in site.vm_simulator.history if line.kind == "start"]
        assert len(starts) == 24
        assert "vm-1" not in {line.vm for line in starts}
        return site

    assert check_site(run_scenario(scenario)) == []


def test_start_is_not_sent_once_its_ticket_has_expired():
    async def scenario():
        site = await start_site()
        sender = site.nodes[find_leader(site)].leader.order_sender
        await submit_stream(site, make_spec(make_step(1), seconds=8), 1, 0.3)
        rows = site.nodes[find_leader(site)].leader.fleet.rows.values()
        run = next(run for row in rows for run in row.runs.values())
        sent = []

        async def record_order(target, order):
            sent.append(order)

        sender.vms.start = record_order
        run.phase, run.ticket_until_s = RunPhase.RECORDING, asyncio.get_running_loop().time() - 0.01
        await sender.start(run, "")
        assert sent == []
        return site

    run_scenario(scenario)


def test_leader_that_has_not_read_the_quotas_starts_nothing():
    async def scenario():
        site = await start_site(cap=Resources(1000, 8192))
        await submit_stream(site, make_spec(make_step(4), seconds=4), 1, 0.0)
        await asyncio.sleep(1)
        for name in list(site.nodes):
            await kill_node(site, name)
        read = asyncio.Event()
        for name in ("n0", "n1", "n2"):
            await start_node(site, name)
            log = site.nodes[name].configuration_tail.log

            async def read_newest(log=log, original=log.read_newest):
                await read.wait()
                return await original()

            log.read_newest = read_newest
        await wait_for_leader(site)
        await asyncio.sleep(3)
        starts = [line for line in site.vm_simulator.history if line.kind == "start"]
        assert len(starts) == 1
        read.set()
        await asyncio.sleep(20)
        return site

    assert check_site(run_scenario(scenario)) == []
