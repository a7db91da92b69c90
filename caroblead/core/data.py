"""The entities of the scheduler: teams, queues, VMs, requests, jobs and tasks.

These are plain data classes. The functions that change them are elsewhere, mostly in
:mod:`caroblead.policy`.
"""

import enum
from dataclasses import dataclass, field

from .resource import NOTHING, Resources


@dataclass(slots=True, frozen=True)
class Urgent:
    """Work that must start at once, because a person is waiting for its result."""


@dataclass(slots=True, frozen=True)
class Waitable:
    """Requests whose caller waits for the answer, but can accept a delay."""


@dataclass(slots=True, frozen=True)
class Batch:
    """Jobs whose tasks run independently, whenever resources are free."""


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
    """Returns the name of a kind of work in tickets and answers, such as ``"batch"``."""
    return type(kind).__name__.lower()


def takes_requests(kind: Kind) -> bool:
    """Returns whether a queue of this kind takes requests that a caller waits for."""
    return isinstance(kind, Urgent | Waitable)


def takes_jobs(kind: Kind) -> bool:
    """Returns whether a queue of this kind takes jobs; urgent queues take both."""
    return not isinstance(kind, Waitable)


@dataclass(slots=True, frozen=True)
class Team:
    """A team, its fair-share weight and its hard upper limit.

    The weight ``share`` counts when the cell is full. The limit ``max_running`` bounds the tasks
    and requests that run at the same time anywhere in the fleet.
    """

    name: str
    share: float
    max_running: int


@dataclass(slots=True, frozen=True)
class Key:
    """An API key that was granted to a team; only the digest of the key is stored."""

    digest: str
    team: str


@dataclass(slots=True, frozen=True)
class Queue:
    """A queue to which work is submitted, with the policy that applies to its work."""

    name: str
    kind: Kind
    teams: frozenset[str]
    open_team: str = ""
    region: str = ""
    max_waiting: int = 200
    deadline_s: float = 30.0
    repeatable: bool = True


class VmState(enum.StrEnum):
    """The state of a VM, from the platform's list and from the scheduler's own observation."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(slots=True, eq=False)
class Vm:
    """A VM with its capacity and its free resources.

    ``free`` is the capacity less the allotments of all placed tasks, each counted from the decision
    to place it until its end is known. ``index_keys`` are the VM's entries in the sorted indexes of
    its cell. ``recorded`` tells whether the VM's name is in the shard's log; until it is, best fit
    (:func:`caroblead.policy.fit.find_vm`) places no task there that can't be repeated.
    """

    name: str
    zone: str
    rack: str
    capacity: Resources
    free: Resources = NOTHING
    address: str = ""
    state: VmState = VmState.LIVE
    connections: int = 0
    index_keys: tuple = ()
    tasks: dict[str, "Task"] = field(default_factory=dict)
    reserved_for: str = ""
    reserved_until_s: float = 0.0
    latency_s: float = 0.0
    failed_jobs: dict[str, float] = field(default_factory=dict)
    quarantined_until_s: float = 0.0
    quarantine_count: int = 0
    probe_task: str = ""
    recorded: bool = True


class TaskState(enum.StrEnum):
    """The states of a task during one attempt."""

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
    """One or more tasks with equal needs, which keep running when the caller has disconnected."""

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
    """A unit of work that is placed on one VM; a request is a task that needs one slot.

    ``allotted`` is what was allocated on the VM for the present attempt. It is released exactly
    once, when the attempt ends.
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
