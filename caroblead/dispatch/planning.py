"""The tick: which waiting tasks start on which VMs.

Pure decisions over the tables. Steps are served in order of their queue's priority and then of the
time by which their job should be done; a step that does not fit is passed over. A gang is placed
whole or not at all.
"""

from dataclasses import dataclass, field

from ..core.resource import NOTHING, Resources, add, fits, subtract
from .fleet import Fleet, VmRow, is_usable
from .interface import TeamLimits
from .work import StepWork, get_booked_need

# A ticket is not used in the last part of its time, in which the order may still be on its way.
TICKET_MARGIN_S = 0.3
# A VM off the rack of a task's data counts as so much worse a fit.
FAR_PENALTY = 2.0


@dataclass(slots=True, frozen=True)
class Placement:
    """A task and the VM on which it should run."""

    step: StepWork
    index: int
    vm: VmRow
    ticket: str


@dataclass(slots=True)
class Plan:
    """What to start and for which steps to ask for advice."""

    placements: list[Placement] = field(default_factory=list)
    advice_needed: list[StepWork] = field(default_factory=list)


@dataclass(slots=True)
class Room:
    """What would be free on VMs and used by teams with the plan carried out."""

    free: dict[str, Resources]
    used: dict[str, Resources]


def plan_starts(
    steps: list[StepWork],
    fleet: Fleet,
    teams: dict[str, TeamLimits],
    services: dict[str, str],
    now_s: float,
) -> Plan:
    """Returns what to start now; ``services`` maps a queue to the service that runs its tasks.

    For example a step of two tasks of a core each, with one VM that has a core free, gets one
    placement, or none if it is a gang.
    """
    plan = Plan()
    rows = [row for row in fleet.rows.values() if is_usable(row, now_s)]
    room = Room({row.name: row.free for row in rows}, dict(fleet.used))
    for step in sorted(steps, key=_rank):
        job = step.work.job
        service = services.get(job.queue.name, job.queue.service)
        candidates = [row for row in rows if row.listed.service == service]
        if step.spec.label:
            candidates = [row for row in candidates if step.spec.label in row.listed.labels]
        _plan_step(plan, step, candidates, room, teams.get(job.team), now_s)
    return plan


def _rank(step: StepWork):
    return (step.work.job.queue.priority, step.work.due_s, step.key)


def _plan_step(plan, step: StepWork, candidates, room: Room, team, now_s: float):
    terms = step.work.job.queue.advice
    if terms is not None:
        unasked = [row for row in candidates if row.name not in step.advice.asked]
        candidates = [row for row in candidates if row.name in step.advice.allowed]
    chosen = _place_step(step, candidates, room, team)
    if terms is None:
        _accept(plan, step, chosen, room)
        return
    if chosen and now_s - step.advice.got_s < terms.valid_s - TICKET_MARGIN_S:
        if all(row.name in step.advice.tickets for _, row in chosen):
            _accept(plan, step, chosen, room)
            return
    if (chosen or unasked) and not step.advice.pending and now_s >= step.advice.retry_s:
        plan.advice_needed.append(step)


def _accept(plan: Plan, step: StepWork, chosen: list[tuple[int, VmRow]], room: Room):
    need = get_booked_need(step.spec)
    team = step.work.job.team
    for index, row in chosen:
        room.free[row.name] = subtract(room.free[row.name], need)
        room.used[team] = add(room.used.get(team, NOTHING), need)
        ticket = step.advice.tickets.get(row.name, "")
        plan.placements.append(Placement(step, index, row, ticket))


def _place_step(step: StepWork, candidates, room: Room, team) -> list[tuple[int, VmRow]]:
    need = get_booked_need(step.spec)
    indexes = sorted(step.waiting)
    allowance = _count_allowance(team, room.used.get(step.work.job.team, NOTHING), need)
    if step.spec.gang:
        if len(indexes) < step.spec.count or allowance < len(indexes):
            return []
    indexes = indexes[: min(len(indexes), allowance)]
    if not indexes:
        return []
    slots = _count_slots(step, candidates, room, need)
    if step.spec.gang and step.spec.same_rack:
        slots = _choose_rack(slots, len(indexes)) or slots
    if step.spec.gang and sum(count for count, _, _ in slots) < len(indexes):
        return []
    return _fill_slots(indexes, slots)


def _count_allowance(team: TeamLimits | None, used: Resources, need: Resources) -> int:
    """Returns how many more tasks a team may run under its cap."""
    if team is None:
        return 1_000_000
    counts = [
        (limit - have) // want
        for limit, have, want in (
            (team.cap.millicores, used.millicores, need.millicores),
            (team.cap.memory_mb, used.memory_mb, need.memory_mb),
            (team.cap.accelerators, used.accelerators, need.accelerators),
        )
        if limit and want
    ]
    return max(0, min(counts, default=1_000_000))


def _count_slots(step: StepWork, candidates, room: Room, need: Resources):
    """Returns how many of a step's tasks each VM can take, with its score, best fit first."""
    here: dict[str, int] = {}
    if step.spec.max_per_vm:
        for runs in step.active.values():
            for run in runs:
                here[run.vm.name] = here.get(run.vm.name, 0) + 1
    slots = []
    for row in candidates:
        free = room.free[row.name]
        if not fits(need, free):
            continue
        count = _count_fit(need, free)
        if step.spec.max_per_vm:
            count = min(count, step.spec.max_per_vm - here.get(row.name, 0))
        if count <= 0:
            continue
        slots.append((count, _score(step, row, free, need), row))
    slots.sort(key=lambda slot: (slot[1], slot[2].name))
    return slots


def _count_fit(need: Resources, free: Resources) -> int:
    counts = [
        have // want
        for have, want in (
            (free.millicores, need.millicores),
            (free.memory_mb, need.memory_mb),
            (free.accelerators, need.accelerators),
        )
        if want
    ]
    return min(counts, default=1_000)


def _score(step: StepWork, row: VmRow, free: Resources, need: Resources) -> float:
    capacity = row.listed.capacity
    cores = (free.millicores - need.millicores) / (capacity.millicores or 1)
    memory = (free.memory_mb - need.memory_mb) / (capacity.memory_mb or 1)
    score = cores + memory + abs(cores - memory)
    if step.spec.near_rack and row.listed.rack != step.spec.near_rack:
        score += FAR_PENALTY
    return score


def _choose_rack(slots, count: int):
    """Returns the slots of a rack that can take all tasks, if there is one."""
    racks: dict[str, list] = {}
    for slot in slots:
        racks.setdefault(slot[2].listed.rack, []).append(slot)
    for found in racks.values():
        if sum(slot[0] for slot in found) >= count:
            return found
    return None


def _fill_slots(indexes: list[int], slots) -> list[tuple[int, VmRow]]:
    chosen, position = [], 0
    for count, _, row in slots:
        for _ in range(count):
            if position == len(indexes):
                return chosen
            chosen.append((indexes[position], row))
            position += 1
    return chosen
