"""Plans of a tick with VMs that have shrunk below what runs there."""

from ..core.resource import Resources, subtract
from ..standin.cluster import (
    make_listed_vm,
)
from ..standin.work import make_step
from .eviction import choose_evictions, count_fit
from .planning_test import make_backlog, make_fleet, make_steps, plan


def shrink_row(row, capacity):
    row.free = subtract(row.free, subtract(row.listed.capacity, capacity))
    row.listed = make_listed_vm(0, capacity=capacity)


def test_nothing_fits_into_free_resources_of_which_one_is_negative():
    assert count_fit(Resources(1000, 0), Resources(-1000, 8000)) == 0
    assert count_fit(Resources(1000, 0), Resources(3000, -1)) == 0
    assert count_fit(Resources(0, 512), Resources(-1, 4096)) == 0
    assert count_fit(Resources(1000, 512), Resources(3000, 4096)) == 3


def test_vm_over_its_capacity_does_not_hide_one_with_free_resources():
    fleet, _ = make_backlog(0)
    for name in ("v0", "v1", "v2"):
        fleet.rows[name].free = Resources(-2000, -100)
    steps = make_steps(make_step(3))
    assert [item.vm.name for item in plan(steps, fleet).placements] == ["v3"]
    fleet.rows["v3"].free = Resources(-1, 8000)
    assert plan(steps, fleet).placements == []


def make_vm_without_memory_beside_evictable_run():
    """Returns two VMs: one has cores free but less than no memory, the other an evictable run."""
    fleet, _ = make_backlog(0)
    rows = [fleet.rows[name] for name in ("v0", "v1")]
    (run,) = rows[1].runs.values()
    run.evictable = True
    return rows, {"v0": Resources(1000, -100), "v1": Resources(1000, 7900)}


def test_no_run_is_evicted_for_a_gang_that_then_still_does_not_fit():
    rows, free = make_vm_without_memory_beside_evictable_run()
    (gang,) = make_steps(make_step(5, need=Resources(1000, 0), gang=True))
    assert choose_evictions(gang, rows, free, 5, 1.0) is None


def test_vm_without_memory_does_not_keep_urgent_work_from_evicting_elsewhere():
    rows, free = make_vm_without_memory_beside_evictable_run()
    (step,) = make_steps(make_step(1, need=Resources(2000, 0)))
    free["v0"] = Resources(2000, -100)
    found = choose_evictions(step, rows, free, 1, 1.0)
    assert [run.vm.name for run in found.runs] == ["v1"]


def test_gang_lets_go_of_vms_that_have_become_too_small_for_it():
    fleet = make_fleet(3)
    for row in fleet.rows.values():
        row.free = Resources(1000, 8000)
    (gang,) = make_steps(make_step(8, need=Resources(1000, 1), gang=True), name="g")
    plan([gang], fleet)
    assert sorted(fleet.reservations) == ["v0", "v1"]
    shrink_row(fleet.rows["v1"], Resources(2000, 8000))
    gang.next_search_s = 0.0
    plan([gang], fleet)
    assert sorted(fleet.reservations) == ["v0", "v2"]
    shrink_row(fleet.rows["v2"], Resources(2000, 8000))
    gang.next_search_s = 0.0
    plan([gang], fleet)
    assert fleet.reservations == {}
