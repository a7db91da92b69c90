"""Builds test jobs, whose payload defines their behavior on the platform stand-in's VMs."""

import orjson

from ..core.resource import Resources
from ..dispatch.interface import TaskName
from ..jobs.data import JobSpec, JobState, StepSpec
from .vmsimulator import TaskBehavior

# As a number of failing runs it exceeds the attempts that any queue allows, so the job fails.
FAILS_EVERY_RUN = 99


def make_step(count: int = 2, **options) -> StepSpec:
    """Returns a step whose tasks need 1 core and 1024 MB each, unless ``need`` is given."""
    need = options.pop("need", Resources(1000, 1024))
    return StepSpec(count, need, 0.5, **options)


def make_spec(*steps: StepSpec, **fields) -> JobSpec:
    """Returns a job whose tasks behave as its ``fields`` say.

    For example, ``seconds`` is the duration of each run and ``failing_runs`` the number of runs of
    each task that fail before one succeeds.
    """
    return JobSpec(orjson.dumps(fields).decode(), steps)


def read_behavior(job: JobSpec) -> dict[str, float]:
    """Returns the fields of a job's payload, which define how its tasks behave."""
    return orjson.loads(job.payload)


def make_behavior_lookup(site_jobs: dict[str, JobSpec]):
    """Returns a function that looks up a task's behavior in the payload of its job."""

    def get_task_behavior(task: TaskName, number: int) -> TaskBehavior:
        spec = site_jobs[task.job]
        fields = read_behavior(spec)
        fails = number <= fields.get("failing_runs", 0)
        return TaskBehavior(
            fields.get("seconds", 0.5),
            spec.steps[task.step].need,
            fails,
            fields.get("response_ms", 0.0),
            fields.get("disturbs_ms", 0.0),
            spec.steps[task.step].fills,
        )

    return get_task_behavior


def find_end_state(job: JobSpec) -> JobState:
    """Returns the state in which a job must end unless it is cancelled."""
    always_fails = read_behavior(job).get("failing_runs", 0) >= FAILS_EVERY_RUN
    return JobState.FAILED if always_fails else JobState.DONE
