"""The three outcomes of a request or job, and the error that comes with every rejection.

An outcome claims no more than is known about the work. ``Answered`` has the whole answer.
``NotRun`` is used only when the work certainly did not start. ``Unknown`` covers all other cases,
in which the work may or may not have run.
"""

import enum
from dataclasses import dataclass, field


class Step(enum.StrEnum):
    """The step of processing at which an error occurred."""

    READ_INPUT = "read_input"
    CHECK_KEY = "check_key"
    CHECK_TICKET = "check_ticket"
    ADMIT = "admit"
    ROUTE = "route"
    QUEUE = "queue"
    DISPATCH = "dispatch"
    RECORD = "record"
    CALL = "call"
    RECOVER = "recover"


class Reason(enum.StrEnum):
    """Why work did not run, or why its outcome is unknown."""

    BAD_INPUT = "bad_input"
    NO_KEY = "no_key"
    BAD_KEY = "bad_key"
    FORBIDDEN = "forbidden"
    NO_SUCH_QUEUE = "no_such_queue"
    NO_SUCH_JOB = "no_such_job"
    TOO_LARGE = "too_large"
    NEVER_FITS = "never_fits"
    OVER_LIMIT = "over_limit"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_PLACER = "no_placer"
    NOT_OWNER = "not_owner"
    DRAINING = "draining"
    CANCELLED = "cancelled"
    LOG_DOWN = "log_down"
    NO_CONFIG = "no_config"
    CONFLICT = "conflict"
    ENDPOINT_REFUSED = "endpoint_refused"
    PEER_LOST = "peer_lost"
    ENDPOINT_LOST = "endpoint_lost"
    OWNER_CHANGED = "owner_changed"
    INTERNAL = "internal"


@dataclass(slots=True, frozen=True)
class Fault:
    """One error, with the step and the peer at which it occurred.

    ``field`` names the input field at fault, if any. ``retry_after_s`` is the time in seconds after
    which the caller may retry, or 0.
    """

    reason: Reason
    step: Step
    peer: str
    detail: str = ""
    field: str = ""
    retry_after_s: float = 0.0


def describe_problem(fault: Fault) -> str:
    """Formats a fault as one line for a human reader."""
    where = f" {fault.field}:" if fault.field else ""
    return f"{fault.peer}:{where} {fault.detail}"


@dataclass(slots=True, frozen=True)
class Answered:
    """The work ran; this is its complete answer."""

    status: int
    body: bytes


@dataclass(slots=True, frozen=True)
class NotRun:
    """The work did not start anywhere and will not start later."""

    fault: Fault


@dataclass(slots=True, frozen=True)
class Unknown:
    """The work may have run; it can't be determined any more whether it did."""

    fault: Fault


Outcome = Answered | NotRun | Unknown


@dataclass(slots=True)
class Checked:
    """The result of a processing stage together with the list of errors found in it.

    A stage returns its value also when it found errors, as far as it could be computed.
    """

    value: object
    faults: list[Fault] = field(default_factory=list)


class FaultError(Exception):
    """An exception that carries a fault through code that can't return it as a value."""

    def __init__(self, fault: Fault):
        super().__init__(f"{fault.reason} at {fault.step} by {fault.peer}: {fault.detail}")
        self.fault = fault


class LogError(Exception):
    """A call to the log failed; ``sent`` tells whether an append may have taken effect."""

    def __init__(self, detail: str, sent: bool):
        super().__init__(detail)
        self.sent = sent
