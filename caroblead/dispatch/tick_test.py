"""Tests of which VMs the advice service is asked about."""

from ..core.resource import Resources
from .advice.advicerequest import MAX_VMS_PER_REQUEST, choose_vms_to_ask, store_answer
from .fleet import Run, book_run, release_run
from .interface import TaskName
from .planning_test import make_fleet
from .work import StepAdvice

NEED = Resources(1000, 2000)


def fill_memory(fleet, names):
    """Leaves cores but no memory free on the named VMs."""
    for name in names:
        task = TaskName(name, 0, 0, 0)
        book_run(fleet, Run(task, 1, fleet.rows[name], "t", Resources(100, 8000)))


def test_full_vms_that_are_allowed_do_not_keep_others_with_room_from_being_asked_about():
    fleet = make_fleet(MAX_VMS_PER_REQUEST + 20)
    full = [f"v{number}" for number in range(MAX_VMS_PER_REQUEST)]
    fill_memory(fleet, full)
    advice = StepAdvice(asked=set(full), allowed=set(full))
    names = choose_vms_to_ask(fleet, "s", advice, NEED)
    assert len(names) == MAX_VMS_PER_REQUEST
    assert set(fleet.rows) - set(full) <= set(names)


def test_allowed_vms_with_room_are_asked_about_before_unknown_ones():
    fleet = make_fleet(MAX_VMS_PER_REQUEST + 20)
    allowed = {f"v{number}" for number in range(30)}
    names = choose_vms_to_ask(fleet, "s", StepAdvice(asked=allowed, allowed=allowed), NEED)
    assert set(names[:30]) == allowed


def test_step_has_a_ticket_for_every_vm_that_it_may_choose():
    fleet = make_fleet(MAX_VMS_PER_REQUEST + 20)
    full = [f"v{number}" for number in range(MAX_VMS_PER_REQUEST)]
    advice = StepAdvice()
    for names_to_fill in ([], full, []):
        for row in fleet.rows.values():
            for run in list(row.runs.values()):
                release_run(fleet, run)
        fill_memory(fleet, names_to_fill)
        names = choose_vms_to_ask(fleet, "s", advice, NEED)
        store_answer(advice, names, dict.fromkeys(names, "t"))
        assert advice.allowed == set(advice.tickets)
        with_room = set(fleet.rows) - set(names_to_fill)
        assert len(with_room & advice.allowed) == min(len(with_room), MAX_VMS_PER_REQUEST)


def test_vm_that_is_allowed_no_longer_is_not_chosen_for_a_step():
    advice = StepAdvice()
    store_answer(advice, ["v0", "v1"], {"v0": "t", "v1": "t"})
    store_answer(advice, ["v0", "v1"], {"v1": "t"})
    assert advice.allowed == {"v1"}
    assert advice.asked == {"v0", "v1"}
