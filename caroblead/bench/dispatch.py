"""What the leader's decisions cost: ``python -m caroblead.bench.dispatch``.

Ticks are timed over a fleet of the grown sites' size with a backlog of waiting steps, once as they
are and once with their searches for room unbounded, in one run; then the size of packed progress
records is shown. Times are the processor's on this machine: the ratios are what to look at.
"""

import functools
import random
import time
import zlib
from unittest import mock

import cyclopts

from ..core.resource import Resources
from ..dispatch import planning
from ..dispatch.fleet import Fleet, Run, RunPhase, book_run, observe_first_answer, put_vm
from ..dispatch.interface import Configuration, ListedVm, TaskName
from ..dispatch.work import StepWork, open_due_occurrences, open_job
from ..jobs.data import (
    AdviceTerms,
    Job,
    JobQueue,
    JobSpec,
    JobState,
    Progress,
    RunRecord,
    StepProgress,
    StepSpec,
)
from ..jobs.record import encode_progress

VMS = 176
VMS_PER_RACK = 20
CAPACITY = Resources(64_000, 262_144)
NOW_S = 100.0
WALL_S = 1000.0
TICKS = 20
TICK_GAP_S = 0.02
CASES = ((30, 0.5), (300, 0.97), (600, 0.97))
WIDTHS = (2, 25, 100)
QUEUES = (
    JobQueue("urgent", "h", "/u/", "s", 0, stretch=1.5, advice=AdviceTerms(0.009, 0.0001, 2.5)),
    JobQueue("wide", "h", "/w/", "s", 1, stretch=2.2, advice=AdviceTerms(0.54, 0.008, 2.5)),
    JobQueue("batch", "h", "/b/", "s", 2, stretch=4.0, advice=AdviceTerms(0.08, 0.001, 2.5)),
)

app = cyclopts.App(help="What the leader's decisions cost.")


def make_fleet(filled: float, draw: random.Random) -> Fleet:
    """Returns VMs on which runs take up about this part of the cores."""
    fleet = Fleet()
    for number in range(VMS):
        rack = f"r{number // VMS_PER_RACK}"
        listed = ListedVm(f"v{number}", 1, "s", "a:1", "z", rack, (rack,), CAPACITY, False)
        row = put_vm(fleet, listed)
        observe_first_answer(fleet, row, 1, NOW_S)
        need = Resources(draw.randint(3000, 20_000), draw.randint(8000, 60_000))
        while (
            row.free.millicores - need.millicores > CAPACITY.millicores * (1 - filled)
            and row.free.memory_mb > need.memory_mb
        ):
            name = TaskName(f"{draw.getrandbits(60):016x}", 0, 0, 0)
            run = Run(name, 1, row, "t", need, RunPhase.RUNNING, started_s=NOW_S - 1)
            run.priority, run.evictable, run.saves = 2, True, True
            book_run(fleet, run)
            need = Resources(draw.randint(3000, 20_000), draw.randint(8000, 60_000))
    return fleet


def make_backlog(fleet: Fleet, count: int, draw: random.Random) -> list[StepWork]:
    """Returns waiting steps, about whose VMs the advice service has been asked in part."""
    steps = []
    for number in range(count):
        queue = draw.choice(QUEUES)
        need = Resources(draw.randint(5000, 25_000), draw.randint(8000, 60_000))
        spec = StepSpec(draw.choice((1, 3, 10, 25, 40)), need, 1.0, gang=queue.priority == 1)
        job = Job(f"{number:016x}", "t", queue, JobSpec("", (spec,)), WALL_S + draw.random())
        work = open_job(job, Progress())
        open_due_occurrences(work, WALL_S)
        step = work.steps[0, 0]
        step.advice.asked = set(draw.sample(sorted(fleet.rows), VMS // 2))
        step.advice.allowed = {name for name in sorted(step.advice.asked) if draw.random() < 0.5}
        steps.append(step)
    return steps


def time_tick(backlog: int, filled: float) -> float:
    """Returns how long a tick over a backlog takes in the mean, in milliseconds."""
    draw = random.Random(backlog)
    fleet = make_fleet(filled, draw)
    steps = make_backlog(fleet, backlog, draw)
    began_s = time.process_time()
    for tick in range(TICKS):
        passed_s = tick * TICK_GAP_S
        planning.plan_starts(
            steps, fleet, Configuration(), NOW_S + passed_s, WALL_S + 1.0 + passed_s
        )
    return (time.process_time() - began_s) / TICKS * 1000


def write_record(width: int) -> tuple[int, int]:
    """Returns the bytes of the progress of a step half done, plain and packed."""
    half = width // 2
    runs = [
        RunRecord(n, n, f"i-{n * 987_654_321:010x}", 1_786_878_362_975) for n in range(half, width)
    ]
    part = StepProgress(width, set(range(half)), {}, runs)
    value = encode_progress(Progress(JobState.RUNNING, {(0, 0): part}), 0)
    return len(zlib.decompress(value[1:])), len(value)


@app.default
def measure():
    """Prints the cost of a tick by the length of its backlog, and the size of records."""
    print(f"a tick over {VMS} VMs, in ms")
    for backlog, filled in CASES:
        bounded = time_tick(backlog, filled)
        unbounded = functools.partial(planning.Moment, searches_left=backlog)
        with (
            mock.patch.object(planning, "Moment", unbounded),
            mock.patch.object(planning, "SEARCH_GAP_S", 0.0),
        ):
            free = time_tick(backlog, filled)
        print(
            f"{backlog:4} steps, {filled:.0%} full: {bounded:7.1f},"
            f" searches unbounded {free:7.1f}, ratio {bounded / free:.2f}"
        )
    for width in WIDTHS:
        plain, packed = write_record(width)
        print(f"progress of {width} tasks: {plain} bytes, packed {packed}")


if __name__ == "__main__":
    app()
