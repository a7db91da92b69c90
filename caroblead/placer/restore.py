"""Restores the jobs of a shard from its stream, and rewrites their records before they expire."""

import time

import eliot

from ..core.data import ENDED, Job, TaskState
from ..core.outcome import LogError
from ..policy.cell import enqueue_task
from .job import ENDED_JOB_RETENTION_S, add_job, apply_cancel, check_job_end, delay_call
from .jobrecord import (
    RestoredJob,
    fold_records,
    make_ends_record,
    make_job_record,
    make_tasks,
    make_vms_record,
)
from .recorder import Written
from .shard import Shard


async def read_job_stream(shard: Shard) -> list[str]:
    """Reads the rest of the shard's stream and returns the names of jobs that were new."""
    new_names = []
    while True:
        page = await shard.context.log.read(shard.stream, shard.recorded_state.offset)
        if not page.records:
            return new_names
        new_names += fold_records(shard.recorded_state, page.records, shard.get_time(), time.time())
        shard.recorded_state.offset = page.next


async def restore_jobs(shard: Shard):
    """Takes over the jobs of a shard, once its stream can be read and its VMs are recorded.

    Until then running tasks continue, but no waiting task of a recorded job is started, since only
    the stream shows which tasks have ended.
    """
    tables = shard.tables
    if tables.jobs_ready or tables.restoring or not shard.is_owned():
        return
    tables.restoring = True
    try:
        await read_job_stream(shard)
        lost = shard.recorded_state.vms - set(shard.cell.vms)
        added = sorted(set(shard.cell.vms) - shard.recorded_state.vms)
        if added:
            result = await shard.recorder.write(make_vms_record(added, []))
            if not isinstance(result, Written):
                return
        if shard.tables is not tables or not shard.is_owned():
            return
        for vm in shard.cell.vms.values():
            vm.recorded = True
        for record in shard.recorded_state.jobs.values():
            if record.verdict:
                _restore_ended_job(shard, record)
            else:
                _restore_job(shard, record, bool(lost))
        tables.gone_vms |= lost
        tables.jobs_ready = True
    except LogError as error:
        eliot.log_message("job:restore_waits", shard=shard.name, detail=str(error))
    finally:
        tables.restoring = False


def _restore_job(shard: Shard, record: RestoredJob, vms_lost: bool):
    """Adds a job of the stream to the tables, merged with its tasks that VMs reported."""
    cell = shard.cell
    job = cell.jobs.get(record.job.name)
    if job is None:
        job = record.job
        job.tasks = []
        cell.jobs[job.name] = job
    job.submitted_s, job.deadline_s = record.job.submitted_s, record.job.deadline_s
    found = {task.name: task for task in job.tasks}
    if job.team not in cell.teams:
        return
    tasks = make_tasks(job)
    job.tasks = [found.get(task.name, task) for task in tasks]
    for index, task in enumerate(job.tasks):
        if task.name in found:
            continue
        if index in record.ends:
            task.state = record.ends[index]
        elif not job.repeatable and vms_lost:
            task.state = TaskState.LOST
            shard.tables.unrecorded_ends[task.name] = TaskState.LOST
        else:
            enqueue_task(cell, task)
    if record.cancelled:
        apply_cancel(shard, job)
    check_job_end(shard, job)


def _restore_ended_job(shard: Shard, record: RestoredJob):
    """Keeps an ended job for a limited time, so that callers can query its state."""
    job = record.job
    job.verdict = f"ended: {record.verdict}"
    for index, task in enumerate(make_tasks(job)):
        task.state = record.ends.get(index, TaskState.CANCELLED)
    shard.cell.jobs[job.name] = job
    delay_call(shard, ENDED_JOB_RETENTION_S, shard.cell.jobs.pop, job.name, None)


async def follow_job_stream(shard: Shard):
    """Applies new records of the stream, and rewrites records before the log drops them.

    New records may come from a former owner whose append took effect late.
    """
    if not shard.tables.jobs_ready:
        await restore_jobs(shard)
        return
    try:
        new_names = await read_job_stream(shard)
    except LogError:
        return
    for name in new_names:
        if name not in shard.cell.jobs and shard.is_owned():
            add_job(shard, shard.recorded_state.jobs[name].job)
    await _refresh_records(shard)


async def _refresh_records(shard: Shard):
    now_s = shard.get_time()
    if now_s - shard.tables.recorded_s < shard.context.limits.record_refresh_s:
        return
    shard.tables.recorded_s = now_s
    await shard.recorder.write(make_vms_record(sorted(shard.cell.vms), []))
    for job in list(shard.cell.jobs.values()):
        if job.verdict:
            continue
        left = Job(
            job.name,
            job.team,
            job.queue,
            job.kind,
            job.task_count,
            job.need,
            job.run_time_s,
            job.repeatable,
            job.submitted_s,
            max(job.deadline_s - now_s, 0.001) if job.deadline_s else 0.0,
        )
        shard.recorder.write(make_job_record(left, time.time()))
        ends = {task.name: task.state for task in job.tasks if task.state in ENDED}
        if ends:
            shard.recorder.write(make_ends_record(ends))
