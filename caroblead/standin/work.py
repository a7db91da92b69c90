"""Builds test jobs, whose payload defines their behavior on the platform stand-in's VMs."""

import orjson

from ..core.resource import Resources
from ..dispatch.interface import TaskName
from ..jobs.data import JobSpec, JobState, StepSpec
from .behavior import TaskBehavior

# As a number of failing runs it exceeds the attempts that any queue allows, so the job fails.
FAILS_EVERY_RUN = 99


def make_step(count: int = 2, **options) -> StepSpec:
    """Returns a step whose tasks need 1 core and 1024 MB each, unless ``need`` is given."""
    need = options.pop("need", Resources(1000, 1024))
    return StepSpec(count, need, 0.5, **options)


def make_spec(*steps: StepSpec, **fields) -> JobSpec:
    """Returns a job whose tasks behave as its ``fields`` say.

    For example, ``seconds`` is the duration of each run and ``failing_runs`` the number of runs of
    each task that fail before one succeeds. With ``crashes_after_s`` each run of a task takes its
    VM down so long after its start, for ``down_s`` seconds; with ``crashing_indexes`` only the
    tasks with these indexes do. With ``checkpoint_length`` the tasks of a step that saves
    checkpoints save ones of so many characters.
    """
    return JobSpec(orjson.dumps(fields).decode(), steps)


def read_behavior(job: JobSpec) -> dict[str, float]:
    """Returns the fields of a job's payload, which define how its tasks behave."""
    return orjson.loads(job.payload)


def make_behavior_lookup(site_jobs: dict[str, JobSpec], gangs_wait: bool = False):
    """Returns a function that looks up a task's behavior in the payload of its job.

    With ``gangs_wait`` the members of a gang wait for each other; otherwise each works by itself.
    """

    def get_task_behavior(task: TaskName, number: int) -> TaskBehavior:
        spec = site_jobs[task.job]
        fields = read_behavior(spec)
        fails = number <= fields.get("failing_runs", 0)
        step = spec.steps[task.step]
        return TaskBehavior(
            fields.get("seconds", 0.5),
            step.need,
            fails,
            fields.get("response_ms", 0.0),
            fields.get("disturbs_ms", 0.0),
            spec.steps[task.step].fills,
            fields.get("crashes_after_s") if is_crashing(spec, task) else None,
            fields.get("down_s", 1.0),
            fields.get("checkpoint_length", 0) if step.checkpoints else 0,
            f"{task.job}.{task.occurrence}.{task.step}" if step.gang else str(task),
            step.count if step.gang and gangs_wait else 0,
        )

    return get_task_behavior


def is_crashing(job: JobSpec, task: TaskName) -> bool:
    """Returns whether a task of a job takes down the VMs that start it."""
    fields = read_behavior(job)
    indexes = fields.get("crashing_indexes")
    return "crashes_after_s" in fields and (indexes is None or task.index in indexes)


def is_endless(job: JobSpec) -> bool:
    """Returns whether a job has tasks that run until it is cancelled."""
    return any(step.endless for step in job.steps)


def find_end_state(job: JobSpec) -> JobState:
    """Returns the state that a job must reach unless it is cancelled.

    A job with endless tasks must go on running. A job with crashing tasks must fail.
    """
    fields = read_behavior(job)
    if "crashes_after_s" in fields or fields.get("failing_runs", 0) >= FAILS_EVERY_RUN:
        return JobState.FAILED
    return JobState.RUNNING if is_endless(job) else JobState.DONE
