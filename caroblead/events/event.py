"""The typed events of the time line.

Our processes write what they decide; the stand-in of the platform writes what truly ran on each VM.
The checker compares the two.
"""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ProcessStarted:
    """A program of a node began to serve."""

    program: str
    incarnation: str


@dataclass(slots=True, frozen=True)
class DrainStarted:
    """A planned stop began: nothing new is taken, what is in flight is finished."""

    program: str


@dataclass(slots=True, frozen=True)
class ProcessStopped:
    """A planned stop ended, with the number of requests that it cut off."""

    program: str
    incarnation: str
    in_flight: int


@dataclass(slots=True, frozen=True)
class ProcessKilled:
    """A program was ended without notice; written by who did it, in tests."""

    program: str
    killed: str


@dataclass(slots=True, frozen=True)
class LinksCut:
    """Nodes were cut off from parts of the fleet; written by who did it, in tests.

    ``zones`` names the zones that can't reach the platform's list either.
    """

    nodes: str
    zones: str = ""


@dataclass(slots=True, frozen=True)
class LinksHealed:
    """Nodes that were cut off are connected again; written by who did it, in tests."""

    nodes: str


@dataclass(slots=True, frozen=True)
class ProgramFrozen:
    """A program was made to stand still; written by who did it, in tests."""

    program: str


@dataclass(slots=True, frozen=True)
class ProgramThawed:
    """A program that stood still goes on; written by who did it, in tests."""

    program: str


@dataclass(slots=True, frozen=True)
class RequestAccepted:
    """A gate took a request for a team; ``key`` is the beginning of the key's digest."""

    request: str
    team: str
    queue: str
    key: str
    key_team: str
    open: bool
    repeatable: bool
    payload: str


@dataclass(slots=True, frozen=True)
class Placed:
    """A placer chose a VM for a task or request."""

    task: str
    team: str
    vm: str
    epoch: int


@dataclass(slots=True, frozen=True)
class AttemptStarted:
    """A placer is about to send an attempt to a VM."""

    task: str
    attempt: int
    vm: str
    epoch: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """A placer learned how an attempt ended."""

    task: str
    attempt: int
    vm: str
    result: str


@dataclass(slots=True, frozen=True)
class AnswerSent:
    """A gate gave the caller an outcome; ``body`` is a digest of the answer's bytes."""

    request: str
    outcome: str
    body: str
    reason: str


@dataclass(slots=True, frozen=True)
class AnswerReceived:
    """A caller got an answer; written by the load tool. ``payload`` is what it had sent."""

    request: str
    payload: str
    outcome: str
    body: str


@dataclass(slots=True, frozen=True)
class JobAccepted:
    """A job was recorded in the log and will be run."""

    job: str
    team: str
    queue: str
    tasks: int
    repeatable: bool


@dataclass(slots=True, frozen=True)
class JobEnded:
    """A job has no task left to run."""

    job: str
    verdict: str


@dataclass(slots=True, frozen=True)
class LeaseTaken:
    """A placer holds the lease of a VM under a new epoch."""

    vm: str
    epoch: int
    shard: str


@dataclass(slots=True, frozen=True)
class LeaseLapsed:
    """A placer gave up a VM because it could not renew its lease in time."""

    vm: str
    epoch: int


@dataclass(slots=True, frozen=True)
class OwnerChanged:
    """An incarnation of a placer became the owner of a shard."""

    shard: str
    epoch: int
    incarnation: str
    waited_s: float


@dataclass(slots=True, frozen=True)
class TicketAccepted:
    """A ticket was accepted by its place in the log; ``changes`` names keys and limits."""

    ticket: int
    withdrawn_keys: str
    limits: str


@dataclass(slots=True, frozen=True)
class TicketInForce:
    """A process applies the configuration up to this ticket."""

    program: str
    ticket: int
    config: int


@dataclass(slots=True, frozen=True)
class VmListed:
    """The platform offers a VM; written by the stand-in."""

    vm: str
    millicores: int
    memory_mb: int
    accelerators: int
    slots: int


@dataclass(slots=True, frozen=True)
class VmLeaving:
    """The platform's list shows a VM as leaving; written by the stand-in."""

    vm: str
    zone: str = ""


@dataclass(slots=True, frozen=True)
class ListDown:
    """The platform's list gives no answer, or an old one; written by the stand-in."""


@dataclass(slots=True, frozen=True)
class ListUp:
    """The platform's list answers again; written by the stand-in."""


@dataclass(slots=True, frozen=True)
class VmFailed:
    """A VM died with everything on it; written by the stand-in."""

    vm: str


@dataclass(slots=True, frozen=True)
class WorkStarted:
    """A task or request truly began on a VM; written by the stand-in."""

    task: str
    team: str
    vm: str
    epoch: int
    millicores: int
    memory_mb: int
    accelerators: int
    slots: int
    repeatable: bool


@dataclass(slots=True, frozen=True)
class WorkEnded:
    """A task or request truly ended on a VM; written by the stand-in."""

    task: str
    vm: str
    result: str
    body: str


EVENTS = {
    event.__name__: event
    for event in (
        ProcessStarted,
        DrainStarted,
        ProcessStopped,
        ProcessKilled,
        LinksCut,
        LinksHealed,
        ProgramFrozen,
        ProgramThawed,
        RequestAccepted,
        Placed,
        AttemptStarted,
        AttemptEnded,
        AnswerSent,
        AnswerReceived,
        JobAccepted,
        JobEnded,
        LeaseTaken,
        LeaseLapsed,
        OwnerChanged,
        TicketAccepted,
        TicketInForce,
        VmListed,
        VmLeaving,
        ListDown,
        ListUp,
        VmFailed,
        WorkStarted,
        WorkEnded,
    )
}
