"""Compares placement with and without speeds: ``python -m caroblead.bench.speedplacement``.

The steps of a generated load are placed by the planning of the leader on a part of a customer's
VMs, and end after their work divided by the speed of their VM, or of the slowest VM of their gang.
The speeds and the expected work are known exactly, so that only the placement differs. Neither
advice nor delays of orders are part of it. Printed is the part of the jobs of each queue that is
done within its objective, and the part within three times its objective.
"""

import heapq
import math
import random
from dataclasses import dataclass, field

import cyclopts

from ..core.resource import Resources
from ..dispatch.expectation import Expectation
from ..dispatch.features import Features
from ..dispatch.fleet import Fleet, Run, RunPhase, VmRow, book_run, put_vm, release_run
from ..dispatch.interface import Configuration, ListedVm
from ..dispatch.planning import plan_starts
from ..dispatch.work import StepWork, add_run, open_due_occurrences, open_job
from ..jobs.data import Job, JobQueue, JobSpec, Progress, StepSpec
from .durations import CUSTOMERS, JOB_DEVIATION, TASK_DEVIATION, Customer

# The stretch and the latency of the objective of each queue; that of the orders' stretches is not
# known, and 1.5 is assumed.
OBJECTIVES = {
    "proctor reviews": (2.2, 1.0),
    "script marking": (4.0, 3.0),
    "autosaves": (1.5, 0.3),
    "price rebuilds": (1.5, 1.0),
    "stock reconciliation": (1.5, 3.0),
    "order confirmations": (1.5, 0.3),
}
CAPACITIES = {"exams": Resources(16_000, 65_536), "orders": Resources(64_000, 262_144)}
PRIORITIES = {"autosaves": 0, "order confirmations": 0}
DEFAULT_PRIORITY = 2
# Further steps of a job count as jobs.
STEPS_PER_JOB = {
    "proctor reviews": 1.2,
    "script marking": 1.5,
    "price rebuilds": 1.2,
    "stock reconciliation": 1.5,
}
# A quarter of the VMs with a quarter of the jobs.
PART = 0.25
VMS = 44
TICK_S = 0.02
EPOCH_S = 1_000.0

app = cyclopts.App(help="Compares placement with and without speeds.")


@dataclass(slots=True)
class Outcome:
    """The jobs of a queue: all, those done within their objective, and within three times it."""

    jobs: int = 0
    in_time: int = 0
    useful: int = 0


@dataclass(slots=True)
class State:
    """The fleet, the steps that wait, and the ends of runs by time."""

    fleet: Fleet = field(default_factory=Fleet)
    waiting: list[StepWork] = field(default_factory=list)
    ends: list = field(default_factory=list)
    serial: int = 0


def make_fleet(customer: Customer, with_speeds: bool, generator: random.Random):
    """Returns a fleet, and the speed of each VM, which the fleet's rows show if it is known."""
    fleet, speeds = Fleet(), {}
    for number in range(VMS):
        capacity = CAPACITIES[customer.name]
        listed = ListedVm(f"v{number}", 1, "s", "a:1", "z", "r", (), capacity, False)
        row = put_vm(fleet, listed)
        row.answered = True
        speeds[row.name] = generator.choice(customer.speeds)
        row.speed = speeds[row.name] if with_speeds else 1.0
    return fleet, speeds


def make_steps(customer: Customer, seconds: float, load: float, generator: random.Random):
    """Returns the arrival, the step and the work of each job, which has a single step.

    ``load`` is the rate of the jobs relative to a calm period.
    """
    found = []
    for queue in customer.queues:
        stretch, latency_s = OBJECTIVES[queue.name]
        priority = PRIORITIES.get(queue.name, DEFAULT_PRIORITY)
        jobs = JobQueue(queue.name, "h", "/", "s", priority, 1, stretch, latency_s)
        at_s, rate = 0.0, queue.jobs_per_s * STEPS_PER_JOB.get(queue.name, 1.0) * PART * load
        while (at_s := at_s + generator.expovariate(rate)) < seconds:
            work_s = queue.work_s * math.exp(generator.gauss(0, JOB_DEVIATION))
            need = Resources(int(queue.millicores * generator.uniform(0.7, 1.3)), 4096)
            gang = generator.random() < queue.gangs
            spec = StepSpec(queue.tasks, need, work_s, gang=gang)
            name = f"{len(found):016x}"
            job = Job(name, "t", jobs, JobSpec("", (spec,)), EPOCH_S + at_s)
            work = open_job(job, Progress())
            open_due_occurrences(work, EPOCH_S + at_s)
            step = work.steps[0, 0]
            step.expectation = Expectation(work_s, 1.5 * work_s, 100)
            found.append((at_s, step, work_s))
    found.sort(key=lambda item: item[0])
    return found


