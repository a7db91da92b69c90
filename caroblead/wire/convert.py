"""Conversion between thrift structs and the fault and outcome classes of ``core.outcome``."""

from ..core.outcome import Answered, Fault, NotRun, Outcome, Reason, Step, Unknown
from .gen import ttypes

# The values of ``outcome`` in a reply.
ANSWERED, NOT_RUN, UNKNOWN = 0, 1, 2


def to_wire_fault(fault: Fault) -> ttypes.WireFault:
    """Converts a fault to its thrift struct."""
    return ttypes.WireFault(
        reason=str(fault.reason),
        step=str(fault.step),
        peer=fault.peer,
        detail=fault.detail or None,
        field=fault.field or None,
        retry_after_ms=int(fault.retry_after_s * 1000) or None,
    )


def from_wire_fault(fault: ttypes.WireFault) -> Fault:
    """Converts a thrift struct to a fault."""
    return Fault(
        Reason(fault.reason),
        Step(fault.step),
        fault.peer,
        fault.detail or "",
        fault.field or "",
        (fault.retry_after_ms or 0) / 1000,
    )


def to_reply(outcome: Outcome) -> ttypes.Reply:
    """Converts an outcome to a reply message."""
    if isinstance(outcome, Answered):
        return ttypes.Reply(outcome=ANSWERED, status=outcome.status, body=outcome.body)
    kind = NOT_RUN if isinstance(outcome, NotRun) else UNKNOWN
    return ttypes.Reply(outcome=kind, fault=to_wire_fault(outcome.fault))


def from_reply(reply: ttypes.Reply) -> Outcome:
    """Converts a reply message to an outcome."""
    if reply.outcome == ANSWERED:
        return Answered(reply.status or 200, reply.body or b"")
    fault = from_wire_fault(reply.fault)
    return NotRun(fault) if reply.outcome == NOT_RUN else Unknown(fault)
