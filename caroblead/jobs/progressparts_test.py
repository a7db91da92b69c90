"""Division of progress into records: none is too large, and every state of the log is whole."""

import random
import zlib

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from .data import CrashRecord, JobState, Progress, RunRecord, StepProgress
from .ledger import Ledger, apply_record
from .progressparts import (
    FIRST_PLACE,
    MAX_PLAIN_BYTES,
    ProgressPart,
    TaskPlace,
    decode_parts,
    encode_parts,
    make_part_key,
    parse_part_name,
)
from .progressrecord import read_state
from .record import KeyedRecord, decompress_json

MAX_BYTES = 2048
TASKS = 24


def make_text(length, seed):
    """Returns a text that doesn't compress well."""
    return "".join(random.Random(seed).choices("0123456789abcdefghijklmnopqrstuvwxyz", k=length))


def make_step(seed, count=TASKS, length=300):
    rng = random.Random(seed)
    item = StepProgress(last_run=rng.randint(count, 9 * count))
    for index in range(count):
        kind = rng.randrange(5)
        if kind == 0:
            item.done.add(index)
        elif kind == 1:
            item.failures[index] = rng.randint(1, 3)
        elif kind == 2:
            number = rng.randint(1, item.last_run)
            item.runs.append(RunRecord(index, number, f"vm-{index}", 7))
        if kind > 2:
            item.checkpoints[index] = make_text(length, f"{seed}/{index}")
        if kind == 4:
            item.crashes[index] = CrashRecord(1, 1, 0, 1)
    return item


def describe_tasks(progress):
    """Returns what is known of each task, by its place."""
    tasks = {}
    for place, item in progress.steps.items():
        for index in range(TASKS):
            runs = [(run.number, run.vm) for run in item.runs if run.task == index]
            tasks[*place, index] = (
                index in item.done,
                item.failures.get(index, 0),
                sorted(runs),
                item.checkpoints.get(index, ""),
                item.crashes.get(index),
            )
    return tasks


class Log:
    """The records of one job as a reader knows them."""

    def __init__(self):
        self.first = b""
        self.ledger = Ledger()

    def store(self, records):
        for record in records:
            assert record.size <= MAX_BYTES
            if record.key == "p/a":
                self.first = record.value
            else:
                apply_record(self.ledger, record)

    def read(self):
        return decode_parts(self.first, self.ledger.parts.get("a", {}))


SEEDS = st.integers(0, 99)


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.lists(st.tuples(SEEDS, SEEDS), min_size=1, max_size=4), st.integers(0, 100))
def test_reader_between_two_appends_sees_each_task_as_it_was_or_as_it_is(states, percent):
    log, parts, before = Log(), [ProgressPart()], Progress()
    for first_seed, second_seed in states:
        steps = {(0, 0): make_step(first_seed), (0, 1): make_step(second_seed)}
        after = Progress(JobState.RUNNING, steps)
        records = encode_parts("a", after, parts, MAX_BYTES, 1.0)
        cut = len(records) * percent // 100
        log.store(records[:cut])
        old, new = describe_tasks(before), describe_tasks(after)
        between, _ = log.read()
        for place, task in describe_tasks(between).items():
            assert task in (old.get(place), new[place]) or task == (False, 0, [], "", None)
        log.store(records[cut:])
        found, found_parts = log.read()
        assert describe_tasks(found) == new
        assert [part.start for part in found_parts] == [part.start for part in parts]
        last_runs = {place: item.last_run for place, item in steps.items()}
        for place, item in found.steps.items():
            highest = max((run.number for run in steps[place].runs), default=0)
            assert highest <= item.last_run <= max(last_runs[place], item.last_run)
        before = after


def test_new_leader_goes_on_with_the_parts_that_it_finds():
    log, parts = Log(), [ProgressPart()]
    steps = {(0, number): make_step(number) for number in range(3)}
    log.store(encode_parts("a", Progress(JobState.RUNNING, steps), parts, MAX_BYTES, 1.0))
    found, found_parts = log.read()
    assert encode_parts("a", found, found_parts, MAX_BYTES, 2.0) == []
    found.steps[0, 2].done |= set(range(TASKS))
    log.store(encode_parts("a", found, found_parts, MAX_BYTES, 2.0))
    again, _ = log.read()
    assert describe_tasks(again) == describe_tasks(found)
    assert again.steps[0, 1].last_run >= max(run.number for run in steps[0, 1].runs)


def test_only_the_parts_that_changed_are_written_again():
    parts = [ProgressPart()]
    steps = {(0, 0): make_step(1, length=600), (0, 1): make_step(2, length=600)}
    progress = Progress(JobState.RUNNING, steps)
    assert len(encode_parts("a", progress, parts, MAX_BYTES, 1.0)) > 4
    assert encode_parts("a", progress, parts, MAX_BYTES, 1.0) == []
    item = progress.steps[0, 1]
    item.last_run += 1
    item.runs.append(RunRecord(TASKS - 1, item.last_run, "vm-1", 7))
    records = encode_parts("a", progress, parts, MAX_BYTES, 1.0)
    assert [record.key for record in records] == [make_part_key("a", parts[-1].start)]
    progress.state = JobState.QUEUED
    records = encode_parts("a", progress, parts, MAX_BYTES, 1.0)
    assert [(record.key, record.value[:1]) for record in records] == [("p/a", b"q")]


