"""Measures the cost of the leader's decisions: ``python -m caroblead.bench.dispatch``.

Scheduling ticks are timed over a fleet as large as the sites are expected to grow to, with a
backlog of waiting steps. Each case runs twice in the same run: with the usual limits on searches
for capacity and without them. Then the size of compressed progress records is printed. Times are
CPU times on this machine, so only the ratios can be compared between machines.
"""

import functools
import random
import time
import zlib
from unittest import mock

import cyclopts

from ..core.resource import Resources
from ..dispatch import makeroom, planning
from ..dispatch.fleet import Fleet, Run, RunPhase, book_run, put_vm
from ..dispatch.interface import Configuration, ListedVm, LogLimits, TaskName
from ..dispatch.lease import observe_first_answer
from ..dispatch.work import StepWork, open_due_occurrences, open_job
from ..jobs.data import (
    AdviceTimes,
    Job,
    JobQueue,
    JobSpec,
    JobState,
    Progress,
    RunRecord,
    StepProgress,
    StepSpec,
)
from ..jobs.progressparts import ProgressPart, encode_parts
from ..jobs.progressrecord import encode_progress

VMS = 176
VMS_PER_RACK = 20
CAPACITY = Resources(64_000, 262_144)
NOW_S = 100.0
WALL_CLOCK_S = 1000.0
TICKS = 20
TICK_INTERVAL_S = 0.02
CASES = ((30, 0.5), (300, 0.97), (600, 0.97))
STEP_WIDTHS = (2, 25, 100)
# The tasks of a step and the length of their checkpoints in characters.
PART_CASES = ((60, 16), (60, 2400), (2000, 16), (2000, 2400), (10_000, 16))
QUEUES = (
    JobQueue("urgent", "h", "/u/", "s", 0, stretch=1.5, advice=AdviceTimes(0.009, 0.0001, 2.5)),
    JobQueue("wide", "h", "/w/", "s", 1, stretch=2.2, advice=AdviceTimes(0.54, 0.008, 2.5)),
    JobQueue("batch", "h", "/b/", "s", 2, stretch=4.0, advice=AdviceTimes(0.08, 0.001, 2.5)),
)

app = cyclopts.App(help="Measures the cost of the leader's decisions.")


def make_fleet(fill_fraction: float, generator: random.Random) -> Fleet:
    """Returns a fleet whose runs take up about ``fill_fraction`` of the cores of each VM."""
    fleet = Fleet()
    for number in range(VMS):
        rack = f"r{number // VMS_PER_RACK}"
        listed = ListedVm(f"v{number}", 1, "s", "a:1", "z", rack, (rack,), CAPACITY, False)
        row = put_vm(fleet, listed)
        observe_first_answer(fleet, row, 1, NOW_S)
        need = Resources(generator.randint(3000, 20_000), generator.randint(8000, 60_000))
        while (
            row.free.millicores - need.millicores > CAPACITY.millicores * (1 - fill_fraction)
            and row.free.memory_mb > need.memory_mb
        ):
            name = TaskName(f"{generator.getrandbits(60):016x}", 0, 0, 0)
            run = Run(name, 1, row, "t", need, RunPhase.RUNNING, started_s=NOW_S - 1)
            run.priority, run.evictable, run.has_checkpoints = 2, True, True
            book_run(fleet, run)
            need = Resources(generator.randint(3000, 20_000), generator.randint(8000, 60_000))
    return fleet


