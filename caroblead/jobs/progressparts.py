"""Divides the progress of a job into records that the log accepts.

The log limits the size of a record, while a job may have any number of tasks with checkpoints. So
the progress of a job is kept in parts, each with a range of its tasks in the order of occurrence,
step and index. Most jobs have a single part, their progress record. A part that grows too large is
divided, and each later part is a record of its own, whose key names the first task. For example,
``q/5c0e7a21d94b36f8/0.1.40`` begins with task 40 of step 1.

A part ends where the next one begins. When a part is divided, its second half is appended first,
under a new key, and then the first half. A reader ignores what a part says of the tasks of the next
part, so the state of every task is complete in the log at any time, whether or not both halves are
stored by one append. Only the parts that have changed are written again.
"""

import math
from bisect import bisect_left, bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import NamedTuple

import orjson

from ..core.logsink import log
from .data import FINAL_STATES, JobState, Progress, StepPlace, StepProgress, Steps
from .progressrecord import (
    DIVIDED,
    decode_progress,
    decode_steps,
    encode_final_state,
    encode_row,
    encode_state,
    list_marks,
)
from .record import KeyedRecord, RecordKind, compress, make_key

# A small part is cheap to write again at each change.
MAX_PART_BYTES = 65_536
# The rows of a part before they are compressed; identical checkpoints compress to next to nothing.
MAX_PLAIN_BYTES = 4 * 1024 * 1024
# A part that is divided leaves its pieces some room to grow.
FILL_FRACTION = 0.7


class TaskPlace(NamedTuple):
    """The place of a task in its job, by which tasks are ordered."""

    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.occurrence}.{self.step}.{self.index}"


FIRST_PLACE = TaskPlace(0, 0, 0)


@dataclass(slots=True)
class ProgressPart:
    """A part of the progress of a job, from the task at ``start`` to the next part.

    ``last_runs`` holds the highest run number that is recorded in the part, by step, and
    ``written`` the rows that were last written; ``None`` stands for unknown ones.
    """

    start: TaskPlace = FIRST_PLACE
    last_runs: dict[StepPlace, int] = field(default_factory=dict)
    written: list | None = None


def make_part_key(job_id: str, start: TaskPlace) -> str:
    """Returns the key of the record of a part."""
    if start == FIRST_PLACE:
        return make_key(RecordKind.PROGRESS, job_id)
    return make_key(RecordKind.PART, f"{job_id}/{start}")


def parse_part_name(name: str) -> tuple[str, TaskPlace]:
    """Returns the job and the first task of a part other than the first, from its record's name."""
    job_id, _, start = name.rpartition("/")
    occurrence, step, index = map(int, start.split("."))
    return job_id, TaskPlace(occurrence, step, index)


def make_part_tombstones(job_id: str, starts: list[TaskPlace]) -> list[KeyedRecord]:
    """Returns the records that drop all parts of a job but the first."""
    return [
        KeyedRecord(make_part_key(job_id, start), b"") for start in starts if start != FIRST_PLACE
    ]


# Encoding.


def encode_parts(
    job_id: str, progress: Progress, parts: list[ProgressPart], max_bytes: int, now_s: float
) -> list[KeyedRecord]:
    """Returns the records to append for the progress of a job, in this order.

    No record is larger than ``max_bytes``. ``parts`` is updated: it holds the parts of the job as
    they are once the records are stored. For a final state, only the state and the time are kept,
    and the records of all other parts are dropped. So are parts of which all occurrences are before
    ``progress.done_before``, after the first part has recorded that.
    """
    if progress.state in FINAL_STATES:
        final = KeyedRecord(
            make_part_key(job_id, FIRST_PLACE), encode_final_state(progress.state, now_s)
        )
        tombstones = make_part_tombstones(job_id, [part.start for part in parts])
        parts[:] = [ProgressPart()]
        return [final, *tombstones]
    is_divided = len(parts) > 1
    past = _take_past_parts(parts, progress.done_before)
    encoder = _PartEncoder(job_id, progress, min(max_bytes, MAX_PART_BYTES), is_divided)
    slices = _slice_steps(progress.steps, parts)
    found = [encoder.encode(part, steps) for part, steps in zip(parts, slices, strict=True)]
    parts[:] = [part for group in found for part in group]
    return encoder.records + make_part_tombstones(job_id, past)


