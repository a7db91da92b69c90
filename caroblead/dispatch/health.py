"""Finds VMs that fail, stall or slow down what they run, from what their lists show.

A VM on which runs of several jobs failed in a row is left alone for a while, and so is one on which
a run stands still. A slow VM is only used when nothing faster has room. All of it fades, so that a
VM that is sound again gets work again.
"""

import statistics
from dataclasses import dataclass, field

from .fleet import Run, RunPhase, VmRow
from .interface import EndReason, RunningTask

FAILED_JOBS_TO_AVOID = 3
FAILED_AVOID_S = 4.0
# A run that shows no progress for this long, over so many looks, stands still.
STALL_S = 1.6
STALL_LOOKS = 3
STALL_AVOID_S = 3.0
DONE_PERCENT = 100.0
# The weight of the newest run in a VM's slowness, and what counts as slow against the other VMs.
SLOWNESS_WEIGHT = 0.3
SLOW_RATIO = 2.0
MIN_SAMPLES = 3
# A slow VM is tried again after this long.
SLOW_S = 4.0


@dataclass(slots=True)
class Pace:
    """How fast a VM works: the time that its runs took, against their estimates."""

    slowness: float = 0.0
    samples: int = 0
    slow_until_s: float = 0.0


@dataclass(slots=True)
class HealthBook:
    """The pace of each VM by its name."""

    paces: dict[str, Pace] = field(default_factory=dict)


def take_end(book: HealthBook, row: VmRow, run: Run, reason: EndReason, now_s: float) -> bool:
    """Takes in an end; returns whether the VM should be left alone from now on."""
    if reason is EndReason.DONE:
        row.failed_jobs.clear()
        _take_duration(book, row, run, now_s)
        return False
    if reason is not EndReason.FAILED:
        return False
    row.failed_jobs.add(run.task.job)
    if len(row.failed_jobs) < FAILED_JOBS_TO_AVOID:
        return False
    row.avoid_until_s = now_s + FAILED_AVOID_S
    return True


def _take_duration(book: HealthBook, row: VmRow, run: Run, now_s: float):
    if run.estimate_s <= 0 or run.checkpoint or not run.started_s:
        return
    pace = book.paces.setdefault(row.name, Pace())
    ratio = (now_s - run.started_s) / run.estimate_s
    weight = SLOWNESS_WEIGHT if pace.samples else 1.0
    pace.slowness += weight * (ratio - pace.slowness)
    pace.samples += 1


def mark_slow(book: HealthBook, now_s: float) -> list[str]:
    """Returns the VMs that have just been found much slower than the others."""
    known = [pace.slowness for pace in book.paces.values() if pace.samples >= MIN_SAMPLES]
    if len(known) < MIN_SAMPLES:
        return []
    limit = SLOW_RATIO * statistics.median(known)
    found = []
    for name, pace in book.paces.items():
        if pace.samples >= MIN_SAMPLES and pace.slowness > limit and now_s > pace.slow_until_s:
            pace.slow_until_s = now_s + SLOW_S
            pace.samples = 0
            found.append(name)
    return found


def is_slow(book: HealthBook, name: str, now_s: float) -> bool:
    """Returns whether a VM counts as slow now."""
    pace = book.paces.get(name)
    return pace is not None and now_s < pace.slow_until_s


def take_progress(run: Run, item: RunningTask, now_s: float) -> bool:
    """Takes in the progress of a run; returns whether it stands still."""
    if item.percent != run.percent or not run.moved_s:
        run.percent, run.moved_s, run.still_looks = item.percent, now_s, 0
        return False
    if run.phase is not RunPhase.RUNNING or not run.watched or item.percent >= DONE_PERCENT:
        return False
    run.still_looks += 1
    return run.still_looks >= STALL_LOOKS and now_s - run.moved_s >= STALL_S
