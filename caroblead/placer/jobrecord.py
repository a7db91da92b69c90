"""The log records of a shard's jobs, and the state that results from replaying them.

A job is accepted once its record is in the stream of its shard. The ends of its tasks are
recorded before their VM may forget them, so a new owner finds each task either in the stream or on
its VM, or knows that its VM was lost. The names of the shard's VMs are recorded before the VMs get
work for the same reason: a new owner starts a task that must not be repeated only when every VM on
which it could have run has reported.
"""

import json
from dataclasses import dataclass, field

from ..core.data import KINDS, Job, Task, TaskState, name_kind
from ..core.resource import Resources


@dataclass(slots=True)
class RestoredJob:
    """A job as restored from its records, with the recorded ends of its tasks by index."""

    job: Job
    ends: dict[int, TaskState] = field(default_factory=dict)
    cancelled: bool = False
    verdict: str = ""


@dataclass(slots=True)
class RecordedState:
    """The state that results from replaying a shard's stream.

    ``vms`` has the VMs that may have had work and were not recorded as gone; ``offset`` is the
    offset in the stream at which to read next.
    """

    jobs: dict[str, RestoredJob] = field(default_factory=dict)
    vms: set[str] = field(default_factory=set)
    offset: int = 0
    cut: bool = False


def make_job_record(job: Job, wall_s: float) -> dict:
    """Returns the record by which a job is accepted.

    The record has the deadline in wall-clock time, since monotonic clocks differ between processes:
    ``wall_s`` is the present wall-clock time and ``job.deadline_s`` the time left, both in seconds.
    """
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


def parse_job_record(record: dict, now_s: float, wall_s: float) -> Job:
    """Makes a job from its record; converts the deadline to this process's monotonic clock."""
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


def make_ends_record(ends: dict[str, TaskState]) -> dict:
    """Returns the record of ended tasks with their final states."""
    return {"k": "ends", "ends": {name: str(state) for name, state in ends.items()}}


def make_vms_record(added: list[str], gone: list[str]) -> dict:
    """Returns the record of VMs that may get work, and of lost VMs whose tasks were all ended."""
    return {"k": "vms", "add": added, "gone": gone}


def make_verdict_record(job: str, verdict: str) -> dict:
    """Returns the record of a job's end and its verdict."""
    return {"k": "end", "id": job, "verdict": verdict}


def make_cancel_record(job: str) -> dict:
    """Returns the record of a job's cancellation."""
    return {"k": "cancel", "id": job}


def split_task_name(name: str) -> tuple[str, int]:
    """Splits ``job/3`` into the job's name and the index of the task."""
    job, _, index = name.rpartition("/")
    return job, int(index)


def fold_records(
    recorded_state: RecordedState, texts: list[str], now_s: float, wall_s: float
) -> list[str]:
    """Applies records in log order and returns the names of jobs that were new.

    Applying a record is idempotent: a duplicate from a repeated append has no effect.
    """
    new_names = []
    for text in texts:
        record = json.loads(text)
        kind = record["k"]
        if kind == "job" and record["id"] not in recorded_state.jobs:
            recorded_state.jobs[record["id"]] = RestoredJob(parse_job_record(record, now_s, wall_s))
            new_names.append(record["id"])
        elif kind == "ends":
            for name, state in record["ends"].items():
                job, index = split_task_name(name)
                if job in recorded_state.jobs:
                    recorded_state.jobs[job].ends[index] = TaskState(state)
        elif kind == "vms":
            recorded_state.vms.update(record["add"])
            recorded_state.vms.difference_update(record["gone"])
        elif kind == "cancel" and record["id"] in recorded_state.jobs:
            recorded_state.jobs[record["id"]].cancelled = True
        elif kind == "end" and record["id"] in recorded_state.jobs:
            recorded_state.jobs[record["id"]].verdict = record["verdict"]
    return new_names


def make_tasks(job: Job) -> list[Task]:
    """Replaces the tasks of a job by new ones in the waiting state and returns them."""
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


def make_label(task: Task) -> str:
    """Returns the label that a VM reports with a task, from which a new owner can take it over."""
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


def parse_label(label: str, now_s: float) -> Job:
    """Makes a job from the label of one of its tasks."""
    name, team, queue, kind, count, need, run_s, repeatable = json.loads(label)
    return Job(name, team, queue, KINDS[kind], count, Resources(*need), run_s, repeatable, now_s)
