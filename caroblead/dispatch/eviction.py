"""Chooses the runs to evict, or the VMs to reserve, for urgent work that finds no room.

Only runs of a less urgent queue are evicted, and of those the ones that lose the least work: a run
with checkpoints loses what it did since the last one, any other run loses all that it has done.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.resource import Resources, add, fits, subtract
from .fleet import Run, RunPhase, VmRow
from .work import StepWork, get_booked_need

# The most work that a run with checkpoints loses when it is stopped.
CHECKPOINT_LOSS_S = 1.0
# An eviction that loses more work than this is rejected, in core-seconds for each placed task and
# for each core that the task needs, at least one.
MAX_LOSS_PER_TASK = 6.0
# How many tasks that need no resources fit on a VM.
MAX_FIT = 1_000


@dataclass(slots=True)
class Evictions:
    """The runs to stop, the VMs on which that makes room, and for how many tasks it does."""

    runs: list[Run] = field(default_factory=list)
    rows: list[VmRow] = field(default_factory=list)
    task_count: int = 0


@dataclass(slots=True, frozen=True)
class EvictionBounds:
    """Further conditions of an eviction: which runs may be evicted, and the loss for each task."""

    may_evict: Callable[[Run], bool]
    max_loss_per_task: float


def count_fit(need: Resources, free: Resources) -> int:
    """Returns how many tasks of this need fit into the free resources.

    None fits while one of these is negative, as on a VM that has shrunk below what runs there.
    """
    if not fits(need, free):
        return 0
    count = MAX_FIT
    if need.millicores:
        count = free.millicores // need.millicores
    if need.memory_mb:
        count = min(count, free.memory_mb // need.memory_mb)
    if need.accelerators:
        count = min(count, free.accelerators // need.accelerators)
    return count


def compute_loss(run: Run, now_s: float) -> float:
    """Returns the core-seconds of work that would be lost by stopping a run.

    A run counts as at least one core.
    """
    lost_s = now_s - run.started_s
    if run.has_checkpoints:
        lost_s = min(lost_s, CHECKPOINT_LOSS_S)
    return lost_s * max(1.0, run.need.millicores / 1000)


def choose_evictions(
    step: StepWork,
    candidates: list[VmRow],
    free: dict[str, Resources],
    missing: int,
    now_s: float,
    bounds: EvictionBounds | None = None,
) -> Evictions | None:
    """Returns the runs to stop so that the missing tasks of a step find room, or ``None``.

    A gang needs room for all of its missing tasks; for any other step, room for one task is better
    than none.
    """
    need = get_booked_need(step.spec)
    priority = step.work.job.queue.priority
    found = Evictions()
    options = []
    limit = limit_per_vm(step, missing)
    max_loss = MAX_LOSS_PER_TASK * max(1.0, need.millicores / 1000)
    if bounds is not None:
        max_loss = min(max_loss, bounds.max_loss_per_task)
    for row in candidates:
        victims = _list_victims(row, priority, bounds)
        option = _evaluate_vm(row, free[row.name], need, victims, limit, now_s)
        if option is not None:
            options.append(option)
    options.sort(key=lambda option: (option[0] / option[1], option[3].name))
    for loss, task_count, runs, row in options:
        if found.task_count >= missing:
            break
        if loss / task_count > max_loss:
            continue
        found.runs += runs
        found.rows.append(row)
        found.task_count += task_count
    if not found.runs or (step.spec.gang and found.task_count < missing):
        return None
    return found


def limit_per_vm(step: StepWork, missing: int) -> int:
    """Returns how many of the missing tasks of a step may start on one VM."""
    return min(missing, step.spec.max_per_vm or missing)


def _list_victims(row: VmRow, priority: int, bounds: EvictionBounds | None) -> list[Run]:
    """Returns the runs of a VM that may be stopped for work of this priority."""
    return [
        run
        for run in row.runs.values()
        if run.evictable
        and run.wanted
        and run.phase is RunPhase.RUNNING
        and run.priority > priority
        and (bounds is None or bounds.may_evict(run))
    ]


def _evaluate_vm(
    row: VmRow, free: Resources, need: Resources, victims: list[Run], limit: int, now_s: float
):
    """Returns the loss, the number of tasks, the runs to stop and the VM; ``None`` if none fit."""
    victims.sort(key=lambda run: compute_loss(run, now_s) / max(1, run.need.millicores))
    task_count, loss, taken = min(limit, count_fit(need, free)), 0.0, []
    best = (0.0, task_count, [], row) if task_count else None
    for run in victims:
        if task_count >= limit:
            break
        free = add(free, run.need)
        taken.append(run)
        loss += compute_loss(run, now_s)
        fitting = count_fit(need, free)
        if fitting > task_count:
            task_count = min(limit, fitting)
            best = (loss, task_count, list(taken), row)
    return best


def choose_vms_to_reserve(
    step: StepWork, candidates: list[VmRow], free: dict[str, Resources], missing: int
) -> list[VmRow]:
    """Returns the VMs to reserve for a gang until enough of their runs have ended.

    These are the VMs with the most free cores that could hold the gang once their runs have ended,
    but for the endless ones.
    """
    need = get_booked_need(step.spec)
    limit = limit_per_vm(step, missing)
    counts = {row.name: min(limit, count_fit(need, _compute_final_room(row))) for row in candidates}
    fitting = [row for row in candidates if counts[row.name]]
    fitting.sort(key=lambda row: (-free[row.name].millicores, row.name))
    rows, task_count = [], 0
    for row in fitting:
        if task_count >= missing:
            break
        rows.append(row)
        task_count += counts[row.name]
    return rows if task_count >= missing else []


def _compute_final_room(row: VmRow) -> Resources:
    """Returns the resources of a VM that are free when all its runs that end have ended."""
    room = row.listed.capacity
    for run in row.runs.values():
        if run.endless and run.wanted:
            room = subtract(room, run.need)
    return room
