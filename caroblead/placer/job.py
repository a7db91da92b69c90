"""Jobs of a shard: acceptance, cancellation and the ends of tasks."""

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
from ..policy.cell import end_task, enqueue_task, give_back, list_open_tasks
from ..policy.gang import release_reservation
from ..policy.health import record_failure, record_success
from ..policy.retry import compute_backoff, spend_retry
from ..policy.sizing import learn_run_time
from ..wire.gen import ttypes
from .jobbook import (
    make_tasks,
    write_cancel,
    write_ends,
    write_job,
    write_verdict,
    write_vms,
)
from .recorder import NotWritten, Written
from .shard import Shard

LOG_RETRY_S = 1.0
# Ended jobs are kept this long for those who ask after them.
KEEP_ENDED_S = 600.0
# A retry that the team's budget does not cover waits this long.
OVER_BUDGET_PAUSE_S = 30.0


def make_fault(shard: Shard, reason: Reason, step: Step, detail: str) -> Fault:
    """Returns a fault that arose in this placer."""
    return Fault(reason, step, shard.around.node, detail, "", LOG_RETRY_S)


async def submit_job(shard: Shard, queue: Queue, message: ttypes.SubmitJob) -> Outcome:
    """Accepts a job by recording it, or says that it will not run, or that nobody can tell."""
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
    fault = admit_job(shard.cell, queue, job, shard.around.node)
    if fault is not None:
        return NotRun(fault)
    result = await shard.recorder.write(write_job(job, time.time()))
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
    """Puts a recorded job into the tables, where the next tick finds its tasks."""
    if job.name in shard.cell.jobs:
        return
    shard.cell.jobs[job.name] = job
    if job.team not in shard.cell.teams:
        job.verdict = "no such team"
        return
    for task in make_tasks(job):
        enqueue_task(shard.cell, task)
    shard.around.timeline.emit(
        JobAccepted(job.name, job.team, job.queue, job.task_count, job.repeatable)
    )


async def cancel_job(shard: Shard, job: Job) -> Outcome:
    """Cancels a job once the cancellation is recorded."""
    result = await shard.recorder.write(write_cancel(job.name))
    if not isinstance(result, Written):
        return NotRun(make_fault(shard, Reason.LOG_DOWN, Step.RECORD, "not cancelled"))
    apply_cancel(shard, job)
    return Answered(200, b"")


def apply_cancel(shard: Shard, job: Job):
    """Ends the waiting tasks of a job and stops the running ones.

    The cost grows with the job's own tasks only, so a wave of cancellations costs as much as what
    it cancels.
    """
    job.cancelled = True
    release_reservation(shard.cell, job.name)
    for task in list_open_tasks(job):
        if task.state is TaskState.WAITING:
            end_task(shard.cell, task, TaskState.CANCELLED, shard.get_time())
        elif task.vm is not None:
            lease = shard.leases.get(task.vm.name)
            if lease is not None:
                lease.stop.add(task.name)
    check_job_end(shard, job)


def finish_task(shard: Shard, task: Task, result: RunState | None, note: str = ""):
    """Takes in how a task's attempt ended; ``None`` means that it was lost with its VM."""
    cell, now_s, vm, job = shard.cell, shard.get_time(), task.vm, task.job
    shard.around.timeline.emit(
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
            _try_again(shard, task, result)
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
    shard.tables.end_buffer[name] = state
    if vm is not None:
        shard.tables.end_vms[name] = vm.name


def _try_again(shard: Shard, task: Task, result: RunState | None):
    lease = shard.leases.get(task.vm.name)
    if lease is not None:
        lease.forget.add(task.name)
    give_back(shard.cell, task, shard.get_time())
    if result is RunState.FAILED:
        in_budget = spend_retry(shard.cell.teams[task.team], task)
        backoff_s = compute_backoff(task.attempt, shard.around.random)
        pause_s = backoff_s if in_budget else OVER_BUDGET_PAUSE_S
        task.state = TaskState.STOPPED
        delay_call(shard, pause_s, _enqueue_again, shard, task)
        return
    enqueue_task(shard.cell, task, front=True)


def delay_call(shard: Shard, delay_s: float, callback, *arguments):
    """Calls back later, unless the shard has a new owner by then."""
    tables = shard.tables

    def call():
        if shard.tables is tables and shard.is_owned():
            callback(*arguments)

    asyncio.get_running_loop().call_later(delay_s, call)


def _enqueue_again(shard: Shard, task: Task):
    if task.state is not TaskState.STOPPED:
        return
    if task.job is not None and task.job.cancelled:
        _close_task(shard, task, TaskState.CANCELLED)
        check_job_end(shard, task.job)
        return
    enqueue_task(shard.cell, task, front=True)


def _restart_gang(shard: Shard, job: Job):
    """Stops what is left of a gang that lost a member, so that all start together again."""
    for task in job.tasks:
        if task.vm is not None and task.state in (TaskState.RUNNING, TaskState.STARTING):
            lease = shard.leases.get(task.vm.name)
            if lease is not None:
                lease.stop.add(task.name)


def check_job_end(shard: Shard, job: Job):
    """Ends a job whose tasks have all ended."""
    if not job.tasks or any(task.state not in ENDED for task in job.tasks):
        return
    if job.name in shard.tables.verdict_buffer or job.verdict.startswith("ended"):
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
    shard.tables.verdict_buffer[job.name] = verdict
    shard.around.timeline.emit(JobEnded(job.name, verdict))


async def flush_ends(shard: Shard):
    """Records the ends of tasks, after which their VMs may forget them."""
    tables = shard.tables
    if not (tables.end_buffer or tables.verdict_buffer or tables.gone_vms):
        return
    ends, tables.end_buffer = tables.end_buffer, {}
    verdicts, tables.verdict_buffer = tables.verdict_buffer, {}
    gone, tables.gone_vms = tables.gone_vms, set()
    futures = []
    if ends:
        futures.append(shard.recorder.write(write_ends(ends)))
    if gone:
        futures.append(shard.recorder.write(write_vms([], sorted(gone))))
    futures.extend(
        shard.recorder.write(write_verdict(job, verdict)) for job, verdict in verdicts.items()
    )
    results = [await future for future in futures]
    if not all(isinstance(result, Written) for result in results):
        tables.end_buffer = {**ends, **tables.end_buffer}
        tables.verdict_buffer = {**verdicts, **tables.verdict_buffer}
        tables.gone_vms |= gone
        return
    for name in ends:
        lease = shard.leases.get(tables.end_vms.pop(name, ""))
        if lease is not None:
            lease.forget.add(name)
    for name in verdicts:
        delay_call(shard, KEEP_ENDED_S, shard.cell.jobs.pop, name, None)


def describe_job(job: Job) -> ttypes.JobState:
    """Returns the state of a job for a caller who asks."""
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


def drop_late_jobs(shard: Shard):
    """Ends jobs that have not started any task by their deadline."""
    now_s = shard.get_time()
    for job in list(shard.cell.jobs.values()):
        if not job.deadline_s or job.deadline_s > now_s or job.cancelled or job.verdict:
            continue
        if all(task.state is TaskState.WAITING for task in job.tasks):
            job.verdict = "deadline passed"
            apply_cancel(shard, job)
