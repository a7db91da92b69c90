"""Tests each promise's check on a history that keeps the promise and one that violates it."""

import pytest

from .checker import PROMISES, check_history
from .event import (
    AnswerReceived,
    AnswerSent,
    ProcessStarted,
    ProcessStopped,
    RequestAccepted,
    TicketAccepted,
    TicketInForce,
    VmLeaving,
    VmListed,
    WorkEnded,
    WorkStarted,
)
from .timeline import LogicalClock, Record, Timeline, decode_record, encode_record, merge_records


def make_history(*steps):
    """Makes records of one node from pairs of a time in seconds and an event."""
    return [Record(i, at_s, "n1/gate", i, event) for i, (at_s, event) in enumerate(steps, 1)]


def make_start(task, vm="v1", team="t", slots=1, repeatable=True):
    return WorkStarted(task, team, vm, 1, 0, 0, 0, slots, repeatable)


def make_accepted(request, key="k1", key_team="t"):
    return RequestAccepted(request, "t", "q", key, key_team, False, True, "p" + request)


VM = VmListed("v1", 4000, 4096, 0, 2)
VM2 = VmListed("v2", 4000, 4096, 0, 2)
TICKET = TicketAccepted(1, "", "t=10")
VALID_HISTORY = make_history(
    (0, ProcessStarted("gate", "i1")),
    (0, VM),
    (0, VM2),
    (0, TICKET),
    (0.5, TicketInForce("gate", 1, 7)),
    (1, make_accepted("r1")),
    (1, make_start("r1")),
    (2, WorkEnded("r1", "v1", "done", "b1")),
    (2, AnswerSent("r1", "answered", "b1", "")),
    (2, AnswerReceived("r1", "pr1", "answered", "b1")),
    (30, ProcessStopped("gate", "i1", 0)),
)
VIOLATING_HISTORIES = {
    "capacity": make_history(
        (0, VM), (0, TICKET), (1, make_start("a")), (1, make_start("b")), (1, make_start("c"))
    ),
    "single_place": make_history(
        (0, VM), (0, VM2), (0, TICKET), (1, make_start("a")), (1, make_start("a", "v2"))
    ),
    "keys": make_history((0, TicketAccepted(1, "k1", "")), (9, make_accepted("r1"))),
    "limits": make_history(
        (0, VM), (0, TicketAccepted(1, "", "t=1")), (1, make_start("a")), (1, make_start("b"))
    ),
    "answers": make_history(
        (0, make_accepted("r1")),
        (1, AnswerSent("r1", "answered", "other", "")),
    ),
    "not_run": make_history(
        (0, VM), (0, TICKET), (1, AnswerSent("r1", "not_run", "", "")), (2, make_start("r1"))
    ),
    "once": make_history(
        (0, VM),
        (0, TICKET),
        (1, make_start("a", repeatable=False)),
        (2, WorkEnded("a", "v1", "done", "b")),
        (3, make_start("a", repeatable=False)),
    ),
    "leaving": make_history((0, VM), (0, TICKET), (1, VmLeaving("v1")), (9, make_start("a"))),
    "graceful": make_history((0, make_accepted("r1")), (5, ProcessStopped("gate", "i1", 0))),
    "configuration": make_history(
        (0, TicketInForce("gate", 5, 1)), (1, TicketInForce("gate", 4, 1))
    ),
}


def test_good_history_has_no_violation():
    assert check_history(VALID_HISTORY) == []


@pytest.mark.parametrize("promise", PROMISES)
def test_each_check_finds_its_violation(promise):
    found = {violation.promise for violation in check_history(VIOLATING_HISTORIES[promise])}
    assert found == {promise}


def test_ticket_that_never_comes_into_force_is_found():
    history = make_history(
        (0, ProcessStarted("gate", "i1")), (1, TICKET), (40, AnswerSent("x", "unknown", "", ""))
    )
    assert [v.promise for v in check_history(history)] == ["configuration"]


def test_crossed_answer_is_found():
    history = make_history(
        (0, make_accepted("r1")),
        (0, make_accepted("r2")),
        (1, AnswerReceived("r1", "pr2", "answered", "b")),
    )
    assert "another request" in check_history(history)[0].detail


def test_effect_is_merged_after_its_cause_although_clocks_differ():
    sender, receiver = Timeline("b", now=lambda: 500.0), Timeline("a", now=lambda: 3.0)
    sender.emit(TICKET)
    receiver.clock.observe(sender.clock.advance())
    receiver.emit(TicketInForce("gate", 1, 7))
    merged = merge_records([*receiver.records, *sender.records])
    assert [record.node for record in merged] == ["b", "a"]


def test_encoded_records_are_decoded_unchanged():
    assert [decode_record(encode_record(record)) for record in VALID_HISTORY] == VALID_HISTORY


def test_logical_clock_never_goes_back():
    clock = LogicalClock()
    clock.observe(9)
    clock.observe(4)
    assert clock.advance() == 10
