"""The leader's in-memory state of each open job: its waiting, running and completed tasks."""

import math
from dataclasses import dataclass, field

from ..core.resource import Resources
from ..jobs.data import (
    Job,
    JobState,
    Progress,
    RunRecord,
    StepKey,
    StepProgress,
    Steps,
    StepSpec,
)
from ..jobs.progressparts import ProgressPart
from .expectation import ChainEstimate, Expectation, expect_by_estimate
from .fleet import Run
from .interface import TaskName

# No task of a job starts for so long after a VM rejected an order of it as invalid, and twice as
# long each further time, up to the maximum: the next VM will very probably reject it too.
INVALID_BACKOFF_S = 1.0
MAX_INVALID_BACKOFF_S = 8.0


@dataclass(slots=True)
class StepAdvice:
    """The answers of the advice service about a step.

    ``asked`` are the VMs about which it has been asked. Whether a VM is ``allowed`` never changes
    once it has been asked about; ``tickets`` are valid for a limited time, counted from
    ``received_s``. A request is ``pending`` until its answer arrives, and ``in_flight`` once it has
    been sent to a node; none is made before ``retry_s``. The step has waited for an answer since
    ``since_s``, if that isn't 0. Requests are sent ``ahead`` although the team has no quota left.
    """

    asked: set[str] = field(default_factory=set)
    allowed: set[str] = field(default_factory=set)
    tickets: dict[str, str] = field(default_factory=dict)
    received_s: float = 0.0
    pending: bool = False
    in_flight: bool = False
    since_s: float = 0.0
    retry_s: float = 0.0
    ahead: bool = False


@dataclass(slots=True)
class Hold:
    """How long a step has had VMs reserved without being able to use them.

    It has had them since ``since_s``, last at ``last_s``, and may have them for ``limit_s`` at the
    priority ``rank``. It gets none before ``paused_until_s``. ``lapses`` counts how often the time
    was over, and ``avoided`` are the VMs that still lacked room then.
    """

    since_s: float = 0.0
    last_s: float = float("-inf")
    limit_s: float = 0.0
    rank: tuple = ()
    paused_until_s: float = 0.0
    lapses: int = 0
    avoided: frozenset[str] = frozenset()


@dataclass(slots=True, eq=False)
class StepWork:
    """The state of one step of one occurrence of a job, with its tasks.

    ``waiting`` are the indexes of the tasks that wait, and ``active`` holds the current runs by
    task index. The step may search for runs to evict or VMs to reserve from ``next_search_s`` on.
    ``wait_for_vm_s`` is since when a task to be run alone has waited for an empty VM, by index.
    ``expectation`` is how long a run is expected to take; ``None`` stands for the estimate.
    ``hold`` is about the VMs that are reserved for it. Tasks in ``evicted`` have been evicted once
    by this leader, which doesn't do it again.
    ``chain`` is the last estimate of how long the rest of the job takes.
    """

    key: StepKey
    spec: StepSpec
    step_progress: StepProgress
    work: "JobWork"
    waiting: set[int] = field(default_factory=set)
    active: dict[int, list[Run]] = field(default_factory=dict)
    advice: StepAdvice = field(default_factory=StepAdvice)
    next_search_s: float = 0.0
    wait_for_vm_s: dict[int, float] = field(default_factory=dict)
    expectation: Expectation | None = None
    hold: Hold = field(default_factory=Hold)
    evicted: set[int] = field(default_factory=set)
    chain: ChainEstimate | None = None

    def make_task_name(self, index: int) -> TaskName:
        """Returns the name of the task with this index."""
        return TaskName(self.key.job, self.key.occurrence, self.key.step, index)


def get_expectation(step: StepWork) -> Expectation:
    """Returns how long a run of a task of the step is expected to take."""
    return step.expectation or expect_by_estimate(step.spec)


@dataclass(slots=True, eq=False)
class JobWork:
    """The state of a job with its steps by occurrence and number.

    ``steps`` holds the occurrences that have been opened and aren't done. All before
    ``done_before`` are done, and of later ones ``closed`` holds the progress of their steps.
    ``due_s`` is when it should be done, which is ``target_s`` after it was accepted. No task of it
    starts before ``ready_s``. A ``surplus`` job was submitted beyond its team's share. ``parts``
    are the parts in which its progress is recorded; no task starts once it isn't recordable. None
    starts for ``invalid_backoff_s`` after a VM rejected an order of it as invalid.
    """

    job: Job
    state: JobState
    steps: dict[tuple[int, int], StepWork] = field(default_factory=dict)
    occurrences: int = 0
    done_before: int = 0
    closed: Steps = field(default_factory=dict)
    due_s: float = 0.0
    target_s: float = 0.0
    ready_s: float = 0.0
    surplus: bool = False
    parts: list[ProgressPart] = field(default_factory=lambda: [ProgressPart()])
    is_recordable: bool = True
    invalid_backoff_s: float = INVALID_BACKOFF_S


