"""What comes of a caller's request: the answer of a node, before it is written as a response."""

from dataclasses import dataclass

from ..core.outcome import Fault
from ..jobs.data import JobQueue, JobState

# When a caller may retry after a rejection whose cause is expected to pass soon.
RETRY_AFTER_S = 1.0


@dataclass(slots=True, frozen=True)
class Accepted:
    """The job is stored and will run; ``known_before`` tells that its id was accepted earlier."""

    known_before: bool = False


@dataclass(slots=True, frozen=True)
class Shown:
    """The state of a job."""

    state: JobState


@dataclass(slots=True, frozen=True)
class Cancelled:
    """The job is cancelled, or had already ended."""


@dataclass(slots=True, frozen=True)
class Counted:
    """The number of jobs in a queue of which no task has started."""

    waiting: int


@dataclass(slots=True, frozen=True)
class Rejected:
    """The request had no effect and won't have any later."""

    fault: Fault


@dataclass(slots=True, frozen=True)
class InDoubt:
    """The request may have taken effect, or may still do so."""

    fault: Fault


@dataclass(slots=True, frozen=True)
class Admission:
    """The queue and the team of a request whose key was accepted."""

    queue: JobQueue
    team: str
