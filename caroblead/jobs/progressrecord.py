"""Encoding of the progress of jobs, which the leader records before it acts on its decisions."""

import orjson

from .data import (
    FINAL_STATES,
    CrashRecord,
    JobState,
    Progress,
    RunRecord,
    StepProgress,
)
from .record import compress_json, decompress_json

# The first byte of a progress record is the state of the job, which nodes read without
# decompressing the record.
_STATE_LETTERS = {
    JobState.QUEUED: b"q",
    JobState.RUNNING: b"r",
    JobState.DONE: b"d",
    JobState.FAILED: b"f",
    JobState.CANCELLED: b"x",
}
_STATES = {letter: state for state, letter in _STATE_LETTERS.items()}
# The names of the extras of a step's row in a progress record.
_LAST_FAILED_RUN = "g"
_CRASHES = "c"


def encode_progress(progress: Progress, at_s: float) -> bytes:
    """Encodes the progress of a job; for a final state, only the state and the time are kept."""
    letter = _STATE_LETTERS[progress.state]
    if progress.state in FINAL_STATES:
        return letter + orjson.dumps(at_s)
    return letter + compress_json([_encode_row(*item) for item in progress.steps.items()])


def _encode_row(place: tuple[int, int], step_progress: StepProgress) -> list:
    row = [
        *place,
        step_progress.last_run,
        sorted(step_progress.done),
        list(step_progress.failures.items()),
        [[run.task, run.number, run.vm, run.incarnation] for run in step_progress.runs],
        list(step_progress.checkpoints.items()),
    ]
    extras = _encode_extras(step_progress)
    return [*row, extras] if extras else row


def _encode_extras(step_progress: StepProgress) -> dict:
    """Returns what most steps don't have, by short names; it ends a row unless it is empty."""
    extras = {}
    if step_progress.last_failed_run:
        extras[_LAST_FAILED_RUN] = step_progress.last_failed_run
    if step_progress.crashes:
        extras[_CRASHES] = [
            [index, record.total, record.blamed, record.alone, record.last_run]
            for index, record in step_progress.crashes.items()
        ]
    return extras


def read_state(value: bytes) -> JobState:
    """Returns the state of a job from the first byte of its progress record."""
    return _STATES[value[:1]]


def read_final_time(value: bytes) -> float:
    """Returns the wall-clock time at which a job ended, from its final progress record."""
    return float(orjson.loads(value[1:]))


def decode_progress(value: bytes) -> Progress:
    """Decodes progress encoded by :func:`encode_progress`."""
    progress = Progress(read_state(value))
    if progress.state in FINAL_STATES:
        return progress
    for row in decompress_json(value[1:]):
        occurrence, step, *fields = row
        progress.steps[occurrence, step] = _decode_row(*fields)
    return progress


def _decode_row(last_run, done, failures, runs, checkpoints, extras=None) -> StepProgress:
    extras = extras or {}
    return StepProgress(
        last_run,
        set(done),
        dict(map(tuple, failures)),
        [RunRecord(*run) for run in runs],
        dict(map(tuple, checkpoints)),
        extras.get(_LAST_FAILED_RUN, 0),
        {index: CrashRecord(*counts) for index, *counts in extras.get(_CRASHES, ())},
    )
