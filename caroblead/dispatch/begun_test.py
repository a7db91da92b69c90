"""What counts as begun: only a job of which a task has started on a VM."""

import asyncio

import pytest

from ..dispatch.interface import NoAnswer, Refused, StartRefusal
from ..jobs.data import JobState
from ..jobs.ledger import count_waiting, find_state
from ..standin.cluster import run_scenario, start_site, submit
from ..standin.trial import check_site
from ..standin.vmcontrol import SimulatedVmControl
from ..standin.work import make_spec, make_step

JOBS = 5


# A job counted as begun as soon as a start was planned, and went on to do so when it was refused.
@pytest.mark.parametrize("outcome", [Refused(StartRefusal.UNHEALTHY), NoAnswer("no response")])
def test_job_whose_starts_come_to_nothing_counts_as_waiting(outcome, monkeypatch):
    start = SimulatedVmControl.start

    async def fail(self, target, order):
        return outcome

    async def scenario():
        site = await start_site(vm_count=2)
        monkeypatch.setattr(SimulatedVmControl, "start", fail)
        jobs = [await submit(site, "n0", make_spec(make_step(1), seconds=5)) for _ in range(JOBS)]
        for _ in range(20):
            await asyncio.sleep(0.3)
            for node in site.nodes.values():
                assert count_waiting(node.ledger, "checks") == JOBS
        monkeypatch.setattr(SimulatedVmControl, "start", start)
        await asyncio.sleep(4)
        for node in site.nodes.values():
            assert count_waiting(node.ledger, "checks") == 0
            assert {find_state(node.ledger, job) for job in jobs} == {JobState.RUNNING}
        await asyncio.sleep(10)
        return site

    assert check_site(run_scenario(scenario)) == []


def test_job_that_has_begun_is_shown_so_soon():
    async def scenario():
        site = await start_site()
        job = await submit(site, "n0", make_spec(make_step(2), seconds=20))
        await asyncio.sleep(1)
        assert {find_state(node.ledger, job) for node in site.nodes.values()} == {JobState.RUNNING}
        return site

    run_scenario(scenario)