def replay(
    customer: Customer, with_speeds: bool, seconds: float, seed: int, load: float
) -> dict[str, Outcome]:
    """Returns the outcome of each queue."""
    generator = random.Random(seed)
    fleet, speeds = make_fleet(customer, with_speeds, generator)
    arrivals = make_steps(customer, seconds, load, generator)
    work_by_job = {step.key.job: work_s for _, step, work_s in arrivals}
    state, outcomes, next_arrival = State(fleet), {}, 0
    for _, step, _ in arrivals:
        outcomes.setdefault(step.work.job.queue.name, Outcome()).jobs += 1
    features = Features(learned_durations=with_speeds)
    now_s = 0.0
    while now_s < 2 * seconds:
        now_s += TICK_S
        while state.ends and state.ends[0][0] <= now_s:
            _end_run(state, *heapq.heappop(state.ends)[::2], outcomes)
        while next_arrival < len(arrivals) and arrivals[next_arrival][0] <= now_s:
            state.waiting.append(arrivals[next_arrival][1])
            next_arrival += 1
        _start(state, work_by_job, speeds, now_s, features, generator)
    return outcomes


def _start(state: State, work_by_job, speeds, now_s: float, features, generator: random.Random):
    for row in state.fleet.rows.values():
        row.heard_s = now_s
    plan = plan_starts(
        state.waiting, state.fleet, Configuration(), now_s, EPOCH_S + now_s, features=features
    )
    gangs: dict = {}
    for placement in plan.placements:
        step, row = placement.step, placement.vm
        if step.spec.gang:
            slowest = gangs.get(step.key, math.inf)
            gangs[step.key] = min(slowest, speeds[row.name])
    for placement in plan.placements:
        step, row = placement.step, placement.vm
        run = _add_run(state.fleet, step, placement.index, row)
        speed = gangs.get(step.key, speeds[row.name])
        spread = 1.0 if step.spec.gang else math.exp(generator.gauss(0, TASK_DEVIATION))
        end_s = now_s + work_by_job[step.key.job] * spread / speed
        state.serial += 1
        heapq.heappush(state.ends, (end_s, state.serial, (step, run)))
    if plan.placements:
        state.waiting = [step for step in state.waiting if step.waiting]


def _add_run(fleet: Fleet, step: StepWork, index: int, row: VmRow) -> Run:
    run = Run(step.make_task_name(index), 1, row, "t", step.spec.need, RunPhase.RUNNING)
    # Evictions are not part of the comparison.
    run.evictable = False
    book_run(fleet, run)
    add_run(step, run)
    return run


def _end_run(state: State, end_s: float, ended: tuple, outcomes: dict[str, Outcome]):
    step, run = ended
    release_run(state.fleet, run)
    step.active.pop(run.task.index)
    step.step_progress.done.add(run.task.index)
    if len(step.step_progress.done) < step.spec.count:
        return
    work = step.work
    took_s = EPOCH_S + end_s - work.job.accepted_s
    outcome = outcomes[work.job.queue.name]
    outcome.in_time += took_s <= work.target_s
    outcome.useful += took_s <= 3.0 * work.target_s


def replay_all(
    customer: Customer, with_speeds: bool, seconds: float, seeds: int, load: float
) -> dict[str, Outcome]:
    """Returns the sums of the outcomes of several seeds by queue."""
    sums = {queue.name: Outcome() for queue in customer.queues}
    for seed in range(1, seeds + 1):
        for name, outcome in replay(customer, with_speeds, seconds, seed, load).items():
            sums[name].jobs += outcome.jobs
            sums[name].in_time += outcome.in_time
            sums[name].useful += outcome.useful
    return sums


@app.default
def measure(*, seconds: float = 40.0, seeds: int = 6, load: float = 1.0):
    """Prints the part of the jobs that is in time, and useful, without and with speeds."""
    print(f"seeds 1 to {seeds}, {seconds:g} s at {load:g} times the calm load on {VMS} VMs")
    print(f"{'':32}{'jobs':>6}{'in time without, with':>24}{'useful without, with':>24}")
    for customer in CUSTOMERS:
        without = replay_all(customer, False, seconds, seeds, load)
        with_speeds = replay_all(customer, True, seconds, seeds, load)
        for queue in customer.queues:
            before, after = without[queue.name], with_speeds[queue.name]
            in_time = f"{before.in_time / before.jobs:.3f} {after.in_time / after.jobs:.3f}"
            useful = f"{before.useful / before.jobs:.3f} {after.useful / after.jobs:.3f}"
            name = f"{customer.name}, {queue.name}"
            print(f"{name:32}{before.jobs:6}{in_time:>24}{useful:>24}")


if __name__ == "__main__":
    app()
