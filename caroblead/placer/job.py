"""Jobs of a shard: acceptance, cancellation, and handling of tasks that end."""

import asyncio
import time

import eliot

from ..core.data import (
    ENDED,
    Gang,
    Job,
    Queue,
    Task,
    TaskState,
    name_kind,
)
from ..core.outcome import Answered, Fault, NotRun, Outcome, Reason, Step, Unknown
from ..core.resource import Resources
from ..events.event import AttemptEnded, JobAccepted, JobEnded
from ..fleet.interface import RunState
from ..policy.admission import admit_job
from ..policy.cell import end_task, enqueue_task, list_open_tasks, release_allocation
from ..policy.gang import release_gang_reservation
from ..policy.health import record_failure, record_success
from ..policy.retry import compute_backoff, spend_retry
from ..policy.sizing import learn_run_time
from ..wire.gen import ttypes
from .jobrecord import (
    make_cancel_record,
    make_ends_record,
    make_job_record,
    make_tasks,
    make_verdict_record,
    make_vms_record,
)
from .recorder import NotWritten, Written
from .shard import Shard

RETRY_AFTER_S = 1.0
# Ended jobs are kept this long so that callers can query their state.
ENDED_JOB_RETENTION_S = 600.0
# Delay of a retry that exceeds the team's retry budget.
OVER_BUDGET_RETRY_DELAY_S = 30.0


def make_fault(shard: Shard, reason: Reason, step: Step, detail: str) -> Fault:
    """Returns a fault that names this placer's node as its origin."""
    return Fault(reason, step, shard.context.node, detail, "", RETRY_AFTER_S)


async def submit_job(shard: Shard, queue: Queue, message: ttypes.SubmitJob) -> Outcome:
    """Accepts a job by recording it in the log.

    The outcome is ``NotRun`` if the job was rejected or is certainly not in the log, and
    ``Unknown`` if it can't be determined whether the record was written.
    """
    known = shard.cell.jobs.get(message.job)
    if known is not None:
        return Answered(200, b"")
    job = Job(
        message.job,
        message.team,
        message.queue,
        queue.kind,
        message.tasks,
        Resources(message.millicores, message.memory_mb, message.accelerators),
        message.run_time_ms / 1000,
        bool(message.repeatable),
        shard.get_time(),
        message.deadline_ms / 1000,
    )
    fault = admit_job(shard.cell, queue, job, shard.context.node)
    if fault is not None:
        return NotRun(fault)
    result = await shard.recorder.write(make_job_record(job, time.time()))
    if isinstance(result, NotWritten):
        return NotRun(make_fault(shard, Reason.LOG_DOWN, Step.RECORD, result.detail))
    if not isinstance(result, Written):
        return Unknown(make_fault(shard, Reason.LOG_DOWN, Step.RECORD, result.detail))
    if job.deadline_s:
        job.deadline_s += job.submitted_s
    if shard.is_owned() and shard.tables.jobs_ready:
        add_job(shard, job)
    return Answered(201, b"")


def add_job(shard: Shard, job: Job):
    """Adds a recorded job to the tables and enqueues its tasks for the next tick."""
    if job.name in shard.cell.jobs:
        return
    shard.cell.jobs[job.name] = job
    if job.team not in shard.cell.teams:
        job.verdict = "no such team"
        return
    for task in make_tasks(job):
        enqueue_task(shard.cell, task)
    shard.context.timeline.emit(
        JobAccepted(job.name, job.team, job.queue, job.task_count, job.repeatable)
    )


async def cancel_job(shard: Shard, job: Job) -> Outcome:
    """Records the cancellation of a job, then applies it."""
    result = await shard.recorder.write(make_cancel_record(job.name))
    if not isinstance(result, Written):
        return NotRun(
            make_fault(
                shard, Reason.LOG_DOWN, Step.RECORD, "the log did not confirm the cancellation"
            )
        )
    apply_cancel(shard, job)
    return Answered(200, b"")


def apply_cancel(shard: Shard, job: Job):
    """Ends the waiting tasks of a job and stops the running ones.

    The cost depends on the number of the job's own tasks only, so the cost of many cancellations is
    proportional to the number of tasks cancelled.
    """
    job.cancelled = True
    release_gang_reservation(shard.cell, job.name)
    for task in list_open_tasks(job):
        if task.state is TaskState.WAITING:
            end_task(shard.cell, task, TaskState.CANCELLED, shard.get_time())
        elif task.vm is not None:
            lease = shard.leases.get(task.vm.name)
            if lease is not None:
                lease.stop.add(task.name)
    check_job_end(shard, job)


def finish_task(shard: Shard, task: Task, result: RunState | None, note: str = ""):
    """Handles the end of a task's attempt and retries the task where that is allowed.

    A ``result`` of ``None`` means that the attempt was lost: its VM was lost, or the VM no longer
    lists the task.
    """
    cell, now_s, vm, job = shard.cell, shard.get_time(), task.vm, task.job
    shard.context.timeline.emit(
        AttemptEnded(task.name, task.attempt, vm.name, str(result or "lost") + note)
    )
    give_up = False
    if result is RunState.DONE:
        learn_run_time(cell.sizes, task, now_s - task.started_s)
        record_success(cell, vm)
        _close_task(shard, task, TaskState.DONE)
    else:
        if result is RunState.FAILED:
            give_up = record_failure(cell, vm, task, now_s)
        if job.cancelled:
            _close_task(shard, task, TaskState.CANCELLED)
        elif not task.repeatable or give_up:
            _close_task(shard, task, TaskState.LOST if result is None else TaskState.FAILED)
        else:
            _retry_task(shard, task, result)
    if give_up and not job.cancelled:
        eliot.log_message("job:given_up", job=job.name, vms=sorted(job.failed_vms))
        job.verdict = f"failed on {len(job.failed_vms)} VMs"
        apply_cancel(shard, job)
    if isinstance(job.kind, Gang) and result is not RunState.DONE and not job.cancelled:
        _restart_gang(shard, job)
    check_job_end(shard, job)


