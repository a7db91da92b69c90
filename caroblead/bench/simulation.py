"""Discrete-event simulation that drives the scheduling policies with planned arrivals.

It has no network and no processes. Arrivals and ends of tasks are events on a heap, a scheduling
tick follows each change, and the accounting is checked after every tick. A baseline replaces one
decision by a naive one and gets the same arrivals.
"""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.data import Gang, Job, Kind, Task, TaskState, Team, Vm
from ..core.resource import Resources, fits
from ..policy.admission import drop_expired
from ..policy.balancing import choose_shortest_wait, observe_latency
from ..policy.cell import (
    Cell,
    add_vm,
    allocate_task,
    end_task,
    enqueue_task,
    put_team,
    release_allocation,
)
from ..policy.fit import find_largest
from ..policy.health import record_failure, record_success
from ..policy.placement import Placement, place_waiting
from ..policy.preempt import choose_victims, find_blocked_urgent_tasks
from ..policy.retry import compute_backoff, earn_retry, spend_retry
from ..policy.sizing import compute_allotment, learn_run_time, learn_use

TICK_S = 0.02
SAMPLE_S = 0.25
# The time a VM takes to stop a task.
STOP_S = 0.5
ONE_SLOT = Resources(slots=1)
# The VMs of the two deployments, and the size to which the fleet is expected to grow.
ANATOLIA_VM = Resources(16_000, 65_536, 0, 8)
PRAIRIES_VM = Resources(64_000, 131_072, 0, 8)
FULL_SCALE_WORKERS = 560
FULL_SCALE_TEAMS = 230


@dataclass(slots=True, frozen=True)
class Arrival:
    """Work that arrives at a given time, with its declared and its actual size.

    ``declared_s`` and ``true_s`` are run times; ``deadline_s`` counts from the arrival.
    """

    at_s: float
    team: str
    queue: str
    kind: Kind
    tasks: int
    declared: Resources
    declared_s: float
    true: Resources
    true_s: float
    deadline_s: float = float("inf")
    repeatable: bool = True


@dataclass(slots=True)
class Safety:
    """Counts of safety violations, which must all be zero."""

    over_capacity: int = 0
    over_limit: int = 0
    partial_gangs: int = 0

    @property
    def total(self) -> int:
        """The sum of all counts."""
        return self.over_capacity + self.over_limit + self.partial_gangs


@dataclass(slots=True)
class Outcome:
    """The results of a simulation run.

    ``waits`` are in seconds, by kind of work and team; ``usage`` is the dominant share of each team
    integrated over time, in seconds.
    """

    safety: Safety = field(default_factory=Safety)
    waits: dict[tuple[str, str], list[float]] = field(default_factory=lambda: defaultdict(list))
    done: int = 0
    failed_attempts: int = 0
    attempts: int = 0
    late: int = 0
    refused: int = 0
    given_up: int = 0
    stopped: int = 0
    usage: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    useful_s: float = 0.0


def make_cell(workers: int, capacity: Resources, racks: int = 6, zones: int = 4) -> Cell:
    """Returns a cell of equal VMs that are spread over racks and zones."""
    cell = Cell()
    for index in range(workers):
        zone = f"z{index % zones}"
        add_vm(cell, Vm(f"v{index:03d}", zone, f"{zone}-r{index // zones // racks}", capacity))
    return cell


def place_first_fit(
    cell: Cell, now_s: float, choose_endpoint=choose_shortest_wait, limit: int = 10**9
) -> list[Placement]:
    """The baseline: one FIFO queue, first-fit placement, with head-of-line blocking.

    A team at its limit is skipped and doesn't block the others.
    """
    waiting = sorted(
        (
            task
            for row in cell.teams.values()
            for backlog in row.backlogs.values()
            for group in backlog.groups.values()
            for task in itertools.islice(group, 64)
        ),
        key=lambda task: task.submitted_s,
    )
    placed = []
    for task in waiting:
        row = cell.teams[task.team]
        if row.running >= row.grant:
            continue
        vm = next((vm for vm in cell.vms.values() if fits(task.need, vm.free)), None)
        if vm is None:
            return placed
        allocate_task(cell, task, vm, task.need, now_s)
        placed.append(Placement(task, vm))
    return placed


