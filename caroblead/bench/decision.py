"""The measurements of the decision systems, each against naive baselines in the same run."""

import contextlib
import gc
import math
import random
import time
import tracemalloc
from dataclasses import dataclass, field

from ..core.data import (
    Batch,
    Gang,
    Job,
    Queue,
    Service,
    Task,
    TaskState,
    Team,
    Urgent,
    Vm,
    Waitable,
)
from ..core.resource import Resources
from ..policy import gang
from ..policy.admission import admit_request
from ..policy.cell import Cell, TeamRow, add_vm, end_task, enqueue_task, put_team
from ..policy.choice import (
    choose_expected,
    choose_least_loaded,
    make_random_choice,
    make_round_robin,
    make_two_choice,
)
from ..policy.placement import place_waiting
from . import world
from .world import (
    ONE_SLOT,
    Arrival,
    World,
    collect_waits,
    draw_shape,
    find_percentile,
    make_cell,
    place_first_fit,
    put_teams,
)

LOADS = (0.7, 1.0, 1.3)
ANATOLIA_VM = Resources(16_000, 65_536, 0, 8)
PRAIRIES_VM = Resources(64_000, 131_072, 0, 8)
LETTER_WORKERS = 560
LETTER_TASKS = 9_400
LETTER_TEAMS = 230
URGENT_LIMIT_S = 6.0


@dataclass(slots=True)
class Row:
    """One figure beside its baselines, with the stated target if there is one."""

    name: str
    figures: dict[str, float]
    target: str = ""
    met: bool | None = None
    unsafe: int = 0


@dataclass(slots=True)
class Results:
    """All rows of a run."""

    rows: list[Row] = field(default_factory=list)

    def add(self, name: str, figures: dict, target: str = "", met=None, unsafe: int = 0):
        """Adds a row."""
        self.rows.append(Row(name, figures, target, met, unsafe))


def plan_requests(
    load: float, slots: int, seconds: float, teams: list[str], seed: int, mean_s: float = 0.4
) -> list[Arrival]:
    """Plans requests of which a quarter are urgent, at a load relative to the slots."""
    generator = random.Random(seed)
    rate = load * slots / mean_s
    arrivals, now_s = [], 0.0
    while now_s < seconds:
        now_s += generator.expovariate(rate)
        urgent = generator.random() < 0.25
        true_s = generator.expovariate(1 / mean_s)
        arrivals.append(
            Arrival(
                now_s,
                generator.choice(teams),
                "check" if urgent else "recalc",
                Urgent() if urgent else Waitable(),
                1,
                ONE_SLOT,
                mean_s,
                ONE_SLOT,
                true_s,
                6.0 if urgent else 30.0,
            )
        )
    return arrivals


def measure_urgent_requests(results: Results, seconds: float = 40.0):
    """Waits of urgent requests at the size of the Anatolian deployment."""
    teams = [f"t{index}" for index in range(6)]
    for load in LOADS:
        waits = {}
        unsafe = 0
        for name, place in (("caroblead", place_waiting), ("fifo_first_fit", place_first_fit)):
            cell = make_cell(25, ANATOLIA_VM)
            put_teams(cell, dict.fromkeys(teams, 1.0))
            arrivals = plan_requests(load, 25 * 8, seconds, teams, seed=1)
            outcome = World(cell, arrivals, place=place).run(seconds)
            waits[name] = find_percentile(collect_waits(outcome, "urgent"), 0.99)
            if name == "caroblead":
                unsafe = outcome.safety.total
        figures = {f"{name}_p99_s": round(value, 3) for name, value in waits.items()}
        met = None
        if load == 1.3:
            met = waits["caroblead"] <= waits["fifo_first_fit"] / 10
        target = "p99 at most a tenth of first fit" if load == 1.3 else ""
        results.add(f"urgent requests at {load:.0%}", figures, target, met, unsafe)