def _take_past_parts(parts: list[ProgressPart], done_before: int) -> list[TaskPlace]:
    """Removes the parts, but for the first, that end before an occurrence; returns their starts."""
    ends = [part.start for part in parts[1:]]
    past = [
        part.start
        for part, end in zip(parts[1:], ends[1:], strict=False)
        if end <= TaskPlace(done_before, 0, 0)
    ]
    parts[:] = [part for part in parts if part.start not in past]
    return past


class _PartEncoder:
    """Encodes the parts of a job and divides those that are too large.

    ``records`` are those to append so far.
    """

    def __init__(self, job_id: str, progress: Progress, max_bytes: int, is_divided: bool):
        self.job_id = job_id
        self.state = progress.state
        self.marks = list_marks(progress)
        self.max_bytes = max_bytes
        self.is_divided = is_divided
        self.records: list[KeyedRecord] = []

    def encode(self, part: ProgressPart, steps: Steps) -> list[ProgressPart]:
        """Encodes a part, and returns the parts into which it was divided, or itself alone."""
        rows = self._make_rows(part, steps)
        if self.is_divided and rows == part.written:
            return [part]
        text = orjson.dumps(rows)
        record = self._make_record(part, text) if len(text) <= MAX_PLAIN_BYTES else None
        if record is None or record.size > self.max_bytes:
            pieces = math.ceil(len(text) / MAX_PLAIN_BYTES)
            if record is not None:
                pieces = math.ceil(record.size / (FILL_FRACTION * self.max_bytes))
            starts = _find_starts(steps, max(2, pieces))
            if starts:
                return self._divide(part, steps, starts)
            record = self._encode_without_checkpoints(part, steps)
        self.records.append(record)
        part.written = rows if self.is_divided else None
        part.last_runs = {place: item.last_run for place, item in steps.items()}
        return [part]

    def _divide(
        self, part: ProgressPart, steps: Steps, starts: list[TaskPlace]
    ) -> list[ProgressPart]:
        """Divides a part into pieces, each but the first beginning at one of ``starts``."""
        self.is_divided = True
        log("job:progress_divided", job=self.job_id, at=list(map(str, starts)))
        last_runs = {place: item.last_run for place, item in steps.items()}
        pieces = [ProgressPart(start, dict(last_runs)) for start in (part.start, *starts)]
        found: list[ProgressPart] = []
        # A later piece takes effect before the earlier one ends where it begins.
        for piece, piece_steps in reversed(
            list(zip(pieces, _slice_steps(steps, pieces), strict=True))
        ):
            found = [*self.encode(piece, piece_steps), *found]
        return found

    def _make_record(self, part: ProgressPart, text: bytes) -> KeyedRecord:
        value = encode_state(self.state) + compress(text)
        return KeyedRecord(make_part_key(self.job_id, part.start), value)

    def _encode_without_checkpoints(self, part: ProgressPart, steps: Steps) -> KeyedRecord:
        """Returns the record of a single task whose checkpoint doesn't fit into any record."""
        log("job:checkpoint_left_out", job=self.job_id, task=str(part.start))
        bare = {place: replace(item, checkpoints={}) for place, item in steps.items()}
        return self._make_record(part, orjson.dumps(self._make_rows(part, bare)))

    def _make_rows(self, part: ProgressPart, steps: Steps) -> list:
        return _make_rows(part, steps, self.state, self.is_divided, self.marks)


def _make_rows(
    part: ProgressPart, steps: Steps, state: JobState, is_divided: bool, marks: list[list]
) -> list:
    """Returns what the record of a part holds; ``marks`` and the state are in the first part."""
    rows = [encode_row(place, item) for place, item in steps.items()]
    if part.start != FIRST_PLACE:
        return rows
    return [*([[DIVIDED, str(state)]] if is_divided else []), *marks, *rows]


