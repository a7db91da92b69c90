"""The history checker: checks the ten promises of the system against a merged history of events.

The check of each promise is a function from the ordered records to the violations found. What
actually ran is taken from the events of the platform's VMs, never from what our own processes
assume. For example, a request that was answered with ``not_run`` must have no ``WorkStarted``
event anywhere, at any time.
"""

from collections import Counter, defaultdict
from collections.abc import Callable

from .agreement import IN_FORCE_LIMIT_S, check_configuration
from .event import (
    AnswerReceived,
    AnswerSent,
    LinksCut,
    LinksHealed,
    ListDown,
    ListUp,
    ProcessStopped,
    RequestAccepted,
    TicketAccepted,
    VmFailed,
    VmLeaving,
    VmListed,
    WorkEnded,
    WorkStarted,
)
from .timeline import Record
from .violation import History, Violation

# A withdrawn key must have stopped working within this time.
KEY_WITHDRAWAL_LIMIT_S = 5.0
# A VM that is shown as leaving must get no new work after this time.
LEAVING_LIMIT_S = 5.0


def check_capacity(history: History) -> list[Violation]:
    """Checks that no VM is ever given more work than its capacity allows."""
    capacity, running, used, found = {}, {}, defaultdict(lambda: [0, 0, 0, 0]), []
    for record in history:
        event = record.event
        if isinstance(event, VmListed):
            capacity[event.vm] = _get_resources(event)
        elif isinstance(event, WorkStarted):
            running[event.task, event.vm] = _get_resources(event)
            _add_resources(used[event.vm], _get_resources(event), 1)
            limits = capacity.get(event.vm)
            if limits is None or any(
                used_amount > upper_limit
                for used_amount, upper_limit in zip(used[event.vm], limits, strict=True)
            ):
                detail = f"{event.vm} runs {used[event.vm]} with a capacity of {limits}"
                found.append(Violation("capacity", detail, (record,)))
        elif isinstance(event, WorkEnded):
            resources = running.pop((event.task, event.vm), None)
            if resources:
                _add_resources(used[event.vm], resources, -1)
        elif isinstance(event, VmFailed):
            used[event.vm] = [0, 0, 0, 0]
            for place in [place for place in running if place[1] == event.vm]:
                del running[place]
    return found


def _get_resources(event) -> tuple[int, int, int, int]:
    return (event.millicores, event.memory_mb, event.accelerators, event.slots)


def _add_resources(totals: list[int], resources: tuple, sign: int):
    for index, value in enumerate(resources):
        totals[index] += sign * value


def check_single_place(history: History) -> list[Violation]:
    """Checks that no task ever runs in two places at the same time."""
    places, found = {}, []
    for record in history:
        event = record.event
        if isinstance(event, WorkStarted):
            if event.task in places:
                first = places[event.task]
                detail = f"{event.task} runs on {first.event.vm} and on {event.vm}"
                found.append(Violation("single_place", detail, (first, record)))
            places[event.task] = record
        elif isinstance(event, WorkEnded):
            if event.task in places and places[event.task].event.vm == event.vm:
                del places[event.task]
        elif isinstance(event, VmFailed):
            for task in [t for t, first in places.items() if first.event.vm == event.vm]:
                del places[task]
    return found


def check_keys(history: History) -> list[Violation]:
    """Checks that work is accepted only for the team of its key and not with a withdrawn key.

    A withdrawn key must stop working within ``KEY_WITHDRAWAL_LIMIT_S`` seconds.
    """
    withdrawn, found = {}, []
    for record in sorted(history, key=lambda record: record.at_s):
        event = record.event
        if isinstance(event, TicketAccepted):
            for key in filter(None, event.withdrawn_keys.split(",")):
                withdrawn.setdefault(key, record)
        elif isinstance(event, RequestAccepted) and not event.open:
            if not event.key or event.key_team != event.team:
                detail = (
                    f"{event.request} of team {event.team} was sent with a key of {event.key_team}"
                )
                found.append(Violation("keys", detail, (record,)))
            first = withdrawn.get(event.key)
            if first is not None and record.at_s > first.at_s + KEY_WITHDRAWAL_LIMIT_S:
                delay_s = record.at_s - first.at_s
                detail = f"key {event.key} worked {delay_s:.1f} s after its withdrawal"
                found.append(Violation("keys", detail, (first, record)))
    return found


