"""Clusters of several nodes under failures, checked against the history recorded by the VMs."""

import asyncio
from types import SimpleNamespace

from ..core.clock import get_elapsed_s
from ..jobs.data import JobState
from ..jobs.ledger import find_state
from ..jobs.record import KeyedRecord
from ..standin.cluster import (
    cancel,
    find_leader,
    kill_node,
    run_scenario,
    start_node,
    start_site,
    submit,
    submit_stream,
    wait_for_leader,
)
from ..standin.trial import check_site
from ..standin.work import make_spec, make_step


def check_guarantees(site):
    assert check_site(site) == []


def test_jobs_of_two_steps_run_in_order_and_are_shown_as_done():
    async def scenario():
        site = await start_site()
        steps = make_step(), make_step(after=(0,))
        await submit_stream(site, make_spec(*steps, seconds=0.3), 5, 0.1)
        await asyncio.sleep(5)
        return site

    check_guarantees(run_scenario(scenario))


def test_leader_killed_under_load_loses_and_duplicates_no_work():
    async def scenario():
        site = await start_site()
        spec = make_spec(make_step(), seconds=1)
        stream = asyncio.create_task(submit_stream(site, spec, 40, 0.1))
        await asyncio.sleep(1.5)
        dead = find_leader(site)
        killed_s = asyncio.get_running_loop().time()
        await kill_node(site, dead)
        await wait_for_leader(site)
        assert asyncio.get_running_loop().time() - killed_s < 2.0
        await stream
        await start_node(site, dead)
        await asyncio.sleep(8)
        return site

    check_guarantees(run_scenario(scenario))


def test_weak_leader_hands_over_to_a_strong_node():
    async def scenario():
        site = await start_site(node_count=2)
        spec = make_spec(make_step(), seconds=1)
        await submit_stream(site, spec, 6, 0.05)
        await start_node(site, "n9", strength=3.0)
        await submit_stream(site, spec, 40, 0.1)
        assert find_leader(site) == "n9"
        await kill_node(site, "n9")
        await submit_stream(site, spec, 6, 0.05)
        await wait_for_leader(site)
        await asyncio.sleep(8)
        return site

    check_guarantees(run_scenario(scenario))


def test_leader_drains_while_its_peers_are_removed():
    async def scenario():
        site = await start_site()
        name = find_leader(site)
        node = site.nodes[name]

        async def remove_peers(record):
            node.ledger.nodes.clear()
            return False

        node.peers.is_alive = remove_peers
        await node.drain(SimpleNamespace(open_calls=0, closing=False), get_elapsed_s())
        await kill_node(site, name)
        await submit_stream(site, make_spec(make_step()), 4, 0.1)
        await asyncio.sleep(4)
        return site

    check_guarantees(run_scenario(scenario))


def test_all_nodes_killed_at_once_recover_from_the_log():
    async def scenario():
        site = await start_site()
        await submit_stream(site, make_spec(make_step(3), seconds=1.5), 8, 0.05)
        for name in list(site.nodes):
            await kill_node(site, name)
        await asyncio.sleep(1)
        for name in ("n0", "n1", "n2"):
            await start_node(site, name)
        await wait_for_leader(site, 2.0)
        await asyncio.sleep(12)
        return site

    check_guarantees(run_scenario(scenario))


def test_leader_cut_from_the_store_is_replaced_and_stays_silent():
    async def scenario():
        site = await start_site()
        spec = make_spec(make_step(), seconds=1)
        await submit_stream(site, spec, 10, 0.05)
        cut = find_leader(site)
        site.faults_by_node[cut].silent = True
        await asyncio.sleep(2.5)
        assert find_leader(site) != cut
        rest = [name for name in site.nodes if name != cut]
        for number in range(10):
            await submit(site, rest[number % 2], spec)
        site.faults_by_node[cut].silent = False
        await asyncio.sleep(8)
        return site

    check_guarantees(run_scenario(scenario))


def test_delayed_appends_of_a_former_leader_are_fenced():
    async def scenario():
        site = await start_site()
        await submit_stream(site, make_spec(make_step(), seconds=1), 6, 0.05)
        site.faults_by_node[find_leader(site)].late_s = 3.0
        await asyncio.sleep(4)
        for caller_faults in site.faults_by_node.values():
            caller_faults.late_s = 0.0
        await asyncio.sleep(8)
        return site

    check_guarantees(run_scenario(scenario))


def test_temporary_store_outage_loses_no_job():
    async def scenario():
        site = await start_site()
        await submit_stream(site, make_spec(make_step(), seconds=1), 6, 0.05)
        for caller_faults in site.faults_by_node.values():
            caller_faults.down = True
        await asyncio.sleep(4.5)
        refused = await submit(site, "n0", make_spec(make_step()))
        assert refused in site.caller_records.rejected
        for caller_faults in site.faults_by_node.values():
            caller_faults.down = False
        await asyncio.sleep(6)
        await submit_stream(site, make_spec(make_step(), seconds=1), 6, 0.05)
        await asyncio.sleep(6)
        return site

    check_guarantees(run_scenario(scenario))


def test_node_reads_newest_records_after_history_expires():
    async def scenario():
        site = await start_site()
        await submit_stream(site, make_spec(make_step(), seconds=1), 6, 0.05)
        site.ledger.drop_history()
        await submit_stream(site, make_spec(make_step(), seconds=1), 6, 0.05)
        await asyncio.sleep(10)
        return site

    check_guarantees(run_scenario(scenario))


async def expire_history_early_in_a_term():
    """Expires unread history of the store when the term has made only a few appends.

    The leader then rebuilds its ledger from the newest records and reads its own term once more.
    """
    site = await start_site()
    await submit_stream(site, make_spec(make_step(), seconds=1), 2, 0.3)
    # No node has read this record when the history before it expires.
    site.ledger.append([KeyedRecord("x/unread", b"1")], None)
    site.ledger.drop_history()
    await submit_stream(site, make_spec(make_step(), seconds=1), 12, 0.05)
    await asyncio.sleep(10)
    return site


def test_history_expired_early_in_a_term_loses_no_decision():
    check_guarantees(run_scenario(expire_history_early_in_a_term))


def test_cancelled_job_stops_and_stays_cancelled():
    async def scenario():
        site = await start_site()
        name = await submit(site, "n0", make_spec(make_step(), seconds=5))
        await asyncio.sleep(0.5)
        await cancel(site, "n1", name)
        await asyncio.sleep(1)
        stopped = [line for line in site.vm_simulator.history if line.kind == "stopped"]
        assert len(stopped) == 2
        await asyncio.sleep(6)
        for node in site.nodes.values():
            assert find_state(node.ledger, name) is JobState.CANCELLED
        return site

    check_guarantees(run_scenario(scenario))


def test_same_id_submitted_to_two_nodes_is_one_job():
    async def scenario():
        site = await start_site()
        spec = make_spec(make_step())
        first = await submit(site, "n0", spec)
        site.ids = iter([int(first, 16)])
        again = await submit(site, "n1", spec)
        assert first == again
        await asyncio.sleep(4)
        starts = [line for line in site.vm_simulator.history if line.kind == "start"]
        assert len(starts) == 2
        return site

    check_guarantees(run_scenario(scenario))
