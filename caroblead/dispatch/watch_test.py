"""What a VM's lists prove of a run: nothing, while they are only the first part of the truth."""

import asyncio

import pytest

from ..core.resource import Resources
from ..jobs.ledger import find_state
from ..standin import vmsimulator
from ..standin.cluster import find_leader, run_scenario, start_site, submit
from ..standin.trial import check_site
from ..standin.work import find_end_state, make_spec, make_step

TASKS = 24
SPEC = make_spec(make_step(TASKS, need=Resources(250, 100)), seconds=2.0)
STORE_DOWN_S = 4.2


# While the store was down, a VM had more ends than it lists at a time; the others were taken for
# gone, and their tasks, which were done, started again.
@pytest.mark.parametrize("fault", ["down", "silent"])
def test_run_whose_end_is_not_listed_yet_does_not_count_as_gone(fault, monkeypatch):
    monkeypatch.setattr(vmsimulator, "MAX_ENDS_PER_ANSWER", 5)

    async def scenario():
        site = await start_site(vm_count=2)
        job = await submit(site, "n0", SPEC)
        await asyncio.sleep(1)
        for faults in site.faults_by_node.values():
            setattr(faults, fault, True)
        await asyncio.sleep(STORE_DOWN_S)
        for faults in site.faults_by_node.values():
            setattr(faults, fault, False)
        await asyncio.sleep(10)
        leader = site.nodes[find_leader(site)]
        assert find_state(leader.ledger, job) is find_end_state(SPEC)
        kinds = [event.kind for event in site.vm_simulator.history]
        assert (kinds.count("start"), kinds.count("noted done")) == (TASKS, TASKS)
        return site

    assert check_site(run_scenario(scenario)) == []