def test_end_of_a_job_drops_every_part_of_its_progress():
    log, parts = Log(), [ProgressPart()]
    progress = Progress(JobState.RUNNING, {(0, 0): make_step(1)})
    log.store(encode_parts("a", progress, parts, MAX_BYTES, 1.0))
    assert log.ledger.parts
    progress.state = JobState.DONE
    log.store(encode_parts("a", progress, parts, MAX_BYTES, 5.0))
    assert log.ledger.parts == {}
    assert (read_state(log.first), parts) == (JobState.DONE, [ProgressPart()])


def test_largest_job_with_long_checkpoints_fits_into_the_records():
    count, max_bytes = 50_000, 262_144
    item = StepProgress(last_run=count)
    item.runs = [
        RunRecord(index, index + 1, f"i-{index:08x}", 1_700_000_000_000) for index in range(count)
    ]
    item.checkpoints = {index: make_text(50, index) * 8 for index in range(count)}
    parts = [ProgressPart()]
    records = encode_parts("a", Progress(JobState.RUNNING, {(0, 0): item}), parts, max_bytes, 1.0)
    assert max(record.size for record in records) <= max_bytes
    others = {
        parse_part_name(record.name)[1]: record.value for record in records if record.kind == "q"
    }
    found, _ = decode_parts(records[-1].value, others)
    assert found.steps[0, 0].checkpoints == item.checkpoints
    assert sorted(found.steps[0, 0].runs, key=lambda run: run.task) == item.runs


def test_checkpoints_that_compress_well_are_not_too_large_to_be_decoded():
    item = StepProgress(1, checkpoints=dict.fromkeys(range(10_000), "x" * 4000))
    progress = Progress(JobState.RUNNING, {(0, 0): item})
    for record in encode_parts("a", progress, [ProgressPart()], 262_144, 1.0):
        assert len(zlib.decompress(record.value[1:])) <= MAX_PLAIN_BYTES
        assert decompress_json(record.value[1:])


def test_checkpoint_that_fits_into_no_record_is_left_out_alone():
    item = StepProgress(2, {0}, {1: 2}, checkpoints={1: make_text(9000, 1), 2: make_text(90, 2)})
    records = encode_parts(
        "a", Progress(JobState.RUNNING, {(0, 0): item}), [ProgressPart()], MAX_BYTES, 1.0
    )
    log = Log()
    log.store(records)
    found, _ = log.read()
    assert found.steps[0, 0].checkpoints == {2: item.checkpoints[2]}
    assert (found.steps[0, 0].done, found.steps[0, 0].failures) == ({0}, {1: 2})


def decode_as_before_there_were_parts(value):
    for row in orjson.loads(zlib.decompress(value[1:])):
        occurrence, step, *fields = row
        last_run, done, failures, runs, checkpoints = fields[:5]


def test_build_that_knows_no_parts_can_not_take_the_first_one_for_the_whole():
    progress = Progress(JobState.RUNNING, {(0, 0): make_step(1)})
    records = encode_parts("a", progress, [ProgressPart()], MAX_BYTES, 1.0)
    first = next(record for record in records if record.key == "p/a")
    assert len(records) > 1
    with pytest.raises(ValueError):
        decode_as_before_there_were_parts(first.value)


def test_key_of_a_part_tells_its_job_and_its_first_task():
    place = TaskPlace(2, 1, 40)
    record = KeyedRecord(make_part_key("a1", place), b"r")
    assert (record.key, parse_part_name(record.name)) == ("q/a1/2.1.40", ("a1", place))
    assert make_part_key("a1", FIRST_PLACE) == "p/a1"
    with pytest.raises(ValueError):
        parse_part_name("a1/2.1")


def list_done(progress, occurrences):
    """Returns the occurrences of a job of one task each that are done by its progress."""
    later = {place[0] for place, item in progress.steps.items() if item.done}
    return {number for number in range(occurrences) if number < progress.done_before} | later


# A reader that misses that an occurrence is done, whichever records it has read, runs it again.
@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.integers(0, 9999), st.integers(0, 100))
def test_reader_between_two_appends_knows_all_that_is_done_of_a_job_with_occurrences(seed, percent):
    rng, occurrences = random.Random(seed), 60
    log, parts, done, before = Log(), [ProgressPart()], set(), set()
    while len(done) < occurrences:
        for _ in range(rng.randint(1, 8)):
            left = sorted(set(range(occurrences)) - done) or [0]
            done |= set(left[: rng.randint(1, 2)] if rng.random() < 0.7 else rng.sample(left, 1))
        done_before = min(set(range(occurrences + 1)) - done)
        steps = {(n, 0): StepProgress(1, {0}) for n in sorted(done) if n >= done_before}
        for number in range(done_before, min(occurrences, done_before + 12)):
            text = make_text(200, f"{seed}/{number}/{len(done)}")
            steps.setdefault((number, 0), StepProgress(1, checkpoints={0: text}))
        after = Progress(JobState.RUNNING, dict(sorted(steps.items())), done_before)
        records = encode_parts("a", after, parts, MAX_BYTES, 1.0)
        cut = len(records) * percent // 100
        log.store(records[:cut])
        assert before <= list_done(log.read()[0], occurrences) <= done
        log.store(records[cut:])
        found, found_parts = log.read()
        assert list_done(found, occurrences) == done and found.done_before == done_before
        assert [part.start for part in found_parts] == [part.start for part in parts]
        before = set(done)
    assert len(parts) < 3


def test_build_that_knows_no_occurrences_without_rows_can_not_read_the_first_part():
    progress = Progress(JobState.RUNNING, {(7, 0): StepProgress(1)}, 7)
    (record,) = encode_parts("a", progress, [ProgressPart()], MAX_BYTES, 1.0)
    rows = decompress_json(record.value[1:])
    assert rows[0] == ["done_before", 7] and len(rows[0]) < 7
