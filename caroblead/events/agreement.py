"""Checks that an accepted ticket comes into force everywhere in time and is never reverted."""

from collections import defaultdict

from .event import (
    DrainStarted,
    LinksCut,
    LinksHealed,
    ProcessKilled,
    ProcessStarted,
    ProgramFrozen,
    ProgramThawed,
    TicketAccepted,
    TicketInForce,
)
from .violation import History, Violation

# An accepted ticket must be in force at every reachable process within this time.
IN_FORCE_LIMIT_S = 14.0


def check_configuration(history: History) -> list[Violation]:
    """Checks that an accepted ticket is in force everywhere in time and never reverted."""
    return _check_reverts(history) + _check_agreement(history) + _check_in_force(history)


def _check_agreement(history: History) -> list[Violation]:
    """Checks that processes which apply the same ticket have the same configuration."""
    first, found = {}, []
    for record in history:
        event = record.event
        if isinstance(event, TicketInForce):
            other = first.setdefault(event.ticket, record)
            if other.event.config != event.config:
                detail = f"{other.node} and {record.node} differ at ticket {event.ticket}"
                found.append(Violation("configuration", detail, (other, record)))
    return found


def _check_reverts(history: History) -> list[Violation]:
    latest, found = {}, []
    for record in sorted(history, key=lambda record: (record.node, record.sequence)):
        event = record.event
        if isinstance(event, ProcessStarted):
            latest.pop(record.node, None)
        elif isinstance(event, TicketInForce):
            previous = latest.get(record.node)
            if previous is not None and event.ticket < previous.event.ticket:
                detail = f"{record.node} went back from {previous.event.ticket} to {event.ticket}"
                found.append(Violation("configuration", detail, (previous, record)))
            latest[record.node] = record
    return found


def _check_in_force(history: History) -> list[Violation]:
    ordered = sorted(history, key=lambda record: record.at_s)
    end_s = ordered[-1].at_s if ordered else 0.0
    lifetimes = _find_lifetimes(ordered)
    outages = _find_outages(ordered, end_s)
    in_force = defaultdict(list)
    for record in ordered:
        if isinstance(record.event, TicketInForce):
            in_force[record.node].append(record)
    found = []
    for record in ordered:
        if not isinstance(record.event, TicketAccepted):
            continue
        for node, start_s, stop_s in lifetimes:
            due_s = max(record.at_s, start_s) + IN_FORCE_LIMIT_S
            node_outages = sorted(outages[node.split("/")[0]] + outages[node])
            due_s = _extend_past_outages(due_s, record.at_s, node_outages)
            if stop_s < due_s or end_s < due_s:
                continue
            applied = [
                r
                for r in in_force[node]
                if start_s <= r.at_s <= due_s and r.event.ticket >= record.event.ticket
            ]
            if not applied:
                detail = f"ticket {record.event.ticket} was not in force at {node} in time"
                found.append(Violation("configuration", detail, (record,)))
    return found


def _find_lifetimes(ordered: History) -> list[tuple[str, float, float]]:
    started, lifetimes = {}, []
    for record in ordered:
        event = record.event
        if isinstance(event, ProcessStarted):
            started[record.node] = record.at_s
        elif isinstance(event, DrainStarted) and record.node in started:
            lifetimes.append((record.node, started.pop(record.node), record.at_s))
        elif isinstance(event, ProcessKilled) and event.killed in started:
            lifetimes.append((event.killed, started.pop(event.killed), record.at_s))
    return lifetimes + [(node, start_s, float("inf")) for node, start_s in started.items()]


def _find_outages(ordered: History, end_s: float) -> dict[str, list[tuple[float, float]]]:
    """Returns the times in which each node was cut off or each program was frozen, by name.

    An outage that has not ended by ``end_s`` ends there.
    """
    open_outages, outages = {}, defaultdict(list)
    for record in ordered:
        event = record.event
        if isinstance(event, LinksCut | ProgramFrozen):
            for name in _list_cut_off(event):
                open_outages.setdefault(name, record.at_s)
        elif isinstance(event, LinksHealed | ProgramThawed):
            for name in _list_cut_off(event):
                if name in open_outages:
                    outages[name].append((open_outages.pop(name), record.at_s))
    for name, start_s in open_outages.items():
        outages[name].append((start_s, end_s))
    return outages


def _list_cut_off(event) -> list[str]:
    return [event.program] if hasattr(event, "program") else event.nodes.split(",")


def _extend_past_outages(
    due_s: float, accepted_s: float, outages: list[tuple[float, float]]
) -> float:
    for start_s, stop_s in outages:
        if start_s <= due_s and stop_s >= accepted_s:
            due_s = max(due_s, stop_s + IN_FORCE_LIMIT_S)
    return due_s
