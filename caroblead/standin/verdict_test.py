"""Tests of the checker: by which capacity it judges the start of a run."""

import pytest

from ..core.resource import Resources
from ..dispatch.interface import TaskName
from ..jobs.data import JobQueue
from .verdict import SHRINK_GRACE_S, CallerRecords, check_history
from .vmsimulator import CapacityChange, HistoryEvent
from .work import make_spec, make_step

LARGE, SMALL = Resources(4000, 8192), Resources(2000, 8192)
NEED = Resources(1000, 1024)
START_S = 20.0


def make_start(index, at_s=START_S, **options):
    return HistoryEvent(at_s, "start", TaskName("a", 0, 0, index), 1, "vm-0", NEED, **options)


def check(starts, capacity, changes=()):
    spec = make_spec(make_step(len(starts), need=NEED))
    queue = JobQueue("q", "h", "/p/", "s", max_attempts=1)
    caller_records = CallerRecords({"a": spec}, {"a": queue})
    return check_history(starts, caller_records, capacity, Resources(), changes)


def shrink(before_s, vm="vm-0"):
    return [CapacityChange(START_S - before_s, vm, SMALL)]


def test_fixed_capacity_is_judged_without_any_grace():
    assert check([make_start(index) for index in range(4)], LARGE) == []
    (problem,) = check([make_start(index) for index in range(5)], LARGE)
    assert "vm-0 exceeds its capacity" in problem
    (problem,) = check([make_start(index, late_s=8.0) for index in range(5)], LARGE)
    assert "vm-0 exceeds its capacity" in problem


@pytest.mark.parametrize(("before_s", "count"), [(0.1, 0), (5.4, 0), (5.6, 1), (19.0, 1)])
def test_shrink_counts_after_the_grace(before_s, count):
    starts = [make_start(index) for index in range(3)]
    assert len(check(starts, LARGE, shrink(before_s))) == count


def test_shrink_of_another_vm_does_not_count():
    assert check([make_start(index) for index in range(3)], LARGE, shrink(19.0, "vm-1")) == []


def test_no_start_within_the_grace_may_exceed_the_former_capacity():
    assert len(check([make_start(index) for index in range(5)], LARGE, shrink(0.1))) == 1


def test_growth_counts_at_once_but_not_before():
    growth = [CapacityChange(START_S, "vm-0", LARGE)]
    assert check([make_start(index) for index in range(4)], SMALL, growth) == []
    early = [make_start(index, START_S - 0.1) for index in range(3)]
    assert len(check(early, SMALL, growth)) == 1


def test_growth_of_one_resource_does_not_hide_the_shrink_of_another():
    changes = [CapacityChange(START_S - 9.0, "vm-0", Resources(2000, 99_999))]
    assert len(check([make_start(index) for index in range(3)], LARGE, changes)) == 1


def test_order_executed_late_is_judged_by_the_capacity_when_it_was_sent():
    starts = [make_start(0), make_start(1), make_start(2, late_s=3.0)]
    assert check(starts, LARGE, shrink(SHRINK_GRACE_S + 2.9)) == []
    assert len(check(starts, LARGE, shrink(SHRINK_GRACE_S + 3.1))) == 1


def test_filling_run_uses_memory_of_its_vm_but_no_cores():
    starts = [make_start(index, fills=True) for index in range(9)]
    assert len(check(starts[:8], LARGE)) == 0
    assert len(check(starts, LARGE)) == 1