def plan_letter_tasks(load: float, seconds: float, seed: int, workers: int, size_error: float):
    """Plans batch and urgent tasks at a load relative to the cores of the letter's workers."""
    generator = random.Random(seed)
    mean_cores, mean_s = 1750, 18.0
    rate = load * workers * ANATOLIA_VM.millicores / mean_cores / mean_s
    teams = [f"t{index}" for index in range(LETTER_TEAMS)]
    arrivals, now_s = [], 0.0
    while now_s < seconds:
        now_s += generator.expovariate(rate / 4)
        urgent = generator.random() < 0.08
        team = generator.choice(teams)
        true_s = generator.uniform(2, 2 * mean_s - 2)
        shape = draw_shape(generator, ANATOLIA_VM)
        shape = Resources(shape.millicores, min(shape.memory_mb, 4096))
        factor = size_error ** generator.uniform(-1, 1)
        declared = Resources(min(16_000, max(100, int(shape.millicores * factor))), shape.memory_mb)
        arrivals.append(
            Arrival(
                now_s,
                team,
                "now" if urgent else "later",
                Urgent() if urgent else Batch(),
                1 if urgent else 4,
                declared,
                true_s * factor,
                shape,
                true_s,
            )
        )
    return arrivals


def measure_urgent_tasks(results: Results, seconds: float = 60.0, workers: int = 140):
    """Waits of urgent tasks in a cell that batch work fills, with right and wrong sizes."""
    for load, size_error in ((0.7, 1.0), (1.0, 1.0), (1.3, 1.0), (1.3, 10.0)):
        waits, unsafe = {}, 0
        for name, place in (("caroblead", place_waiting), ("fifo_first_fit", place_first_fit)):
            if name == "fifo_first_fit" and size_error > 1:
                continue
            cell = make_cell(workers, ANATOLIA_VM)
            put_teams(cell, {f"t{index}": 1.0 for index in range(LETTER_TEAMS)})
            arrivals = plan_letter_tasks(load, seconds, 2, workers, size_error)
            outcome = World(cell, arrivals, place=place).run(seconds)
            found = collect_waits(outcome, "urgent")
            waits[f"{name}_p99_s"] = round(find_percentile(found, 0.99), 3)
            waits[f"{name}_worst_s"] = round(max(found, default=0.0), 3)
            if outcome.stopped:
                waits[f"{name}_batch_tasks_stopped"] = outcome.stopped
            if name == "caroblead":
                unsafe = outcome.safety.total
        met = waits["caroblead_worst_s"] <= URGENT_LIMIT_S
        sizes = "declared right" if size_error == 1 else "declared up to 10x off"
        results.add(
            f"urgent tasks among batch at {load:.0%}, {sizes}",
            waits,
            "worst under 6 s",
            met,
            unsafe,
        )


def measure_packing(results: Results):
    """How full a cell gets from a task set that exceeds it, against the fractional bound."""
    for name, vm, workers in (
        ("Anatolia", ANATOLIA_VM, 25),
        ("Prairies", PRAIRIES_VM, 25),
        ("letter", ANATOLIA_VM, LETTER_WORKERS),
    ):
        figures, met = {}, True
        for policy, place in (("caroblead", place_waiting), ("fifo_first_fit", place_first_fit)):
            if policy == "fifo_first_fit" and workers > 100:
                continue
            placed, bound = _pack(place, vm, workers)
            figures[f"{policy}_of_bound"] = round(placed / bound, 4)
        met = figures["caroblead_of_bound"] >= 0.95
        results.add(f"packing when full, {name}", figures, "at least 0.95 of the bound", met)


def _pack(place, vm: Resources, workers: int) -> tuple[float, float]:
    """Returns the resources placed and the most that fractions of the same tasks could place.

    Both are sums of the parts of all cores and of all memory. A fractional choice can use no more
    of a resource than there is, nor than the tasks ask for.
    """
    generator = random.Random(5)
    cell = make_cell(workers, vm)
    teams = [f"t{index}" for index in range(LETTER_TEAMS if workers > 100 else 6)]
    put_teams(cell, dict.fromkeys(teams, 1.0))
    cores, memory = cell.capacity.millicores, cell.capacity.memory_mb
    asked_cores = asked_memory = number = 0
    while min(asked_cores / cores, asked_memory / memory) < 1.3:
        need = draw_shape(generator, vm)
        number += 1
        team = generator.choice(teams)
        job = Job(f"j{number}", team, "q", Batch(), 1, need, 10.0)
        task = Task(f"j{number}/0", team, "q", Batch(), need, job, submitted_s=number / 1e6)
        job.tasks.append(task)
        enqueue_task(cell, task)
        asked_cores += need.millicores
        asked_memory += need.memory_mb
    while place(cell, 1.0):
        pass
    used_cores = sum(row.used.millicores for row in cell.teams.values())
    used_memory = sum(row.used.memory_mb for row in cell.teams.values())
    bound = min(1.0, asked_cores / cores) + min(1.0, asked_memory / memory)
    return used_cores / cores + used_memory / memory, bound


