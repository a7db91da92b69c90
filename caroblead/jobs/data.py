"""Jobs, steps, tasks and runs as the ledger and the dispatcher know them.

A job is handed in once and never changes; its progress is kept apart from it. A step is a set of
equal tasks, and an occurrence is one repetition of all steps of a job.
"""

import enum
from dataclasses import dataclass, field

from ..core.resource import Resources


@dataclass(slots=True, frozen=True)
class StepSpec:
    """What a caller asks for in one step.

    ``after`` holds the numbers of the earlier steps that must be done first. ``max_per_vm`` of 0
    means that any number of the step's tasks may share a VM.
    """

    count: int
    need: Resources
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    near_rack: str = ""
    max_per_vm: int = 0
    checkpoints: bool = False
    copies_allowed: bool = False
    endless: bool = False
    fills: bool = False
    image: str = ""
    target_ms: int = 0
    miss_tolerance: int = 0


@dataclass(slots=True, frozen=True)
class JobSpec:
    """What a caller hands in: an opaque payload and its steps.

    With ``repeats`` above 0 the steps run that many times, each time due ``interval_s`` after the
    one before; ``first_due_s`` is a time of day in seconds since 1970.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    first_due_s: float = 0.0
    interval_s: float = 0.0


@dataclass(slots=True, frozen=True)
class AdviceTerms:
    """How long the advice service takes for a call and how long its tickets hold."""

    decision_s: float
    per_vm_s: float
    valid_s: float


@dataclass(slots=True, frozen=True)
class JobQueue:
    """A queue as the configuration in force defines it.

    ``stretch`` and ``latency_s`` give the target: that many times the length of the work, and so
    much more.
    """

    name: str
    host: str
    path: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency_s: float = 1.0
    timeout_s: float = 3.0
    open_to_all: bool = False
    advice: AdviceTerms | None = None


class JobState(enum.StrEnum):
    """What a caller is told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})


@dataclass(slots=True, frozen=True, order=True)
class StepKey:
    """One step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}"


@dataclass(slots=True, frozen=True)
class RunRecord:
    """A run that was ordered and whose end isn't known yet.

    ``incarnation`` tells the life of the VM for which the order was meant.
    """

    task: int
    number: int
    vm: str
    incarnation: int


@dataclass(slots=True)
class StepProgress:
    """What has happened to the tasks of one step of one occurrence.

    ``last_run`` is the highest number that a run of the step has had.
    """

    last_run: int = 0
    done: set[int] = field(default_factory=set)
    failures: dict[int, int] = field(default_factory=dict)
    runs: list[RunRecord] = field(default_factory=list)
    checkpoints: dict[int, str] = field(default_factory=dict)


@dataclass(slots=True)
class Progress:
    """Everything that is known of a job beyond what was handed in."""

    state: JobState = JobState.QUEUED
    steps: dict[tuple[int, int], StepProgress] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job.

    ``accepted_s`` is the time of day at which it was accepted. ``stored`` is the latest recorded
    progress in its encoded form; ``state`` is the state that callers may be told.
    """

    id: str
    team: str
    queue: JobQueue
    spec: JobSpec
    accepted_s: float
    state: JobState = JobState.QUEUED
    cancelled: bool = False
    stored: bytes = b""
    final_s: float = 0.0
