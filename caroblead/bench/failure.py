"""Measures the effect of wrong sizes, of workers that fail every task, and of an outage."""

import random

from ..core.data import Batch
from ..core.resource import Resources
from .result import Results
from .simulation import ANATOLIA_VM, Arrival, Simulation, make_cell, put_teams

LOADS = (0.7, 1.0, 1.3)


def measure_sizing(results: Results, seconds: float = 240.0):
    """Measures the work done with wrong declared sizes, with and without size learning.

    Declared sizes are from half to ten times the actual ones, by a factor that belongs to a queue.
    """
    generator = random.Random(7)
    factors = {f"q{index}": 10 ** generator.uniform(-0.3, 1.0) for index in range(8)}
    for load in LOADS:
        figures = {}
        unsafe = 0
        for name, learning in (("learning", True), ("declared", False)):
            cell = make_cell(25, ANATOLIA_VM)
            cell.sizes.enabled = learning
            put_teams(cell, {"a": 1.0, "b": 1.0})
            outcome = Simulation(cell, _plan_wrong_sizes(load, seconds, factors)).run(seconds)
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


def _plan_right_sizes(load: float, seconds: float) -> list[Arrival]:
    """Plans the work of :func:`_plan_wrong_sizes` with actual sizes equal to the declared ones."""
    return [
        Arrival(a.at_s, a.team, a.queue, a.kind, 1, a.declared, 10.0, a.declared, 10.0)
        for a in _plan_wrong_sizes(load, seconds, {"q": 1.0})
    ]


def measure_quarantine(results: Results, seconds: float = 120.0):
    """Measures failed attempts when two of 25 workers fail every task right after its start."""
    figures = {}
    for name, quarantine in (("quarantine", True), ("none", False)):
        cell = make_cell(25, ANATOLIA_VM)
        put_teams(cell, {"a": 1.0, "b": 1.0})
        arrivals = _plan_right_sizes(0.8, seconds)
        failing_vms = frozenset({"v000", "v001"})
        outcome = Simulation(cell, arrivals, quarantine=quarantine, failing_vms=failing_vms).run(
            seconds
        )
        figures[f"{name}_done"] = outcome.done
        figures[f"{name}_failed_attempts"] = outcome.failed_attempts
        figures[f"{name}_given_up"] = outcome.given_up
    met = figures["quarantine_failed_attempts"] * 10 <= figures["none_failed_attempts"]
    results.add("two workers that fail everything", figures, "a tenth of the failed attempts", met)


def measure_retries(results: Results, seconds: float = 60.0):
    """Measures attempts while every task fails for ten seconds, with and without retry limits.

    The limits are the retry budget and the backoff between attempts.
    """
    figures = {}
    for name, budget in (("budget", True), ("none", False)):
        cell = make_cell(25, ANATOLIA_VM)
        put_teams(cell, {"a": 1.0, "b": 1.0})
        arrivals = _plan_right_sizes(0.7, seconds)
        run = Simulation(cell, arrivals, quarantine=False, outage=(20.0, 30.0), retry_budget=budget)
        outcome = run.run(seconds)
        figures[f"{name}_failed_attempts"] = outcome.failed_attempts
        figures[f"{name}_done"] = outcome.done
    met = figures["budget_failed_attempts"] * 5 <= figures["none_failed_attempts"]
    results.add("attempts in an outage of 10 s", figures, "a fifth of no budget", met)