def parse_limits(event: TicketAccepted) -> dict[str, int]:
    """Parses the team limits that a ticket set, a comma-separated list of ``team=number``."""
    pairs = (pair.split("=") for pair in event.limits.split(",") if pair)
    return {team: int(limit) for team, limit in pairs}


def check_limits(history: History) -> list[Violation]:
    """Checks that no team has more work running than its upper limit.

    A lowered limit stops new work once it is in force; work that already runs may finish. So work
    that starts within the previous limit is accepted until ``IN_FORCE_LIMIT_S`` seconds after the
    new limit, which is the time in which a ticket must come into force.
    """
    limits: dict[str, list[tuple[float, int]]] = defaultdict(list)
    running, count, found = {}, Counter(), []
    for record in history:
        event = record.event
        if isinstance(event, TicketAccepted):
            for team, limit in parse_limits(event).items():
                limits[team].append((record.at_s, limit))
        elif isinstance(event, WorkStarted):
            running[event.task, event.vm] = event.team
            count[event.team] += 1
            upper_limit = _find_limit(limits[event.team], record.at_s)
            if count[event.team] > upper_limit:
                detail = f"team {event.team} runs {count[event.team]} with a limit of {upper_limit}"
                found.append(Violation("limits", detail, (record,)))
        elif isinstance(event, WorkEnded):
            team = running.pop((event.task, event.vm), None)
            count[team] -= team is not None
        elif isinstance(event, VmFailed):
            for place in [place for place in running if place[1] == event.vm]:
                count[running.pop(place)] -= 1
    return found


def _find_limit(changes: list[tuple[float, int]], at_s: float) -> int:
    best = 0
    for index, (_, limit) in enumerate(changes):
        last = index + 1 == len(changes)
        if last or changes[index + 1][0] + IN_FORCE_LIMIT_S >= at_s:
            best = max(best, limit)
    return best


def check_answers(history: History) -> list[Violation]:
    """Checks that every caller gets the complete answer to its own request."""
    bodies, sent, accepted, found = defaultdict(set), {}, {}, []
    for record in history:
        event = record.event
        if isinstance(event, RequestAccepted):
            accepted[event.request] = record
        elif isinstance(event, WorkEnded) and event.body:
            bodies[event.task].add(event.body)
    for record in history:
        event = record.event
        if isinstance(event, AnswerSent):
            if event.request in sent:
                detail = f"{event.request} was answered twice"
                found.append(Violation("answers", detail, (sent[event.request], record)))
            sent[event.request] = record
            if event.outcome == "answered" and event.body not in bodies[event.request]:
                detail = f"{event.request} got an answer that no VM produced for it"
                found.append(Violation("answers", detail, (record,)))
        elif isinstance(event, AnswerReceived):
            found.extend(_check_received(record, accepted, bodies))
    return found


def _check_received(record: Record, accepted: dict, bodies: dict) -> list[Violation]:
    event = record.event
    first = accepted.get(event.request)
    if first is None:
        return []
    if first.event.payload != event.payload:
        detail = f"the caller of {event.request} got the answer of another request"
        return [Violation("answers", detail, (first, record))]
    if event.outcome == "answered" and event.body not in bodies[event.request]:
        detail = f"the caller of {event.request} got an incomplete answer"
        return [Violation("answers", detail, (first, record))]
    return []


def check_not_run(history: History) -> list[Violation]:
    """Checks that a request which was reported as not run never started."""
    started = {}
    for record in history:
        if isinstance(record.event, WorkStarted):
            started.setdefault(record.event.task, record)
    found = []
    for record in history:
        event = record.event
        if isinstance(event, AnswerSent | AnswerReceived) and event.outcome == "not_run":
            if event.request in started:
                detail = f"{event.request} was reported as not run, but it had started"
                found.append(Violation("not_run", detail, (started[event.request], record)))
    return found


