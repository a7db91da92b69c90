"""A leader that is short of processor time starts work instead of only retrying its orders."""

import asyncio

from ..dispatch.interface import NoAnswer
from ..dispatch.orderwindow import MIN_ORDER_TIMEOUT_S, OrderWindow
from ..jobs.data import JobState
from ..jobs.ledger import find_state
from ..standin.cluster import find_leader, run_scenario, start_site, submit
from ..standin.trial import check_site
from ..standin.vmcontrol import SimulatedVmControl
from ..standin.work import make_spec, make_step

# The processor time that each order costs the leader, one order after the other.
ORDER_COST_S = 0.02
BURST_JOBS = 40
TASKS_PER_JOB = 4
BURST_GAP_S = 12.0


class SlowVmControl(SimulatedVmControl):
    """Sends orders one after the other and gives up the ones whose turn comes too late."""

    order_timeout_s = MIN_ORDER_TIMEOUT_S

    def __init__(self, inner: SimulatedVmControl):
        super().__init__(inner.vm_simulator, inner.caller, inner.caller_faults)
        self.turn = asyncio.Lock()
        self.timeouts = 0

    async def _send_order(self, target, apply_order):
        limit_s = asyncio.get_running_loop().time() + self.order_timeout_s
        async with self.turn:
            await asyncio.sleep(ORDER_COST_S)
            answer = await super()._send_order(target, apply_order)
        if asyncio.get_running_loop().time() > limit_s:
            self.timeouts += 1
            return NoAnswer("its answer was read too late")
        return answer


def slow_leader_down(site) -> SlowVmControl:
    leader = site.nodes[find_leader(site)].leader
    control = SlowVmControl(leader.dependencies.vms)
    leader.dependencies.vms = leader.order_sender.vms = control
    return control


async def run_two_bursts():
    """Submits two bursts to a slow leader, which learns from the first one how slow it is.

    Returns the site, the number of jobs done and the orders of the second burst that timed out.
    """
    site = await start_site(vm_count=60)
    control = slow_leader_down(site)
    spec = make_spec(make_step(TASKS_PER_JOB), seconds=0.5)
    jobs = [await submit(site, "n0", spec) for _ in range(BURST_JOBS)]
    await asyncio.sleep(BURST_GAP_S)
    control.timeouts = 0
    jobs += [await submit(site, "n0", spec) for _ in range(BURST_JOBS)]
    await asyncio.sleep(BURST_GAP_S)
    ledger = site.nodes[find_leader(site)].ledger
    done = sum(find_state(ledger, job) is JobState.DONE for job in jobs)
    return site, done, control.timeouts


def test_leader_short_of_processor_time_serves_bursts_without_timeouts():
    async def scenario():
        site, done, timeouts = await run_two_bursts()
        assert done == 2 * BURST_JOBS
        assert timeouts < BURST_JOBS * TASKS_PER_JOB / 4
        return site

    assert check_site(run_scenario(scenario)) == []


def test_without_the_window_most_orders_of_a_burst_time_out(monkeypatch):
    # Shows that the test above fails without the mechanism.
    monkeypatch.setattr(OrderWindow, "observe", lambda self, took_s, now_s: False)

    async def scenario():
        site, _, timeouts = await run_two_bursts()
        assert timeouts > BURST_JOBS * TASKS_PER_JOB / 2
        return site

    run_scenario(scenario)
