"""The jobs of a shard and its stream: taken over by a new owner, and written again in time."""

import time

import eliot

from ..core.data import ENDED, Job, TaskState
from ..fleet.interface import LogError
from ..policy.cell import enqueue_task
from .job import KEEP_ENDED_S, add_job, apply_cancel, check_job_end, delay_call
from .jobbook import JobRecord, fold_records, make_tasks, write_ends, write_job, write_vms
from .recorder import Written
from .shard import Shard


async def read_book(shard: Shard) -> list[str]:
    """Reads the shard's stream on; returns the names of jobs that were new."""
    fresh = []
    while True:
        page = await shard.around.log.read(shard.stream, shard.book.offset)
        if not page.records:
            return fresh
        fresh += fold_records(shard.book, page.records, shard.get_time(), time.time())
        shard.book.offset = page.next


async def restore_jobs(shard: Shard):
    """Takes over the jobs of a shard, once its stream can be read and its VMs are recorded.

    Until then tasks that already run go on, but nothing that waits is started, since only the
    stream tells what has ended.
    """
    tables = shard.tables
    if tables.jobs_ready or tables.restoring or not shard.is_owned():
        return
    tables.restoring = True
    try:
        await read_book(shard)
        lost = shard.book.vms - set(shard.cell.vms)
        added = sorted(set(shard.cell.vms) - shard.book.vms)
        if added:
            result = await shard.recorder.write(write_vms(added, []))
            if not isinstance(result, Written):
                return
        if shard.tables is not tables or not shard.is_owned():
            return
        for vm in shard.cell.vms.values():
            vm.recorded = True
        for record in shard.book.jobs.values():
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


def _restore_job(shard: Shard, record: JobRecord, vms_lost: bool):
    """Puts a job of the stream into the tables beside what its VMs were found to run."""
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
            shard.tables.end_buffer[task.name] = TaskState.LOST
        else:
            enqueue_task(cell, task)
    if record.cancelled:
        apply_cancel(shard, job)
    check_job_end(shard, job)


def _restore_ended_job(shard: Shard, record: JobRecord):
    """Keeps an ended job for a while, for those who ask after it."""
    job = record.job
    job.verdict = f"ended: {record.verdict}"
    for index, task in enumerate(make_tasks(job)):
        task.state = record.ends.get(index, TaskState.CANCELLED)
    shard.cell.jobs[job.name] = job
    delay_call(shard, KEEP_ENDED_S, shard.cell.jobs.pop, job.name, None)


async def follow_book(shard: Shard):
    """Takes in records that a former owner wrote late, and rewrites old ones in time."""
    if not shard.tables.jobs_ready:
        await restore_jobs(shard)
        return
    try:
        fresh = await read_book(shard)
    except LogError:
        return
    for name in fresh:
        if name not in shard.cell.jobs and shard.is_owned():
            add_job(shard, shard.book.jobs[name].job)
    await _refresh_records(shard)


async def _refresh_records(shard: Shard):
    now_s = shard.get_time()
    if now_s - shard.tables.recorded_s < shard.around.limits.record_refresh_s:
        return
    shard.tables.recorded_s = now_s
    await shard.recorder.write(write_vms(sorted(shard.cell.vms), []))
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
        shard.recorder.write(write_job(left, time.time()))
        ends = {task.name: task.state for task in job.tasks if task.state in ENDED}
        if ends:
            shard.recorder.write(write_ends(ends))
