"""Measures urgent tasks among batch work, packing, fair share, gangs and services."""

import contextlib
import math
import random

from ..core.data import Batch, Gang, Job, Service, Task, Urgent
from ..core.resource import Resources
from ..policy import gang
from ..policy.cell import enqueue_task
from ..policy.placement import place_waiting
from .result import Results
from .simulation import (
    ANATOLIA_VM,
    FULL_SCALE_TEAMS,
    FULL_SCALE_WORKERS,
    PRAIRIES_VM,
    Arrival,
    Simulation,
    collect_waits,
    draw_shape,
    find_percentile,
    make_cell,
    place_first_fit,
    put_teams,
)

URGENT_WAIT_TARGET_S = 6.0


def plan_task_arrivals(load: float, seconds: float, seed: int, workers: int, size_error: float):
    """Plans batch and urgent tasks; 8% of the arrivals are urgent.

    ``load`` is the offered load as a fraction of the cores of the workers. Declared cores and run
    times are wrong by a factor of up to ``size_error`` either way.
    """
    generator = random.Random(seed)
    mean_cores, mean_s = 1750, 18.0
    rate = load * workers * ANATOLIA_VM.millicores / mean_cores / mean_s
    teams = [f"t{index}" for index in range(FULL_SCALE_TEAMS)]
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


def measure_urgent_tasks(
    results: Results, seconds: float = 40.0, workers: int = FULL_SCALE_WORKERS
):
    """Measures the waits of urgent tasks in a cell full of batch work, by the error in sizes."""
    for load, size_error in ((0.7, 1.0), (1.0, 1.0), (1.3, 1.0), (1.3, 10.0)):
        waits, unsafe = {}, 0
        for name, place in (("caroblead", place_waiting), ("fifo_first_fit", place_first_fit)):
            if name == "fifo_first_fit" and size_error > 1:
                continue
            cell = make_cell(workers, ANATOLIA_VM)
            put_teams(cell, {f"t{index}": 1.0 for index in range(FULL_SCALE_TEAMS)})
            arrivals = plan_task_arrivals(load, seconds, 2, workers, size_error)
            outcome = Simulation(cell, arrivals, place=place).run(seconds)
            found = collect_waits(outcome, "urgent")
            waits[f"{name}_p99_s"] = round(find_percentile(found, 0.99), 3)
            waits[f"{name}_worst_s"] = round(max(found, default=0.0), 3)
            if outcome.stopped:
                waits[f"{name}_batch_tasks_stopped"] = outcome.stopped
            if name == "caroblead":
                unsafe = outcome.safety.total
        met = waits["caroblead_worst_s"] <= URGENT_WAIT_TARGET_S
        sizes = "declared right" if size_error == 1 else "declared up to 10x off"
        results.add(
            f"urgent tasks among batch at {load:.0%}, {sizes}",
            waits,
            "worst under 6 s",
            met,
            unsafe,
        )


def measure_packing(results: Results):
    """Measures how full a cell gets from more tasks than fit, against the fractional bound."""
    # "letter" names the full-scale fleet.
    for name, vm, workers in (
        ("Anatolia", ANATOLIA_VM, 25),
        ("Prairies", PRAIRIES_VM, 25),
        ("letter", ANATOLIA_VM, FULL_SCALE_WORKERS),
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
    """Returns the resources placed, and the upper bound if tasks could be placed in fractions.

    Both are the fraction of all cores plus the fraction of all memory. A fractional placement can
    use no more of a resource than the cell has, nor more than the tasks ask for.
    """
    generator = random.Random(5)
    cell = make_cell(workers, vm)
    teams = [f"t{index}" for index in range(FULL_SCALE_TEAMS if workers > 100 else 6)]
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
    """Measures the distance from fair share in a full cell, from the 60th second on."""
    # "brief" names the small cell with 6 teams, "letter" the full-scale fleet.
    for name, workers, count, seconds in (("brief", 25, 6, 180.0), ("letter", 560, 230, 90.0)):
        figures = {}
        for policy, place in (("caroblead", place_waiting), ("fifo_first_fit", place_first_fit)):
            if policy == "fifo_first_fit" and workers > 100:
                continue
            figures[f"{policy}_worst_of_own_share"] = round(
                _measure_shortfall(place, workers, count, seconds), 4
            )
        met = figures["caroblead_worst_of_own_share"] <= 0.05
        results.add(f"distance from fair share, {name}", figures, "at most 0.05", met)


def _measure_shortfall(place, workers: int, count: int, seconds: float) -> float:
    """Returns the largest shortfall of any team, as a fraction of its fair share."""
    generator = random.Random(3)
    cell = make_cell(workers, ANATOLIA_VM)
    weights = {f"t{index}": (4.0, 3.0, 1.0, 1.0)[index % 4] for index in range(count)}
    put_teams(cell, weights)
    arrivals = []
    demand_factors = {f"t{index}": 3 if index % 5 == 0 else 1 for index in range(count)}
    total = sum(weights.values())
    for team in weights:
        budget = 1.6 * cell.capacity.millicores * seconds * demand_factors[team]
        budget *= max(weights[team] / total, 1 / count)
        spent = 0.0
        while spent < budget:
            cores = generator.choice((500, 1000, 2000))
            run_s = generator.uniform(3, 20)
            spent += cores * run_s * 10
            need = Resources(cores, 1024)
            at_s = generator.uniform(0, 5 if team != "t1" else 20)
            arrivals.append(Arrival(at_s, team, "q", Batch(), 10, need, run_s, need, run_s))
    run = Simulation(cell, arrivals, place=place, sample_after_s=60.0)
    outcome = run.run(seconds)
    used = sum(outcome.usage.values())
    worst = 0.0
    for team, weight in weights.items():
        fair = used * weight / total
        worst = max(worst, (fair - outcome.usage[team]) / fair)
    return worst


def measure_gangs(results: Results, seconds: float = 300.0):
    """Measures the longest wait of gangs in a cell that batch work keeps full."""
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
            outcome = Simulation(cell, arrivals).run(seconds)
        waits = collect_waits(outcome, "gang")
        figures[f"{name}_started"] = len(waits) // 5
        figures[f"{name}_longest_s"] = round(max(waits, default=0.0), 1)
        unsafe += outcome.safety.total
    met = figures["reservation_started"] >= 10
    results.add("gangs among batch work", figures, "nearly all of 12 start", met, unsafe)


@contextlib.contextmanager
def _gang_reservation(enabled: bool):
    """Disables the reservation of VMs for gangs during a run unless ``enabled``."""
    original_s = gang.RESERVE_AFTER_S
    gang.RESERVE_AFTER_S = original_s if enabled else math.inf
    try:
        yield
    finally:
        gang.RESERVE_AFTER_S = original_s


def measure_spread(results: Results):
    """Measures how many of the 8 tasks of a service run in the zone that has most of them."""
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