def measure_share(results: Results):
    """Distance from fair share in a full cell, after a minute."""
    for name, workers, count, seconds in (("brief", 25, 6, 180.0), ("letter", 560, 230, 90.0)):
        figures = {}
        for policy, place in (("caroblead", place_waiting), ("fifo_first_fit", place_first_fit)):
            if policy == "fifo_first_fit" and workers > 100:
                continue
            figures[f"{policy}_worst_of_own_share"] = round(
                _measure_distance(place, workers, count, seconds), 4
            )
        met = figures["caroblead_worst_of_own_share"] <= 0.05
        results.add(f"distance from fair share, {name}", figures, "at most 0.05", met)


def _measure_distance(place, workers: int, count: int, seconds: float) -> float:
    generator = random.Random(3)
    cell = make_cell(workers, ANATOLIA_VM)
    weights = {f"t{index}": (4.0, 3.0, 1.0, 1.0)[index % 4] for index in range(count)}
    put_teams(cell, weights)
    arrivals = []
    heavy = {f"t{index}": 3 if index % 5 == 0 else 1 for index in range(count)}
    total = sum(weights.values())
    for team in weights:
        budget = 1.6 * cell.capacity.millicores * seconds * heavy[team]
        budget *= max(weights[team] / total, 1 / count)
        spent = 0.0
        while spent < budget:
            cores = generator.choice((500, 1000, 2000))
            run_s = generator.uniform(3, 20)
            spent += cores * run_s * 10
            need = Resources(cores, 1024)
            at_s = generator.uniform(0, 5 if team != "t1" else 20)
            arrivals.append(Arrival(at_s, team, "q", Batch(), 10, need, run_s, need, run_s))
    run = World(cell, arrivals, place=place, sample_after_s=60.0)
    outcome = run.run(seconds)
    used = sum(outcome.usage.values())
    worst = 0.0
    for team, weight in weights.items():
        fair = used * weight / total
        worst = max(worst, (fair - outcome.usage[team]) / fair)
    return worst


def measure_isolation(results: Results, seconds: float = 30.0):
    """What a flood by one team does to another team's urgent requests."""
    figures = {}
    for policy, place in (("caroblead", place_waiting), ("fifo_first_fit", place_first_fit)):
        cell = make_cell(25, ANATOLIA_VM)
        put_teams(cell, {"quiet": 1.0, "flood": 1.0})
        quiet = plan_requests(0.2, 200, seconds, ["quiet"], seed=4)
        flood = plan_requests(2.0, 200, seconds, ["flood"], seed=5)
        outcome = World(cell, quiet + flood, place=place).run(seconds)
        waits = collect_waits(outcome, "urgent", "quiet")
        figures[f"{policy}_p99_s"] = round(find_percentile(waits, 0.99), 3)
    met = figures["caroblead_p99_s"] <= figures["fifo_first_fit_p99_s"] / 10
    results.add("quiet team's urgent requests under a flood", figures, "a tenth of first fit", met)


