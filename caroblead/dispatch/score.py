"""Scores the VMs on which a task of a step would find room; the lowest score is the best fit."""

from collections import Counter

from ..core.resource import Resources, fits
from .eviction import count_fit
from .fleet import VmRow
from .pacing import score_neighbours
from .room import PlanningState
from .speedscore import NO_REQUIREMENT, find_required_speed, score_speed
from .work import StepWork

# Penalties are added to the score of a VM, and the lowest score is the best fit. This one is for a
# VM that isn't on the rack of the step's data.
OFF_RACK_PENALTY = 2.0
# For a VM that is marked as slow.
SLOW_PENALTY = 10.0
# For a VM that is reserved for another step: more urgent work uses it only if no other has room.
RESERVED_PENALTY = 20.0


def count_slots(step: StepWork, candidates, state: PlanningState, need: Resources):
    """Returns how many of a step's tasks fit on each VM, with its score, best fit first."""
    running_per_vm = count_tasks_per_vm(step, ()) if step.spec.max_per_vm else {}
    learned = state.features.learned_durations
    required = find_required_speed(step, state.wall_s) if learned else NO_REQUIREMENT
    slots = []
    for row in candidates:
        free = state.free[row.name]
        if not fits(need, free):
            continue
        count = count_fit(need, free)
        if step.spec.max_per_vm:
            count = min(count, step.spec.max_per_vm - running_per_vm.get(row.name, 0))
        if count <= 0:
            continue
        score = _score(step, row, free, need)
        if learned:
            score += score_speed(required, state.log_speeds[row.name])
        if row.name in state.slow:
            score += SLOW_PENALTY
        if step.spec.fills:
            score += score_neighbours(row)
        reservation = state.fleet.reservations.get(row.name)
        if reservation is not None and reservation.step != step.key:
            score += RESERVED_PENALTY
        slots.append((count, score, row))
    slots.sort(key=lambda slot: (slot[1], slot[2].name))
    return slots


def count_tasks_per_vm(step: StepWork, chosen) -> Counter[str]:
    """Returns how many tasks of a step run on each VM or have been chosen to."""
    counts = Counter(run.vm.name for runs in step.active.values() for run in runs)
    counts.update(row.name for _, row in chosen)
    return counts


def _score(step: StepWork, row: VmRow, free: Resources, need: Resources) -> float:
    capacity = row.listed.capacity
    cores = (free.millicores - need.millicores) / (capacity.millicores or 1)
    memory = (free.memory_mb - need.memory_mb) / (capacity.memory_mb or 1)
    score = cores + memory + abs(cores - memory)
    if step.spec.near_rack and row.listed.rack != step.spec.near_rack:
        score += OFF_RACK_PENALTY
    return score


def choose_rack(slots, count: int):
    """Returns the slots of a rack on which all tasks fit, or ``None``."""
    racks: dict[str, list] = {}
    for slot in slots:
        racks.setdefault(slot[2].listed.rack, []).append(slot)
    for found in racks.values():
        if sum(slot[0] for slot in found) >= count:
            return found
    return None