def make_backlog(fleet: Fleet, count: int, generator: random.Random) -> list[StepWork]:
    """Returns waiting steps that already have advice on half of the VMs.

    For each step, the advice service was asked about half of the VMs and allowed about half of
    those.
    """
    steps = []
    for number in range(count):
        queue = generator.choice(QUEUES)
        need = Resources(generator.randint(5000, 25_000), generator.randint(8000, 60_000))
        spec = StepSpec(generator.choice((1, 3, 10, 25, 40)), need, 1.0, gang=queue.priority == 1)
        job = Job(
            f"{number:016x}", "t", queue, JobSpec("", (spec,)), WALL_CLOCK_S + generator.random()
        )
        work = open_job(job, Progress())
        open_due_occurrences(work, WALL_CLOCK_S)
        step = work.steps[0, 0]
        step.advice.asked = set(generator.sample(sorted(fleet.rows), VMS // 2))
        step.advice.allowed = {
            name for name in sorted(step.advice.asked) if generator.random() < 0.5
        }
        steps.append(step)
    return steps


def time_tick(backlog: int, fill_fraction: float) -> float:
    """Returns the mean CPU time of a tick over a backlog, in milliseconds."""
    generator = random.Random(backlog)
    fleet = make_fleet(fill_fraction, generator)
    steps = make_backlog(fleet, backlog, generator)
    started_cpu_s = time.process_time()
    for tick in range(TICKS):
        elapsed_s = tick * TICK_INTERVAL_S
        planning.plan_starts(
            steps, fleet, Configuration(), NOW_S + elapsed_s, WALL_CLOCK_S + 1.0 + elapsed_s
        )
    return (time.process_time() - started_cpu_s) / TICKS * 1000


def measure_record_bytes(width: int) -> tuple[int, int]:
    """Returns the bytes of the progress of a half-done step, uncompressed and compressed."""
    half = width // 2
    runs = [
        RunRecord(n, n, f"i-{n * 987_654_321:010x}", 1_786_878_362_975) for n in range(half, width)
    ]
    step_progress = StepProgress(width, set(range(half)), {}, runs)
    value = encode_progress(Progress(JobState.RUNNING, {(0, 0): step_progress}), 0)
    return len(zlib.decompress(value[1:])), len(value)


def measure_parts(width: int, checkpoint_length: int) -> list[tuple[float, int, int]]:
    """Returns the cost of recording a step of which every task has a checkpoint and a run.

    For the first time and after one more start: the CPU time in milliseconds, the number of
    records and their bytes.
    """
    generator = random.Random(width)
    runs = [
        RunRecord(n, n + 1, f"i-{n * 987_654_321:010x}", 1_786_878_362_975) for n in range(width)
    ]
    checkpoints = {n: generator.randbytes(checkpoint_length // 2).hex() for n in range(width)}
    step_progress = StepProgress(width, runs=runs, checkpoints=checkpoints)
    progress, parts, found = (
        Progress(JobState.RUNNING, {(0, 0): step_progress}),
        [ProgressPart()],
        [],
    )
    for number in (width, width + 1):
        step_progress.last_run = number
        step_progress.runs[-1] = RunRecord(width - 1, number, "i-0", 1)
        started_cpu_s = time.process_time()
        records = encode_parts("a" * 16, progress, parts, LogLimits().record_bytes, 0)
        elapsed_ms = (time.process_time() - started_cpu_s) * 1000
        found.append((elapsed_ms, len(records), sum(record.size for record in records)))
    return found


@app.default
def measure():
    """Prints the cost of a tick by the length of its backlog, and that of progress records."""
    print(f"mean CPU time of a tick over {VMS} VMs, in ms")
    for backlog, fill_fraction in CASES:
        bounded_ms = time_tick(backlog, fill_fraction)
        unbounded = functools.partial(planning.PlanningState, searches_left=backlog)
        with (
            mock.patch.object(planning, "PlanningState", unbounded),
            mock.patch.object(makeroom, "SEARCH_GAP_S", 0.0),
        ):
            unbounded_ms = time_tick(backlog, fill_fraction)
        print(
            f"{backlog:4} steps, {fill_fraction:.0%} full: {bounded_ms:7.1f},"
            f" searches unbounded {unbounded_ms:7.1f}, ratio {bounded_ms / unbounded_ms:.2f}"
        )
    for width in STEP_WIDTHS:
        plain, packed = measure_record_bytes(width)
        print(f"progress of {width} tasks: {plain} bytes, compressed {packed}")
    for width, checkpoint_length in PART_CASES:
        first, later = measure_parts(width, checkpoint_length)
        print(
            f"{width} tasks with checkpoints of {checkpoint_length}: first {first[0]:.1f} ms,"
            f" {first[1]} records, {first[2]} bytes; one start more {later[0]:.1f} ms,"
            f" {later[1]} records, {later[2]} bytes"
        )


if __name__ == "__main__":
    app()
