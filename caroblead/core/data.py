"""The entities of the scheduler: teams, queues, VMs, requests, jobs and tasks.

These are plain classes. Everything that happens to them is a function elsewhere, mostly in
:mod:`caroblead.policy`.
"""

import enum
from dataclasses import dataclass, field

from .resource import NOTHING, Resources


@dataclass(slots=True, frozen=True)
class Urgent:
    """Requests that must start at once; somebody is sitting in the chair."""


@dataclass(slots=True, frozen=True)
class Waitable:
    """Requests whose caller waits for the answer, but not urgently."""


@dataclass(slots=True, frozen=True)
class Batch:
    """Jobs whose tasks run whenever there is room, each on its own."""


@dataclass(slots=True, frozen=True)
class Gang:
    """Jobs whose tasks start all together or not at all."""


@dataclass(slots=True, frozen=True)
class Service:
    """Jobs whose tasks run until they are cancelled, spread over racks."""


Kind = Urgent | Waitable | Batch | Gang | Service

KINDS: dict[str, Kind] = {
    "urgent": Urgent(),
    "waitable": Waitable(),
    "batch": Batch(),
    "gang": Gang(),
    "service": Service(),
}


def name_kind(kind: Kind) -> str:
    """Returns the name by which tickets and answers call a kind of work."""
    return type(kind).__name__.lower()


def takes_requests(kind: Kind) -> bool:
    """Returns whether a queue of this kind takes requests that a caller waits for."""
    return isinstance(kind, Urgent | Waitable)


def takes_jobs(kind: Kind) -> bool:
    """Returns whether a queue of this kind takes jobs; urgent queues take both."""
    return not isinstance(kind, Waitable)


@dataclass(slots=True, frozen=True)
class Team:
    """A team, its weight when the cell is full and its hard upper limit.

    The limit counts tasks and requests that run at the same time anywhere in the fleet.
    """

    name: str
    share: float
    max_running: int


@dataclass(slots=True, frozen=True)
class Key:
    """A granted key, known by its digest only, and the team that it stands for."""

    digest: str
    team: str


@dataclass(slots=True, frozen=True)
class Queue:
    """A queue through which work enters, with the policy of its work."""

    name: str
    kind: Kind
    teams: frozenset[str]
    open_team: str = ""
    region: str = ""
    max_waiting: int = 200
    deadline_s: float = 30.0
    repeatable: bool = True


class VmState(enum.StrEnum):
    """What the platform's list and our own observation say of a VM."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(slots=True, eq=False)
class Vm:
    """A VM with what it can hold and what is left of it.

    ``free`` is the capacity less everything placed, from the decision to place until its end is
    known. ``keys`` are the VM's places in the sorted indexes of its cell.
    """

    name: str
    zone: str
    rack: str
    capacity: Resources
    free: Resources = NOTHING
    address: str = ""
    state: VmState = VmState.LIVE
    connections: int = 0
    keys: tuple = ()
    tasks: dict[str, "Task"] = field(default_factory=dict)
    reserved_for: str = ""
    reserved_until_s: float = 0.0
    latency_s: float = 0.0
    failed_jobs: dict[str, float] = field(default_factory=dict)
    quarantined_until_s: float = 0.0
    quarantines: int = 0
    probing: str = ""
    recorded: bool = True


class TaskState(enum.StrEnum):
    """The life of a task within one attempt."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    LOST = "lost"
    CANCELLED = "cancelled"
    STOPPED = "stopped"


ENDED = frozenset({TaskState.DONE, TaskState.FAILED, TaskState.LOST, TaskState.CANCELLED})


@dataclass(slots=True, eq=False)
class Job:
    """Work of one or more equal tasks that outlives its caller's connection."""

    name: str
    team: str
    queue: str
    kind: Kind
    task_count: int
    need: Resources
    run_time_s: float
    repeatable: bool = True
    submitted_s: float = 0.0
    deadline_s: float = 0.0
    tasks: list["Task"] = field(default_factory=list)
    failed_vms: set[str] = field(default_factory=set)
    cancelled: bool = False
    verdict: str = ""


@dataclass(slots=True, eq=False)
class Task:
    """One unit that is placed on one VM; a request is a task that needs one slot.

    ``allotted`` is what was taken on the VM for the present attempt and is given back exactly once,
    when the attempt ends.
    """

    name: str
    team: str
    queue: str
    kind: Kind
    need: Resources
    job: Job | None = None
    state: TaskState = TaskState.WAITING
    vm: Vm | None = None
    allotted: Resources = NOTHING
    attempt: int = 0
    submitted_s: float = 0.0
    deadline_s: float = float("inf")
    started_s: float = 0.0
    run_time_s: float = 0.0
    repeatable: bool = True
