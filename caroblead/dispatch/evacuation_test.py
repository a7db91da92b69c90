"""Tests of the decisions about evacuated zones on plain tables, with a replay of the load."""

from dataclasses import replace

import pytest

from ..core.resource import Resources
from ..jobs.data import AdviceTimes, JobQueue, StepSpec
from .advice.advicerequest import choose_vms_to_ask
from .evacuation import (
    EvacuationState,
    ZoneReading,
    find_evacuated_zones,
    find_waiting_steps,
    is_reading_current,
    limit_start_deadline,
    list_cold,
    set_zones,
)
from .fleet import Reservation, Run, RunPhase, book_run
from .interface import Configuration, TaskName
from .planning_test import NOW_S, make_fleet, make_steps, plan
from .work import StepAdvice

BOUND_S = 5.0
ZONES = ("a", "b", "c")
SMALL = Resources(1000, 1)
WHOLE_VM = Resources(4000, 1)
ADVISED = JobQueue("q", "h", "/p/", "s", advice=AdviceTimes(0.1, 0.01, 1.5))


def make_zoned_fleet(count, evacuated=(), zones=ZONES):
    """Returns a fleet whose VMs are in the zones in turn; ``v0`` is in the first."""
    fleet = make_fleet(count)
    for number, row in enumerate(fleet.rows.values()):
        row.listed = replace(row.listed, zone=zones[number % len(zones)])
    set_zones(fleet, frozenset(evacuated))
    return fleet


def list_zones(placements):
    return {placement.vm.listed.zone for placement in placements}


def find_waiting(steps, fleet):
    return list(find_waiting_steps(steps, fleet, Configuration()).values())


@pytest.mark.parametrize(
    ("read_s", "expected"),
    [(None, False), (99.9, False), (100.0, True), (106.9, False), (107.0, True), (109.9, True)],
)
def test_reading_counts_if_it_is_recent_and_of_this_term(read_s, expected):
    now_s = 110.0 if read_s is not None and read_s > 105 else 103.0
    reading = ZoneReading(frozenset(), read_s)
    assert is_reading_current(reading, BOUND_S, 100.0, now_s) is expected


def test_start_order_expires_on_a_slow_clock_before_the_bound():
    row = make_fleet(1).rows["v0"]
    row.clock_ms, row.clock_at_s = 50_000, 100.0
    assert limit_start_deadline(row, 58_000, float("inf")) == 58_000
    assert limit_start_deadline(row, 51_000, 104.0) == 51_000
    deadline_ms = limit_start_deadline(row, 58_000, 104.0)
    assert 50_000 + 4000 * 0.97 < deadline_ms <= 50_000 + 4000 * 0.98


def test_step_is_placed_only_outside_evacuated_zones_and_in_them_again_afterwards():
    (step,) = make_steps(StepSpec(12, WHOLE_VM))
    fleet = make_zoned_fleet(12, "ab")
    placements = plan([step], fleet).placements
    assert list_zones(placements) == {"c"}
    assert len(placements) == 4
    set_zones(fleet, frozenset("b"))
    assert list_zones(plan([step], fleet).placements) == {"a", "c"}
    set_zones(fleet, frozenset())
    assert len(plan([step], fleet).placements) == 12


def test_gang_that_needs_evacuated_vms_is_not_placed_at_all():
    (gang,) = make_steps(StepSpec(5, WHOLE_VM, gang=True))
    fleet = make_zoned_fleet(6, "a")
    assert plan([gang], fleet).placements == []
    assert fleet.reservations == {}


def test_no_advice_is_requested_about_evacuated_vms_even_if_they_were_allowed():
    fleet = make_zoned_fleet(6, "a")
    advice = StepAdvice(asked={"v0", "v1"}, allowed={"v0", "v1"})
    assert set(choose_vms_to_ask(fleet, "s", advice, SMALL)) == {"v1", "v2", "v4", "v5"}
    (step,) = make_steps(StepSpec(1, SMALL), queue=ADVISED)
    set_zones(fleet, frozenset(ZONES))
    assert plan([step], fleet).advice_needed == []


def test_ticket_for_an_evacuated_vm_is_not_used():
    (step,) = make_steps(StepSpec(1, SMALL), queue=ADVISED)
    step.advice.asked = step.advice.allowed = {"v0"}
    step.advice.tickets, step.advice.received_s = {"v0": "t"}, NOW_S
    fleet = make_zoned_fleet(1)
    assert len(plan([step], fleet).placements) == 1
    set_zones(fleet, frozenset("a"))
    assert plan([step], fleet).placements == []


def fill_with_evictable_runs(fleet):
    for row in fleet.rows.values():
        task = TaskName(row.name, 0, 0, 0)
        run = Run(task, 1, row, "t", Resources(4000, 1), RunPhase.RUNNING, started_s=NOW_S)
        run.priority, run.evictable = 2, True
        book_run(fleet, run)


@pytest.mark.parametrize(("evacuated", "expected"), [("", {"a", "b"}), ("a", {"b"}), ("ab", set())])
def test_nothing_is_evicted_or_reserved_in_evacuated_zones(evacuated, expected):
    urgent = JobQueue("u", "h", "/u/", "s", priority=0)
    fleet = make_zoned_fleet(4, evacuated, "ab")
    fill_with_evictable_runs(fleet)
    (step,) = make_steps(StepSpec(4, WHOLE_VM), queue=urgent)
    assert {run.vm.listed.zone for run in plan([step], fleet).evictions} == expected
    assert {fleet.rows[name].listed.zone for name in fleet.reservations} == expected


