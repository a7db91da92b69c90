"""Checks that an accepted configuration is in force everywhere in time and never reverts."""

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

# Within this time an accepted ticket must be in force at every process that can be reached.
IN_FORCE_S = 14.0


def check_configuration(history: History) -> list[Violation]:
    """An accepted configuration is in force everywhere in time and never reverts."""
    return _check_reverts(history) + _check_agreement(history) + _check_in_force(history)


def _check_agreement(history: History) -> list[Violation]:
    """Processes that apply the same ticket must apply the same configuration."""
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
            before = latest.get(record.node)
            if before is not None and event.ticket < before.event.ticket:
                detail = f"{record.node} went back from {before.event.ticket} to {event.ticket}"
                found.append(Violation("configuration", detail, (before, record)))
            latest[record.node] = record
    return found


def _check_in_force(history: History) -> list[Violation]:
    ordered = sorted(history, key=lambda record: record.at_s)
    end_s = ordered[-1].at_s if ordered else 0.0
    lives = _find_lives(ordered)
    cuts = _find_cuts(ordered, end_s)
    in_force = defaultdict(list)
    for record in ordered:
        if isinstance(record.event, TicketInForce):
            in_force[record.node].append(record)
    found = []
    for record in ordered:
        if not isinstance(record.event, TicketAccepted):
            continue
        for node, start_s, stop_s in lives:
            due_s = max(record.at_s, start_s) + IN_FORCE_S
            apart = sorted(cuts[node.split("/")[0]] + cuts[node])
            due_s = _extend_past_cuts(due_s, record.at_s, apart)
            if stop_s < due_s or end_s < due_s:
                continue
            heard = [
                r
                for r in in_force[node]
                if start_s <= r.at_s <= due_s and r.event.ticket >= record.event.ticket
            ]
            if not heard:
                detail = f"ticket {record.event.ticket} was not in force at {node} in time"
                found.append(Violation("configuration", detail, (record,)))
    return found


def _find_lives(ordered: History) -> list[tuple[str, float, float]]:
    started, lives = {}, []
    for record in ordered:
        event = record.event
        if isinstance(event, ProcessStarted):
            started[record.node] = record.at_s
        elif isinstance(event, DrainStarted) and record.node in started:
            lives.append((record.node, started.pop(record.node), record.at_s))
        elif isinstance(event, ProcessKilled) and event.killed in started:
            lives.append((event.killed, started.pop(event.killed), record.at_s))
    return lives + [(node, start_s, float("inf")) for node, start_s in started.items()]


def _find_cuts(ordered: History, end_s: float) -> dict[str, list[tuple[float, float]]]:
    """Returns when each node was cut off and when each program stood still."""
    open_cuts, cuts = {}, defaultdict(list)
    for record in ordered:
        event = record.event
        if isinstance(event, LinksCut | ProgramFrozen):
            for name in _list_names(event):
                open_cuts.setdefault(name, record.at_s)
        elif isinstance(event, LinksHealed | ProgramThawed):
            for name in _list_names(event):
                if name in open_cuts:
                    cuts[name].append((open_cuts.pop(name), record.at_s))
    for name, start_s in open_cuts.items():
        cuts[name].append((start_s, end_s))
    return cuts


def _list_names(event) -> list[str]:
    return [event.program] if hasattr(event, "program") else event.nodes.split(",")


def _extend_past_cuts(due_s: float, accepted_s: float, cuts: list[tuple[float, float]]) -> float:
    for start_s, stop_s in cuts:
        if start_s <= due_s and stop_s >= accepted_s:
            due_s = max(due_s, stop_s + IN_FORCE_S)
    return due_s
