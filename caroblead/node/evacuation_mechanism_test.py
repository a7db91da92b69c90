"""Shows that the evacuation of zones depends on each of its mechanisms.

Each mechanism is disabled in turn, and a scenario of ``evacuation_test`` must then start a task
where or when none may start.
"""

from functools import partial

import pytest

from ..dispatch import evacuationcheck, orders, tick
from ..dispatch.evacuation import is_reading_current
from ..standin.cluster import run_scenario
from .evacuation import EvacuationView
from .evacuation_test import (
    BOUND_S,
    CALM_S,
    delay_an_order_beyond_the_bound,
    evacuate_during_a_leader_change,
    evacuate_while_starts_are_recorded,
    evacuate_without_the_leader,
    evacuate_zones,
    get_evacuated_s,
    list_starts,
    lose_history_while_the_zones_change,
    run_with_slow_reads,
)


def ignore_evacuations(monkeypatch):
    monkeypatch.setattr(evacuationcheck, "set_zones", lambda fleet, zones: None)


def send_orders_without_their_own_deadline(monkeypatch):
    monkeypatch.setattr(
        orders, "limit_start_deadline", lambda row, deadline_ms, start_until_s: deadline_ms
    )


def trust_readings_of_any_age(monkeypatch):
    monkeypatch.setattr(evacuationcheck, "is_reading_current", lambda *arguments: True)


def trust_readings_and_orders_of_any_age(monkeypatch):
    trust_readings_of_any_age(monkeypatch)
    send_orders_without_their_own_deadline(monkeypatch)


def trust_readings_from_before_the_term(monkeypatch):
    def is_recent(reading, bound_s, term_began_s, now_s):
        return is_reading_current(reading, bound_s, 0.0, now_s)

    monkeypatch.setattr(evacuationcheck, "is_reading_current", is_recent)


def send_without_a_second_look_at_the_zones(monkeypatch):
    monkeypatch.setattr(tick, "find_withdrawal_reason", lambda state, runs: "")


def keep_zones_that_a_complete_read_lacks(monkeypatch):
    consume = EvacuationView.consume

    def consume_as_partial(self, batch, complete):
        consume(self, batch, complete and not self.known)

    monkeypatch.setattr(EvacuationView, "consume", consume_as_partial)


def list_wrong_starts(site, after_s):
    return list_starts(site, "a", get_evacuated_s(site, "a") + after_s)


@pytest.mark.parametrize(
    ("disable", "scenario", "after_s"),
    [
        (ignore_evacuations, partial(evacuate_zones, ("a",)), BOUND_S),
        (ignore_evacuations, partial(evacuate_zones, ("a", "b")), BOUND_S),
        (ignore_evacuations, partial(evacuate_zones, ("a", "b", "c")), BOUND_S),
        (trust_readings_and_orders_of_any_age, evacuate_without_the_leader, BOUND_S),
        (trust_readings_and_orders_of_any_age, partial(run_with_slow_reads, 7.0), BOUND_S),
        (trust_readings_from_before_the_term, evacuate_during_a_leader_change, CALM_S),
        (
            send_without_a_second_look_at_the_zones,
            partial(evacuate_while_starts_are_recorded, False),
            0.0,
        ),
        (
            send_without_a_second_look_at_the_zones,
            partial(evacuate_while_starts_are_recorded, True),
            0.0,
        ),
        (send_orders_without_their_own_deadline, delay_an_order_beyond_the_bound, BOUND_S),
    ],
)
def test_task_starts_in_the_zone_without_the_mechanism(disable, scenario, after_s, monkeypatch):
    disable(monkeypatch)
    assert list_wrong_starts(run_scenario(scenario), after_s)


def test_zone_stays_evacuated_after_lost_history_without_the_mechanism(monkeypatch):
    keep_zones_that_a_complete_read_lacks(monkeypatch)
    site = run_scenario(lose_history_while_the_zones_change)
    assert list_wrong_starts(site, 8.0) == []


def test_leader_that_cannot_read_the_operators_log_starts_tasks_without_the_mechanism(monkeypatch):
    trust_readings_of_any_age(monkeypatch)
    site = run_scenario(evacuate_without_the_leader)
    evacuated_s = get_evacuated_s(site, "a")
    assert list_starts(site, "b", evacuated_s + 3.5, evacuated_s + 10)
