"""Guards against what a VM that restarts under its name may take over from its former incarnation.

A call that was made for the former incarnation may reach the new one, whose clock and whose ends
start anew.
"""

import asyncio

import pytest

from ..core.resource import Resources
from ..standin.cluster import (
    CAPACITY,
    find_leader,
    run_scenario,
    start_site,
    submit,
    update_vm_entry,
)
from ..standin.trial import check_site
from ..standin.work import make_spec, make_step
from .fleet import Fleet, put_vm
from .interface import EndedTask, EndReason, HoldAnswer, ListedVm, TaskName
from .lease import reset_incarnation
from .watch import Watch

VMS = 4
WHOLE_VM = Resources(CAPACITY.millicores, 100)
STEADY_S = 10.0
CUT_S = 12.0


async def start_loaded_site():
    """Starts a site on each of whose VMs a task of its own has run for some time."""
    site = await start_site(vm_count=VMS)
    for _ in range(VMS):
        await submit(site, "n0", make_spec(make_step(1, need=WHOLE_VM), seconds=16.0))
    await asyncio.sleep(STEADY_S)
    return site


async def restart_vm(site, name: str, down_s: float, entry_s: float):
    """Restarts a VM, which writes its entry ``entry_s`` after its start, or before for one < 0."""
    site.vm_simulator.crash(name, down_s)
    await asyncio.sleep(down_s + 0.001)
    asyncio.get_running_loop().call_later(entry_s, update_vm_entry, site, name)


async def wait_for_run(site, name: str, timeout_s: float = 2.0):
    """Waits until a task runs on a VM."""
    async with asyncio.timeout(timeout_s):
        while not site.vm_simulator.vms[name].active_runs:
            await asyncio.sleep(0.001)


async def cut_off(site, name: str, for_s: float = CUT_S):
    """Cuts a VM off from all nodes, while it runs on."""
    cut = {(node, name) for node in site.faults_by_node}
    site.vm_simulator.cut |= cut
    await asyncio.sleep(for_s)
    site.vm_simulator.cut -= cut


# A renewal that was computed by the former clock gave the new incarnation the longest lease there
# is; the leader counted a usual one, and started the task elsewhere beside it.
@pytest.mark.parametrize("down_s", [0.02, 0.2, 0.4])
@pytest.mark.parametrize("entry_s", [0.0, 0.2, 1.5])
@pytest.mark.parametrize("until_cut_s", [0.0, 0.2, 1.0])
def test_lease_granted_by_the_former_clock_is_not_taken_for_expired(down_s, entry_s, until_cut_s):
    async def scenario():
        site = await start_loaded_site()
        await restart_vm(site, "vm-0", down_s, entry_s)
        await wait_for_run(site, "vm-0")
        await asyncio.sleep(until_cut_s)
        await cut_off(site, "vm-0")
        await asyncio.sleep(20.0)
        return site

    assert check_site(run_scenario(scenario)) == []


# The same, with a leader that takes over while the VM is cut off and so never answers it.
@pytest.mark.parametrize("until_cut_s", [0.0, 0.5])
def test_new_leader_waits_for_the_longest_lease_of_a_vm_that_never_answers(until_cut_s):
    async def scenario():
        site = await start_loaded_site()
        await restart_vm(site, "vm-0", 0.2, 0.2)
        await wait_for_run(site, "vm-0")
        await asyncio.sleep(until_cut_s)
        cut = asyncio.create_task(cut_off(site, "vm-0"))
        await site.nodes[find_leader(site)].leader.resign()
        await cut
        await asyncio.sleep(20.0)
        return site

    assert check_site(run_scenario(scenario)) == []


# A call for the former incarnation was carried out seconds later, after the first answer of the new
# one, and extended its lease once more.
@pytest.mark.parametrize("late_s", [2.0, 3.0, 5.0])
def test_renewal_carried_out_late_does_not_extend_the_lease_of_the_next_incarnation(late_s):
    async def scenario():
        site = await start_loaded_site()
        simulator = site.vm_simulator
        simulator.late_holds, simulator.late_s = {"vm-0"}, late_s
        await asyncio.sleep(1.0)
        assert not simulator.late_holds
        await restart_vm(site, "vm-0", 0.1, 0.1)
        await wait_for_run(site, "vm-0")
        vm, longest_ms = simulator.vms["vm-0"], 0
        for _ in range(int(late_s / 0.01)):
            await asyncio.sleep(0.01)
            longest_ms = max(longest_ms, vm.deadline_ms - simulator.get_clock_ms(vm))
        assert longest_ms <= 8_000
        await asyncio.sleep(20.0)
        return site

    assert check_site(run_scenario(scenario)) == []


# The number of the last end that was known of the former incarnation was sent to the new one, which
# forgot by it an end that nobody had seen. The task, which was done, started again.
def test_end_of_the_next_incarnation_is_not_forgotten_before_it_is_seen():
    async def scenario():
        site = await start_site(vm_count=2)
        simulator, small = site.vm_simulator, Resources(100, 100)
        await submit(site, "n0", make_spec(make_step(20, need=small), seconds=0.05))
        await asyncio.sleep(2.0)
        simulator.late_orders, simulator.late_s = 1, 1.0
        job = await submit(site, "n0", make_spec(make_step(1, need=small), seconds=0.05))
        await asyncio.sleep(0.05)
        (name,) = [
            row.name
            for row in site.nodes[find_leader(site)].leader.fleet.rows.values()
            if any(run.task.job == job for run in row.runs.values())
        ]
        cut = asyncio.create_task(cut_off(site, name, 1.5))
        await restart_vm(site, name, 0.1, 3.0)
        await cut
        await asyncio.sleep(5.0)
        kinds = [event.kind for event in simulator.history if event.task.job == job]
        assert kinds.count("start") == 1
        return site

    assert check_site(run_scenario(scenario)) == []


class RestartedMeanwhile:
    """Reports of a watch whose VM restarts while the ends that it has listed are recorded."""

    def __init__(self, fleet, row):
        self.fleet, self.row = fleet, row

    def on_end(self, row, ended):
        pass

    def on_free_room(self):
        pass

    async def wait_recorded(self, timeout_s):
        reset_incarnation(self.fleet, self.row, self.row.incarnation + 1, 0.0)
        return True


# The ends of the former incarnation counted as seen in the new one, which forgot as many.
def test_ends_recorded_while_a_vm_restarts_do_not_count_as_seen_in_its_next_incarnation():
    async def scenario():
        fleet = Fleet()
        row = put_vm(fleet, ListedVm("v", 1, "s", "a:1", "z", "r", (), CAPACITY, False))
        watch = Watch(fleet, row, None, None, RestartedMeanwhile(fleet, row))
        ended = EndedTask(7, TaskName("a", 0, 0, 0), 1, EndReason.DONE, "")
        await watch._handle_lists(HoldAnswer(1000, 1, [], [ended]), 0.0)
        assert (row.incarnation, row.seen) == (2, 0)

    asyncio.run(scenario())
