"""What happened on the VMs of the platform stand-in, as the checkers read it."""

from dataclasses import dataclass

from ..core.resource import Resources
from ..dispatch.interface import TaskName


@dataclass(slots=True, frozen=True)
class HistoryEvent:
    """An event in the life of a run on a VM.

    ``kind`` is ``start``, the reason of the end, or ``noted`` with that reason. ``noted`` means
    that the leader acknowledged the end before the VM's lease expired. It is ``crashed`` for each
    run of a crashing task that was active on a VM when that VM crashed, for whatever cause, and
    ``foreign checkpoint`` when a task was started with a checkpoint of another one. A run
    that ``fills`` uses no cores of the capacity of its VM. A start whose order was executed late
    came ``late_s`` after the order.
    """

    at_s: float
    kind: str
    task: TaskName
    number: int
    vm: str
    need: Resources
    fills: bool = False
    late_s: float = 0.0


@dataclass(slots=True, frozen=True)
class CapacityChange:
    """The capacity that a VM has from a time on."""

    at_s: float
    vm: str
    capacity: Resources