def _close_task(shard: Shard, task: Task, state: TaskState):
    name, vm = task.name, task.vm
    end_task(shard.cell, task, state, shard.get_time())
    shard.tables.unrecorded_ends[name] = state
    if vm is not None:
        shard.tables.ended_task_vms[name] = vm.name


def _retry_task(shard: Shard, task: Task, result: RunState | None):
    lease = shard.leases.get(task.vm.name)
    if lease is not None:
        lease.forget.add(task.name)
    release_allocation(shard.cell, task, shard.get_time())
    if result is RunState.FAILED:
        in_budget = spend_retry(shard.cell.teams[task.team], task)
        backoff_s = compute_backoff(task.attempt, shard.context.random)
        pause_s = backoff_s if in_budget else OVER_BUDGET_RETRY_DELAY_S
        task.state = TaskState.STOPPED
        delay_call(shard, pause_s, _requeue_task, shard, task)
        return
    enqueue_task(shard.cell, task, front=True)


def delay_call(shard: Shard, delay_s: float, callback, *arguments):
    """Calls back after a delay, unless the shard was given up or acquired again by then."""
    tables = shard.tables

    def call():
        if shard.tables is tables and shard.is_owned():
            callback(*arguments)

    asyncio.get_running_loop().call_later(delay_s, call)


def _requeue_task(shard: Shard, task: Task):
    if task.state is not TaskState.STOPPED:
        return
    if task.job is not None and task.job.cancelled:
        _close_task(shard, task, TaskState.CANCELLED)
        check_job_end(shard, task.job)
        return
    enqueue_task(shard.cell, task, front=True)


def _restart_gang(shard: Shard, job: Job):
    """Stops the remaining tasks of a gang that lost a member, so that all restart together."""
    for task in job.tasks:
        if task.vm is not None and task.state in (TaskState.RUNNING, TaskState.STARTING):
            lease = shard.leases.get(task.vm.name)
            if lease is not None:
                lease.stop.add(task.name)


def check_job_end(shard: Shard, job: Job):
    """Sets the verdict of a job once all its tasks have ended."""
    if not job.tasks or any(task.state not in ENDED for task in job.tasks):
        return
    if job.name in shard.tables.unrecorded_verdicts or job.verdict.startswith("ended"):
        return
    states = {task.state for task in job.tasks}
    if job.verdict:
        verdict = job.verdict
    elif job.cancelled:
        verdict = "cancelled"
    elif states == {TaskState.DONE}:
        verdict = "done"
    else:
        verdict = "unknown" if TaskState.LOST in states else "failed"
    job.verdict = f"ended: {verdict}"
    shard.tables.unrecorded_verdicts[job.name] = verdict
    shard.context.timeline.emit(JobEnded(job.name, verdict))


async def flush_ends(shard: Shard):
    """Records ended tasks, job verdicts and removed VMs; VMs may then forget the ended tasks.

    If any record was not certainly written, all of them are kept for the next flush.
    """
    tables = shard.tables
    if not (tables.unrecorded_ends or tables.unrecorded_verdicts or tables.gone_vms):
        return
    ends, tables.unrecorded_ends = tables.unrecorded_ends, {}
    verdicts, tables.unrecorded_verdicts = tables.unrecorded_verdicts, {}
    gone, tables.gone_vms = tables.gone_vms, set()
    futures = []
    if ends:
        futures.append(shard.recorder.write(make_ends_record(ends)))
    if gone:
        futures.append(shard.recorder.write(make_vms_record([], sorted(gone))))
    futures.extend(
        shard.recorder.write(make_verdict_record(job, verdict)) for job, verdict in verdicts.items()
    )
    results = [await future for future in futures]
    if not all(isinstance(result, Written) for result in results):
        tables.unrecorded_ends = {**ends, **tables.unrecorded_ends}
        tables.unrecorded_verdicts = {**verdicts, **tables.unrecorded_verdicts}
        tables.gone_vms |= gone
        return
    for name in ends:
        lease = shard.leases.get(tables.ended_task_vms.pop(name, ""))
        if lease is not None:
            lease.forget.add(name)
    for name in verdicts:
        delay_call(shard, ENDED_JOB_RETENTION_S, shard.cell.jobs.pop, name, None)


def describe_job(job: Job) -> ttypes.JobState:
    """Returns the state of a job as callers see it."""
    counts = dict.fromkeys(TaskState, 0)
    for task in job.tasks:
        counts[task.state] += 1
    running = counts[TaskState.RUNNING] + counts[TaskState.STARTING]
    waiting = counts[TaskState.WAITING] + counts[TaskState.STOPPED]
    state = job.verdict or ("running" if running else "waiting")
    return ttypes.JobState(
        job=job.name,
        team=job.team,
        queue=job.queue,
        state=state.removeprefix("ended: "),
        tasks=job.task_count,
        waiting=waiting,
        running=running,
        done=counts[TaskState.DONE],
        failed=counts[TaskState.FAILED] + counts[TaskState.CANCELLED],
        unknown=counts[TaskState.LOST],
        detail=name_kind(job.kind),
    )


def expire_jobs(shard: Shard):
    """Cancels jobs none of whose tasks has started by the deadline."""
    now_s = shard.get_time()
    for job in list(shard.cell.jobs.values()):
        if not job.deadline_s or job.deadline_s > now_s or job.cancelled or job.verdict:
            continue
        if all(task.state is TaskState.WAITING for task in job.tasks):
            job.verdict = "deadline passed"
            apply_cancel(shard, job)