class Simulation:
    """One simulation run: a cell, arrivals and the policies under test."""

    def __init__(
        self,
        cell: Cell,
        arrivals: list[Arrival],
        place: Callable = place_waiting,
        choose: Callable = choose_shortest_wait,
        admit: Callable | None = None,
        quarantine: bool = True,
        retry_budget: bool = True,
        failing_vms: frozenset[str] = frozenset(),
        outage: tuple[float, float] = (0.0, 0.0),
        drop_late: bool = False,
        preempt: bool = True,
        slowdowns: dict[str, float] | None = None,
        sample_after_s: float = 0.0,
        seed: int = 1,
    ):
        self.cell = cell
        self.place = place
        self.choose = choose
        self.admit = admit
        self.quarantine = quarantine
        self.retry_budget = retry_budget
        self.failing_vms = failing_vms
        self.outage = outage
        self.drop_late = drop_late
        self.preempt = preempt and place is place_waiting
        self.slowdowns = slowdowns or {}
        self.sample_after_s = sample_after_s
        self.random = random.Random(seed)
        self.outcome = Outcome()
        self.sequence_numbers = itertools.count()
        self.heap: list = []
        self.arrivals_by_task: dict[str, Arrival] = {}
        self.next_tick_s = 0.0
        self.sampled_s = 0.0
        self.ticks = 0
        for arrival in arrivals:
            self._schedule(arrival.at_s, self._arrive, arrival)

    def _schedule(self, at_s: float, action: Callable, *arguments):
        heapq.heappush(self.heap, (at_s, next(self.sequence_numbers), action, arguments))

    def run(self, until_s: float) -> Outcome:
        """Runs until the given time and returns the outcome."""
        while self.heap and self.heap[0][0] <= until_s:
            now_s, _, action, arguments = heapq.heappop(self.heap)
            action(now_s, *arguments)
        return self.outcome

    def _schedule_tick(self, now_s: float):
        if self.next_tick_s <= now_s:
            self.next_tick_s = now_s + TICK_S
            self._schedule(now_s + TICK_S, self._tick)

    def _arrive(self, now_s: float, arrival: Arrival):
        name = f"w{next(self.sequence_numbers)}"
        job = None
        if not arrival.declared.slots:
            job = Job(
                name,
                arrival.team,
                arrival.queue,
                arrival.kind,
                arrival.tasks,
                arrival.declared,
                arrival.declared_s,
                arrival.repeatable,
                now_s,
            )
            self.cell.jobs[name] = job
        for index in range(arrival.tasks):
            task = Task(
                f"{name}/{index}",
                arrival.team,
                arrival.queue,
                arrival.kind,
                arrival.declared,
                job,
                submitted_s=now_s,
                deadline_s=now_s + arrival.deadline_s,
                run_time_s=arrival.declared_s,
                repeatable=arrival.repeatable,
            )
            if self.admit is not None and not self.admit(self, task, now_s):
                self.outcome.refused += 1
                continue
            self.arrivals_by_task[task.name] = arrival
            if job is not None:
                job.tasks.append(task)
            enqueue_task(self.cell, task)
        self._schedule_tick(now_s)

    def _tick(self, now_s: float):
        self.ticks += 1
        if self.drop_late:
            self.outcome.refused += len(drop_expired(self.cell, now_s))
        placed = self.place(self.cell, now_s, self.choose)
        for placement in placed:
            self._start(now_s, placement)
        if self.preempt:
            self._preempt_tasks(now_s)
        self._check_invariants(placed)
        self._sample_usage(now_s)

    def _preempt_tasks(self, now_s: float):
        """Preempts batch tasks for urgent ones; their resources are released after ``STOP_S``."""
        blocked_tasks = find_blocked_urgent_tasks(self.cell)
        for task in blocked_tasks:
            need = compute_allotment(self.cell.sizes, task, find_largest(self.cell))
            for victim in choose_victims(self.cell, task, need, now_s):
                self.outcome.stopped += 1
                self._schedule(now_s + STOP_S, self._stop, victim, victim.attempt)
        if blocked_tasks:
            self._schedule_tick(now_s + TICK_S * 5)

    def _stop(self, now_s: float, task: Task, attempt: int):
        if task.vm is not None and task.attempt == attempt:
            release_allocation(self.cell, task, now_s)
            enqueue_task(self.cell, task, front=True)
            self._schedule_tick(now_s)

    def _start(self, now_s: float, placement: Placement):
        task, vm = placement.task, placement.vm
        arrival = self.arrivals_by_task[task.name]
        self.outcome.attempts += 1
        task.state = TaskState.RUNNING
        if task.attempt == 1:
            earn_retry(self.cell.teams[task.team])
            kind = type(arrival.kind).__name__.lower()
            self.outcome.waits[kind, task.team].append(now_s - task.submitted_s)
            self.outcome.late += now_s > task.deadline_s
        run_s, ok = arrival.true_s * self.slowdowns.get(vm.name, 1.0), True
        if vm.name in self.failing_vms or self.outage[0] <= now_s < self.outage[1]:
            run_s, ok = 0.05, False
        elif arrival.true.memory_mb > task.allotted.memory_mb and not task.need.slots:
            run_s, ok = run_s / 2, False
        elif not task.need.slots:
            cores = max(task.allotted.millicores, 1)
            run_s *= max(1.0, arrival.true.millicores / cores)
        self._schedule(now_s + run_s, self._end, task, task.attempt, ok)

    def _end(self, now_s: float, task: Task, attempt: int, ok: bool):
        if task.vm is None or task.attempt != attempt or now_s < task.started_s:
            return
        vm, arrival = task.vm, self.arrivals_by_task[task.name]
        if task.need.slots:
            observe_latency(vm, now_s - task.started_s)
        else:
            learn_use(self.cell.sizes, task, arrival.true.millicores, arrival.true.memory_mb)
        if ok:
            self._finish(now_s, task)
        else:
            self._fail(now_s, task)
        self._schedule_tick(now_s)

    def _finish(self, now_s: float, task: Task):
        self.outcome.done += 1
        self.outcome.useful_s += now_s - task.started_s
        learn_run_time(self.cell.sizes, task, now_s - task.started_s)
        record_success(self.cell, task.vm)
        end_task(self.cell, task, TaskState.DONE, now_s)

    def _fail(self, now_s: float, task: Task):
        self.outcome.failed_attempts += 1
        vm = task.vm
        give_up = False
        if vm.name in self.failing_vms and self.quarantine:
            give_up = record_failure(self.cell, vm, task, now_s)
        release_allocation(self.cell, task, now_s)
        row = self.cell.teams[task.team]
        if give_up or (self.retry_budget and not spend_retry(row, task) and task.attempt > 4):
            self.outcome.given_up += 1
            self.cell.tasks.pop(task.name, None)
            task.state = TaskState.FAILED
            return
        task.state = TaskState.STOPPED
        pause_s = compute_backoff(task.attempt, self.random) if self.retry_budget else 0.001
        self._schedule(now_s + pause_s, self._retry, task)

    def _retry(self, now_s: float, task: Task):
        enqueue_task(self.cell, task)
        self._schedule_tick(now_s)

    def _check_invariants(self, placed: list[Placement]):
        """Counts safety violations; capacity is recounted from the tasks, not the accounting."""
        safety = self.outcome.safety
        for placement in placed:
            safety.over_capacity += not self._is_within_capacity(placement.vm)
            row = self.cell.teams[placement.task.team]
            safety.over_limit += row.running > row.grant
            if isinstance(placement.task.kind, Gang):
                states = {task.state for task in placement.task.job.tasks}
                safety.partial_gangs += TaskState.WAITING in states

    def _is_within_capacity(self, vm: Vm) -> bool:
        cores = memory = slots = 0
        for task in vm.tasks.values():
            cores += task.allotted.millicores
            memory += task.allotted.memory_mb
            slots += task.allotted.slots
        return fits(Resources(cores, memory, 0, slots), vm.capacity)

    def _sample_usage(self, now_s: float):
        elapsed_s = now_s - self.sampled_s
        if elapsed_s < SAMPLE_S:
            return
        self.sampled_s = now_s
        if now_s < self.sample_after_s:
            return
        capacity = self.cell.capacity
        for name, row in self.cell.teams.items():
            used = row.used
            share = max(
                used.millicores / (capacity.millicores or 1),
                used.memory_mb / (capacity.memory_mb or 1),
                used.slots / (capacity.slots or 1),
            )
            self.outcome.usage[name] += share * elapsed_s


def find_percentile(values: list[float], fraction: float) -> float:
    """Returns the value below which the given fraction of the values lies; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def collect_waits(outcome: Outcome, kind: str, team: str = "") -> list[float]:
    """Returns the waits of a kind of work in seconds, of one team or of all teams."""
    return [
        wait
        for (recorded_kind, name), waits in outcome.waits.items()
        if recorded_kind == kind and team in ("", name)
        for wait in waits
    ]


def draw_shape(generator: random.Random, largest: Resources) -> Resources:
    """Draws the size of a task: mostly small, some large; cores and memory are independent."""
    cores = generator.choice((500, 1000, 1000, 2000, 2000, 4000))
    memory = generator.choice((512, 1024, 2048, 4096, 8192, 8192, 16384))
    return Resources(min(cores, largest.millicores), min(memory, largest.memory_mb))


def put_teams(cell: Cell, weights: dict[str, float], limit: int = 10**6):
    """Adds teams with the given weights and the same limit."""
    for name, weight in weights.items():
        put_team(cell, Team(name, weight, limit), limit)
