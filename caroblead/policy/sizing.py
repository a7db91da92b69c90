"""Learning of true sizes from lagging reports.

Declared sizes are far off, in both directions. For each team and queue the highest recent ratio of
measured to declared use, with a margin, scales what is allotted to the next tasks. The allotment is
enforced by the VM, so room that was never allotted can't be taken back by surprise: the sum of the
allotments on a VM never exceeds what it holds. Work that may not be repeated never gets less than
it declared, since a task that runs out of memory can't be tried again.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from ..core.data import Task
from ..core.resource import Resources

SAMPLES = 64
MIN_SAMPLES = 8
MARGIN = 1.15
SMALLEST_SCALE = 0.1
LARGEST_SCALE = 10.0


@dataclass(slots=True)
class Ratios:
    """The recent ratios of measured to declared use of one team and queue."""

    millicores: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    memory: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    run_time: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))


@dataclass(slots=True)
class SizeTable:
    """What has been learned, by team and queue."""

    ratios: dict[tuple[str, str], Ratios] = field(default_factory=dict)
    enabled: bool = True


def learn_use(table: SizeTable, task: Task, millicores: int, memory_mb: int):
    """Takes in the measured use of a task that has run."""
    ratios = table.ratios.setdefault((task.team, task.queue), Ratios())
    if task.need.millicores:
        ratios.millicores.append(millicores / task.need.millicores)
    if task.need.memory_mb:
        ratios.memory.append(memory_mb / task.need.memory_mb)


def learn_run_time(table: SizeTable, task: Task, run_time_s: float):
    """Takes in how long a task truly ran."""
    if task.run_time_s > 0:
        ratios = table.ratios.setdefault((task.team, task.queue), Ratios())
        ratios.run_time.append(run_time_s / task.run_time_s)


def _compute_scale(samples: deque[float], lowest: float) -> float:
    if len(samples) < MIN_SAMPLES:
        return 1.0
    return min(max(max(samples) * MARGIN, lowest), LARGEST_SCALE)


def compute_allotment(table: SizeTable, task: Task, largest: Resources) -> Resources:
    """Returns what to take on a VM for a task, never more than the largest VM holds."""
    ratios = table.ratios.get((task.team, task.queue)) if table.enabled else None
    if ratios is None:
        return task.need
    lowest = SMALLEST_SCALE if task.repeatable else 1.0
    scale_c = _compute_scale(ratios.millicores, lowest)
    scale_m = _compute_scale(ratios.memory, lowest)
    need = task.need
    return Resources(
        min(math.ceil(need.millicores * scale_c), max(largest.millicores, need.millicores)),
        min(math.ceil(need.memory_mb * scale_m), max(largest.memory_mb, need.memory_mb)),
        need.accelerators,
        need.slots,
    )


def estimate_run_time(table: SizeTable, task: Task) -> float:
    """Returns the run time to plan with: the median of what was seen, scaled to the task."""
    ratios = table.ratios.get((task.team, task.queue))
    if ratios is None or len(ratios.run_time) < MIN_SAMPLES:
        return task.run_time_s
    ordered = sorted(ratios.run_time)
    return task.run_time_s * ordered[len(ordered) // 2]