def measure_choice(results: Results, seconds: float = 40.0):
    """Choice of an endpoint when three of 25 are four times slower than the rest."""
    slow = {"v003": 4.0, "v011": 4.0, "v017": 4.0}
    for load in (0.7, 1.0):
        figures = {}
        for name, choose in (
            ("caroblead", choose_expected),
            ("random", make_random_choice(1)),
            ("round_robin", make_round_robin()),
            ("least_loaded", choose_least_loaded),
            ("two_choices", make_two_choice(1)),
        ):
            cell = make_cell(25, ANATOLIA_VM)
            put_teams(cell, {"t": 1.0})
            arrivals = plan_requests(load * 22.75 / 25, 200, seconds, ["t"], seed=6)
            run = World(cell, arrivals, choose=choose, slow=slow)
            outcome = run.run(seconds)
            mean_s = outcome.useful_s / max(1, outcome.done)
            waits = collect_waits(outcome, "waitable") + collect_waits(outcome, "urgent")
            figures[f"{name}_mean_s"] = round(mean_s + sum(waits) / len(waits), 3)
        best = min(value for name, value in figures.items() if name != "caroblead_mean_s")
        met = figures["caroblead_mean_s"] <= best
        results.add(f"choice of endpoint at {load:.0%}", figures, "no worse than any other", met)


def measure_sizing(results: Results, seconds: float = 240.0):
    """Work done with declared sizes up to ten times off, with and without learning."""
    generator = random.Random(7)
    factors = {f"q{index}": 10 ** generator.uniform(-0.3, 1.0) for index in range(8)}
    for load in LOADS:
        figures = {}
        unsafe = 0
        for name, learning in (("learning", True), ("declared", False)):
            cell = make_cell(25, ANATOLIA_VM)
            cell.sizes.enabled = learning
            put_teams(cell, {"a": 1.0, "b": 1.0})
            outcome = World(cell, _plan_wrong_sizes(load, seconds, factors)).run(seconds)
            figures[f"{name}_done"] = outcome.done
            figures[f"{name}_failed"] = outcome.failed_attempts
            unsafe += outcome.safety.total
        results.add(f"work done with wrong sizes at {load:.0%}", figures, "", None, unsafe)


def _plan_wrong_sizes(load: float, seconds: float, factors: dict[str, float]) -> list[Arrival]:
    generator = random.Random(8)
    rate = load * 25 * 16_000 / 1_500 / 10.0
    arrivals, now_s = [], 0.0
    while now_s < seconds:
        now_s += generator.expovariate(rate)
        queue = generator.choice(list(factors))
        true = Resources(int(generator.uniform(1000, 2000)), int(generator.uniform(1000, 4000)))
        factor = factors[queue] * generator.uniform(0.9, 1.1)
        declared = Resources(
            min(16_000, int(true.millicores * factor)), min(65_536, int(true.memory_mb * factor))
        )
        arrivals.append(
            Arrival(now_s, generator.choice("ab"), queue, Batch(), 1, declared, 10.0, true, 10.0)
        )
    return arrivals


def measure_quarantine(results: Results, seconds: float = 120.0):
    """Two of 25 workers fail everything they start, at once."""
    figures = {}
    for name, quarantine in (("quarantine", True), ("none", False)):
        cell = make_cell(25, ANATOLIA_VM)
        put_teams(cell, {"a": 1.0, "b": 1.0})
        arrivals = _plan_wrong_sizes(0.8, seconds, {"q": 1.0})
        arrivals = [
            Arrival(a.at_s, a.team, a.queue, a.kind, 1, a.declared, 10.0, a.declared, 10.0)
            for a in arrivals
        ]
        broken = frozenset({"v000", "v001"})
        outcome = World(cell, arrivals, quarantine=quarantine, broken=broken).run(seconds)
        figures[f"{name}_done"] = outcome.done
        figures[f"{name}_failed_attempts"] = outcome.failed_attempts
        figures[f"{name}_given_up"] = outcome.given_up
    met = figures["quarantine_failed_attempts"] * 10 <= figures["none_failed_attempts"]
    results.add("two workers that fail everything", figures, "a tenth of the failed attempts", met)