def _find_starts(steps: Steps, pieces: int) -> list[TaskPlace]:
    """Returns the tasks with which the pieces of a part begin, but for the first piece.

    There are none for a single task.
    """
    places = sorted(
        TaskPlace(*place, index) for place, item in steps.items() for index in _list_indexes(item)
    )
    cuts = {len(places) * number // pieces for number in range(1, pieces)}
    return [places[cut] for cut in sorted(cuts - {0})]


def _list_indexes(item: StepProgress) -> set[int]:
    """Returns the tasks of which something is recorded."""
    indexes = item.done | item.failures.keys() | item.checkpoints.keys() | item.crashes.keys()
    return indexes.union(run.task for run in item.runs)


def _slice_steps(steps: Steps, parts: Sequence[ProgressPart]) -> list[Steps]:
    """Returns the progress of the steps of a job as each of its parts holds it."""
    if len(parts) == 1:
        return [steps]
    starts = [part.start for part in parts]
    slices: list[Steps] = [{} for _ in parts]
    for place, item in steps.items():
        first = max(0, bisect_right(starts, (*place, 0)) - 1)
        after = bisect_left(starts, (place[0], place[1] + 1, 0))
        if after - first <= 1:
            slices[first][place] = item
            continue
        cuts = [start.index for start in starts[first + 1 : after]]
        for number, piece in enumerate(_cut_step(item, cuts), first):
            known_run = parts[number].last_runs.get(place, 0)
            piece.last_run = max([known_run, *(run.number for run in piece.runs)])
            if piece != StepProgress():
                slices[number][place] = piece
    return slices


def _cut_step(item: StepProgress, cuts: list[int]) -> list[StepProgress]:
    """Cuts the progress of a step into pieces; each but the first begins at one of the tasks."""
    pieces = [StepProgress() for _ in range(len(cuts) + 1)]
    # The failures of a gang are kept with its first task.
    pieces[0].last_failed_run = item.last_failed_run
    for index in item.done:
        pieces[bisect_right(cuts, index)].done.add(index)
    for index, count in item.failures.items():
        pieces[bisect_right(cuts, index)].failures[index] = count
    for run in item.runs:
        pieces[bisect_right(cuts, run.task)].runs.append(run)
    for index, checkpoint in item.checkpoints.items():
        pieces[bisect_right(cuts, index)].checkpoints[index] = checkpoint
    for index, record in item.crashes.items():
        pieces[bisect_right(cuts, index)].crashes[index] = record
    return pieces


# Decoding.


def decode_parts(
    first: bytes, others: Mapping[TaskPlace, bytes]
) -> tuple[Progress, list[ProgressPart]]:
    """Decodes the progress of a job and its parts, as written by :func:`encode_parts`.

    ``first`` is the value of the job's progress record, empty if there is none, and ``others``
    holds those of the other parts by their first task.
    """
    progress = decode_progress(first) if first else Progress()
    starts = [FIRST_PLACE, *sorted(others)]
    written = [progress.steps, *(decode_steps(others[start]) for start in starts[1:])]
    parts = [
        ProgressPart(start, {place: item.last_run for place, item in steps.items()})
        for start, steps in zip(starts, written, strict=True)
    ]
    if others:
        for part, steps in zip(parts, written, strict=True):
            part.written = _make_rows(part, steps, progress.state, True, list_marks(progress))
        progress.steps = {}
        for number, steps in enumerate(written):
            for place, piece in _slice_steps(steps, parts)[number].items():
                _merge(progress.steps.setdefault(place, StepProgress()), piece)
    for place in [place for place in progress.steps if place[0] < progress.done_before]:
        # A part that has not been written since.
        del progress.steps[place]
    return progress, parts


def _merge(item: StepProgress, piece: StepProgress):
    item.last_run = max(item.last_run, piece.last_run)
    item.last_failed_run = max(item.last_failed_run, piece.last_failed_run)
    item.done |= piece.done
    item.failures |= piece.failures
    item.runs += piece.runs
    item.checkpoints |= piece.checkpoints
    item.crashes |= piece.crashes
