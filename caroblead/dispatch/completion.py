"""Applies the end of a run to its task, its step and its job.

A run that ended as done completes its task, and a run of a gang completes all of its tasks at once.
A failure counts toward the maximum number of attempts of the queue; after any other end the task
just waits again, to resume from its last checkpoint.
"""

from dataclasses import dataclass, field

from ..jobs.data import FINAL_STATES, JobState
from .fleet import Run
from .interface import EndReason
from .work import JobWork, StepWork, close_if_done, is_job_done, remove_run

# The remaining members of a gang are stopped this long after the first member ended.
GANG_GRACE_S = 0.4


@dataclass(slots=True)
class Settlement:
    """What the caller has to do after the end of a run: stop these runs."""

    to_stop: list[Run] = field(default_factory=list)


def settle_end(step: StepWork, run: Run, reason: EndReason, checkpoint: str) -> Settlement:
    """Applies the end of a run that was still wanted; the caller releases its resources."""
    settlement = Settlement()
    work = step.work
    index = run.task.index
    saved = checkpoint or run.checkpoint
    remove_run(step, run)
    if reason is EndReason.DONE and not step.spec.endless:
        _settle_done(step, run, settlement)
    elif reason is EndReason.FAILED and not step.spec.endless:
        _settle_failed(step, run, settlement)
    if index not in step.step_progress.done and saved and step.spec.checkpoints:
        indexes = range(step.spec.count) if step.spec.gang else (index,)
        step.step_progress.checkpoints.update(dict.fromkeys(indexes, saved))
    if reason is EndReason.DONE:
        close_if_done(work, run.task.occurrence)
    if work.state not in FINAL_STATES and is_job_done(work):
        work.state = JobState.DONE
    return settlement


def _settle_done(step: StepWork, run: Run, settlement: Settlement):
    indexes = list(range(step.spec.count)) if step.spec.gang else [run.task.index]
    for index in indexes:
        step.step_progress.done.add(index)
        step.waiting.discard(index)
        step.step_progress.checkpoints.pop(index, None)
        step.step_progress.crashes.pop(index, None)
        for other in step.active.pop(index, []):
            other.wanted = False
            if not step.spec.gang:
                settlement.to_stop.append(other)


def _settle_failed(step: StepWork, run: Run, settlement: Settlement):
    failure_index = run.task.index
    if step.spec.gang:
        # Of several members that failed in one run of the gang, only the first counts.
        if run.number <= step.step_progress.last_failed_run:
            return
        step.step_progress.last_failed_run = run.number
        failure_index = 0
    failures = step.step_progress.failures.get(failure_index, 0) + 1
    step.step_progress.failures[failure_index] = failures
    if failures >= step.work.job.queue.max_attempts:
        step.work.state = JobState.FAILED
        settlement.to_stop += drop_runs(step.work)


def drop_runs(work: JobWork) -> list[Run]:
    """Clears the waiting tasks and the runs of a job; returns the runs, marked as not wanted."""
    runs = []
    for step in work.steps.values():
        for active in step.active.values():
            runs += active
        step.active.clear()
        step.waiting.clear()
    for run in runs:
        run.wanted = False
    return runs


def list_broken_gang(step: StepWork, now_s: float, since: dict) -> list[Run]:
    """Returns the runs of a gang to stop if a member has been missing for the grace period."""
    if not step.spec.gang or not step.active or len(step.active) == step.spec.count:
        since.pop(step.key, None)
        return []
    if now_s - since.setdefault(step.key, now_s) < GANG_GRACE_S:
        return []
    return [run for runs in step.active.values() for run in runs]
