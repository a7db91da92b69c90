"""Measures the cost of placements and cancellations by cell size, and memory per entity."""

import gc
import math
import random
import time
import tracemalloc

from ..core.data import Batch, Job, Task, TaskState, Team, Urgent, Vm
from ..core.resource import Resources
from ..policy.cell import Cell, TeamRow, add_vm, end_task, enqueue_task, put_team
from ..policy.placement import place_waiting
from .result import Results
from .simulation import (
    ANATOLIA_VM,
    FULL_SCALE_TEAMS,
    FULL_SCALE_WORKERS,
    ONE_SLOT,
    make_cell,
    put_teams,
)

FULL_SCALE_TASKS = 9_400


def build_loaded_cell(workers: int, seed: int = 1) -> Cell:
    """Returns a cell with as many running tasks per worker as the full-scale fleet has."""
    generator = random.Random(seed)
    cell = make_cell(workers, ANATOLIA_VM)
    put_teams(cell, {f"t{index}": 1.0 for index in range(FULL_SCALE_TEAMS)})
    running = FULL_SCALE_TASKS * workers // FULL_SCALE_WORKERS
    for number in range(running):
        team = f"t{generator.randrange(FULL_SCALE_TEAMS)}"
        need = Resources(generator.choice((500, 1000, 1000)), generator.choice((1024, 2048, 4096)))
        job = Job(f"r{number}", team, "q", Batch(), 1, need, 60.0)
        task = Task(f"r{number}/0", team, "q", Batch(), need, job, run_time_s=60.0)
        job.tasks.append(task)
        enqueue_task(cell, task)
    place_waiting(cell, 0.0)
    return cell


def time_placements(cell: Cell, count: int = 1500, seed: int = 2) -> float:
    """Returns the milliseconds of a placement and the end of a task together, in a loaded cell."""
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
            team = f"t{generator.randrange(FULL_SCALE_TEAMS)}"
            need = Resources(generator.choice((500, 1000)), generator.choice((1024, 2048)))
            job = Job(f"n{number}.{index}", team, "q", Batch(), 1, need, 60.0)
            task = Task(f"{job.name}/0", team, "q", Batch(), need, job, run_time_s=60.0)
            job.tasks.append(task)
            enqueue_task(cell, task)
        started = time.perf_counter()
        placements = place_waiting(cell, float(number))
        spent_s += time.perf_counter() - started
        placed += len(placements)
        running.extend(item.task for item in placements)
    return spent_s / placed * 1000


def measure_cost(results: Results):
    """Measures the cost of a decision by the number of workers, and how it scales with them."""
    sizes = (25, 56, 140, 560)
    costs = {}
    for workers in sizes:
        cell = build_loaded_cell(workers)
        costs[workers] = min(time_placements(cell, seed=seed) for seed in (2, 3))
    slope = _fit_slope(list(costs.items()))
    figures = {f"ms_at_{workers}": round(cost, 4) for workers, cost in costs.items()}
    figures["slope"] = round(slope, 3)
    figures["placements_per_s_at_25"] = round(1000 / costs[25])
    met = costs[560] <= 0.2 and slope < 1
    results.add("decision cost", figures, "0.2 ms at 560, slope under 1", met)


def _fit_slope(points: list[tuple[float, float]]) -> float:
    """Returns the exponent of the power law that is fitted to the points."""
    logs = [(math.log(x), math.log(y)) for x, y in points]
    mean_x = sum(x for x, _ in logs) / len(logs)
    mean_y = sum(y for _, y in logs) / len(logs)
    cross_product_sum = sum((x - mean_x) * (y - mean_y) for x, y in logs)
    return cross_product_sum / sum((x - mean_x) ** 2 for x, _ in logs)


def measure_cancellation(results: Results):
    """Measures the cost of cancelling 500 tasks at once, by the size of the cell."""
    figures = {}
    for workers in (56, 560):
        cell = build_loaded_cell(workers)
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
    """Measures the bytes of memory that each additional entity takes."""
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
        row.backlogs.clear()
    return 2000


def _add_workers(cell: Cell) -> int:
    for number in range(2000):
        add_vm(cell, Vm(f"w{number}", "z", "r", ANATOLIA_VM))
    return 2000
