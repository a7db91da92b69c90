"""How the jobs of tests behave: their payload tells it to the stand-in of the VMs."""

import orjson

from ..core.resource import Resources
from ..dispatch.interface import TaskName
from ..jobs.data import JobSpec, JobState, StepSpec
from .taskvm import WorkPlan

# A job whose runs fail this often is given up by any queue.
ALWAYS = 99


def make_step(count: int = 2, **options) -> StepSpec:
    """Returns a step of tasks of a core each."""
    need = options.pop("need", Resources(1000, 1024))
    return StepSpec(count, need, 0.5, **options)


def make_spec(*steps: StepSpec, **fields) -> JobSpec:
    """Returns a job; ``seconds`` and ``failing_runs`` tell how its tasks behave."""
    return JobSpec(orjson.dumps(fields).decode(), steps)


def make_work(job: JobSpec) -> dict[str, float]:
    """Returns the payload's fields, which tell how a test's job behaves."""
    return orjson.loads(job.payload)


def plan_from(site_jobs: dict[str, JobSpec]):
    """Returns how tasks behave: by the payload of their job."""

    def plan_work(task: TaskName, number: int) -> WorkPlan:
        spec = site_jobs[task.job]
        fields = make_work(spec)
        fails = number <= fields.get("failing_runs", 0)
        return WorkPlan(
            fields.get("seconds", 0.5),
            spec.steps[task.step].need,
            fails,
            fields.get("response_ms", 0.0),
            fields.get("disturbs_ms", 0.0),
        )

    return plan_work


def find_end_state(job: JobSpec) -> JobState:
    """Returns the state in which a job should end that nobody cancels."""
    hopeless = make_work(job).get("failing_runs", 0) >= ALWAYS
    return JobState.FAILED if hopeless else JobState.DONE
