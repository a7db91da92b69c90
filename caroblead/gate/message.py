"""The JSON documents that callers send and the ones that they get back."""

import base64
import hashlib
import json
import math
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..config.ticket import list_faults
from ..core.outcome import Answered, Checked, Fault, NotRun, Outcome, Reason, Step, Unknown

HTTP_STATUS = {
    Reason.BAD_INPUT: 400,
    Reason.NO_KEY: 401,
    Reason.BAD_KEY: 401,
    Reason.FORBIDDEN: 403,
    Reason.NO_SUCH_QUEUE: 404,
    Reason.NO_SUCH_JOB: 404,
    Reason.CONFLICT: 409,
    Reason.TOO_LARGE: 413,
    Reason.NEVER_FITS: 409,
    Reason.OVER_LIMIT: 429,
    Reason.QUEUE_FULL: 429,
}
UNAVAILABLE_STATUS = 503
UNKNOWN_STATUS = 504


class CallerDocument(BaseModel):
    """Base class of the documents that callers send; unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class RequestBody(CallerDocument):
    """A request; it must have started within ``deadline_s`` seconds."""

    payload: Any = None
    deadline_s: float | None = Field(default=None, gt=0, le=3600)
    repeatable: bool | None = None


class JobBody(CallerDocument):
    """A job: its number of tasks, the resources that each needs and its expected run time."""

    tasks: int = Field(default=1, ge=1, le=10_000)
    cores: float = Field(default=1.0, ge=0, le=10_000)
    memory_mb: int = Field(default=256, ge=0, le=100_000_000)
    accelerators: int = Field(default=0, ge=0, le=1000)
    run_time_s: float = Field(default=60.0, ge=0, le=31_536_000)
    deadline_s: float | None = Field(default=None, gt=0, le=31_536_000)
    repeatable: bool = True
    name: str = Field(default="", pattern=r"^[A-Za-z0-9._-]{0,64}$")


def parse_body(model: type[CallerDocument], text: bytes) -> Checked:
    """Parses and validates a caller's document; returns it, or every error that it has."""
    try:
        raw = json.loads(text or b"{}")
        return Checked(model.model_validate(raw))
    except ValidationError as error:
        return Checked(None, list_faults(error, "caller", Step.READ_INPUT))
    except (ValueError, RecursionError) as error:
        fault = Fault(Reason.BAD_INPUT, Step.READ_INPUT, "caller", f"not JSON: {error}")
        return Checked(None, [fault])


def digest_bytes(body: bytes) -> str:
    """Returns a short digest (16 hex digits of SHA-256) that identifies bytes in the timeline."""
    return hashlib.sha256(body).hexdigest()[:16]


def describe_fault(fault: Fault) -> dict:
    """Returns the JSON form of a fault that callers get."""
    document = {
        "reason": str(fault.reason),
        "step": str(fault.step),
        "peer": fault.peer,
        "detail": fault.detail,
    }
    if fault.field:
        document["field"] = fault.field
    return document


def name_outcome(outcome: Outcome) -> str:
    """Returns the name of an outcome: answered, not_run or unknown."""
    return {Answered: "answered", NotRun: "not_run", Unknown: "unknown"}[type(outcome)]


def describe_outcome(request: str, outcome: Outcome) -> tuple[int, dict, float]:
    """Returns the HTTP status, the JSON document and the seconds to wait before a retry."""
    document: dict[str, Any] = {"outcome": name_outcome(outcome), "request": request}
    if isinstance(outcome, Answered):
        document["status"] = outcome.status
        document["digest"] = digest_bytes(outcome.body)
        try:
            document["answer"] = json.loads(outcome.body)
        except ValueError:
            document["answer_base64"] = base64.b64encode(outcome.body).decode()
        return 200, document, 0.0
    document["error"] = describe_fault(outcome.fault)
    if isinstance(outcome, Unknown):
        return UNKNOWN_STATUS, document, 0.0
    status = HTTP_STATUS.get(outcome.fault.reason, UNAVAILABLE_STATUS)
    return status, document, outcome.fault.retry_after_s


def make_retry_headers(seconds: float) -> dict[str, str]:
    """Returns the ``Retry-After`` header in whole seconds, or no header if there is no wait."""
    return {"Retry-After": str(max(1, math.ceil(seconds)))} if seconds > 0 else {}
