"""Guards against jobs of callers that end in an internal error or stop the leader."""

import json

import pytest

from ..jobs.data import MAX_TASKS_PER_JOB, Job, JobQueue, StepSpec
from ..jobs.record import decode_job, encode_job
from .jobs import decode_spec

STEP = {"count": 2, "cpu": 500, "memMb": 256}
NUMBERS = ("@", "1", True, -1, 1e308, 10**30)
TEXTS = ("@", 5, True, ["a"], {"a": 1}, "x" * 5000)
SWITCHES = ("@", "false", 2, -1, [1])
DEEP = "[" * 1000 + "]" * 1000


def encode(**fields) -> bytes:
    """Returns a job; ``"@"`` in a field stands for a list that is 1,000 levels deep."""
    return json.dumps({"spec": "x", "steps": [STEP], **fields}).replace('"@"', DEEP).encode()


def list_odd_fields():
    for name in ("cpu", "memMb", "gpu", "estimatedMs", "antiAffinity", "targetMs", "missTolerance"):
        yield from ((f"steps.0.{name}", value) for value in NUMBERS)
    for name in ("requirements", "affinity", "image"):
        yield from ((f"steps.0.{name}", value) for value in TEXTS)
    for name in (
        "gang",
        "sameRack",
        "checkpointing",
        "allowConcurrent",
        "longRunning",
        "fillCount",
    ):
        yield from ((f"steps.0.{name}", value) for value in SWITCHES)
    for name in ("repetitions", "startAtMs", "intervalMs"):
        yield from ((name, value) for value in NUMBERS)
    yield from (("steps.0.count", value) for value in (*NUMBERS, 0, 1.5, None))
    yield from (("steps.0.after", value) for value in ("@", "0", [0], [1e308], {"a": 1}))
    yield from (("spec", value) for value in TEXTS)


@pytest.mark.parametrize(("path", "value"), list(list_odd_fields()))
def test_odd_field_of_a_job_is_named_as_invalid(path, value):
    *parents, name = path.split(".")
    fields = {"steps": [{**STEP, name: value}]} if parents else {name: value}
    with pytest.raises(ValueError) as caught:
        decode_spec(encode(**fields))
    assert str(caught.value).startswith(path)
    assert len(str(caught.value)) < 300


@pytest.mark.parametrize(
    "fields",
    [
        {"repetitions": 10**9},
        {"steps": [{"count": 10_000}] * 6},
        {"steps": [{"count": 1000}], "repetitions": MAX_TASKS_PER_JOB // 1000 + 1},
    ],
)
def test_job_with_more_tasks_than_a_leader_can_keep_is_named_as_invalid(fields):
    with pytest.raises(ValueError, match="tasks"):
        decode_spec(encode(**fields))


def test_job_at_the_bounds_can_be_stored():
    largest = 2**53 - 1
    step = {**STEP, "cpu": largest, "estimatedMs": largest, "gang": 1, "fillCount": True}
    spec = decode_spec(encode(steps=[step], repetitions=2, startAtMs=largest))
    queue = JobQueue("q", "x.example", "/q/", "planner")
    job = Job("a", "team", queue, spec, 1.0)
    found = decode_job("a", encode_job(job)).spec
    assert found == spec
    assert found.steps[0] == StepSpec(2, spec.steps[0].need, largest / 1000, gang=True, fills=True)


# The numbers of the steps before were refused if they were written with a decimal point.
def test_job_with_decimal_points_means_what_the_same_one_with_whole_numbers_does():
    texts = [
        '{"steps": [{"count": 2, "cpu": 500, "memMb": 256, "estimatedMs": 900},'
        ' {"count": 1, "cpu": 10, "after": [0]}], "repetitions": 2, "intervalMs": 100}',
        '{"steps": [{"count": 2.0, "cpu": 500.0, "memMb": 2.56e2, "estimatedMs": 900.0},'
        ' {"count": 1.0, "cpu": 1e1, "after": [0.0]}], "repetitions": 2.0, "intervalMs": 1e2}',
    ]
    whole, points = [decode_spec(text.encode()) for text in texts]
    assert points == whole
    step = points.steps[1]
    assert all(type(amount) is int for amount in (step.count, *step.need, *step.after))