def measure_retries(results: Results, seconds: float = 60.0):
    """Attempts while everything fails for ten seconds, with and without budget and pauses."""
    figures = {}
    for name, budget in (("budget", True), ("none", False)):
        cell = make_cell(25, ANATOLIA_VM)
        put_teams(cell, {"a": 1.0, "b": 1.0})
        arrivals = _plan_wrong_sizes(0.7, seconds, {"q": 1.0})
        arrivals = [
            Arrival(a.at_s, a.team, a.queue, a.kind, 1, a.declared, 10.0, a.declared, 10.0)
            for a in arrivals
        ]
        run = World(cell, arrivals, quarantine=False, outage=(20.0, 30.0), retry_budget=budget)
        outcome = run.run(seconds)
        figures[f"{name}_failed_attempts"] = outcome.failed_attempts
        figures[f"{name}_done"] = outcome.done
    met = figures["budget_failed_attempts"] * 5 <= figures["none_failed_attempts"]
    results.add("attempts in an outage of 10 s", figures, "a fifth of no budget", met)


def _admit_by_deadline(world: World, task: Task, now_s: float) -> bool:
    queue = Queue(task.queue, task.kind, frozenset(), max_waiting=10_000)
    return admit_request(world.cell, queue, task, now_s, "bench", 0.4) is None


def measure_admission(results: Results, seconds: float = 60.0):
    """Requests that start before their deadline at 130% load, by the way of shedding."""
    teams = [f"t{index}" for index in range(6)]
    figures = {}
    limit_s = 2.0
    for name, admit, drop_late in (
        ("deadline", _admit_by_deadline, True),
        ("only_dropping", None, True),
        ("codel", _make_codel(), False),
        ("none", None, False),
    ):
        cell = make_cell(25, ANATOLIA_VM)
        put_teams(cell, dict.fromkeys(teams, 1.0))
        arrivals = [
            Arrival(a.at_s, a.team, a.queue, a.kind, 1, ONE_SLOT, 0.4, ONE_SLOT, a.true_s, limit_s)
            for a in plan_requests(1.3, 200, seconds, teams, seed=9)
        ]
        outcome = World(cell, arrivals, admit=admit, drop_late=drop_late).run(seconds)
        started = outcome.attempts - outcome.late
        figures[f"{name}_in_time"] = round(started / len(arrivals), 3)
        figures[f"{name}_late"] = outcome.late
    met = figures["deadline_in_time"] >= figures["none_in_time"]
    results.add("requests started in time at 130%", figures, "better than no shedding", met)


def _make_codel():
    """Returns a door that refuses while a lane's shortest wait has been too long for a while."""
    target_s, interval_s = 0.1, 0.5
    since: dict[tuple[str, type], float] = {}

    def admit(world: World, task: Task, now_s: float) -> bool:
        place = (task.team, type(task.kind))
        lane = world.cell.teams[task.team].lanes.get(type(task.kind))
        head = next(iter(lane.groups.values()))[0] if lane and lane.size else None
        if head is None or now_s - head.submitted_s < target_s:
            since.pop(place, None)
            return True
        return now_s - since.setdefault(place, now_s) < interval_s

    return admit


def measure_tick(results: Results, seconds: float = 30.0):
    """What the length of the tick costs in waiting and saves in ticks."""
    usual, figures = world.TICK_S, {}
    for tick_s in (0.005, 0.02, 0.1):
        world.TICK_S = tick_s
        cell = make_cell(25, ANATOLIA_VM)
        put_teams(cell, {"t": 1.0})
        run = World(cell, plan_requests(0.7, 200, seconds, ["t"], seed=12))
        outcome = run.run(seconds)
        waits = collect_waits(outcome, "waitable")
        figures[f"{tick_s * 1000:g}_ms_p99_wait_s"] = round(find_percentile(waits, 0.99), 4)
        figures[f"{tick_s * 1000:g}_ms_ticks_per_s"] = round(run.ticks / seconds, 1)
    world.TICK_S = usual
    results.add("length of the tick at 70%", figures)


