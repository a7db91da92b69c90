"""Guards against urgent work that is ordered at VMs out of reach, where it is stuck for a lease."""

from ..core.clock import get_elapsed_s
from ..standin.cluster import find_leader, make_listed_vm, run_scenario, start_site, submit_stream
from ..standin.work import make_spec, make_step
from . import leader
from .doubt import doubt_vm, is_doubted
from .fleet import Fleet, is_usable, put_vm

NOW_S = 100.0
# The timeout of an order, and the time until orders are sent at two VMs and a tick has run.
NOTICE_S = 0.5


def make_fleet():
    """Returns a fleet with three VMs in each of two zones, all heard 0.3 s ago."""
    fleet = Fleet()
    for number in range(6):
        row = put_vm(fleet, make_listed_vm(number, zone="ab"[number % 2]))
        row.answered, row.heard_s = True, NOW_S - 0.3
    return fleet


def test_vm_that_leaves_a_call_unanswered_gets_no_task_until_it_answers():
    fleet = make_fleet()
    row = fleet.rows["vm-0"]
    assert doubt_vm(fleet, row, NOW_S - 0.2) == []
    assert not is_usable(row, NOW_S)
    assert is_usable(fleet.rows["vm-2"], NOW_S)
    row.heard_s = NOW_S
    assert is_usable(row, NOW_S)


def test_two_such_vms_put_their_zone_in_doubt_but_not_the_others():
    fleet = make_fleet()
    doubt_vm(fleet, fleet.rows["vm-0"], NOW_S - 0.2)
    assert [row.name for row in doubt_vm(fleet, fleet.rows["vm-2"], NOW_S - 0.1)] == ["vm-4"]
    assert not is_usable(fleet.rows["vm-4"], NOW_S)
    assert all(is_usable(fleet.rows[name], NOW_S) for name in ("vm-1", "vm-3", "vm-5"))


def test_vm_heard_since_is_not_doubted():
    fleet = make_fleet()
    for name in ("vm-0", "vm-4"):
        fleet.rows[name].heard_s = NOW_S
    assert doubt_vm(fleet, fleet.rows["vm-0"], NOW_S - 0.2) == []
    doubt_vm(fleet, fleet.rows["vm-2"], NOW_S - 0.2)
    assert not is_doubted(fleet.rows["vm-0"]) and not is_doubted(fleet.rows["vm-4"])


def count_stuck_runs(doubts, monkeypatch):
    """Returns how many runs were ordered in a zone well after it was cut off."""
    if not doubts:
        monkeypatch.setattr(leader, "doubt_vm", lambda fleet, row, sent_s: [])
    found = []

    async def scenario():
        site = await start_site(vm_count=24, node_count=3, zones=("a", "b"))
        await submit_stream(site, make_spec(make_step(), seconds=0.1), 10, 0.04)
        vms = site.vm_simulator.vms
        cut = {name for name, vm in vms.items() if vm.listed.zone == "a"}
        site.vm_simulator.cut = {(node, name) for node in site.nodes for name in cut}
        cut_s = get_elapsed_s()
        await submit_stream(site, make_spec(make_step(), seconds=0.1), 120, 0.01)
        fleet = site.nodes[find_leader(site)].leader.fleet
        for name in cut:
            runs = fleet.rows[name].runs.values()
            found.extend(run for run in runs if run.started_s > cut_s + NOTICE_S)
        return site

    run_scenario(scenario)
    return len(found)


def test_no_urgent_work_goes_to_a_zone_that_is_cut_off_once_that_shows(monkeypatch):
    assert count_stuck_runs(True, monkeypatch) == 0


def test_work_is_stuck_there_without_the_doubt(monkeypatch):
    assert count_stuck_runs(False, monkeypatch) > 0
