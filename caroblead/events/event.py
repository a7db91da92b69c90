"""The event types of the timeline.

Our processes write what they decide; the platform stand-in (package ``standin``) writes what
actually ran on each VM. The history checker compares the two.
"""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ProcessStarted:
    """A program of a node started to serve."""

    program: str
    incarnation: str


@dataclass(slots=True, frozen=True)
class DrainStarted:
    """A graceful shutdown began: no new work is accepted and work in flight is finished."""

    program: str


@dataclass(slots=True, frozen=True)
class ProcessStopped:
    """A graceful shutdown ended; ``in_flight`` is the number of requests that it cut off."""

    program: str
    incarnation: str
    in_flight: int


@dataclass(slots=True, frozen=True)
class ProcessKilled:
    """A program was killed without notice; written in tests, by the code that killed it."""

    program: str
    killed: str


@dataclass(slots=True, frozen=True)
class LinksCut:
    """Nodes were cut off from parts of the fleet; written in tests, by the code that did so.

    ``zones`` names the zones that can't reach the platform's VM list either.
    """

    nodes: str
    zones: str = ""


@dataclass(slots=True, frozen=True)
class LinksHealed:
    """Nodes that were cut off are connected again; written in tests, by the code that did so."""

    nodes: str


@dataclass(slots=True, frozen=True)
class ProgramFrozen:
    """A program was frozen; written in tests, by the code that froze it."""

    program: str


@dataclass(slots=True, frozen=True)
class ProgramThawed:
    """A frozen program resumed; written in tests, by the code that resumed it."""

    program: str


@dataclass(slots=True, frozen=True)
class RequestAccepted:
    """A gate accepted a request for a team; ``key`` is a prefix of the key's digest."""

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
    """A placer learned the result of an attempt."""

    task: str
    attempt: int
    vm: str
    result: str


@dataclass(slots=True, frozen=True)
class AnswerSent:
    """A gate returned an outcome to the caller; ``body`` is a digest of the answer's bytes."""

    request: str
    outcome: str
    body: str
    reason: str


@dataclass(slots=True, frozen=True)
class AnswerReceived:
    """A caller got an answer; written by the load tool.

    ``payload`` is a digest of what the caller had sent.
    """

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
    """A job ended: it has no task left to run."""

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
    """A placer gave up a VM because it could not renew the VM's lease in time."""

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
    """A ticket was accepted, as its position in the log decides.

    ``withdrawn_keys`` (prefixes of digests) and ``limits`` (``team=number``) are comma-separated.
    """

    ticket: int
    withdrawn_keys: str
    limits: str


@dataclass(slots=True, frozen=True)
class TicketInForce:
    """A process now applies the configuration up to this ticket."""

    program: str
    ticket: int
    config: int


@dataclass(slots=True, frozen=True)
class VmListed:
    """The platform offers a VM; written by the platform stand-in."""

    vm: str
    millicores: int
    memory_mb: int
    accelerators: int
    slots: int


@dataclass(slots=True, frozen=True)
class VmLeaving:
    """The platform's VM list shows a VM as leaving; written by the platform stand-in."""

    vm: str
    zone: str = ""


@dataclass(slots=True, frozen=True)
class ListDown:
    """The platform's VM list does not answer or is stale; written by the platform stand-in."""


@dataclass(slots=True, frozen=True)
class ListUp:
    """The platform's VM list answers again; written by the platform stand-in."""


@dataclass(slots=True, frozen=True)
class VmFailed:
    """A VM failed, which ended all work on it; written by the platform stand-in."""

    vm: str


@dataclass(slots=True, frozen=True)
class WorkStarted:
    """A task or request actually started on a VM; written by the platform stand-in."""

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
    """A task or request actually ended on a VM; written by the platform stand-in."""

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
