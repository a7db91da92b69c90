"""Orders that a VM rejects for good: they hold up no other job and aren't repeated all the time."""

import asyncio

from ..core.resource import Resources
from ..standin.cluster import run_scenario, start_site, submit
from ..standin.trial import check_site
from ..standin.vmcontrol import SimulatedVmControl
from ..standin.work import make_spec, make_step
from .interface import Refused, StartRefusal

SMALL = Resources(100, 100)
LENGTH_S = 30
JOBS = 60


# The orders of a job that every VM rejects as invalid were repeated each second for ever.
def test_job_whose_orders_are_invalid_is_tried_ever_less_and_holds_up_no_other(monkeypatch):
    start, attempts = SimulatedVmControl.start, []

    async def refuse_one_job(self, target, order):
        if order.task.job != bad[0]:
            return await start(self, target, order)
        attempts.append(order)
        return Refused(StartRefusal.INVALID)

    bad = []
    monkeypatch.setattr(SimulatedVmControl, "start", refuse_one_job)

    async def scenario():
        site = await start_site()
        bad.append(f"{next(site.ids) + 1:016x}")
        assert await submit(site, "n0", make_spec(make_step(8, need=SMALL), seconds=1)) == bad[0]
        spec, waited_s = make_spec(make_step(1, need=SMALL), seconds=0.1), []
        loop = asyncio.get_running_loop()
        for _ in range(JOBS):
            sent_s = loop.time()
            job = await submit(site, "n1", spec)
            await asyncio.sleep(LENGTH_S / JOBS)
            starts = [event for event in site.vm_simulator.history if event.task.job == job]
            waited_s.append(starts[0].at_s - sent_s if starts else LENGTH_S)
        assert max(waited_s) < 0.3
        assert 3 * 8 <= len(attempts) <= 6 * 8
        site.caller_records.accepted.discard(bad[0])
        return site

    assert check_site(run_scenario(scenario)) == []
