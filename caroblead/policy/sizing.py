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
    """The recent ratios of measured to declared use of one team and queue, and their scales.

    ``scales`` holds the factors for cores and memory, for work that may be repeated and for work
    that may not.
    """

    millicores: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    memory: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    run_time: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    scales: tuple[float, float] = (1.0, 1.0)
    run_scale: float = 1.0


@dataclass(slots=True)
class SizeTable:
    """What has been learned, by team and queue; ``version`` grows when a scale changes."""

    ratios: dict[tuple[str, str], Ratios] = field(default_factory=dict)
    enabled: bool = True
    version: int = 0


def learn_use(table: SizeTable, task: Task, millicores: int, memory_mb: int):
    """Takes in the measured use of a task that has run."""
    ratios = table.ratios.setdefault((task.team, task.queue), Ratios())
    if task.need.millicores:
        ratios.millicores.append(millicores / task.need.millicores)
    if task.need.memory_mb:
        ratios.memory.append(memory_mb / task.need.memory_mb)
    scales = (_compute_scale(ratios.millicores), _compute_scale(ratios.memory))
    if scales != ratios.scales:
        ratios.scales = scales
        table.version += 1


def learn_run_time(table: SizeTable, task: Task, run_time_s: float):
    """Takes in how long a task truly ran."""
    if task.run_time_s > 0:
        ratios = table.ratios.setdefault((task.team, task.queue), Ratios())
        ratios.run_time.append(run_time_s / task.run_time_s)
        if len(ratios.run_time) >= MIN_SAMPLES:
            ratios.run_scale = sorted(ratios.run_time)[len(ratios.run_time) // 2]


def _compute_scale(samples: deque[float]) -> float:
    if len(samples) < MIN_SAMPLES:
        return 1.0
    return min(max(max(samples) * MARGIN, SMALLEST_SCALE), LARGEST_SCALE)


def compute_allotment(table: SizeTable, task: Task, largest: Resources) -> Resources:
    """Returns what to take on a VM for a task, never more than the largest VM holds."""
    ratios = table.ratios.get((task.team, task.queue)) if table.enabled else None
    if ratios is None or ratios.scales == (1.0, 1.0):
        return task.need
    scale_c, scale_m = ratios.scales
    if not task.repeatable:
        scale_c, scale_m = max(scale_c, 1.0), max(scale_m, 1.0)
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
    return task.run_time_s * ratios.run_scale if ratios is not None else task.run_time_s
