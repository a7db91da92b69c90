"""What several nodes do together, under failure, judged by the history of the VMs."""

import asyncio
from types import SimpleNamespace

from ..jobs.data import JobState
from ..jobs.ledger import find_state
from ..jobs.record import KeyedRecord
from ..standin.cluster import (
    cancel,
    find_leader,
    kill_node,
    play,
    start_node,
    start_site,
    submit,
    submit_stream,
    wait_for_leader,
)
from ..standin.trial import judge_site
from ..standin.work import make_spec, make_step


def judge(site):
    assert judge_site(site) == []


def test_jobs_of_two_steps_run_in_order_and_are_shown_as_done():
    async def scenario():
        site = await start_site()
        steps = make_step(), make_step(after=(0,))
        await submit_stream(site, make_spec(*steps, seconds=0.3), 5, 0.1)
        await asyncio.sleep(5)
        return site

    judge(play(scenario))


def test_leader_killed_under_load_loses_nothing_and_doubles_nothing():
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

    judge(play(scenario))


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

    judge(play(scenario))


def test_leader_that_stops_bears_that_its_peers_vanish_meanwhile():
    async def scenario():
        site = await start_site()
        name = find_leader(site)
        node = site.nodes[name]

        async def vanish(record):
            node.ledger.nodes.clear()
            return False

        node.peers.is_alive = vanish
        await node.drain(SimpleNamespace(open_calls=0, closing=False))
        await kill_node(site, name)
        await submit_stream(site, make_spec(make_step()), 4, 0.1)
        await asyncio.sleep(4)
        return site

    judge(play(scenario))


def test_all_nodes_killed_at_once_go_on_from_the_log():
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

    judge(play(scenario))


def test_leader_cut_from_the_store_is_replaced_and_stays_silent():
    async def scenario():
        site = await start_site()
        spec = make_spec(make_step(), seconds=1)
        await submit_stream(site, spec, 10, 0.05)
        cut = find_leader(site)
        site.troubles[cut].silent = True
        await asyncio.sleep(2.5)
        assert find_leader(site) != cut
        rest = [name for name in site.nodes if name != cut]
        for number in range(10):
            await submit(site, rest[number % 2], spec)
        site.troubles[cut].silent = False
        await asyncio.sleep(8)
        return site

    judge(play(scenario))


def test_leader_whose_appends_come_late_does_not_decide_for_its_successor():
    async def scenario():
        site = await start_site()
        await submit_stream(site, make_spec(make_step(), seconds=1), 6, 0.05)
        site.troubles[find_leader(site)].late_s = 3.0
        await asyncio.sleep(4)
        for trouble in site.troubles.values():
            trouble.late_s = 0.0
        await asyncio.sleep(8)
        return site

    judge(play(scenario))


def test_store_down_for_a_while_loses_nothing():
    async def scenario():
        site = await start_site()
        await submit_stream(site, make_spec(make_step(), seconds=1), 6, 0.05)
        for trouble in site.troubles.values():
            trouble.down = True
        await asyncio.sleep(4.5)
        refused = await submit(site, "n0", make_spec(make_step()))
        assert refused in site.notes.rejected
        for trouble in site.troubles.values():
            trouble.down = False
        await asyncio.sleep(6)
        await submit_stream(site, make_spec(make_step(), seconds=1), 6, 0.05)
        await asyncio.sleep(6)
        return site

    judge(play(scenario))


def test_history_forgotten_by_the_store_is_read_from_the_newest_records():
    async def scenario():
        site = await start_site()
        await submit_stream(site, make_spec(make_step(), seconds=1), 6, 0.05)
        site.ledger.forget()
        await submit_stream(site, make_spec(make_step(), seconds=1), 6, 0.05)
        await asyncio.sleep(10)
        return site

    judge(play(scenario))


async def forget_history_early_in_a_term():
    """Drops the history of the store, unread, when few appends of the term have been made."""
    site = await start_site()
    await submit_stream(site, make_spec(make_step(), seconds=1), 2, 0.3)
    # Nobody has read this record when the history before it goes.
    site.ledger.append([KeyedRecord("x/unread", b"1")], None)
    site.ledger.forget()
    await submit_stream(site, make_spec(make_step(), seconds=1), 12, 0.05)
    await asyncio.sleep(10)
    return site


def test_history_forgotten_early_in_a_term_swallows_no_decision():
    judge(play(forget_history_early_in_a_term))


def test_cancelled_job_stops_and_stays_cancelled():
    async def scenario():
        site = await start_site()
        name = await submit(site, "n0", make_spec(make_step(), seconds=5))
        await asyncio.sleep(0.5)
        await cancel(site, "n1", name)
        await asyncio.sleep(1)
        stopped = [line for line in site.park.history if line.kind == "stopped"]
        assert len(stopped) == 2
        await asyncio.sleep(6)
        for node in site.nodes.values():
            assert find_state(node.ledger, name) is JobState.CANCELLED
        return site

    judge(play(scenario))


def test_same_id_at_two_nodes_is_one_job():
    async def scenario():
        site = await start_site()
        spec = make_spec(make_step())
        first = await submit(site, "n0", spec)
        site.ids = iter([int(first, 16)])
        again = await submit(site, "n1", spec)
        assert first == again
        await asyncio.sleep(4)
        starts = [line for line in site.park.history if line.kind == "start"]
        assert len(starts) == 2
        return site

    judge(play(scenario))
