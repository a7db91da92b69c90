"""Encoding of the progress of jobs, which the leader records before it acts on its decisions."""

import orjson

from .data import (
    FINAL_STATES,
    CrashRecord,
    JobState,
    Progress,
    RunRecord,
    StepPlace,
    StepProgress,
    Steps,
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
# In a progress record that holds only the first part of the tasks, a row with this name and the
# state precedes the others. A build that doesn't know of parts can't decode it, and leaves the job
# alone instead of starting the tasks of the other parts again.
DIVIDED = "divided"
# A row with this name and a number tells that all occurrences before are done. They have no rows. A
# build that doesn't know of it leaves the job alone, too.
DONE_BEFORE = "done_before"


def encode_state(state: JobState) -> bytes:
    """Encodes the state with which a progress record begins."""
    return _STATE_LETTERS[state]


def encode_final_state(state: JobState, at_s: float) -> bytes:
    """Encodes the progress of a job that has ended: only the state and the wall-clock time."""
    return encode_state(state) + orjson.dumps(at_s)


def encode_progress(progress: Progress, at_s: float) -> bytes:
    """Encodes the progress of a job; for a final state, only the state and the time are kept."""
    if progress.state in FINAL_STATES:
        return encode_final_state(progress.state, at_s)
    rows = [encode_row(*item) for item in progress.steps.items()]
    return encode_state(progress.state) + compress_json(list_marks(progress) + rows)


def list_marks(progress: Progress) -> list[list]:
    """Returns the rows that precede those of the steps in the first part of a job's progress."""
    return [[DONE_BEFORE, progress.done_before]] if progress.done_before else []


def encode_row(place: StepPlace, step_progress: StepProgress) -> list:
    """Returns the progress of a step in the form in which a progress record holds it."""
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
    rows = decompress_json(value[1:])
    progress.steps = _decode_rows(rows)
    progress.done_before = next((row[1] for row in rows if row[0] == DONE_BEFORE), 0)
    return progress


def decode_steps(value: bytes) -> Steps:
    """Decodes the progress of the steps in a progress record of a job that hasn't ended."""
    return _decode_rows(decompress_json(value[1:]))


def _decode_rows(rows: list[list]) -> Steps:
    marks = (DIVIDED, DONE_BEFORE)
    return {(row[0], row[1]): _decode_row(*row[2:]) for row in rows if row[0] not in marks}


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
