"""The interfaces of the platform that the scheduler and the nodes depend on.

The adapters of :mod:`caroblead.platform` implement the protocols here, and tests replace them by
small fakes. Times that concern a VM are in milliseconds on the clock of that VM.
"""

import enum
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from ..core.outcome import LogError
from ..core.resource import Resources
from ..jobs.data import JobQueue
from ..jobs.record import KeyedRecord


class FencedError(Exception):
    """The log rejected an append because it has seen a later term; the message is its answer."""


class RecordsRefusedError(LogError):
    """The log will never store these records, for example because one is too large.

    None of them was stored, and the same append would be refused again.
    """

    def __init__(self, detail: str):
        super().__init__(detail, False)


class HistoryGoneError(Exception):
    """The records at the offset have expired; only the newest record of each key is retained."""


@dataclass(slots=True, frozen=True)
class Fence:
    """The leader's term and the number of its append, by which the log rejects former leaders."""

    term: int
    sequence: int


@dataclass(slots=True, frozen=True)
class LogLimits:
    """The sizes in bytes that the log accepts: of one record, and of the records of one append.

    Both count a record as :attr:`caroblead.jobs.record.KeyedRecord.size` does.
    """

    record_bytes: int = 262_144
    call_bytes: int = 2_097_152


@dataclass(slots=True, frozen=True)
class Batch:
    """Records read from the log.

    ``next_offset`` is the offset to read from next and ``end_offset`` the end of the log at the
    time of the read.
    """

    records: list[KeyedRecord]
    next_offset: int
    end_offset: int


class KeyedLog(Protocol):
    """A compacted log: it retains the newest record of each key without limit of time."""

    limits: LogLimits

    async def append(
        self, records: list[KeyedRecord], fence: Fence | None, timeout_s: float
    ) -> int:
        """Appends all records or none and returns the offset of the first.

        Raises ``LogError``, whose ``sent`` tells whether the records may have been stored despite
        the error, :class:`RecordsRefusedError` if they never will be, and :class:`FencedError`.
        """

    async def read(self, offset: int, wait_s: float) -> Batch:
        """Returns the records from an offset on and waits at most ``wait_s`` for the first one.

        Raises ``LogError`` and :class:`HistoryGoneError`.
        """

    async def read_newest(self) -> Batch:
        """Returns the newest record of every key, oldest first, or raises ``LogError``."""


@dataclass(slots=True, frozen=True)
class ListedVm:
    """A VM as the platform's registry shows it.

    ``incarnation`` grows when the VM restarts under the same name. A VM that has just started is
    slow for ``cold_remaining_ms`` from when it wrote the entry; entries that differ only in that
    count as equal.
    """

    name: str
    incarnation: int
    service: str
    address: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    capacity: Resources
    draining: bool
    cold_remaining_ms: int = field(default=0, compare=False)


class EndReason(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class TaskName(NamedTuple):
    """The name of a task: job, occurrence, step and index."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


def parse_task_name(name: str) -> TaskName:
    """Parses the written form of a task name, such as ``a1.0.2.3``.

    The job id contains no full stop.
    """
    job, occurrence, step, index = name.split(".")
    return TaskName(job, int(occurrence), int(step), int(index))


@dataclass(slots=True, frozen=True)
class RunningTask:
    """A run as its VM reports it; ``percent`` is its progress from 0 to 100.

    ``response_ms`` is the tail latency of a task with a latency objective over the last half
    second; it has no meaning for any other task.
    """

    task: TaskName
    number: int
    checkpoint: str
    percent: float
    response_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class EndedTask:
    """The end of a run; ``serial`` numbers the ends within one incarnation of the VM."""

    serial: int
    task: TaskName
    number: int
    reason: EndReason
    checkpoint: str


@dataclass(slots=True, frozen=True)
class HoldAnswer:
    """A VM's answer to a lease renewal, with its running tasks and the ends that it retains.

    With ``more_ends`` the VM may retain later ends that the answer doesn't list.
    """

    clock_ms: int
    incarnation: int
    running: list[RunningTask]
    ended: list[EndedTask]
    more_ends: bool = False


class StartRefusal(enum.StrEnum):
    """The reason for which a VM refused to start a run."""

    FENCED = "fenced"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_incarnation"
    INVALID = "invalid"


@dataclass(slots=True, frozen=True)
class Started:
    """The VM has carried out the order, or had already done so."""

    clock_ms: int


@dataclass(slots=True, frozen=True)
class Refused:
    """The VM has not carried out the order and won't do so later."""

    reason: StartRefusal


@dataclass(slots=True, frozen=True)
class NoAnswer:
    """No answer arrived; the VM may have carried out the order, or may still do so."""

    detail: str


StartOutcome = Started | Refused | NoAnswer


@dataclass(slots=True, frozen=True)
class StartOrder:
    """An order to run a task until a deadline on the VM's clock; later calls of hold extend it.

    A VM that has seen a higher ``fence`` does nothing for it.
    """

    task: TaskName
    number: int
    payload: str
    deadline_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


@dataclass(slots=True, frozen=True)
class Target:
    """The incarnation of a VM to which an order is addressed."""

    vm: str
    incarnation: int
    address: str


class VmControl(Protocol):
    """The control interface of the VMs.

    An order that has no answer after ``order_timeout_s`` seconds is given up. A VM that has seen a
    higher ``fence`` than that of a call does nothing for it.
    """

    order_timeout_s: float

    async def start(self, target: Target, order: StartOrder) -> StartOutcome:
        """Starts a task."""

    async def stop(self, target: Target, task: TaskName, number: int, fence: int) -> StartOutcome:
        """Stops a run and prevents a delayed start order from starting it later."""

    async def pace(
        self, target: Target, task: TaskName, number: int, percent: int, fence: int
    ) -> StartOutcome:
        """Throttles a run to a percentage of its full speed from now on."""

    async def hold(
        self, target: Target, fence: int, seen: int, deadline_ms: int | None, wait_s: float
    ) -> HoldAnswer | Refused | NoAnswer:
        """Renews the VM's lease and returns its run lists; waits at most ``wait_s`` for an end."""


@dataclass(slots=True, frozen=True)
class Advice:
    """The tickets of the VMs that may run a step; ``None`` if the service refused or failed."""

    tickets: dict[str, str] | None


class AdviceService(Protocol):
    """The advice service, which decides on which VMs a step may run."""

    async def ask(self, step: str, vms: list[str], timeout_s: float) -> Advice:
        """Asks about a step by its name; after a failure the tickets of the advice are ``None``."""


@dataclass(slots=True, frozen=True)
class TeamLimits:
    """A team with its weight and its quota ``cap`` for running tasks; 0 means no limit."""

    name: str
    weight: float
    cap: Resources


@dataclass(slots=True)
class Configuration:
    """The configuration in force; version 0 stands for one that has not been read yet.

    ``keys`` maps an API key to its team and ``queues`` holds the queues in order of host and path.
    """

    version: int = 0
    queues: dict[str, JobQueue] = field(default_factory=dict)
    teams: dict[str, TeamLimits] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    max_body_bytes: int = 262_144


def find_service(configuration: Configuration, queue: JobQueue) -> str:
    """Returns the service that runs a queue's tasks now.

    For a queue that has been removed from the configuration it is the service that the queue had
    when the job was accepted.
    """
    return configuration.queues.get(queue.name, queue).service