def measure_gangs(results: Results, seconds: float = 300.0):
    """The longest wait of gangs in a cell that batch work keeps full."""
    figures, unsafe = {}, 0
    for name, reserve in (("reservation", True), ("none", False)):
        generator = random.Random(11)
        cell = make_cell(25, ANATOLIA_VM)
        put_teams(cell, {"batch": 1.0, "gang": 1.0})
        arrivals = []
        for index in range(int(seconds * 16)):
            need = Resources(generator.choice((1000, 2000, 3000)), 2048)
            run_s = generator.uniform(5, 25)
            arrivals.append(Arrival(index / 16, "batch", "q", Batch(), 1, need, run_s, need, run_s))
        for index in range(12):
            need = Resources(14_000, 8_192)
            arrivals.append(
                Arrival(20 + index * 18, "gang", "g", Gang(), 5, need, 10.0, need, 10.0)
            )
        with _gang_reservation(reserve):
            outcome = World(cell, arrivals).run(seconds)
        waits = collect_waits(outcome, "gang")
        figures[f"{name}_started"] = len(waits) // 5
        figures[f"{name}_longest_s"] = round(max(waits, default=0.0), 1)
        unsafe += outcome.safety.total
    met = figures["reservation_started"] >= 10
    results.add("gangs among batch work", figures, "nearly all of 12 start", met, unsafe)


@contextlib.contextmanager
def _gang_reservation(enabled: bool):
    """Switches the reservation of gangs off for the time of a run."""
    usual = gang.RESERVE_AFTER_S
    gang.RESERVE_AFTER_S = usual if enabled else math.inf
    try:
        yield
    finally:
        gang.RESERVE_AFTER_S = usual


def measure_spread(results: Results):
    """How many tasks of a service share the fullest rack."""
    cell = make_cell(24, ANATOLIA_VM)
    put_teams(cell, {"a": 1.0})
    need = Resources(1000, 1024)
    job = Job("s", "a", "q", Service(), 8, need, 0.0)
    for index in range(8):
        task = Task(f"s/{index}", "a", "q", Service(), need, job)
        job.tasks.append(task)
        enqueue_task(cell, task)
    place_waiting(cell, 0.0)
    zones = [task.vm.zone for task in job.tasks]
    fullest = max(zones.count(zone) for zone in zones)
    results.add("tasks of a service in one zone, of 8", {"caroblead": fullest}, "2", fullest == 2)


def build_letter_cell(workers: int, seed: int = 1) -> Cell:
    """Makes a cell with as many running tasks a worker as the letter's fleet has."""
    generator = random.Random(seed)
    cell = make_cell(workers, ANATOLIA_VM)
    put_teams(cell, {f"t{index}": 1.0 for index in range(LETTER_TEAMS)})
    running = LETTER_TASKS * workers // LETTER_WORKERS
    for number in range(running):
        team = f"t{generator.randrange(LETTER_TEAMS)}"
        need = Resources(generator.choice((500, 1000, 1000)), generator.choice((1024, 2048, 4096)))
        job = Job(f"r{number}", team, "q", Batch(), 1, need, 60.0)
        task = Task(f"r{number}/0", team, "q", Batch(), need, job, run_time_s=60.0)
        job.tasks.append(task)
        enqueue_task(cell, task)
    place_waiting(cell, 0.0)
    return cell


