"""The records of a shard's jobs, and what they add up to when they are read back.

A job is accepted once its record stands in the stream of its shard. The ends of its tasks are
recorded before their VM may forget them, so a new owner finds each task either in the stream, or on
its VM, or knows that its VM was lost. The names of the shard's VMs are recorded before they get
work for the same reason: a task that may not be repeated is started by a new owner only when every
VM on which it could have run has been heard.
"""

import json
from dataclasses import dataclass, field

from ..core.data import KINDS, Job, Task, TaskState, name_kind
from ..core.resource import Resources


@dataclass(slots=True)
class JobRecord:
    """A job as its records tell it, with the recorded ends of its tasks."""

    job: Job
    ends: dict[int, TaskState] = field(default_factory=dict)
    cancelled: bool = False
    verdict: str = ""


@dataclass(slots=True)
class JobBook:
    """All jobs of a stream, the VMs that had work and have not been settled, and claims."""

    jobs: dict[str, JobRecord] = field(default_factory=dict)
    vms: set[str] = field(default_factory=set)
    offset: int = 0
    cut: bool = False


def write_job(job: Job, wall_s: float) -> dict:
    """Returns the record by which a job is accepted."""
    need = job.need
    return {
        "k": "job",
        "id": job.name,
        "team": job.team,
        "queue": job.queue,
        "kind": name_kind(job.kind),
        "tasks": job.task_count,
        "need": [need.millicores, need.memory_mb, need.accelerators, need.slots],
        "run_s": job.run_time_s,
        "by": wall_s + job.deadline_s if job.deadline_s else 0,
        "rep": job.repeatable,
    }


def read_job(record: dict, now_s: float, wall_s: float) -> Job:
    """Makes a job from its record; its deadline is turned into the process's own time."""
    left_s = record["by"] - wall_s if record["by"] else 0.0
    return Job(
        record["id"],
        record["team"],
        record["queue"],
        KINDS[record["kind"]],
        record["tasks"],
        Resources(*record["need"]),
        record["run_s"],
        record["rep"],
        now_s,
        now_s + left_s if record["by"] else 0.0,
    )


def write_ends(ends: dict[str, TaskState]) -> dict:
    """Returns the record of the ends of tasks."""
    return {"k": "ends", "ends": {name: str(state) for name, state in ends.items()}}


def write_vms(added: list[str], gone: list[str]) -> dict:
    """Returns the record of VMs that may get work, and of those whose loss was settled."""
    return {"k": "vms", "add": added, "gone": gone}


def write_verdict(job: str, verdict: str) -> dict:
    """Returns the record of the end of a job."""
    return {"k": "end", "id": job, "verdict": verdict}


def write_cancel(job: str) -> dict:
    """Returns the record of a cancellation."""
    return {"k": "cancel", "id": job}


def split_task_name(name: str) -> tuple[str, int]:
    """Splits ``job/3`` into the job's name and the index of the task."""
    job, _, index = name.rpartition("/")
    return job, int(index)


def fold_records(book: JobBook, texts: list[str], now_s: float, wall_s: float) -> list[str]:
    """Takes in records in their order and returns the names of jobs that were new.

    A record that stands twice, because an append was repeated, has no effect the second time.
    """
    fresh = []
    for text in texts:
        record = json.loads(text)
        kind = record["k"]
        if kind == "job" and record["id"] not in book.jobs:
            book.jobs[record["id"]] = JobRecord(read_job(record, now_s, wall_s))
            fresh.append(record["id"])
        elif kind == "ends":
            for name, state in record["ends"].items():
                job, index = split_task_name(name)
                if job in book.jobs:
                    book.jobs[job].ends[index] = TaskState(state)
        elif kind == "vms":
            book.vms.update(record["add"])
            book.vms.difference_update(record["gone"])
        elif kind == "cancel" and record["id"] in book.jobs:
            book.jobs[record["id"]].cancelled = True
        elif kind == "end" and record["id"] in book.jobs:
            book.jobs[record["id"]].verdict = record["verdict"]
    return fresh


def make_tasks(job: Job) -> list[Task]:
    """Makes the tasks of a job, all waiting."""
    job.tasks = [
        Task(
            f"{job.name}/{index}",
            job.team,
            job.queue,
            job.kind,
            job.need,
            job,
            submitted_s=job.submitted_s,
            deadline_s=job.deadline_s or float("inf"),
            run_time_s=job.run_time_s,
            repeatable=job.repeatable,
        )
        for index in range(job.task_count)
    ]
    return job.tasks


def write_label(task: Task) -> str:
    """Returns the label under which a VM lists a task, enough to take the task over."""
    job = task.job
    need = job.need
    return json.dumps(
        [
            job.name,
            job.team,
            job.queue,
            name_kind(job.kind),
            job.task_count,
            [need.millicores, need.memory_mb, need.accelerators, need.slots],
            job.run_time_s,
            job.repeatable,
        ],
        separators=(",", ":"),
    )


def read_label(label: str, now_s: float) -> Job:
    """Makes a job from the label of one of its tasks."""
    name, team, queue, kind, count, need, run_s, repeatable = json.loads(label)
    return Job(name, team, queue, KINDS[kind], count, Resources(*need), run_s, repeatable, now_s)