def test_reservations_in_a_zone_are_released_when_it_is_evacuated():
    (step,) = make_steps(StepSpec(4, WHOLE_VM, gang=True))
    fleet = make_zoned_fleet(6)
    for name in fleet.rows:
        fleet.reservations[name] = Reservation(step.key, (), NOW_S + 1)
    change = set_zones(fleet, frozenset(("a", "nowhere")))
    assert (change.began, change.ended) == (["a", "nowhere"], [])
    assert change.released == ["v0", "v3"]
    assert set(fleet.reservations) == {"v1", "v2", "v4", "v5"}
    assert set_zones(fleet, frozenset(("a", "nowhere"))) is None


def test_gang_to_be_sent_names_the_evacuated_zones_of_its_members():
    fleet = make_zoned_fleet(3, "ab")
    runs = [
        Run(TaskName("a", 0, 0, number), 1, row, "t", SMALL)
        for number, row in enumerate(fleet.rows.values())
    ]
    assert find_evacuated_zones(fleet, runs) == ["a", "b"]
    assert find_evacuated_zones(fleet, runs[2:]) == []


def test_cold_vm_counts_as_cold_until_its_time_is_over_even_if_its_entry_stays():
    fleet, state = make_zoned_fleet(2), EvacuationState()
    row = fleet.rows["v0"]
    row.listed = replace(row.listed, cold_remaining_ms=3000)
    assert list_cold(state, fleet, 100.0) == {"v0"}
    assert list_cold(state, fleet, 102.9) == {"v0"}
    assert list_cold(state, fleet, 103.1) == set()
    row.listed = replace(row.listed, cold_remaining_ms=2000)
    assert list_cold(state, fleet, 104.0) == {"v0"}
    row.listed = replace(row.listed, cold_remaining_ms=0)
    assert list_cold(state, fleet, 104.1) == set()


def test_cold_vms_are_asked_about_after_the_others_that_have_room():
    fleet = make_zoned_fleet(4)
    fleet.rows["v3"].free = Resources(0, 0)
    names = choose_vms_to_ask(fleet, "s", StepAdvice(), SMALL, {"v0", "v1"})
    assert names[0] == "v2"
    assert names[-1] == "v3"


def test_step_waits_for_a_zone_only_if_no_other_vm_could_ever_hold_it():
    fleet = make_zoned_fleet(6, "a")
    (anywhere,) = make_steps(StepSpec(1, WHOLE_VM))
    (nowhere,) = make_steps(StepSpec(1, Resources(5000, 1)))
    (large_gang,) = make_steps(StepSpec(5, WHOLE_VM, gang=True))
    (huge_gang,) = make_steps(StepSpec(7, WHOLE_VM, gang=True))
    assert find_waiting([anywhere, nowhere, huge_gang], fleet) == []
    assert find_waiting([large_gang], fleet) == ["a"]
    set_zones(fleet, frozenset(ZONES))
    assert find_waiting([anywhere, huge_gang], fleet) == ["a,b,c"]
    set_zones(fleet, frozenset())
    assert find_waiting([anywhere, large_gang], fleet) == []


def test_step_waits_for_the_zone_with_the_only_vms_of_its_label():
    fleet = make_zoned_fleet(4, "a", "ab")
    (step,) = make_steps(StepSpec(1, SMALL, label="r0"))
    assert {row.listed.zone for row in fleet.rows.values() if "r0" in row.listed.labels} == {"a"}
    assert find_waiting([step], fleet) == ["a"]


def test_step_waits_for_the_zone_with_the_only_vms_that_the_advice_service_allows():
    fleet = make_zoned_fleet(6, "a")
    (step,) = make_steps(StepSpec(1, SMALL), queue=ADVISED)
    step.advice.asked = set(fleet.rows) - {"v1"}
    step.advice.allowed = {"v0", "v3"}
    assert find_waiting([step], fleet) == []
    step.advice.asked.add("v1")
    assert find_waiting([step], fleet) == ["a"]


def test_zone_fills_under_the_planned_load_only_before_and_after_its_evacuation():
    """Replays ticks at the planned size: 560 VMs, 300 waiting steps, 530 starts a second."""
    fleet = make_zoned_fleet(560)
    steps = []
    for number in range(300):
        steps += make_steps(StepSpec(20, Resources(900, 100)), name=f"j{number}")
    placed = {}
    for tick in range(30):
        set_zones(fleet, frozenset("ab") if 10 <= tick < 20 else frozenset())
        chosen = plan(steps, fleet).placements[:53]
        placed.setdefault(tick // 10, set()).update(list_zones(chosen))
        for placement in chosen:
            task = placement.step.make_task_name(placement.index)
            book_run(fleet, Run(task, 1, placement.vm, "t", Resources(900, 100)))
            placement.step.waiting.discard(placement.index)
    assert placed == {0: {"a", "b", "c"}, 1: {"c"}, 2: {"a", "b", "c"}}
