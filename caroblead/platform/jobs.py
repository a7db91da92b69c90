"""Decodes the jobs that callers hand in and encodes the states that they are told."""

import orjson

from ..core.resource import Resources
from ..jobs.data import JobSpec, JobState, StepSpec

MAX_PAYLOAD_BYTES = 4000
MAX_STEPS = 64
MAX_TASKS_PER_STEP = 10_000
STATE_WORDS = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "in_progress",
    JobState.DONE: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


def decode_spec(body: bytes) -> JobSpec:
    """Reads a job; raises ``ValueError`` with the field that is wrong."""
    raw = orjson.loads(body)
    if not isinstance(raw, dict):
        raise ValueError("the job is not an object")
    payload = raw.get("spec", "")
    if not isinstance(payload, str) or len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"spec: must be a string of at most {MAX_PAYLOAD_BYTES} bytes")
    steps = raw.get("steps")
    if not isinstance(steps, list) or not 0 < len(steps) <= MAX_STEPS:
        raise ValueError(f"steps: must be a list of 1 to {MAX_STEPS}")
    return JobSpec(
        payload,
        tuple(_decode_step(number, step) for number, step in enumerate(steps)),
        _read_int(raw, "repetitions", "repetitions"),
        _read_int(raw, "startAtMs", "startAtMs") / 1000,
        _read_int(raw, "intervalMs", "intervalMs") / 1000,
    )


def _decode_step(number: int, raw: dict) -> StepSpec:
    where = f"steps.{number}"
    if not isinstance(raw, dict):
        raise ValueError(f"{where}: must be an object")
    count = _read_int(raw, "count", f"{where}.count")
    if not 0 < count <= MAX_TASKS_PER_STEP:
        raise ValueError(f"{where}.count: must be 1 to {MAX_TASKS_PER_STEP}")
    after = tuple(raw.get("after") or ())
    if any(not isinstance(other, int) or not 0 <= other < number for other in after):
        raise ValueError(f"{where}.after: must name earlier steps")
    return StepSpec(
        count=count,
        need=Resources(
            _read_int(raw, "cpu", f"{where}.cpu"),
            _read_int(raw, "memMb", f"{where}.memMb"),
            _read_int(raw, "gpu", f"{where}.gpu"),
        ),
        estimate_s=_read_int(raw, "estimatedMs", f"{where}.estimatedMs") / 1000,
        after=after,
        gang=bool(raw.get("gang", False)),
        same_rack=bool(raw.get("sameRack", False)),
        label=str(raw.get("requirements") or ""),
        near_rack=str(raw.get("affinity") or ""),
        max_per_vm=_read_int(raw, "antiAffinity", f"{where}.antiAffinity"),
        checkpoints=bool(raw.get("checkpointing", False)),
        copies_allowed=bool(raw.get("allowConcurrent", False)),
        endless=bool(raw.get("longRunning", False)),
        # The platform's name suggests a number, but it tells that the processor isn't counted.
        fills=bool(raw.get("fillCount", False)),
        image=str(raw.get("image") or ""),
        target_ms=_read_int(raw, "targetMs", f"{where}.targetMs"),
        miss_tolerance=_read_int(raw, "missTolerance", f"{where}.missTolerance"),
    )


def _read_int(raw: dict, name: str, where: str) -> int:
    value = raw.get(name, 0) or 0
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError(f"{where}: must be a number of at least 0")
    return int(value)


def encode_state(state: JobState) -> bytes:
    """Writes a state as the answer to a caller."""
    return orjson.dumps({"state": STATE_WORDS[state]})
