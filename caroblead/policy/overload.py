"""Overload control: throttles or stops tasks of a VM whose measured use nears its capacity.

Declared sizes are inaccurate and allotments are learned with a lag, so the tasks of a VM may
together use more than it has. Batch tasks are reduced first, then services; urgent work and gangs
never. Cores can be taken from a task without ending it, so it is throttled to its allotment. Memory
can't be taken back that way. A batch task that may be repeated saves a checkpoint and continues on
another VM, the most recently started first. When that is not enough, a service that may be repeated
is stopped and starts again on another VM.
"""

from dataclasses import dataclass

from ..core.data import Batch, Service, Task, Vm

# The fraction of a VM's capacity above which measured use counts as overload.
MAX_USED_FRACTION = 0.95


@dataclass(slots=True, frozen=True)
class MeasuredUse:
    """The measured use of one task."""

    millicores: int
    memory_mb: int


@dataclass(slots=True, frozen=True)
class Throttle:
    """Limit a task to a number of thousandths of a core."""

    task: Task
    millicores: int


@dataclass(slots=True, frozen=True)
class Checkpoint:
    """Let a task save a checkpoint and end; it continues from there on another VM."""

    task: Task


@dataclass(slots=True, frozen=True)
class Stop:
    """End a task, which starts from the beginning on another VM."""

    task: Task


OverloadAction = Throttle | Checkpoint | Stop


def choose_overload_actions(vm: Vm, uses: dict[str, MeasuredUse]) -> list[OverloadAction]:
    """Returns the actions that bring measured use below the limit of a VM, none if it is below.

    For example a VM of 8 cores on which two batch tasks of one core each use six gets both
    throttled to one core.
    """
    measured = [(vm.tasks[name], use) for name, use in uses.items() if name in vm.tasks]
    over_cores = sum(use.millicores for _, use in measured)
    over_cores -= int(vm.capacity.millicores * MAX_USED_FRACTION)
    over_memory = sum(use.memory_mb for _, use in measured)
    over_memory -= int(vm.capacity.memory_mb * MAX_USED_FRACTION)
    return _reduce_memory_use(measured, over_memory) + _reduce_core_use(measured, over_cores)


def _reduce_memory_use(measured: list[tuple[Task, MeasuredUse]], over: int) -> list[OverloadAction]:
    chosen: list[OverloadAction] = []
    for kind, action in ((Batch, Checkpoint), (Service, Stop)):
        candidates = [item for item in measured if _may_be_ended(item[0], kind)]
        for task, use in sorted(candidates, key=lambda item: item[0].started_s, reverse=True):
            if over <= 0:
                return chosen
            over -= use.memory_mb
            chosen.append(action(task))
    return chosen


def _may_be_ended(task: Task, kind: type) -> bool:
    return isinstance(task.kind, kind) and task.repeatable


def _reduce_core_use(measured: list[tuple[Task, MeasuredUse]], over: int) -> list[OverloadAction]:
    chosen: list[OverloadAction] = []
    for kind in (Batch, Service):
        for task, use in measured:
            if over <= 0:
                return chosen
            excess = use.millicores - max(task.allotted.millicores, 1)
            if isinstance(task.kind, kind) and excess > 0:
                over -= excess
                chosen.append(Throttle(task, task.allotted.millicores))
    return chosen
