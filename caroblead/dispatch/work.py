"""The leader's working copy of each job: which tasks wait, which run and which are done."""

from dataclasses import dataclass, field

from ..core.resource import Resources
from ..jobs.data import Job, JobState, Progress, RunRecord, StepKey, StepProgress, StepSpec
from .fleet import Run
from .interface import TaskName


@dataclass(slots=True)
class StepAdvice:
    """What the advice service has said of a step.

    ``allowed`` never changes for a VM once asked; ``tickets`` hold for a time only, counted from
    ``got_s``.
    """

    asked: set[str] = field(default_factory=set)
    allowed: set[str] = field(default_factory=set)
    tickets: dict[str, str] = field(default_factory=dict)
    got_s: float = 0.0
    pending: bool = False
    retry_s: float = 0.0


@dataclass(slots=True, eq=False)
class StepWork:
    """One step of one occurrence with its tasks.

    From ``search_s`` on, room may be looked for that has to be made first.
    """

    key: StepKey
    spec: StepSpec
    part: StepProgress
    work: "JobWork"
    waiting: set[int] = field(default_factory=set)
    active: dict[int, list[Run]] = field(default_factory=dict)
    advice: StepAdvice = field(default_factory=StepAdvice)
    last_failed_run: int = 0
    search_s: float = 0.0

    def name_task(self, index: int) -> TaskName:
        """Returns the name of one of the step's tasks."""
        return TaskName(self.key.job, self.key.occurrence, self.key.step, index)


@dataclass(slots=True, eq=False)
class JobWork:
    """A job with its steps by occurrence and number.

    ``due_s`` is when it should be done, ``target_s`` after it was handed in. A ``surplus`` job was
    sent beyond its team's share.
    """

    job: Job
    state: JobState
    steps: dict[tuple[int, int], StepWork] = field(default_factory=dict)
    occurrences: int = 0
    due_s: float = 0.0
    target_s: float = 0.0
    ready_s: float = 0.0
    surplus: bool = False


def open_job(job: Job, progress: Progress) -> JobWork:
    """Makes the working copy of a job from its recorded progress; runs are added by the caller."""
    work = JobWork(job, progress.state)
    for occurrence, _ in progress.steps:
        work.occurrences = max(work.occurrences, occurrence + 1)
    for occurrence in range(work.occurrences):
        _open_occurrence(work, occurrence, progress)
    work.target_s = compute_target_s(job)
    work.due_s = job.accepted_s + work.target_s
    return work


def compute_target_s(job: Job) -> float:
    """Returns how long after it was handed in a job should be done, by the estimates of its steps.

    The longest chain of steps counts, stretched as its queue says.
    """
    lengths: list[float] = []
    for step in job.spec.steps:
        before = max((lengths[index] for index in step.after if index < len(lengths)), default=0.0)
        lengths.append(before + step.estimate_s)
    return job.queue.stretch * max(lengths, default=0.0) + job.queue.latency_s


def open_due_occurrences(work: JobWork, now_s: float) -> bool:
    """Opens the occurrences that have become due; returns whether there were any."""
    spec, opened = work.job.spec, False
    total = max(1, spec.repeats)
    while work.occurrences < total:
        if spec.repeats and now_s < spec.first_due_s + work.occurrences * spec.interval_s:
            break
        _open_occurrence(work, work.occurrences, Progress())
        work.occurrences += 1
        opened = True
    return opened


def _open_occurrence(work: JobWork, occurrence: int, progress: Progress):
    for number, spec in enumerate(work.job.spec.steps):
        part = progress.steps.get((occurrence, number)) or StepProgress()
        step = StepWork(StepKey(work.job.id, occurrence, number), spec, part, work)
        step.waiting = set(range(spec.count)) - part.done
        work.steps[occurrence, number] = step


def is_step_done(step: StepWork) -> bool:
    """Returns whether all tasks of a step have ended as done."""
    return len(step.part.done) >= step.spec.count


def is_step_ready(step: StepWork) -> bool:
    """Returns whether the steps before this one are done and some of its tasks wait."""
    if not step.waiting:
        return False
    occurrence = step.key.occurrence
    return all(is_step_done(step.work.steps[occurrence, number]) for number in step.spec.after)


def is_job_done(work: JobWork) -> bool:
    """Returns whether every task of every occurrence has ended as done."""
    if work.occurrences < max(1, work.job.spec.repeats):
        return False
    return all(is_step_done(step) for step in work.steps.values())


def get_booked_need(spec: StepSpec) -> Resources:
    """Returns what a task of a step takes of a VM; filling tasks take no processor."""
    if spec.fills:
        return Resources(0, spec.need.memory_mb, spec.need.accelerators)
    return spec.need


def add_run(step: StepWork, run: Run):
    """Takes in that a task has a run."""
    step.waiting.discard(run.task.index)
    step.active.setdefault(run.task.index, []).append(run)


def count_due(step: StepWork) -> int:
    """Returns how many tasks must run before one of them should show progress."""
    return step.spec.count if step.spec.gang else 0


def describe_run(step: StepWork, run: Run) -> Run:
    """Gives a run what the choice of runs to stop needs to know."""
    spec = step.spec
    run.priority = step.work.job.queue.priority
    run.saves = spec.checkpoints
    run.estimate_s = spec.estimate_s
    run.watched = not (spec.endless or spec.fills)
    run.target_ms, run.fills = spec.target_ms, spec.fills
    run.evictable = not (spec.gang or spec.endless or spec.miss_tolerance)
    return run


def remove_run(step: StepWork, run: Run):
    """Takes in that a run is over; its task waits again unless it is done or has another run."""
    index = run.task.index
    runs = step.active.get(index, [])
    if run in runs:
        runs.remove(run)
    if not runs:
        step.active.pop(index, None)
        if index not in step.part.done:
            step.waiting.add(index)


def snapshot_progress(work: JobWork) -> Progress:
    """Returns the progress to record, with every run whose end isn't known."""
    progress = Progress(work.state)
    for place, step in work.steps.items():
        part = step.part
        part.runs = [
            RunRecord(run.task.index, run.number, run.vm.name, run.vm.incarnation)
            for runs in step.active.values()
            for run in runs
        ]
        if part.done or part.failures or part.runs or part.last_run:
            progress.steps[place] = part
    return progress
