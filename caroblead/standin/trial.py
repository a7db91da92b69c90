"""Trials of several nodes under mixed faults, each drawn from a seed.

A trial hands in jobs of many kinds while two to five faults come, some of them at once, then lets
the site settle and has the history judged. A seed always gives the same trial.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..core.resource import Resources
from ..jobs.data import JobSpec, StepSpec
from ..jobs.ledger import find_state
from .cluster import (
    CAPACITY,
    QUEUES,
    Site,
    cancel,
    find_leader,
    kill_node,
    list_vm,
    play,
    put_vm_entry,
    start_node,
    start_site,
    submit,
)
from .verdict import judge
from .work import ALWAYS, find_end_state, make_spec

VM_COUNT = 5
NODE_COUNT = 3
TRAFFIC_S = 12.0
SETTLE_S = 45.0
JOBS = 40
FAULT_COUNTS = (2, 3, 4, 5)
CANCELLED_PART = 0.1
FAILING_PART = 0.15
LONGEST_FAULT_S = 6.0

Fault = Callable[[Site, random.Random], Awaitable[None]]


@dataclass(slots=True)
class Outcome:
    """What a trial came to; ``faults`` has the names of the faults in order of time."""

    seed: int
    faults: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    accepted: int = 0
    starts: int = 0


def _pick_node(site: Site, draw: random.Random) -> str:
    """Returns the leader half of the time, else any node."""
    leader = find_leader(site)
    if leader is not None and draw.random() < 0.5:
        return leader
    return draw.choice(sorted(site.troubles))


async def kill_one(site: Site, draw: random.Random):
    """Kills a node, which starts again a little later."""
    name = _pick_node(site, draw)
    if name not in site.nodes:
        return
    await kill_node(site, name)
    await asyncio.sleep(draw.uniform(0.2, 3.0))
    await _start_again(site, name)


async def _start_again(site: Site, name: str):
    if name not in site.nodes:
        await start_node(site, name)


async def kill_all(site: Site, draw: random.Random):
    """Kills every node at once; they start again one by one."""
    names = sorted(site.nodes)
    for name in names:
        await kill_node(site, name)
    await asyncio.sleep(draw.uniform(0.2, 2.0))
    for name in names:
        await _start_again(site, name)


async def freeze_one(site: Site, draw: random.Random):
    """Freezes a node: what it was about to send goes out when it wakes."""
    await _hold_switch(site, _pick_node(site, draw), draw, "frozen")


async def cut_from_store(site: Site, draw: random.Random):
    """Cuts a node off the store."""
    await _hold_switch(site, _pick_node(site, draw), draw, "silent")


async def turn_one_away(site: Site, draw: random.Random):
    """Has the store turn a node away."""
    await _hold_switch(site, _pick_node(site, draw), draw, "down")


async def _hold_switch(site: Site, name: str, draw: random.Random, switch: str):
    trouble = site.troubles[name]
    setattr(trouble, switch, True)
    await asyncio.sleep(draw.uniform(0.5, LONGEST_FAULT_S))
    setattr(trouble, switch, False)


async def stop_store(site: Site, draw: random.Random):
    """Has the store turn everybody away."""
    for trouble in site.troubles.values():
        trouble.down = True
    await asyncio.sleep(draw.uniform(0.5, LONGEST_FAULT_S))
    for trouble in site.troubles.values():
        trouble.down = False


async def lose_answers(site: Site, draw: random.Random):
    """Loses the answers to the next appends of each node."""
    for trouble in site.troubles.values():
        trouble.lost_answers = draw.randint(1, 5)
    await asyncio.sleep(2.0)
    for trouble in site.troubles.values():
        trouble.lost_answers = 0


async def append_late(site: Site, draw: random.Random):
    """Has the appends of a node carried out seconds later, without an answer."""
    trouble = site.troubles[_pick_node(site, draw)]
    trouble.late_s = draw.uniform(0.5, 5.0)
    await asyncio.sleep(draw.uniform(0.5, 3.0))
    trouble.late_s = 0.0


async def forget_history(site: Site, draw: random.Random):
    """Has the store keep only the newest record of each key."""
    site.ledger.forget()


async def crash_vm(site: Site, draw: random.Random):
    """Crashes a VM, which starts again under its name with no memory."""
    number = draw.randrange(VM_COUNT)
    vm = site.park.vms[f"vm-{number}"]
    if not vm.up:
        return
    down_s = draw.uniform(0.3, 3.0)
    site.park.crash(f"vm-{number}", down_s)
    await asyncio.sleep(down_s + draw.uniform(0.1, 1.0))
    put_vm_entry(site, list_vm(number, vm.incarnation))


async def cut_vm(site: Site, draw: random.Random):
    """Cuts a VM off one node or off all of them."""
    vm = f"vm-{draw.randrange(VM_COUNT)}"
    names = sorted(site.troubles)
    cut = {(name, vm) for name in (names if draw.random() < 0.6 else [draw.choice(names)])}
    site.park.cut |= cut
    await asyncio.sleep(draw.uniform(0.5, 2 * LONGEST_FAULT_S))
    site.park.cut -= cut


async def order_late(site: Site, draw: random.Random):
    """Has the next orders carried out late, without an answer."""
    site.park.late_s = draw.uniform(0.5, 8.0)
    site.park.late_orders = draw.randint(2, 10)
    await asyncio.sleep(2.0)
    site.park.late_orders = 0


async def lose_order_answers(site: Site, draw: random.Random):
    """Loses the answers to the next orders."""
    site.park.lose_answers = draw.randint(2, 10)
    await asyncio.sleep(2.0)
    site.park.lose_answers = 0


FAULTS: tuple[Fault, ...] = (
    kill_one,
    kill_all,
    freeze_one,
    cut_from_store,
    turn_one_away,
    stop_store,
    lose_answers,
    append_late,
    forget_history,
    crash_vm,
    cut_vm,
    order_late,
    lose_order_answers,
)


def draw_job(draw: random.Random) -> JobSpec:
    """Returns a job of one or two steps; some are gangs, save progress or spread over VMs."""
    need = Resources(draw.choice((500, 1000, 2000)), draw.choice((512, 1024)))
    options = draw.choice(
        ({}, {}, {"gang": True}, {"max_per_vm": 1}, {"checkpoints": True}, {"gang": True})
    )
    estimate_s = draw.uniform(0.3, 3.0)
    count = draw.randint(1, 4)
    steps = [StepSpec(count, need, estimate_s, **options)]
    if draw.random() < 0.3:
        steps.append(StepSpec(draw.randint(1, 3), need, estimate_s, after=(0,)))
    failing = draw.choice((1, 1, ALWAYS)) if draw.random() < FAILING_PART else 0
    return make_spec(*steps, seconds=estimate_s * draw.uniform(0.7, 1.5), failing_runs=failing)


async def _hand_in(site: Site, draw: random.Random):
    """Hands in one job after the other and cancels some."""
    tasks = []
    for _ in range(JOBS):
        await asyncio.sleep(draw.uniform(0.2, 1.8) * TRAFFIC_S / JOBS)
        if site.nodes:
            spec, queue = draw_job(draw), draw.choice(sorted(QUEUES))
            node = draw.choice(sorted(site.nodes))
            tasks.append(asyncio.create_task(submit(site, node, spec, queue)))
            if draw.random() < CANCELLED_PART:
                tasks.append(asyncio.create_task(_cancel_some(site, draw)))
    await asyncio.gather(*tasks, return_exceptions=True)


async def _cancel_some(site: Site, draw: random.Random):
    known = sorted(site.notes.accepted)
    if known and site.nodes:
        await cancel(site, draw.choice(sorted(site.nodes)), draw.choice(known))


async def _bring_about(site: Site, fault: Fault, at_s: float, draw: random.Random, outcome):
    await asyncio.sleep(at_s)
    outcome.faults.append(fault.__name__)
    await fault(site, draw)


def run_trial(seed: int) -> Outcome:
    """Runs the trial of a seed in virtual time and returns what it came to."""
    draw = random.Random(seed)
    outcome = Outcome(seed)
    cap = draw.choice((Resources(), Resources(12_000, 0)))

    async def scenario() -> Site:
        site = await start_site(VM_COUNT, NODE_COUNT, cap)
        chosen = [draw.choice(FAULTS) for _ in range(draw.choice(FAULT_COUNTS))]
        tasks = [
            asyncio.create_task(
                _bring_about(site, fault, draw.uniform(1.0, TRAFFIC_S), random.Random(n), outcome)
            )
            for n, fault in enumerate(chosen, seed * 100)
        ]
        await _hand_in(site, draw)
        await asyncio.gather(*tasks)
        await asyncio.sleep(SETTLE_S)
        outcome.problems += judge_site(site)
        outcome.accepted = len(site.notes.accepted)
        outcome.starts = sum(line.kind == "start" for line in site.park.history)
        return site

    play(scenario)
    return outcome


def judge_site(site: Site) -> list[str]:
    """Returns every violation of a site, what it left undone and what it shows wrongly."""
    problems = judge(site.park.history, site.notes, CAPACITY, site.cap)
    for node in site.nodes.values():
        for name, spec in site.notes.list_promised().items():
            state = find_state(node.ledger, name)
            if state is not find_end_state(spec):
                problems.append(f"{node.settings.node} shows {name} as {state}")
    return problems
