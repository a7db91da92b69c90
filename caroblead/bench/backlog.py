"""Measures what a backlog of accepted work costs the leader: ``python -m caroblead.bench.backlog``.

Two schedules of overdue occurrences are submitted to a site in virtual time, then small jobs of a
more urgent queue, and at last the leader is killed. Durations are of processor time on this
machine. The event loop stands still while a callback runs, and with it the leader's heartbeat.
Garbage collection is off meanwhile: beside the stand-ins it takes longer than in a node.
"""

import asyncio
import gc
import time
from dataclasses import dataclass, replace

import cyclopts

from ..core.clock import get_wall_s
from ..core.resource import Resources
from ..dispatch import tick
from ..dispatch.leader import Leader
from ..standin.cluster import (
    find_leader,
    kill_node,
    run_scenario,
    start_site,
    submit,
    wait_for_leader,
)
from ..standin.work import make_spec, make_step

VMS = 8
SCHEDULES = 2
SIZES = (1_000, 10_000, 50_000, 90_000)
SMALL = Resources(50, 10)
RUN_S = 1.0
OTHERS = 10
SETTINGS = dict.fromkeys(("admission", "fair_share", "learned_durations", "backfill"), True)

app = cyclopts.App(help="Measures what a backlog of accepted work costs the leader.")


@dataclass(slots=True)
class Longest:
    """The longest and the total duration of the calls of a function, in seconds."""

    longest_s: float = 0.0
    total_s: float = 0.0
    calls: int = 0

    def watch(self, owner, name: str):
        """Replaces a function by one that is measured; returns the original one."""
        function = getattr(owner, name)

        def measured(*arguments, **options):
            began_s = time.process_time()
            try:
                return function(*arguments, **options)
            finally:
                self._add(time.process_time() - began_s)

        setattr(owner, name, measured)
        return function

    def _add(self, took_s: float):
        self.longest_s = max(self.longest_s, took_s)
        self.total_s += took_s
        self.calls += 1

    def get_mean_ms(self) -> float:
        """Returns the mean duration in milliseconds."""
        return 1000 * self.total_s / max(1, self.calls)


@dataclass(slots=True)
class BacklogCost:
    """What a backlog of ``steps`` overdue steps cost.

    ``small_wait_s`` is how long the small job that waited longest did, in virtual time, and
    ``started`` how many tasks of the backlog were started.
    """

    steps: int
    ticks: Longest
    ends: Longest
    takeovers: Longest
    callbacks: Longest
    small_wait_s: float = 0.0
    started: int = 0


def measure_backlog(steps: int) -> BacklogCost:
    """Returns the cost of a backlog of so many overdue steps."""
    cost = BacklogCost(steps, Longest(), Longest(), Longest(), Longest())
    watched = [
        (tick, "run_tick", cost.ticks),
        (Leader, "on_end", cost.ends),
        (Leader, "start", cost.takeovers),
        (asyncio.Handle, "_run", cost.callbacks),
    ]
    originals = [(owner, name, longest.watch(owner, name)) for owner, name, longest in watched]
    gc.disable()
    try:
        run_scenario(lambda: _play(cost))
    finally:
        gc.enable()
        for owner, name, function in originals:
            setattr(owner, name, function)
    return cost


async def _play(cost: BacklogCost):
    site = await start_site(vm_count=VMS, **SETTINGS)
    loop, history = asyncio.get_running_loop(), site.vm_simulator.history
    repeats = cost.steps // SCHEDULES
    schedule = replace(
        make_spec(make_step(1, need=SMALL), seconds=RUN_S),
        repeats=repeats,
        first_due_s=get_wall_s() - repeats,
        interval_s=1.0,
    )
    for _ in range(SCHEDULES):
        await submit(site, "n0", schedule, "reviews")
    spec = make_spec(make_step(1, need=SMALL), seconds=0.2)
    for _ in range(OTHERS):
        sent_s = loop.time()
        job = await submit(site, "n1", spec)
        await asyncio.sleep(1.0)
        starts = [event.at_s for event in history if event.task.job == job]
        waited_s = min(starts, default=sent_s + 1.0) - sent_s
        cost.small_wait_s = max(cost.small_wait_s, waited_s)
    await kill_node(site, find_leader(site))
    await wait_for_leader(site)
    await asyncio.sleep(1.0)
    cost.started = sum(event.kind == "start" for event in history)
    return site


@app.default
def measure(sizes: tuple[int, ...] = SIZES):
    """Prints the cost of backlogs.

    Parameters
    ----------
    sizes
        The numbers of overdue steps.
    """
    for steps in sizes:
        cost = measure_backlog(steps)
        print(
            f"{steps} overdue steps: tick {cost.ticks.get_mean_ms():.1f} ms,"
            f" at most {1000 * cost.ticks.longest_s:.0f};"
            f" end {cost.ends.get_mean_ms():.2f}, at most {1000 * cost.ends.longest_s:.0f};"
            f" takeover at most {1000 * cost.takeovers.longest_s:.0f};"
            f" the loop stood for {1000 * cost.callbacks.longest_s:.0f} ms;"
            f" {cost.started} starts, a small job waited for {cost.small_wait_s:.2f} s",
            flush=True,
        )


if __name__ == "__main__":
    app()
