"""Randomized trials of several nodes under mixed faults, each generated from a seed.

A trial submits jobs of many kinds while two to five faults are injected, some of them at the same
time. It then waits for the site to settle and checks the history. The same seed always gives the
same trial.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..core.clock import get_wall_s
from ..core.resource import Resources
from ..dispatch.interface import LogLimits
from ..jobs.ledger import find_state
from .balance import list_unbalanced
from .cluster import (
    CAPACITY,
    HEARTBEAT_S,
    QUEUES,
    Site,
    cancel,
    evacuate_zone,
    find_leader,
    kill_node,
    resize_vm,
    restore_zone,
    run_scenario,
    start_node,
    start_site,
    submit,
    update_vm_entry,
)
from .trialdraw import (
    TRAFFIC_S,
    ZONES,
    draw_evacuations,
    draw_restarts,
    draw_schedule,
    draw_shrinks,
    generate_crashing_job,
    generate_job,
)
from .verdict import find_violations, list_starts_in_evacuated_zones
from .work import find_end_state

VM_COUNT = 5
NODE_COUNT = 3
SETTLE_S = 45.0
SETTLE_PER_CRASHING_JOB_S = 15.0
EVACUATION_MS = 5000
JOBS = 40
FAULT_COUNTS = (2, 3, 4, 5)
CANCELLED_FRACTION = 0.1
LONGEST_FAULT_S = 6.0

Fault = Callable[[Site, random.Random], Awaitable[None]]


@dataclass(slots=True)
class TrialResult:
    """The result of a trial; ``faults`` has the names of the injected faults in order of time."""

    seed: int
    faults: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    accepted: int = 0
    starts: int = 0


def _pick_node(site: Site, rng: random.Random) -> str:
    """Returns the leader with a probability of one half, else a random node."""
    leader = find_leader(site)
    if leader is not None and rng.random() < 0.5:
        return leader
    return rng.choice(sorted(site.faults_by_node))


async def kill_one(site: Site, rng: random.Random):
    """Kills a node and restarts it 0.2 to 3 seconds later."""
    name = _pick_node(site, rng)
    if name not in site.nodes:
        return
    await kill_node(site, name)
    await asyncio.sleep(rng.uniform(0.2, 3.0))
    await _restart_node(site, name)


async def _restart_node(site: Site, name: str):
    if name not in site.nodes:
        await start_node(site, name)


async def kill_all(site: Site, rng: random.Random):
    """Kills every node at the same time and restarts them one by one."""
    names = sorted(site.nodes)
    for name in names:
        await kill_node(site, name)
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    for name in names:
        await _restart_node(site, name)


async def freeze_one(site: Site, rng: random.Random):
    """Freezes a node; the calls that it was about to send are sent when it is thawed."""
    await _set_caller_fault(site, _pick_node(site, rng), rng, "frozen")


async def cut_from_store(site: Site, rng: random.Random):
    """Cuts a node off from the store: its calls get no response."""
    await _set_caller_fault(site, _pick_node(site, rng), rng, "silent")


async def turn_one_away(site: Site, rng: random.Random):
    """Makes the store refuse the calls of a node."""
    await _set_caller_fault(site, _pick_node(site, rng), rng, "down")


async def _set_caller_fault(site: Site, name: str, rng: random.Random, fault_field: str):
    caller_faults = site.faults_by_node[name]
    setattr(caller_faults, fault_field, True)
    await asyncio.sleep(rng.uniform(0.5, LONGEST_FAULT_S))
    setattr(caller_faults, fault_field, False)


async def stop_store(site: Site, rng: random.Random):
    """Makes the store refuse the calls of every node."""
    for caller_faults in site.faults_by_node.values():
        caller_faults.down = True
    await asyncio.sleep(rng.uniform(0.5, LONGEST_FAULT_S))
    for caller_faults in site.faults_by_node.values():
        caller_faults.down = False


async def lose_answers(site: Site, rng: random.Random):
    """Loses the responses to the next 1 to 5 appends of each node."""
    for caller_faults in site.faults_by_node.values():
        caller_faults.lost_answers = rng.randint(1, 5)
    await asyncio.sleep(2.0)
    for caller_faults in site.faults_by_node.values():
        caller_faults.lost_answers = 0


async def append_late(site: Site, rng: random.Random):
    """Makes the store execute the appends of a node seconds late, without a response."""
    caller_faults = site.faults_by_node[_pick_node(site, rng)]
    caller_faults.late_s = rng.uniform(0.5, 5.0)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    caller_faults.late_s = 0.0


async def forget_history(site: Site, rng: random.Random):
    """Makes the store drop its history and keep only the newest record of each key."""
    site.ledger.drop_history()


async def crash_vm(site: Site, rng: random.Random):
    """Crashes a VM, which restarts under the same name with its state lost."""
    number = rng.randrange(VM_COUNT)
    vm = site.vm_simulator.vms[f"vm-{number}"]
    if not vm.up:
        return
    down_s = rng.uniform(0.3, 3.0)
    site.vm_simulator.crash(f"vm-{number}", down_s)
    await asyncio.sleep(down_s + rng.uniform(0.1, 1.0))
    update_vm_entry(site, vm.listed.name)


async def restart_and_cut_vm(site: Site, rng: random.Random):
    """Restarts a VM at once, which then may be cut off from all nodes while it runs on.

    Its entry is written up to 2 s after its start, so often after it has been called, and a renewal
    for its former incarnation may be carried out late.
    """
    name, simulator = f"vm-{rng.randrange(VM_COUNT)}", site.vm_simulator
    if not simulator.vms[name].up:
        return
    if rng.random() < 0.5:
        simulator.late_holds.add(name)
        simulator.late_s = rng.uniform(0.5, 5.0)
        await asyncio.sleep(1.0)
        if not simulator.vms[name].up:
            return
    down_s = rng.uniform(0.01, 0.5)
    simulator.crash(name, down_s)
    await asyncio.sleep(down_s + 0.01)
    entry = asyncio.create_task(_write_entry_later(site, name, rng.uniform(0.0, 2.0)))
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    if rng.random() < 0.7:
        cut = {(node, name) for node in site.faults_by_node}
        simulator.cut |= cut
        await asyncio.sleep(rng.uniform(LONGEST_FAULT_S, 2.5 * LONGEST_FAULT_S))
        simulator.cut -= cut
    await entry


async def _write_entry_later(site: Site, name: str, delay_s: float):
    await asyncio.sleep(delay_s)
    update_vm_entry(site, name)


async def cut_vm(site: Site, rng: random.Random):
    """Cuts a VM off from one node or from all of them."""
    vm = f"vm-{rng.randrange(VM_COUNT)}"
    names = sorted(site.faults_by_node)
    cut = {(name, vm) for name in (names if rng.random() < 0.6 else [rng.choice(names)])}
    site.vm_simulator.cut |= cut
    await asyncio.sleep(rng.uniform(0.5, 2 * LONGEST_FAULT_S))
    site.vm_simulator.cut -= cut


async def order_late(site: Site, rng: random.Random):
    """Makes the VMs execute the next 2 to 10 orders late, without a response."""
    site.vm_simulator.late_s = rng.uniform(0.5, 8.0)
    site.vm_simulator.late_orders = rng.randint(2, 10)
    await asyncio.sleep(2.0)
    site.vm_simulator.late_orders = 0


async def lose_order_answers(site: Site, rng: random.Random):
    """Loses the responses to the next 2 to 10 orders to VMs."""
    site.vm_simulator.lose_answers = rng.randint(2, 10)
    await asyncio.sleep(2.0)
    site.vm_simulator.lose_answers = 0


async def shrink_vm(site: Site, rng: random.Random):
    """Shrinks a VM and lets it grow again; its entry shows each change within a heartbeat."""
    number = rng.randrange(VM_COUNT)
    capacity = Resources(rng.choice((0, 1000, 2000, 3000)), rng.choice((1024, 4096, 8192)))
    await resize_vm(site, number, capacity, rng.uniform(0.0, HEARTBEAT_S))
    await asyncio.sleep(rng.uniform(1.0, 2 * LONGEST_FAULT_S))
    await resize_vm(site, number, CAPACITY, rng.uniform(0.0, HEARTBEAT_S))


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


async def _submit_jobs(site: Site, rng: random.Random, checkpoint_length: int):
    """Submits jobs at random intervals over the traffic time and cancels some."""
    tasks = []
    for _ in range(JOBS):
        await asyncio.sleep(rng.uniform(0.2, 1.8) * TRAFFIC_S / JOBS)
        if site.nodes:
            spec, queue = generate_job(rng, checkpoint_length), rng.choice(sorted(QUEUES))
            node = rng.choice(sorted(site.nodes))
            tasks.append(asyncio.create_task(submit(site, node, spec, queue)))
            if rng.random() < CANCELLED_FRACTION:
                tasks.append(asyncio.create_task(_cancel_random_job(site, rng)))
    await asyncio.gather(*tasks, return_exceptions=True)


async def _cancel_random_job(site: Site, rng: random.Random):
    accepted_jobs = sorted(site.caller_records.accepted)
    if accepted_jobs and site.nodes:
        await cancel(site, rng.choice(sorted(site.nodes)), rng.choice(accepted_jobs))


async def _cancel_early(site: Site, rng: random.Random, count: int):
    """Submits jobs whose append is late and without an answer, and cancels them at any node."""
    for _ in range(count):
        await asyncio.sleep(rng.uniform(0.0, 2.0) * TRAFFIC_S / count)
        if not site.nodes:
            continue
        name, spec = rng.choice(sorted(site.nodes)), generate_job(rng)
        faults, canceller = site.faults_by_node[name], rng.choice(sorted(site.nodes))
        faults.late_s = rng.uniform(1.0, LONGEST_FAULT_S)
        submission = asyncio.create_task(submit(site, name, spec, rng.choice(sorted(QUEUES))))
        await asyncio.sleep(rng.uniform(0.1, 1.5))
        faults.late_s = 0.0
        if canceller in site.nodes:
            await cancel(site, canceller, list(site.caller_records.jobs)[-1])
        await asyncio.gather(submission, return_exceptions=True)


async def _evacuate(site: Site, at_s: float, zone: str, duration_s: float):
    await asyncio.sleep(at_s)
    evacuate_zone(site, zone)
    await asyncio.sleep(duration_s)
    restore_zone(site, zone)


async def _run_fault(site: Site, fault: Fault, at_s: float, rng: random.Random, result):
    await asyncio.sleep(at_s)
    result.faults.append(fault.__name__)
    await fault(site, rng)


async def _submit_crashing_jobs(site: Site, rng: random.Random, count: int):
    for _ in range(count):
        await asyncio.sleep(rng.uniform(0.0, 2.0) * TRAFFIC_S / count)
        if site.nodes:
            node, queue = rng.choice(sorted(site.nodes)), rng.choice(sorted(QUEUES))
            await submit(site, node, generate_crashing_job(rng), queue)


def run_trial(
    seed: int,
    crashing_jobs: int = 0,
    evacuations: int = 0,
    checkpoint_length: int = 0,
    limits: LogLimits = LogLimits(),
    early_cancels: int = 0,
    restarts: int = 0,
    overdue: int = 0,
) -> TrialResult:
    """Runs the trial of a seed in virtual time and returns its result.

    Up to ``crashing_jobs`` jobs are added whose tasks crash their VMs. They have draws of their
    own, so that they don't change the other jobs and the faults. The same holds for the
    ``evacuations`` of zones. ``checkpoint_length`` is that of the tasks that save checkpoints, and
    ``limits`` are those of the ledger. ``early_cancels`` jobs are added that are cancelled while
    they may still be stored. ``restarts`` VMs restart and may be cut off soon afterwards. A job of
    so many ``overdue`` occurrences is submitted first.
    """
    rng = random.Random(seed)
    result = TrialResult(seed)
    cap = rng.choice((Resources(), Resources(12_000, 0)))

    async def scenario() -> Site:
        evacuation_ms = EVACUATION_MS if evacuations else 0
        site = await start_site(VM_COUNT, NODE_COUNT, cap, ZONES, evacuation_ms, limits)
        chosen = [rng.choice(FAULTS) for _ in range(rng.choice(FAULT_COUNTS))]
        tasks = [
            asyncio.create_task(
                _run_fault(site, fault, rng.uniform(1.0, TRAFFIC_S), random.Random(n), result)
            )
            for n, fault in enumerate(chosen, seed * 100)
        ]
        tasks += [
            asyncio.create_task(_run_fault(site, shrink_vm, at_s, fault_rng, result))
            for at_s, fault_rng in draw_shrinks(seed)
        ]
        tasks += [
            asyncio.create_task(_evacuate(site, *drawn))
            for drawn in draw_evacuations(seed, evacuations)
        ]
        if crashing_jobs:
            crash_rng = random.Random(f"crashing jobs of {seed}")
            submission = _submit_crashing_jobs(site, crash_rng, crashing_jobs)
            tasks.append(asyncio.create_task(submission))
        if early_cancels:
            cancel_rng = random.Random(f"early cancels of {seed}")
            tasks.append(asyncio.create_task(_cancel_early(site, cancel_rng, early_cancels)))
        for at_s, fault_rng in draw_restarts(seed, restarts):
            fault = _run_fault(site, restart_and_cut_vm, at_s, fault_rng, result)
            tasks.append(asyncio.create_task(fault))
        if overdue:
            spec = draw_schedule(seed, overdue, get_wall_s())
            tasks.append(asyncio.create_task(submit(site, "n0", spec, "reviews")))
        await _submit_jobs(site, rng, checkpoint_length)
        await asyncio.gather(*tasks)
        await asyncio.sleep(SETTLE_S + crashing_jobs * SETTLE_PER_CRASHING_JOB_S)
        result.problems += check_site(site) + check_evacuations(site)
        result.accepted = len(site.caller_records.accepted)
        result.starts = sum(event.kind == "start" for event in site.vm_simulator.history)
        return site

    run_scenario(scenario)
    return result


def check_site(site: Site) -> list[str]:
    """Returns the violations and unfinished steps of a site, and wrong job states of its nodes."""
    simulator = site.vm_simulator
    problems = find_violations(
        simulator.history, site.caller_records, CAPACITY, site.cap, simulator.capacity_changes
    )
    for node in site.nodes.values():
        for name, spec in site.caller_records.list_expected_jobs().items():
            state = find_state(node.ledger, name)
            if state is not find_end_state(spec):
                problems.append(f"{node.settings.node} shows {name} as {state}")
        if node.leader is not None:
            problems += list_unbalanced(node.leader.fleet)
    return problems


def check_evacuations(site: Site) -> list[str]:
    """Returns the starts in evacuated zones of a site after the bound of its nodes."""
    vms = site.vm_simulator.vms
    zones = {name: vm.listed.zone for name, vm in vms.items()}
    bound_s = site.evacuation_ms / 1000
    history = site.vm_simulator.history
    return list_starts_in_evacuated_zones(history, zones, site.evacuations, bound_s)
