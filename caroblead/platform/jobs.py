"""Decodes the jobs that callers submit and encodes the job states that they query."""

import orjson

from ..core.resource import Resources
from ..jobs.data import MAX_TASKS_PER_JOB, JobSpec, JobState, StepSpec
from .fields import check_object, read_flag, read_list, read_number, read_text, read_whole

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
    raw = check_object(orjson.loads(body), "job")
    payload = read_text(raw, "spec", "")
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"spec: must be a string of at most {MAX_PAYLOAD_BYTES} bytes")
    steps = read_list(raw, "steps")
    if not 0 < len(steps) <= MAX_STEPS:
        raise ValueError(f"steps: must be a list with a length of 1 to {MAX_STEPS}")
    spec = JobSpec(
        payload,
        tuple(_decode_step(step_index, step) for step_index, step in enumerate(steps)),
        _read_int(raw, "repetitions"),
        _read_int(raw, "startAtMs") / 1000,
        _read_int(raw, "intervalMs") / 1000,
    )
    if spec.count_tasks() > MAX_TASKS_PER_JOB:
        raise ValueError(f"steps: all repetitions must have at most {MAX_TASKS_PER_JOB} tasks")
    return spec


def _decode_step(step_index: int, value: object) -> StepSpec:
    field_path = f"steps.{step_index}"
    raw = check_object(value, field_path)
    try:
        return _decode_step_fields(step_index, raw)
    except ValueError as error:
        raise ValueError(f"{field_path}.{error}") from None


def _decode_step_fields(step_index: int, raw: dict) -> StepSpec:
    after = read_list(raw, "after", [])
    if not all(_is_earlier(item, step_index) for item in after):
        raise ValueError("after: must be a list of the numbers of earlier steps")
    after = [int(item) for item in after]
    return StepSpec(
        count=read_whole(raw, "count", low=1, high=MAX_TASKS_PER_STEP),
        need=Resources(*(_read_int(raw, name) for name in ("cpu", "memMb", "gpu"))),
        estimate_s=_read_int(raw, "estimatedMs") / 1000,
        after=tuple(after),
        gang=_read_switch(raw, "gang"),
        same_rack=_read_switch(raw, "sameRack"),
        label=read_text(raw, "requirements", ""),
        near_rack=read_text(raw, "affinity", ""),
        max_per_vm=_read_int(raw, "antiAffinity"),
        checkpoints=_read_switch(raw, "checkpointing"),
        copies_allowed=_read_switch(raw, "allowConcurrent"),
        endless=_read_switch(raw, "longRunning"),
        # Despite its name, ``fillCount`` is a boolean: the processor need of such tasks is not
        # counted.
        fills=_read_switch(raw, "fillCount"),
        image=read_text(raw, "image", ""),
        target_ms=_read_int(raw, "targetMs"),
        miss_tolerance=_read_int(raw, "missTolerance"),
    )


def _is_earlier(item: object, step_index: int) -> bool:
    """Returns whether a value is the number of a step before the one with this index."""
    is_number = isinstance(item, int | float) and not isinstance(item, bool)
    return is_number and item in range(step_index)


def _read_int(raw: dict, name: str) -> int:
    """Reads an amount, of which callers may send fractions; an absent one is 0."""
    return int(read_number(raw, name, 0))


def _read_switch(raw: dict, name: str) -> bool:
    """Reads a flag, which callers may also send as 0 or 1; an absent one is false."""
    value = raw.get(name)
    return bool(value) if value in (0, 1) else read_flag(raw, name)


def encode_state(state: JobState) -> bytes:
    """Encodes a job state as the body of the response to a caller."""
    return orjson.dumps({"state": STATE_NAMES[state]})