def open_job(job: Job, progress: Progress, parts: list[ProgressPart] | None = None) -> JobWork:
    """Creates the state of a job from its recorded progress; the caller adds the runs.

    ``parts`` are the parts in which the progress is recorded; the default is a single one.
    """
    work = JobWork(job, progress.state)
    work.parts = parts or work.parts
    work.done_before = work.occurrences = progress.done_before
    for occurrence, _ in progress.steps:
        work.occurrences = max(work.occurrences, occurrence + 1)
    for occurrence in range(work.done_before, work.occurrences):
        _open_occurrence(work, occurrence, progress)
        close_if_done(work, occurrence)
    work.target_s = compute_target_s(job)
    work.due_s = job.accepted_s + work.target_s
    return work


def back_off(work: JobWork, now_s: float):
    """Starts no task of a job for a while, after one or many of its orders were invalid."""
    if now_s >= work.ready_s:
        work.ready_s = now_s + work.invalid_backoff_s
        work.invalid_backoff_s = min(MAX_INVALID_BACKOFF_S, 2 * work.invalid_backoff_s)


def compute_target_s(job: Job) -> float:
    """Returns how long after its acceptance a job should be done, in seconds.

    It is the estimate of the longest chain of steps times the ``stretch`` of the queue, plus the
    ``latency_s`` of the queue.
    """
    lengths: list[float] = []
    for step in job.spec.steps:
        before = max((lengths[index] for index in step.after if index < len(lengths)), default=0.0)
        lengths.append(before + step.estimate_s)
    return job.queue.stretch * max(lengths, default=0.0) + job.queue.latency_s


def open_due_occurrences(
    work: JobWork, now_s: float, max_ready: int | None = None
) -> list[StepWork]:
    """Creates the steps of the occurrences that have become due, and returns them.

    No more occurrences are opened once ``max_ready`` of the new steps are ready.
    """
    opened: list[StepWork] = []
    ready = 0
    for _ in range(count_unopened(work, now_s)):
        if max_ready is not None and ready >= max_ready:
            break
        steps = _open_occurrence(work, work.occurrences, Progress())
        work.occurrences += 1
        opened += steps
        ready += sum(map(is_step_ready, steps))
    return opened


def has_unopened(work: JobWork) -> bool:
    """Returns whether some occurrences have not been opened, due or not."""
    return work.occurrences < max(1, work.job.spec.repeats)


def count_unopened(work: JobWork, now_s: float) -> int:
    """Returns how many occurrences are due and have not been opened."""
    spec = work.job.spec
    if not spec.repeats:
        return 1 - work.occurrences
    due = spec.repeats
    if spec.interval_s > 0:
        due = math.floor((now_s - spec.first_due_s) / spec.interval_s) + 1
    elif now_s < spec.first_due_s:
        due = 0
    return max(0, min(spec.repeats, due) - work.occurrences)


def close_if_done(work: JobWork, occurrence: int):
    """Drops the steps of an occurrence that is done, of a job with several.

    So what a job costs depends on what of it is open, and not on what is done.
    """
    if not work.job.spec.repeats:
        return
    numbers = range(len(work.job.spec.steps))
    if not all(is_step_done(work.steps[occurrence, number]) for number in numbers):
        return
    for number in numbers:
        step = work.steps.pop((occurrence, number))
        kept = StepProgress(step.step_progress.last_run, step.step_progress.done)
        work.closed[occurrence, number] = kept
    while (work.done_before, 0) in work.closed:
        for number in numbers:
            del work.closed[work.done_before, number]
        work.done_before += 1


def _open_occurrence(work: JobWork, occurrence: int, progress: Progress) -> list[StepWork]:
    steps = []
    for number, spec in enumerate(work.job.spec.steps):
        step_progress = progress.steps.get((occurrence, number)) or StepProgress()
        if spec.gang:
            _equalize_gang(spec, step_progress)
        step = StepWork(StepKey(work.job.id, occurrence, number), spec, step_progress, work)
        step.waiting = set(range(spec.count)) - step_progress.done
        work.steps[occurrence, number] = step
        steps.append(step)
    return steps


