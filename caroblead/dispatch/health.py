"""Detects VMs that fail, stall or slow down their tasks, from the run lists of the VMs.

A VM on which runs of several jobs failed in a row gets no new tasks for a while, and so does one on
which a run has stalled. A slow VM is only used when nothing faster has room. All of these states
expire, so that a VM that has recovered gets tasks again.
"""

import statistics
from dataclasses import dataclass, field

from .fleet import Run, RunPhase, VmRow
from .interface import EndReason, RunningTask

# A VM is avoided after runs of this many jobs failed on it without a success in between.
FAILED_JOBS_TO_AVOID = 3
FAILED_AVOID_S = 4.0
# A run that shows no progress for this long, over so many polls, counts as stalled.
STALL_S = 1.6
STALL_POLLS = 3
STALL_AVOID_S = 3.0
DONE_PERCENT = 100.0
# The weight of the newest run in the moving average of a VM's slowness, and the ratio to the median
# of all VMs above which a VM counts as slow.
SLOWNESS_WEIGHT = 0.3
SLOW_RATIO = 2.0
MIN_SAMPLES = 3
# A slow VM gets tasks like any other again after this long.
SLOW_RETRY_S = 4.0


@dataclass(slots=True)
class VmSpeed:
    """How slow a VM is: the moving average of run duration divided by what was expected.

    That is the learned expectation, or the caller's estimate if durations are not learned.
    """

    slowness: float = 0.0
    samples: int = 0
    slow_until_s: float = 0.0


@dataclass(slots=True)
class HealthTable:
    """The measured speed of each VM by its name."""

    speeds: dict[str, VmSpeed] = field(default_factory=dict)


def record_end(table: HealthTable, row: VmRow, run: Run, reason: EndReason, now_s: float) -> bool:
    """Records the end of a run; returns whether the VM should be avoided from now on."""
    if reason is EndReason.DONE:
        row.failed_jobs.clear()
        _record_duration(table, row, run, now_s)
        return False
    if reason is not EndReason.FAILED:
        return False
    row.failed_jobs.add(run.task.job)
    if len(row.failed_jobs) < FAILED_JOBS_TO_AVOID:
        return False
    row.avoid_until_s = now_s + FAILED_AVOID_S
    return True


def _record_duration(table: HealthTable, row: VmRow, run: Run, now_s: float):
    expected_s = run.expected_s or run.estimate_s
    # Without learned durations, a run that has saved a checkpoint counts as resumed from one.
    resumed = run.resumed if run.expected_s else bool(run.checkpoint)
    if expected_s <= 0 or resumed or not run.started_s:
        return
    speed = table.speeds.setdefault(row.name, VmSpeed())
    ratio = (now_s - run.started_s) / expected_s
    weight = SLOWNESS_WEIGHT if speed.samples else 1.0
    speed.slowness += weight * (ratio - speed.slowness)
    speed.samples += 1


def mark_slow(table: HealthTable, now_s: float) -> list[str]:
    """Marks the VMs that are much slower than the others, and returns those newly marked."""
    known = [speed.slowness for speed in table.speeds.values() if speed.samples >= MIN_SAMPLES]
    if len(known) < MIN_SAMPLES:
        return []
    limit = SLOW_RATIO * statistics.median(known)
    found = []
    for name, speed in table.speeds.items():
        if speed.samples >= MIN_SAMPLES and speed.slowness > limit and now_s > speed.slow_until_s:
            speed.slow_until_s = now_s + SLOW_RETRY_S
            speed.samples = 0
            found.append(name)
    return found


def is_slow(table: HealthTable, name: str, now_s: float) -> bool:
    """Returns whether a VM is marked as slow now."""
    speed = table.speeds.get(name)
    return speed is not None and now_s < speed.slow_until_s


def record_progress(run: Run, item: RunningTask, now_s: float) -> bool:
    """Records the progress of a run; returns whether it has stalled."""
    if item.percent != run.percent or not run.progressed_s:
        run.percent, run.progressed_s, run.stalled_polls = item.percent, now_s, 0
        return False
    if (
        run.phase is not RunPhase.RUNNING
        or not run.expects_progress
        or item.percent >= DONE_PERCENT
    ):
        return False
    run.stalled_polls += 1
    return run.stalled_polls >= STALL_POLLS and now_s - run.progressed_s >= STALL_S
