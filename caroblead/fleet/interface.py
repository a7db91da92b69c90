"""The interfaces through which gates and placers use the platform: log, VM list and VMs."""

import enum
from dataclasses import dataclass, field
from typing import Protocol

from ..core.resource import Resources


class VmError(Exception):
    """A call to a VM or to the VM list failed; ``sent`` tells whether the VM may have acted."""

    def __init__(self, detail: str, sent: bool):
        super().__init__(detail)
        self.sent = sent


@dataclass(slots=True, frozen=True)
class LogPage:
    """Records read from a stream, beginning at offset ``start``.

    ``first`` is the lowest offset that the log still retains.
    """

    first: int
    start: int
    records: list[str]

    @property
    def next(self) -> int:
        """The offset after the last record of the page."""
        return self.start + len(self.records)


class Log(Protocol):
    """The platform's append-only log."""

    async def append(self, stream: str, records: list[str]) -> int:
        """Appends records and returns the offset of the first one, or raises :class:`LogError`."""

    async def read(self, stream: str, start: int) -> LogPage:
        """Reads records, starting at an offset, or raises :class:`LogError`."""


@dataclass(slots=True, frozen=True)
class ListedVm:
    """A VM as the platform's list shows it; the list lags behind the real state.

    ``leaving`` means that the platform is going to remove the VM. ``connections`` is the capacity
    of the VM in connections.
    """

    name: str
    zone: str
    rack: str
    address: str
    leaving: bool
    capacity: Resources
    connections: int


class VmList(Protocol):
    """The platform's list of VMs, which lags behind their real state."""

    async def list_vms(self, zone: str) -> list[ListedVm]:
        """Returns the VMs of an availability zone, or raises :class:`VmError`."""


class RunState(enum.StrEnum):
    """The state of a task as its VM reports it."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclass(slots=True, frozen=True)
class StartTask:
    """A task to start on a VM, which returns ``label`` unchanged when it lists the task."""

    task: str
    need: Resources
    label: str
    run_time_s: float
    repeatable: bool
    team: str


@dataclass(slots=True, frozen=True)
class VmTask:
    """A task as its VM reports it, with its last measured usage."""

    task: str
    state: RunState
    label: str
    need: Resources
    used_millicores: int
    used_memory_mb: int


@dataclass(slots=True, frozen=True)
class TaskUsage:
    """The measured usage of a running task."""

    task: str
    millicores: int
    memory_mb: int


@dataclass(slots=True, frozen=True)
class LeaseCall:
    """One call to a VM: acquires or renews its lease and sends the changes since the last call.

    ``seen_version`` is the version of the VM's task list that the caller has, -1 for none.
    ``start``, ``stop``, ``forget`` and ``checkpoint`` name tasks; ``throttle`` limits tasks to a
    number of millicores. ``release`` ends the lease, and ``read_only`` queries the VM without
    taking its lease. A task that was stopped with a checkpoint resumes from it on whichever VM it
    is started again.
    """

    holder: str
    epoch: int
    ttl_s: float
    seen_version: int = -1
    start: list[StartTask] = field(default_factory=list)
    stop: list[str] = field(default_factory=list)
    forget: list[str] = field(default_factory=list)
    checkpoint: list[str] = field(default_factory=list)
    throttle: dict[str, int] = field(default_factory=dict)
    release: bool = False
    read_only: bool = False


@dataclass(slots=True, frozen=True)
class LeaseAnswer:
    """A VM's answer, with the tasks that changed since the call's ``seen_version``.

    ``remaining_s`` is the remaining time of the current holder's lease. ``complete`` tells that the
    list has every task and request of the VM. A changed task that has ended is listed without its
    label and its resource need. ``usage_near_capacity`` lists the running tasks with their last
    measured usage, while their total usage is close to the VM's capacity.
    """

    granted: bool
    holder: str
    epoch: int
    remaining_s: float
    version: int
    tasks: list[VmTask]
    complete: bool
    usage_near_capacity: list[TaskUsage] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class EndpointAnswer:
    """An endpoint's answer; ``refused`` guarantees that the request did not run."""

    refused: bool
    status: int
    body: bytes


class VmAccess(Protocol):
    """Calls to VMs: lease calls, which also manage tasks, and requests to endpoints."""

    async def lease(self, vm: str, address: str, call: LeaseCall, timeout_s: float) -> LeaseAnswer:
        """Sends a lease call and returns the answer, or raises :class:`VmError`."""

    async def run(
        self, address: str, queue: str, request: "EndpointRequest", timeout_s: float
    ) -> EndpointAnswer:
        """Sends a request to an endpoint and returns the answer, or raises :class:`VmError`."""


@dataclass(slots=True, frozen=True)
class EndpointRequest:
    """A request to an endpoint, sent under the epoch of the VM's lease."""

    request: str
    team: str
    epoch: int
    repeatable: bool
    payload: bytes
    action: str = ""