def _equalize_gang(spec: StepSpec, step_progress: StepProgress):
    """Gives all tasks of a gang the same end and the same checkpoint.

    What concerns a whole gang may be recorded in several parts, of which the last ones may be
    missing after a change of the leader.
    """
    if step_progress.done:
        step_progress.done = set(range(spec.count))
        step_progress.checkpoints = {}
    elif step_progress.checkpoints:
        saved = step_progress.checkpoints[min(step_progress.checkpoints)]
        step_progress.checkpoints = dict.fromkeys(range(spec.count), saved)


def is_step_done(step: StepWork) -> bool:
    """Returns whether all tasks of a step have ended as done."""
    return len(step.step_progress.done) >= step.spec.count


def is_step_ready(step: StepWork) -> bool:
    """Returns whether the steps before this one are done and some of its tasks wait."""
    if not step.waiting:
        return False
    occurrence = step.key.occurrence
    return all(is_step_done(step.work.steps[occurrence, number]) for number in step.spec.after)


def is_job_done(work: JobWork) -> bool:
    """Returns whether every task of every occurrence has ended as done."""
    return not has_unopened(work) and all(is_step_done(step) for step in work.steps.values())


def get_booked_need(spec: StepSpec) -> Resources:
    """Returns the resources that a task books on its VM; a filling task books no cores."""
    if spec.fills:
        return Resources(0, spec.need.memory_mb, spec.need.accelerators)
    return spec.need


def add_run(step: StepWork, run: Run):
    """Adds a run to its task, which no longer waits."""
    step.waiting.discard(run.task.index)
    step.active.setdefault(run.task.index, []).append(run)


def count_required_runs(step: StepWork) -> int:
    """Returns how many tasks must run before one can make progress: all of a gang, else 0."""
    return step.spec.count if step.spec.gang else 0


def copy_step_attributes(step: StepWork, run: Run) -> Run:
    """Copies to a run what eviction, health checks and pacing need to know of its step."""
    spec = step.spec
    run.priority = step.work.job.queue.priority
    run.has_checkpoints = spec.checkpoints
    run.estimate_s = spec.estimate_s
    run.expected_s = step.expectation.median_s if step.expectation else 0.0
    expectation, speed = get_expectation(step), run.vm.speed
    run.high_s = expectation.high_s / speed
    run.low_s = expectation.median_s**2 / expectation.high_s / speed if expectation.high_s else 0.0
    run.rest_s = expectation.high_s + compute_chain_after_s(step)
    run.due_s, run.target_s = step.work.due_s, step.work.target_s
    run.expects_progress = not (spec.endless or spec.fills)
    run.endless = spec.endless
    run.target_ms, run.fills = spec.target_ms, spec.fills
    run.evictable = not (spec.gang or spec.endless or spec.miss_tolerance)
    run.evictable = run.evictable and run.task.index not in step.evicted
    return run


def compute_chain_after_s(step: StepWork) -> float:
    """Returns the estimate of the longest chain of steps that wait for this one, in seconds."""
    steps = step.work.job.spec.steps
    lengths = [0.0] * len(steps)
    for number in reversed(range(len(steps))):
        for before in steps[number].after:
            if before < number:
                length = lengths[number] + steps[number].estimate_s
                lengths[before] = max(lengths[before], length)
    return lengths[step.key.step]


def remove_run(step: StepWork, run: Run):
    """Removes a run that has ended; its task waits again unless it is done or has another run."""
    index = run.task.index
    runs = step.active.get(index, [])
    if run in runs:
        runs.remove(run)
    if not runs:
        step.active.pop(index, None)
        if index not in step.step_progress.done:
            step.waiting.add(index)


def snapshot_progress(work: JobWork) -> Progress:
    """Returns the progress of a job to record, with every run whose end isn't known."""
    progress = Progress(work.state, dict(work.closed), work.done_before)
    for place, step in work.steps.items():
        step_progress = step.step_progress
        step_progress.runs = [
            RunRecord(run.task.index, run.number, run.vm.name, run.incarnation)
            for runs in step.active.values()
            for run in runs
        ]
        if (
            step_progress.done
            or step_progress.failures
            or step_progress.runs
            or step_progress.last_run
        ):
            progress.steps[place] = step_progress
    return progress
