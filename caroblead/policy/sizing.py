"""Right-sizing: learns what tasks really use from measurements, which arrive with a lag.

Declared sizes are inaccurate, in both directions. For each team and queue, the highest recent ratio
of measured to declared use, with a margin, scales the allotment of the next tasks. The VM enforces
the allotment, so a task can't suddenly use resources that were never allotted to it, and placement
never lets the sum of the allotments on a VM exceed its capacity. Work that may not be repeated
never gets less than it declared, since a task that runs out of memory can't be retried.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from ..core.data import Task
from ..core.resource import Resources

# How many of the newest ratios are kept, for each team, queue and resource.
MAX_SAMPLES = 64
# With fewer ratios than this, declared sizes are used as they are.
MIN_SAMPLES = 8
SCALE_MARGIN = 1.15
MIN_SCALE = 0.1
MAX_SCALE = 10.0


@dataclass(slots=True)
class UsageRatios:
    """The recent ratios of measured to declared use of one team and queue, and their scales.

    ``scales`` holds the factors for cores and memory. They apply as they are to work that may be
    repeated, and are raised to at least 1 for work that may not. ``run_time_scale`` is the factor
    for run times.
    """

    millicores: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    memory: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    run_time: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    scales: tuple[float, float] = (1.0, 1.0)
    run_time_scale: float = 1.0


@dataclass(slots=True)
class SizeTable:
    """The learned ratios by team and queue; ``version`` increases when a scale changes."""

    ratios: dict[tuple[str, str], UsageRatios] = field(default_factory=dict)
    enabled: bool = True
    version: int = 0


def learn_use(table: SizeTable, task: Task, millicores: int, memory_mb: int):
    """Records the measured use of a task and updates the scales of its team and queue."""
    ratios = table.ratios.setdefault((task.team, task.queue), UsageRatios())
    if task.need.millicores:
        ratios.millicores.append(millicores / task.need.millicores)
    if task.need.memory_mb:
        ratios.memory.append(memory_mb / task.need.memory_mb)
    scales = (_compute_scale(ratios.millicores), _compute_scale(ratios.memory))
    if scales != ratios.scales:
        ratios.scales = scales
        table.version += 1


def learn_run_time(table: SizeTable, task: Task, run_time_s: float):
    """Records the measured run time of a task that declared one, in seconds."""
    if task.run_time_s > 0:
        ratios = table.ratios.setdefault((task.team, task.queue), UsageRatios())
        ratios.run_time.append(run_time_s / task.run_time_s)
        if len(ratios.run_time) >= MIN_SAMPLES:
            ratios.run_time_scale = sorted(ratios.run_time)[len(ratios.run_time) // 2]


def _compute_scale(samples: deque[float]) -> float:
    if len(samples) < MIN_SAMPLES:
        return 1.0
    return min(max(max(samples) * SCALE_MARGIN, MIN_SCALE), MAX_SCALE)


def compute_allotment(table: SizeTable, task: Task, largest: Resources) -> Resources:
    """Returns the resources to allocate to a task.

    An amount is scaled up to the capacity of the largest VM at most.
    """
    ratios = table.ratios.get((task.team, task.queue)) if table.enabled else None
    if ratios is None or ratios.scales == (1.0, 1.0):
        return task.need
    core_scale, memory_scale = ratios.scales
    if not task.repeatable:
        core_scale, memory_scale = max(core_scale, 1.0), max(memory_scale, 1.0)
    need = task.need
    return Resources(
        min(math.ceil(need.millicores * core_scale), max(largest.millicores, need.millicores)),
        min(math.ceil(need.memory_mb * memory_scale), max(largest.memory_mb, need.memory_mb)),
        need.accelerators,
        need.slots,
    )


def estimate_run_time(table: SizeTable, task: Task) -> float:
    """Returns the expected run time of a task in seconds.

    This is the declared run time times the median ratio of measured to declared run times.
    """
    ratios = table.ratios.get((task.team, task.queue))
    return task.run_time_s * ratios.run_time_scale if ratios is not None else task.run_time_s
