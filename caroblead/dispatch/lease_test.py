"""Tests of VM leases: the confirmation of the term bounds a grant, and expiry must be certain."""

from ..core.resource import Resources
from .fleet import Fleet, put_vm
from .interface import ListedVm
from .lease import grant_deadline, is_lease_expired, observe_clock, observe_first_answer


def make_row(term_began_s=100.0):
    fleet = Fleet(term_began_s=term_began_s, lease_s=8.0)
    listed = ListedVm("v", 1, "s", "a:1", "z", "r", (), Resources(1000, 1000), False)
    return fleet, put_vm(fleet, listed)


def test_vm_that_has_only_just_answered_may_hold_a_lease_of_the_former_leader():
    fleet, row = make_row()
    observe_first_answer(fleet, row, 50_000, 100.1)
    assert not is_lease_expired(fleet, row, 100.2)
    assert not is_lease_expired(fleet, row, 108.0)
    assert is_lease_expired(fleet, row, 108.5)


def test_lease_of_a_silent_vm_expires_only_once_its_slow_clock_has_passed_the_deadline():
    fleet, row = make_row()
    observe_first_answer(fleet, row, 50_000, 100.0)
    observe_clock(row, 60_000, 110.0)
    deadline = grant_deadline(fleet, row, 109.9)
    assert deadline == 67_900
    assert not is_lease_expired(fleet, row, 110.0 + 7.9 * 1.02)
    assert is_lease_expired(fleet, row, 110.0 + 8.0 * 1.0205 + 0.11)


def test_deadline_counts_from_the_confirmed_time_however_late_the_order_is_made():
    fleet, row = make_row()
    observe_first_answer(fleet, row, 50_000, 100.0)
    assert grant_deadline(fleet, row, 101.0) == 59_000


def test_lease_of_a_vm_that_never_answered_expires_one_lease_time_after_the_term_began():
    fleet, row = make_row()
    assert not is_lease_expired(fleet, row, 108.2)
    assert is_lease_expired(fleet, row, 108.5)