def check_once(history: History) -> list[Violation]:
    """Checks that work which is not repeatable starts at most once."""
    first, found = {}, []
    for record in history:
        event = record.event
        if isinstance(event, WorkStarted) and not event.repeatable:
            if event.task in first:
                detail = f"{event.task} is not repeatable but was started again"
                found.append(Violation("once", detail, (first[event.task], record)))
            first.setdefault(event.task, record)
    return found


def check_leaving(history: History) -> list[Violation]:
    """Checks that a leaving VM gets no new work after ``LEAVING_LIMIT_S`` seconds.

    The time counts only while the platform's VM list can be read from the VM's zone, since nothing
    else shows that a VM is leaving.
    """
    leaving, unreadable_zones, readable_since_s, found = {}, set(), {}, []
    for record in sorted(history, key=lambda record: record.at_s):
        event = record.event
        previously_unreadable = set(unreadable_zones)
        _update_unreadable_zones(event, unreadable_zones)
        readable_again = previously_unreadable - unreadable_zones
        for vm, first in leaving.items():
            if readable_again & {"*", first.event.zone}:
                readable_since_s[vm] = record.at_s
        if isinstance(event, VmLeaving):
            leaving.setdefault(event.vm, record)
        elif isinstance(event, VmListed):
            leaving.pop(event.vm, None)
        elif isinstance(event, WorkStarted) and event.vm in leaving:
            first = leaving[event.vm]
            is_unreadable = "*" in unreadable_zones or first.event.zone in unreadable_zones
            due_s = max(first.at_s, readable_since_s.get(event.vm, 0.0)) + LEAVING_LIMIT_S
            if not is_unreadable and record.at_s > due_s:
                detail = f"{event.task} started {record.at_s - first.at_s:.1f} s after VmLeaving"
                found.append(Violation("leaving", detail, (first, record)))
    return found


def _update_unreadable_zones(event, unreadable_zones: set[str]):
    """Updates the set of zones that can't read the platform's VM list; ``*`` means all zones."""
    if isinstance(event, ListDown):
        unreadable_zones.add("*")
    elif isinstance(event, ListUp):
        unreadable_zones.discard("*")
    elif isinstance(event, LinksCut):
        unreadable_zones.update(filter(None, event.zones.split(",")))
    elif isinstance(event, LinksHealed):
        unreadable_zones.intersection_update({"*"})


def check_graceful(history: History) -> list[Violation]:
    """Checks that a graceful shutdown cuts off no request in flight."""
    found, accepted, answered = [], {}, set()
    for record in sorted(history, key=lambda record: (record.node, record.sequence)):
        event = record.event
        if isinstance(event, RequestAccepted):
            accepted[event.request] = record
        elif isinstance(event, AnswerSent):
            answered.add(event.request)
        elif isinstance(event, ProcessStopped):
            if event.in_flight:
                detail = f"{event.program} stopped with {event.in_flight} requests in flight"
                found.append(Violation("graceful", detail, (record,)))
            for request, first in accepted.items():
                if first.node == record.node and request not in answered:
                    detail = f"{request} never got an answer from the stopped {event.program}"
                    found.append(Violation("graceful", detail, (first, record)))
    return found


PROMISES: dict[str, Callable[[History], list[Violation]]] = {
    "capacity": check_capacity,
    "single_place": check_single_place,
    "keys": check_keys,
    "limits": check_limits,
    "answers": check_answers,
    "not_run": check_not_run,
    "once": check_once,
    "leaving": check_leaving,
    "graceful": check_graceful,
    "configuration": check_configuration,
}


def check_history(history: History) -> list[Violation]:
    """Checks all ten promises and returns every violation found."""
    found = []
    for check in PROMISES.values():
        found.extend(check(history))
    return found
