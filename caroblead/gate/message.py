"""The JSON of callers: what they may send and what they get back."""

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
UNAVAILABLE = 503
UNKNOWN_STATUS = 504


class CallerPart(BaseModel):
    """What callers' documents have in common: unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class RequestBody(CallerPart):
    """A request; ``deadline_s`` is the time in which it must have started."""

    payload: Any = None
    deadline_s: float | None = Field(default=None, gt=0, le=3600)
    repeatable: bool | None = None


class JobBody(CallerPart):
    """A job: its tasks, what each needs and how long it is expected to run."""

    tasks: int = Field(default=1, ge=1, le=10_000)
    cores: float = Field(default=1.0, ge=0, le=10_000)
    memory_mb: int = Field(default=256, ge=0, le=100_000_000)
    accelerators: int = Field(default=0, ge=0, le=1000)
    run_time_s: float = Field(default=60.0, ge=0, le=31_536_000)
    deadline_s: float | None = Field(default=None, gt=0, le=31_536_000)
    repeatable: bool = True
    name: str = Field(default="", pattern=r"^[A-Za-z0-9._-]{0,64}$")


def parse_body(model: type[CallerPart], text: bytes) -> Checked:
    """Reads a caller's document and returns it with every error of form."""
    try:
        raw = json.loads(text or b"{}")
        return Checked(model.model_validate(raw))
    except ValidationError as error:
        return Checked(None, list_faults(error, "caller", Step.READ_INPUT))
    except (ValueError, RecursionError) as error:
        fault = Fault(Reason.BAD_INPUT, Step.READ_INPUT, "caller", f"not JSON: {error}")
        return Checked(None, [fault])


def digest_bytes(body: bytes) -> str:
    """Returns a short digest of bytes, by which the time line names them."""
    return hashlib.sha256(body).hexdigest()[:16]


def describe_fault(fault: Fault) -> dict:
    """Returns a fault as it is shown to callers."""
    shown = {
        "reason": str(fault.reason),
        "step": str(fault.step),
        "peer": fault.peer,
        "detail": fault.detail,
    }
    if fault.field:
        shown["field"] = fault.field
    return shown


def name_outcome(outcome: Outcome) -> str:
    """Returns the word for an outcome: answered, not_run or unknown."""
    return {Answered: "answered", NotRun: "not_run", Unknown: "unknown"}[type(outcome)]


def describe_outcome(request: str, outcome: Outcome) -> tuple[int, dict, float]:
    """Returns the HTTP status, the document and the seconds after which to try again."""
    shown: dict[str, Any] = {"outcome": name_outcome(outcome), "request": request}
    if isinstance(outcome, Answered):
        shown["status"] = outcome.status
        shown["digest"] = digest_bytes(outcome.body)
        try:
            shown["answer"] = json.loads(outcome.body)
        except ValueError:
            shown["answer_base64"] = base64.b64encode(outcome.body).decode()
        return 200, shown, 0.0
    shown["error"] = describe_fault(outcome.fault)
    if isinstance(outcome, Unknown):
        return UNKNOWN_STATUS, shown, 0.0
    status = HTTP_STATUS.get(outcome.fault.reason, UNAVAILABLE)
    return status, shown, outcome.fault.retry_after_s


def make_retry(seconds: float) -> dict[str, str]:
    """Returns the header that tells a caller when to try again."""
    return {"Retry-After": str(max(1, math.ceil(seconds)))} if seconds > 0 else {}
