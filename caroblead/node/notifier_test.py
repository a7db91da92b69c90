"""A request for a running job is answered as soon as the job ends, at whichever node it is made."""

import asyncio

from ..jobs.data import JobState
from ..jobs.record import NodeRecord
from ..standin.cluster import find_leader, kill_node, run_scenario, start_site, submit
from ..standin.work import make_spec, make_step
from .election import list_candidates


def test_every_node_answers_a_waiting_request_when_the_job_ends():
    async def scenario():
        site = await start_site()
        job = await submit(site, "n0", make_spec(make_step(1), seconds=0.6))
        loop = asyncio.get_running_loop()
        for name, node in site.nodes.items():
            state, asked = JobState.RUNNING, 0
            while state is not JobState.DONE and asked < 10:
                asked_s = loop.time()
                state = (await node.request_handler.show(job)).state
                assert loop.time() - asked_s < 0.4, name
                asked += 1
            assert state is JobState.DONE, name
        return site

    run_scenario(scenario)


def test_node_answers_from_its_own_copy_when_the_leader_is_gone():
    async def scenario():
        site = await start_site()
        job = await submit(site, "n0", make_spec(make_step(1), seconds=5))
        await asyncio.sleep(0.5)
        leader = find_leader(site)
        other = next(name for name in site.nodes if name != leader)
        await kill_node(site, leader)
        shown = await site.nodes[other].request_handler.show(job)
        assert shown.state is JobState.RUNNING
        return site

    run_scenario(scenario)


def test_first_candidates_come_from_different_zones():
    zones = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "c1": "c"}
    nodes = {name: NodeRecord(name, zone, "h", 1, "i") for name, zone in zones.items()}
    order = list_candidates(nodes)
    assert {zones[name] for name in order[:3]} == {"a", "b", "c"}
    assert sorted(order) == sorted(nodes)
