"""Decodes the jobs that callers submit and encodes the job states that they query."""

import math

import orjson

from ..core.resource import Resources
from ..jobs.data import JobSpec, JobState, StepSpec

MAX_PAYLOAD_BYTES = 4000
MAX_STEPS = 64
MAX_TASKS_PER_STEP = 10_000
STATE_NAMES = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "in_progress",
    JobState.DONE: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


def decode_spec(body: bytes) -> JobSpec:
    """Decodes a submitted job.

    Raises ``ValueError`` if the body is not a JSON object or a field is invalid; the message then
    names the field, for example ``steps.2.count``.
    """
    raw = orjson.loads(body)
    if not isinstance(raw, dict):
        raise ValueError("the job must be a JSON object")
    payload = raw.get("spec", "")
    if not isinstance(payload, str) or len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"spec: must be a string of at most {MAX_PAYLOAD_BYTES} bytes")
    steps = raw.get("steps")
    if not isinstance(steps, list) or not 0 < len(steps) <= MAX_STEPS:
        raise ValueError(f"steps: must be a list with a length of 1 to {MAX_STEPS}")
    return JobSpec(
        payload,
        tuple(_decode_step(step_index, step) for step_index, step in enumerate(steps)),
        _read_int(raw, "repetitions", "repetitions"),
        _read_int(raw, "startAtMs", "startAtMs") / 1000,
        _read_int(raw, "intervalMs", "intervalMs") / 1000,
    )


def _decode_step(step_index: int, raw: dict) -> StepSpec:
    field_path = f"steps.{step_index}"
    if not isinstance(raw, dict):
        raise ValueError(f"{field_path}: must be a JSON object")
    count = _read_int(raw, "count", f"{field_path}.count")
    if not 0 < count <= MAX_TASKS_PER_STEP:
        raise ValueError(f"{field_path}.count: must be a number from 1 to {MAX_TASKS_PER_STEP}")
    after = raw.get("after") or []
    if not isinstance(after, list) or not all(_is_earlier(item, step_index) for item in after):
        raise ValueError(f"{field_path}.after: must be a list of the numbers of earlier steps")
    return StepSpec(
        count=count,
        need=Resources(
            _read_int(raw, "cpu", f"{field_path}.cpu"),
            _read_int(raw, "memMb", f"{field_path}.memMb"),
            _read_int(raw, "gpu", f"{field_path}.gpu"),
        ),
        estimate_s=_read_int(raw, "estimatedMs", f"{field_path}.estimatedMs") / 1000,
        after=tuple(after),
        gang=bool(raw.get("gang", False)),
        same_rack=bool(raw.get("sameRack", False)),
        label=str(raw.get("requirements") or ""),
        near_rack=str(raw.get("affinity") or ""),
        max_per_vm=_read_int(raw, "antiAffinity", f"{field_path}.antiAffinity"),
        checkpoints=bool(raw.get("checkpointing", False)),
        copies_allowed=bool(raw.get("allowConcurrent", False)),
        endless=bool(raw.get("longRunning", False)),
        # Despite its name, ``fillCount`` is a boolean: the processor need of such tasks is not
        # counted.
        fills=bool(raw.get("fillCount", False)),
        image=str(raw.get("image") or ""),
        target_ms=_read_int(raw, "targetMs", f"{field_path}.targetMs"),
        miss_tolerance=_read_int(raw, "missTolerance", f"{field_path}.missTolerance"),
    )


def _is_earlier(item: object, step_index: int) -> bool:
    """Returns whether a value is the number of a step before the one with this index."""
    return isinstance(item, int) and not isinstance(item, bool) and 0 <= item < step_index


def _read_int(raw: dict, name: str, field_path: str) -> int:
    value = raw.get(name, 0) or 0
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value < math.inf:
        raise ValueError(f"{field_path}: must be a non-negative number")
    return int(value)


def encode_state(state: JobState) -> bytes:
    """Encodes a job state as the body of the response to a caller."""
    return orjson.dumps({"state": STATE_NAMES[state]})
