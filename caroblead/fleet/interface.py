"""What the rest of the code knows of the platform."""

import enum
from dataclasses import dataclass, field
from typing import Protocol

from ..core.resource import Resources


class LogError(Exception):
    """The log gave no answer; ``sent`` tells whether the append may have taken effect."""

    def __init__(self, detail: str, sent: bool):
        super().__init__(detail)
        self.sent = sent


class VmError(Exception):
    """A VM gave no answer; ``sent`` tells whether it may have acted."""

    def __init__(self, detail: str, sent: bool):
        super().__init__(detail)
        self.sent = sent


@dataclass(slots=True, frozen=True)
class LogPage:
    """Records read from a stream: the first retained offset and the records from ``start`` on."""

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
        """Appends records and returns the offset of the first, or raises :class:`LogError`."""

    async def read(self, stream: str, start: int) -> LogPage:
        """Reads from an offset on, or raises :class:`LogError`."""


@dataclass(slots=True, frozen=True)
class ListedVm:
    """A VM as the platform's list shows it, some time ago."""

    name: str
    zone: str
    rack: str
    address: str
    leaving: bool
    capacity: Resources
    connections: int


class VmList(Protocol):
    """The platform's lagging list of VMs."""

    async def list_vms(self, zone: str) -> list[ListedVm]:
        """Returns the VMs of an availability zone, or raises :class:`VmError`."""


class RunState(enum.StrEnum):
    """What a VM says of a task."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclass(slots=True, frozen=True)
class StartTask:
    """A task to start on a VM; ``label`` comes back unchanged with the VM's list."""

    task: str
    need: Resources
    label: str
    run_time_s: float
    repeatable: bool
    team: str


@dataclass(slots=True, frozen=True)
class VmTask:
    """A task as its VM reports it, with its usage as last measured."""

    task: str
    state: RunState
    label: str
    need: Resources
    used_millicores: int
    used_memory_mb: int


@dataclass(slots=True, frozen=True)
class TaskUse:
    """The measured use of a running task."""

    task: str
    millicores: int
    memory_mb: int


@dataclass(slots=True, frozen=True)
class LeaseCall:
    """One call to a VM: take or renew its lease and pass what changed since the last call.

    A task that was ended with a checkpoint goes on from it wherever it is started again.
    """

    holder: str
    epoch: int
    ttl_s: float
    seen: int = -1
    start: list[StartTask] = field(default_factory=list)
    stop: list[str] = field(default_factory=list)
    forget: list[str] = field(default_factory=list)
    checkpoint: list[str] = field(default_factory=list)
    throttle: dict[str, int] = field(default_factory=dict)
    release: bool = False
    look: bool = False


@dataclass(slots=True, frozen=True)
class LeaseAnswer:
    """A VM's answer, with the tasks that changed since version ``seen``.

    ``complete`` tells that the list has every task and request of the VM. A changed task that has
    ended comes without its label and its need. ``pressed`` has the running tasks, with their use as
    last measured, while that use nears what the VM holds.
    """

    granted: bool
    holder: str
    epoch: int
    left_s: float
    version: int
    tasks: list[VmTask]
    complete: bool
    pressed: list[TaskUse] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class EndpointAnswer:
    """An endpoint's answer; a refusal proves that the request did not run."""

    refused: bool
    status: int
    body: bytes


class VmAccess(Protocol):
    """Calls to VMs: the lease with its tasks, and requests to the endpoint."""

    async def lease(self, vm: str, address: str, call: LeaseCall, timeout_s: float) -> LeaseAnswer:
        """Makes a lease call, or raises :class:`VmError`."""

    async def run(
        self, address: str, queue: str, request: "EndpointRequest", timeout_s: float
    ) -> EndpointAnswer:
        """Sends a request to an endpoint, or raises :class:`VmError`."""


@dataclass(slots=True, frozen=True)
class EndpointRequest:
    """A request on its way to an endpoint, under the epoch of the VM's lease."""

    request: str
    team: str
    epoch: int
    repeatable: bool
    payload: bytes
    action: str = ""
