"""Leaders that are slow, as for want of processor time, don't replace each other without end."""

import asyncio

from ..jobs.data import JobState
from ..jobs.ledger import find_state
from ..standin.cluster import (
    find_leader,
    kill_node,
    run_scenario,
    start_site,
    submit,
    wait_for_leader,
)
from ..standin.trial import check_site
from ..standin.work import make_spec, make_step

# Every append of a node takes so much longer, so that a leader's heartbeats are 2.2 s apart.
APPEND_DELAY_S = 1.9
SETTLE_S = 25.0


def slow_down(site):
    for caller_faults in site.faults_by_node.values():
        caller_faults.append_delay_s = APPEND_DELAY_S


def get_term(site) -> int:
    return max(node.ledger.term.number for node in site.nodes.values())


def test_slow_leaders_do_not_replace_each_other_without_end():
    async def scenario():
        site = await start_site(node_count=5)
        slow_down(site)
        await asyncio.sleep(SETTLE_S)
        settled = get_term(site)
        jobs = [await submit(site, "n0", make_spec(make_step(2), seconds=0.5)) for _ in range(3)]
        await asyncio.sleep(SETTLE_S)
        assert get_term(site) == settled
        ledger = site.nodes[find_leader(site)].ledger
        assert [find_state(ledger, job) for job in jobs] == [JobState.DONE] * 3
        return site

    assert check_site(run_scenario(scenario)) == []


def test_second_leader_killed_soon_after_the_first_is_replaced_in_time():
    async def scenario():
        site = await start_site(node_count=5)
        await asyncio.sleep(10)
        await kill_node(site, find_leader(site))
        for _ in range(2):
            await wait_for_leader(site)
            await asyncio.sleep(0.5)
            await kill_node(site, find_leader(site))
        killed_s = asyncio.get_running_loop().time()
        await wait_for_leader(site)
        assert asyncio.get_running_loop().time() - killed_s < 4.5
        return site

    run_scenario(scenario)
