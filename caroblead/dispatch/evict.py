"""Which runs to stop, or which VMs to let run empty, for urgent work that finds no room.

Only runs of a less urgent queue are stopped, and of those the ones that lose least: a run that
saves its progress loses what it did since its last checkpoint, any other all it has done.
"""

from dataclasses import dataclass, field

from ..core.resource import Resources, add, fits
from .fleet import Run, RunPhase, VmRow
from .work import StepWork, get_booked_need

# What a run that saves its progress loses when it is stopped, at most.
CHECKPOINT_LOSS_S = 1.0
# A stop that would throw away more work than this is not worth it, in core-seconds for each task.
MAX_LOSS_PER_TASK = 6.0


@dataclass(slots=True)
class Evictions:
    """The runs to stop and the VMs on which that makes room."""

    runs: list[Run] = field(default_factory=list)
    rows: list[VmRow] = field(default_factory=list)
    places: int = 0


def count_fit(need: Resources, free: Resources) -> int:
    """Returns how many times a need fits into what is free."""
    counts = [
        have // want
        for have, want in (
            (free.millicores, need.millicores),
            (free.memory_mb, need.memory_mb),
            (free.accelerators, need.accelerators),
        )
        if want
    ]
    return max(0, min(counts, default=1_000))


def compute_loss(run: Run, now_s: float) -> float:
    """Returns the core-seconds of work that stopping a run would throw away."""
    lost_s = now_s - run.started_s
    if run.saves:
        lost_s = min(lost_s, CHECKPOINT_LOSS_S)
    return lost_s * max(1.0, run.need.millicores / 1000)


def choose_evictions(
    step: StepWork, candidates: list[VmRow], free: dict[str, Resources], missing: int, now_s: float
) -> Evictions | None:
    """Returns what to stop so that the missing tasks of a step find room, or nothing.

    A gang needs room for all of them; of any other step, one task is better than none.
    """
    need = get_booked_need(step.spec)
    priority = step.work.job.queue.priority
    found = Evictions()
    offers = []
    for row in candidates:
        offer = _offer_row(row, free[row.name], need, priority, missing, now_s)
        if offer is not None:
            offers.append(offer)
    offers.sort(key=lambda offer: (offer[0] / offer[1], offer[3].name))
    for loss, places, runs, row in offers:
        if found.places >= missing:
            break
        if loss / places > MAX_LOSS_PER_TASK * max(1.0, need.millicores / 1000):
            continue
        found.runs += runs
        found.rows.append(row)
        found.places += places
    if not found.runs or (step.spec.gang and found.places < missing):
        return None
    return found


def _offer_row(row: VmRow, free: Resources, need: Resources, priority: int, most: int, now_s):
    """Returns the loss, the places, the runs to stop and the VM, or nothing if it can't help."""
    victims = [
        run
        for run in row.runs.values()
        if run.evictable
        and run.wanted
        and run.phase is RunPhase.RUNNING
        and run.priority > priority
    ]
    victims.sort(key=lambda run: compute_loss(run, now_s) / max(1, run.need.millicores))
    places, loss, taken = min(most, count_fit(need, free)), 0.0, []
    best = (0.0, places, [], row) if places else None
    for run in victims:
        if places >= most:
            break
        free = add(free, run.need)
        taken.append(run)
        loss += compute_loss(run, now_s)
        if count_fit(need, free) > places:
            places = min(most, count_fit(need, free))
            best = (loss, places, list(taken), row)
    return best


def choose_rows_to_empty(
    step: StepWork, candidates: list[VmRow], free: dict[str, Resources], missing: int
) -> list[VmRow]:
    """Returns the VMs to keep for a gang: the freest ones that could hold it when empty."""
    need = get_booked_need(step.spec)
    fitting = [row for row in candidates if fits(need, row.listed.capacity)]
    fitting.sort(key=lambda row: (-free[row.name].millicores, row.name))
    rows, places = [], 0
    for row in fitting:
        if places >= missing:
            break
        rows.append(row)
        places += count_fit(need, row.listed.capacity)
    return rows if places >= missing else []
