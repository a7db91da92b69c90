"""Tests of VM leases: the confirmation of the term bounds a grant, and expiry must be certain."""

from ..core.resource import Resources
from .fleet import Fleet, Run, RunPhase, put_vm
from .interface import ListedVm, TaskName
from .lease import (
    grant_deadline,
    is_clock_of_incarnation,
    is_lease_expired,
    list_expired_runs,
    observe_clock,
    observe_first_answer,
    reset_incarnation,
)


def make_row(term_began_s=100.0):
    fleet = Fleet(term_began_s=term_began_s, lease_s=8.0, longest_lease_s=10.0)
    listed = ListedVm("v", 1, "s", "a:1", "z", "r", (), Resources(1000, 1000), False)
    return fleet, put_vm(fleet, listed)


def test_vm_that_has_only_just_answered_may_hold_the_longest_lease_of_former_calls():
    fleet, row = make_row()
    observe_first_answer(fleet, row, 50_000, 100.1)
    assert not is_lease_expired(fleet, row, 100.2)
    assert not is_lease_expired(fleet, row, 110.0)
    assert is_lease_expired(fleet, row, 110.5)


def test_lease_of_a_silent_vm_expires_only_once_its_slow_clock_has_passed_the_deadline():
    fleet, row = make_row()
    observe_first_answer(fleet, row, 50_000, 100.0)
    observe_clock(row, 60_000, 110.0)
    deadline = grant_deadline(fleet, row, 109.9, 110.0)
    assert deadline == 67_900
    assert not is_lease_expired(fleet, row, 110.0 + 7.9 * 1.02)
    assert is_lease_expired(fleet, row, 110.0 + 8.0 * 1.0205 + 0.11)


def test_deadline_counts_from_the_confirmed_time_however_late_the_order_is_made():
    fleet, row = make_row()
    observe_first_answer(fleet, row, 50_000, 100.0)
    assert grant_deadline(fleet, row, 101.0, 101.0) == 59_000


def test_lease_of_a_vm_that_never_answered_expires_the_longest_lease_after_the_term_began():
    fleet, row = make_row()
    assert not is_lease_expired(fleet, row, 110.3)
    assert is_lease_expired(fleet, row, 110.6)


def test_calls_to_each_incarnation_have_a_fence_of_their_own_below_those_of_the_next_term():
    fleet, row = make_row()
    fences = [row.fence]
    for incarnation in (2, 3):
        reset_incarnation(fleet, row, incarnation, 101.0)
        fences.append(row.fence)
    # The VM leaves the table and comes back: it may have seen the last fence of its former row.
    del fleet.rows[row.name]
    fences.append(put_vm(fleet, row.listed).fence)
    later = put_vm(Fleet(term=fleet.term + 1), row.listed)
    assert sorted({*fences, later.fence}) == [*fences, later.fence]


def make_run(row, index, is_confirmed):
    task = TaskName("a", 0, 0, index)
    run = Run(task, 1, row, "north", Resources(100, 100), RunPhase.RUNNING)
    run.is_confirmed = is_confirmed
    row.runs[task, 1] = run
    return run


def test_clock_that_starts_anew_is_not_taken_for_that_of_the_known_incarnation():
    fleet, row = make_row()
    observe_first_answer(fleet, row, 3_000, 100.0)
    assert is_clock_of_incarnation(row, 4_020, 101.0, 101.05)
    assert not is_clock_of_incarnation(row, 200, 101.0, 101.05)
    assert not is_clock_of_incarnation(row, 5_000, 101.0, 101.05)


# Its VM may have restarted unnoticed, and then counts by another clock than the leader.
def test_run_that_is_not_confirmed_may_last_for_the_longest_lease_from_the_last_grant():
    fleet, row = make_row()
    observe_first_answer(fleet, row, 50_000, 80.0)
    observe_clock(row, 70_000, 100.0)
    grant_deadline(fleet, row, 99.0, 101.0)
    confirmed, other = make_run(row, 0, True), make_run(row, 1, False)
    assert is_lease_expired(fleet, row, 107.5)
    assert list_expired_runs(fleet, row, 107.5) == [confirmed]
    assert list_expired_runs(fleet, row, 111.3) == [confirmed]
    assert list_expired_runs(fleet, row, 111.6) == [confirmed, other]
