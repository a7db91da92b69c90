"""Measures urgent requests, isolation, endpoint choice, admission and the tick length."""

import random

from ..core.data import Queue, Task, Urgent, Waitable
from ..policy.admission import admit_request
from ..policy.balancing import (
    choose_least_loaded,
    choose_shortest_wait,
    make_random_choice,
    make_round_robin,
    make_two_choice,
)
from ..policy.placement import place_waiting
from . import simulation
from .result import Results
from .simulation import (
    ANATOLIA_VM,
    ONE_SLOT,
    Arrival,
    Simulation,
    collect_waits,
    find_percentile,
    make_cell,
    place_first_fit,
    put_teams,
)

LOADS = (0.7, 1.0, 1.3)


def plan_requests(
    load: float, slots: int, seconds: float, teams: list[str], seed: int, mean_s: float = 0.4
) -> list[Arrival]:
    """Plans requests with Poisson arrivals, a quarter of them urgent.

    ``load`` is the offered load as a fraction of the slots, ``mean_s`` the mean service time.
    """
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
    """Measures the waits of urgent requests in a cell as large as the Anatolian deployment."""
    teams = [f"t{index}" for index in range(6)]
    for load in LOADS:
        waits = {}
        unsafe = 0
        for name, place in (("caroblead", place_waiting), ("fifo_first_fit", place_first_fit)):
            cell = make_cell(25, ANATOLIA_VM)
            put_teams(cell, dict.fromkeys(teams, 1.0))
            arrivals = plan_requests(load, 25 * 8, seconds, teams, seed=1)
            outcome = Simulation(cell, arrivals, place=place).run(seconds)
            waits[name] = find_percentile(collect_waits(outcome, "urgent"), 0.99)
            if name == "caroblead":
                unsafe = outcome.safety.total
        figures = {f"{name}_p99_s": round(value, 3) for name, value in waits.items()}
        met = None
        if load == 1.3:
            met = waits["caroblead"] <= waits["fifo_first_fit"] / 10
        target = "p99 at most a tenth of first fit" if load == 1.3 else ""
        results.add(f"urgent requests at {load:.0%}", figures, target, met, unsafe)


def measure_isolation(results: Results, seconds: float = 30.0):
    """Measures the waits of one team's urgent requests while another team sends a flood."""
    figures = {}
    for policy, place in (("caroblead", place_waiting), ("fifo_first_fit", place_first_fit)):
        cell = make_cell(25, ANATOLIA_VM)
        put_teams(cell, {"quiet": 1.0, "flood": 1.0})
        quiet = plan_requests(0.2, 200, seconds, ["quiet"], seed=4)
        flood = plan_requests(2.0, 200, seconds, ["flood"], seed=5)
        outcome = Simulation(cell, quiet + flood, place=place).run(seconds)
        waits = collect_waits(outcome, "urgent", "quiet")
        figures[f"{policy}_p99_s"] = round(find_percentile(waits, 0.99), 3)
    met = figures["caroblead_p99_s"] <= figures["fifo_first_fit_p99_s"] / 10
    results.add("quiet team's urgent requests under a flood", figures, "a tenth of first fit", met)


def measure_choice(results: Results, seconds: float = 40.0):
    """Compares endpoint selection policies when 3 of 25 endpoints are four times slower.

    The slow ones lower the capacity to that of 22.75 endpoints.
    """
    slowdowns = {"v003": 4.0, "v011": 4.0, "v017": 4.0}
    for load in (0.7, 1.0):
        figures = {}
        for name, choose in (
            ("caroblead", choose_shortest_wait),
            ("random", make_random_choice(1)),
            ("round_robin", make_round_robin()),
            ("least_loaded", choose_least_loaded),
            ("two_choices", make_two_choice(1)),
        ):
            cell = make_cell(25, ANATOLIA_VM)
            put_teams(cell, {"t": 1.0})
            arrivals = plan_requests(load * 22.75 / 25, 200, seconds, ["t"], seed=6)
            run = Simulation(cell, arrivals, choose=choose, slowdowns=slowdowns)
            outcome = run.run(seconds)
            mean_s = outcome.useful_s / max(1, outcome.done)
            waits = collect_waits(outcome, "waitable") + collect_waits(outcome, "urgent")
            figures[f"{name}_mean_s"] = round(mean_s + sum(waits) / len(waits), 3)
        best = min(value for name, value in figures.items() if name != "caroblead_mean_s")
        met = figures["caroblead_mean_s"] <= best
        results.add(f"choice of endpoint at {load:.0%}", figures, "no worse than any other", met)


def _admit_by_deadline(simulation: Simulation, task: Task, now_s: float) -> bool:
    queue = Queue(task.queue, task.kind, frozenset(), max_waiting=10_000)
    return admit_request(simulation.cell, queue, task, now_s, "bench", 0.4) is None


def measure_admission(results: Results, seconds: float = 60.0):
    """Measures the requests that start before their deadline at 130% load, by shedding policy."""
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
        outcome = Simulation(cell, arrivals, admit=admit, drop_late=drop_late).run(seconds)
        started = outcome.attempts - outcome.late
        figures[f"{name}_in_time"] = round(started / len(arrivals), 3)
        figures[f"{name}_late"] = outcome.late
    met = figures["deadline_in_time"] >= figures["none_in_time"]
    results.add("requests started in time at 130%", figures, "better than no shedding", met)


def _make_codel():
    """Returns an admission function in the manner of CoDel.

    It rejects requests while the oldest request of a backlog, which holds a team's requests of
    one kind, has waited for longer than 0.1 s during at least the last 0.5 s.
    """
    target_s, interval_s = 0.1, 0.5
    above_target_since: dict[tuple[str, type], float] = {}

    def admit(simulation: Simulation, task: Task, now_s: float) -> bool:
        backlog_key = (task.team, type(task.kind))
        backlog = simulation.cell.teams[task.team].backlogs.get(type(task.kind))
        head = next(iter(backlog.groups.values()))[0] if backlog and backlog.size else None
        if head is None or now_s - head.submitted_s < target_s:
            above_target_since.pop(backlog_key, None)
            return True
        return now_s - above_target_since.setdefault(backlog_key, now_s) < interval_s

    return admit


def measure_tick(results: Results, seconds: float = 30.0):
    """Measures waits and ticks per second by the length of the scheduling tick."""
    original_tick_s, figures = simulation.TICK_S, {}
    for tick_s in (0.005, 0.02, 0.1):
        simulation.TICK_S = tick_s
        cell = make_cell(25, ANATOLIA_VM)
        put_teams(cell, {"t": 1.0})
        run = Simulation(cell, plan_requests(0.7, 200, seconds, ["t"], seed=12))
        outcome = run.run(seconds)
        waits = collect_waits(outcome, "waitable")
        figures[f"{tick_s * 1000:g}_ms_p99_wait_s"] = round(find_percentile(waits, 0.99), 4)
        figures[f"{tick_s * 1000:g}_ms_ticks_per_s"] = round(run.ticks / seconds, 1)
    simulation.TICK_S = original_tick_s
    results.add("length of the tick at 70%", figures)
