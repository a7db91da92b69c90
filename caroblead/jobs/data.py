"""Data types for jobs, steps, tasks and runs, shared by the ledger and the dispatcher.

A job is submitted once and is immutable; its progress is stored separately. A step is a set of
identical tasks, an occurrence is one repetition of all steps of a job, and a run is one attempt to
execute a task on a VM.
"""

import enum
from dataclasses import dataclass, field
from typing import NamedTuple

from ..core.resource import Resources

# The leader keeps every task in memory.
MAX_TASKS_PER_JOB = 50_000


@dataclass(slots=True, frozen=True)
class StepSpec:
    """The specification of one step, as submitted by a caller.

    ``after`` holds the indexes of the earlier steps that must complete first. ``max_per_vm`` of 0
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
    """The specification of a job, as submitted by a caller: an opaque payload and its steps.

    With ``repeats`` above 0 the steps run that many times, and each occurrence is due
    ``interval_s`` after the previous one. ``first_due_s`` is the time at which the first one is
    due, in seconds since the Unix epoch.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    first_due_s: float = 0.0
    interval_s: float = 0.0

    def count_tasks(self) -> int:
        """Returns the number of tasks in all occurrences."""
        return sum(step.count for step in self.steps) * max(1, self.repeats)


@dataclass(slots=True, frozen=True)
class AdviceTimes:
    """How long the advice service takes for a call and how long its tickets remain valid."""

    decision_s: float
    per_vm_s: float
    valid_s: float


@dataclass(slots=True, frozen=True)
class JobQueue:
    """A queue as defined by the configuration in force.

    ``stretch`` and ``latency_s`` define the target completion time of a job: ``stretch`` times the
    duration of its work, plus ``latency_s``.
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
    advice: AdviceTimes | None = None


class JobState(enum.StrEnum):
    """The state of a job, as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})


class StepKey(NamedTuple):
    """One step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}"


@dataclass(slots=True, frozen=True)
class RunRecord:
    """A run whose start was ordered and whose end isn't known yet.

    ``incarnation`` identifies the incarnation of the VM to which the start order was addressed.
    """

    task: int
    number: int
    vm: str
    incarnation: int


@dataclass(slots=True)
class CrashRecord:
    """How many VMs went down under the runs of a task.

    ``total`` counts all of them but planned shutdowns, and ``blamed`` those for which no other
    cause is known. ``alone`` counts the blamed ones on which nothing else ran. ``last_run`` is the
    number of the last run that was counted.
    """

    total: int = 0
    blamed: int = 0
    alone: int = 0
    last_run: int = 0


@dataclass(slots=True)
class StepProgress:
    """The progress of the tasks of one step in one occurrence.

    ``last_run`` is the highest run number assigned in the step so far, and ``last_failed_run`` the
    highest one of a gang that counted as a failure. ``crashes`` holds the tasks under which VMs
    went down, by index; the tasks of a gang share the entry of index 0.
    """

    last_run: int = 0
    done: set[int] = field(default_factory=set)
    failures: dict[int, int] = field(default_factory=dict)
    runs: list[RunRecord] = field(default_factory=list)
    checkpoints: dict[int, str] = field(default_factory=dict)
    last_failed_run: int = 0
    crashes: dict[int, CrashRecord] = field(default_factory=dict)


# A step by its occurrence and its number.
StepPlace = tuple[int, int]
Steps = dict[StepPlace, StepProgress]


@dataclass(slots=True)
class Progress:
    """The mutable part of a job: everything known about it beyond its specification.

    All occurrences before ``done_before`` are done, and ``steps`` holds nothing of them.
    """

    state: JobState = JobState.QUEUED
    steps: Steps = field(default_factory=dict)
    done_before: int = 0


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job; ``accepted_s`` is the wall-clock time at which it was accepted."""

    id: str
    team: str
    queue: JobQueue
    spec: JobSpec
    accepted_s: float
    cancelled: bool = False