def time_placements(cell: Cell, count: int = 1500, seed: int = 2) -> float:
    """Returns the milliseconds that a placement with its end costs in a busy cell."""
    generator = random.Random(seed)
    running = [task for task in cell.tasks.values() if task.vm is not None]
    spent_s = placed = 0.0
    for number in range(count // 10):
        for task in generator.sample(running, 10):
            running.remove(task)
            started = time.perf_counter()
            end_task(cell, task, TaskState.DONE, number)
            spent_s += time.perf_counter() - started
        for index in range(10):
            team = f"t{generator.randrange(LETTER_TEAMS)}"
            need = Resources(generator.choice((500, 1000)), generator.choice((1024, 2048)))
            job = Job(f"n{number}.{index}", team, "q", Batch(), 1, need, 60.0)
            task = Task(f"{job.name}/0", team, "q", Batch(), need, job, run_time_s=60.0)
            job.tasks.append(task)
            enqueue_task(cell, task)
        started = time.perf_counter()
        found = place_waiting(cell, float(number))
        spent_s += time.perf_counter() - started
        placed += len(found)
        running.extend(item.task for item in found)
    return spent_s / placed * 1000


def measure_cost(results: Results):
    """Decision cost by the number of workers, and its slope."""
    sizes = (25, 56, 140, 560)
    costs = {}
    for workers in sizes:
        cell = build_letter_cell(workers)
        costs[workers] = min(time_placements(cell, seed=seed) for seed in (2, 3))
    slope = _fit_slope(list(costs.items()))
    figures = {f"ms_at_{workers}": round(cost, 4) for workers, cost in costs.items()}
    figures["slope"] = round(slope, 3)
    figures["placements_per_s_at_25"] = round(1000 / costs[25])
    met = costs[560] <= 0.2 and slope < 1
    results.add("decision cost", figures, "0.2 ms at 560, slope under 1", met)


def _fit_slope(points: list[tuple[float, float]]) -> float:
    """Returns the exponent of the power law through the points."""
    logs = [(math.log(x), math.log(y)) for x, y in points]
    mean_x = sum(x for x, _ in logs) / len(logs)
    mean_y = sum(y for _, y in logs) / len(logs)
    above = sum((x - mean_x) * (y - mean_y) for x, y in logs)
    return above / sum((x - mean_x) ** 2 for x, _ in logs)


def measure_cancellation(results: Results):
    """The cost of cancelling a wave, by the size of the cell and of the wave."""
    figures = {}
    for workers in (56, 560):
        cell = build_letter_cell(workers)
        victims = [task for task in cell.tasks.values() if task.vm is not None][:500]
        started = time.perf_counter()
        for task in victims:
            end_task(cell, task, TaskState.CANCELLED, 1.0)
        figures[f"us_a_task_at_{workers}"] = round(
            (time.perf_counter() - started) / len(victims) * 1e6, 1
        )
    ratio = figures["us_a_task_at_560"] / figures["us_a_task_at_56"]
    figures["ratio"] = round(ratio, 2)
    results.add("cancellation wave of 500", figures, "ratio near 1 for ten times the cell")


def measure_memory(results: Results):
    """Bytes that one more entity takes."""
    figures = {}
    for name, make in (
        ("running_task", _add_running),
        ("queued_request", _add_queued),
        ("team", _add_teams),
        ("worker", _add_workers),
    ):
        cell = make_cell(560, ANATOLIA_VM)
        put_teams(cell, {"a": 1.0})
        gc.collect()
        tracemalloc.start()
        count = make(cell)
        gc.collect()
        figures[f"{name}_bytes"] = round(tracemalloc.get_traced_memory()[0] / count)
        tracemalloc.stop()
    results.add("memory an entity", figures)


def _add_running(cell: Cell) -> int:
    for number in range(5000):
        need = Resources(500, 512)
        job = Job(f"r{number}", "a", "q", Batch(), 1, need, 60.0)
        task = Task(f"r{number}/0", "a", "q", Batch(), need, job, run_time_s=60.0)
        job.tasks.append(task)
        enqueue_task(cell, task)
    return len(place_waiting(cell, 0.0))


def _add_queued(cell: Cell) -> int:
    for number in range(5000):
        enqueue_task(cell, Task(f"r{number}", "a", "q", Urgent(), ONE_SLOT))
    return 5000


def _add_teams(cell: Cell) -> int:
    for number in range(2000):
        put_team(cell, Team(f"team{number}", 1.0, 10), 10)
        row: TeamRow = cell.teams[f"team{number}"]
        row.lanes.clear()
    return 2000


def _add_workers(cell: Cell) -> int:
    for number in range(2000):
        add_vm(cell, Vm(f"w{number}", "z", "r", ANATOLIA_VM))
    return 2000


MEASUREMENTS = (
    measure_urgent_requests,
    measure_urgent_tasks,
    measure_packing,
    measure_share,
    measure_isolation,
    measure_choice,
    measure_sizing,
    measure_quarantine,
    measure_retries,
    measure_admission,
    measure_tick,
    measure_gangs,
    measure_spread,
    measure_cost,
    measure_cancellation,
    measure_memory,
)


def run_all() -> Results:
    """Runs every measurement."""
    results = Results()
    for measure in MEASUREMENTS:
        measure(results)
    return results
