"""A weak leader hands its term over again after an attempt whose answer never came."""

import asyncio

from ..standin.cluster import find_leader, run_scenario, start_node, start_site


def test_weak_leader_whose_resignation_was_lost_yields_in_a_later_term():
    async def scenario():
        site = await start_site(node_count=1)
        weak = site.nodes[find_leader(site)]
        weak.peers.is_alive = lambda record: asyncio.sleep(0, True)
        await asyncio.sleep(2.5)
        # The resignation gets no answer, and a strong node begins the next term meanwhile.
        weak.leader.commit._append = lambda records: asyncio.Event().wait()
        await start_node(site, "n9", strength=3.0)
        while find_leader(site) != "n9":
            await asyncio.sleep(0.01)
        strong = site.nodes["n9"]
        await asyncio.sleep(1)
        strong.peers.is_alive = weak.peers.is_alive
        await strong.leader.resign("n0")
        while find_leader(site) != "n0":
            await asyncio.sleep(0.01)
        await asyncio.sleep(6)
        assert find_leader(site) == "n9"
        return site

    run_scenario(scenario)
