"""Soak test of the real node program: ``python -m caroblead.bench.soak --seeds 50``.

Each seed starts the nodes as separate processes against the platform stand-in, with a proxy between
each node and the store and one in front of each VM. Faults drawn from the seed are injected from
outside the processes, several at once: signals, and connections that are delayed, reset, silenced
or left without responses. Afterwards, what callers were told and what the VMs did is checked for
violations. Processes are signalled only by their own process ids.
"""

import asyncio
import random
import signal
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import cyclopts

from ..platform import configuration, registry
from ..platform.jobs import STATE_NAMES
from ..platform.serve import LEDGER_TOPIC
from ..standin.caller import Callers
from ..standin.cluster import CAPACITY, KEY, QUEUES
from ..standin.proxy import ForwardingMode
from ..standin.trialdraw import generate_job
from ..standin.verdict import find_violations
from ..standin.work import find_end_state
from .soaksite import (
    CHECKPOINT_LENGTH,
    SoakRun,
    register_vm,
    start_process,
    start_soak,
    stop_soak,
)

TRAFFIC_S = 10.0
JOBS = 60
FAULT_COUNTS = (3, 4, 5, 6)
LONGEST_FAULT_S = 4.0
START_S = 10.0
SETTLE_S = 30.0
SETTLE_STEP_S = 0.5
CANCELLED_FRACTION = 0.1

app = cyclopts.App(help="Soak test of real node processes under injected faults.")


# Faults.


async def _wait_fault_duration(generator: random.Random):
    await asyncio.sleep(generator.uniform(0.3, LONGEST_FAULT_S))


def _pick_process(soak: SoakRun, generator: random.Random) -> str:
    return generator.choice(sorted(soak.processes))


def _send_signal(soak: SoakRun, name: str, number: signal.Signals) -> subprocess.Popen:
    """Sends a signal to a node's process unless it has exited, and returns the process."""
    process = soak.processes[name]
    if process.poll() is None:
        process.send_signal(number)
    return process


async def _restart(soak: SoakRun, name: str, ended: subprocess.Popen):
    """Waits until a node's process has exited and restarts it, unless another fault already did."""
    await asyncio.to_thread(ended.wait)
    if soak.processes[name] is ended:
        start_process(soak, name)


async def kill_one(soak: SoakRun, generator: random.Random):
    """Kills a node's process and restarts it."""
    name = _pick_process(soak, generator)
    process = _send_signal(soak, name, signal.SIGKILL)
    await asyncio.sleep(generator.uniform(0.1, 1.5))
    await _restart(soak, name, process)


async def kill_all(soak: SoakRun, generator: random.Random):
    """Kills all node processes at once and restarts them."""
    killed = {name: _send_signal(soak, name, signal.SIGKILL) for name in soak.processes}
    await asyncio.sleep(generator.uniform(0.1, 1.0))
    for name, process in killed.items():
        await _restart(soak, name, process)


async def stop_one(soak: SoakRun, generator: random.Random):
    """Stops a node gracefully with SIGTERM and restarts it."""
    name = _pick_process(soak, generator)
    await _restart(soak, name, _send_signal(soak, name, signal.SIGTERM))


async def pause_some(soak: SoakRun, generator: random.Random):
    """Pauses one to three processes in turn, often for longer than the leader election timeout."""
    for name in generator.sample(sorted(soak.processes), generator.randint(1, 3)):
        _send_signal(soak, name, signal.SIGSTOP)
        await asyncio.sleep(generator.uniform(0.3, 2.0))
        _send_signal(soak, name, signal.SIGCONT)


async def spoil_store_way(soak: SoakRun, generator: random.Random):
    """Drops all traffic between a node and the store, or only the store's responses."""
    proxy = soak.store_proxies[_pick_process(soak, generator)]
    proxy.impair(generator.choice((ForwardingMode.SILENT, ForwardingMode.MUTE)))
    await _wait_fault_duration(generator)
    proxy.heal()


async def spoil_all_store_ways(soak: SoakRun, generator: random.Random):
    """Drops all traffic between every node and the store."""
    for proxy in soak.store_proxies.values():
        proxy.impair(ForwardingMode.SILENT)
    await _wait_fault_duration(generator)
    for proxy in soak.store_proxies.values():
        proxy.heal()


async def delay_store_way(soak: SoakRun, generator: random.Random):
    """Delays the traffic between a node and the store in both directions."""
    proxy = soak.store_proxies[_pick_process(soak, generator)]
    proxy.delay_s = generator.uniform(0.02, 0.4)
    await _wait_fault_duration(generator)
    proxy.heal()


async def reset_ways(soak: SoakRun, generator: random.Random):
    """Resets the connections of three proxies, one to four times in a row."""
    proxies = [*soak.store_proxies.values(), *soak.vm_proxies.values()]
    for _ in range(generator.randint(1, 4)):
        for proxy in generator.sample(proxies, 3):
            proxy.reset()
        await asyncio.sleep(generator.uniform(0.05, 0.6))


async def spoil_vm_way(soak: SoakRun, generator: random.Random):
    """Drops all traffic to and from a VM, or only its responses."""
    proxy = soak.vm_proxies[generator.choice(sorted(soak.vm_proxies))]
    proxy.impair(generator.choice((ForwardingMode.SILENT, ForwardingMode.MUTE)))
    await asyncio.sleep(generator.uniform(0.3, 3 * LONGEST_FAULT_S))
    proxy.heal()


async def crash_vm(soak: SoakRun, generator: random.Random):
    """Crashes a VM, which restarts without its state and registers itself again."""
    name = generator.choice(sorted(soak.vm_simulator.vms))
    if not soak.vm_simulator.vms[name].up:
        return
    down_s = generator.uniform(0.2, 2.0)
    soak.vm_proxies[name].impair(ForwardingMode.SILENT)
    soak.vm_simulator.crash(name, down_s)
    await asyncio.sleep(down_s)
    soak.vm_proxies[name].heal()
    await asyncio.sleep(generator.uniform(0.05, 0.5))
    register_vm(soak, name)


async def refuse_calls(soak: SoakRun, generator: random.Random):
    """Has the platform answer every call with status 503."""
    soak.platform.status = 503
    await _wait_fault_duration(generator)
    soak.platform.status = 200


async def forget_history(soak: SoakRun, generator: random.Random):
    """Compacts the topics of the store to the newest record of each key."""
    for name in (LEDGER_TOPIC, configuration.TOPIC, registry.TOPIC):
        soak.get_topic(name).drop_history()


Fault = Callable[[SoakRun, random.Random], Awaitable[None]]
# A fault that is listed twice is drawn twice as often as the others.
FAULTS: tuple[Fault, ...] = (
    kill_one,
    kill_one,
    kill_all,
    stop_one,
    pause_some,
    pause_some,
    spoil_store_way,
    spoil_store_way,
    spoil_all_store_ways,
    delay_store_way,
    reset_ways,
    spoil_vm_way,
    crash_vm,
    refuse_calls,
    forget_history,
)


async def _inject_fault(soak: SoakRun, fault: Fault, at_s: float, generator: random.Random):
    await asyncio.sleep(at_s)
    soak.faults.append(fault.__name__)
    await fault(soak, generator)


# Traffic and checks.


async def _wait_until_configured(callers: Callers, soak: SoakRun):
    """Waits until every node has loaded its queues, for up to ``START_S`` per node.

    A node that knows the queue answers 410 to a request for a job that doesn't exist.
    """
    queue = QUEUES["checks"]
    for frontend in soak.frontends.values():
        for _ in range(int(START_S / SETTLE_STEP_S)):
            if await callers.ask(frontend, "0" * 16, queue) == "status 410":
                break
            await asyncio.sleep(SETTLE_STEP_S)


async def _submit_jobs(soak: SoakRun, callers: Callers):
    tasks = []
    for number in range(1, JOBS + 1):
        await asyncio.sleep(soak.generator.uniform(0.2, 1.8) * TRAFFIC_S / JOBS)
        job_id, spec = f"{number:016x}", generate_job(soak.generator, CHECKPOINT_LENGTH)
        queue = QUEUES[soak.generator.choice(sorted(QUEUES))]
        tasks.append(asyncio.create_task(callers.submit(job_id, spec, queue)))
        if soak.generator.random() < CANCELLED_FRACTION and soak.caller_records.accepted:
            name = soak.generator.choice(sorted(soak.caller_records.accepted))
            tasks.append(asyncio.create_task(callers.cancel(name)))
    await asyncio.gather(*tasks)


async def _list_unsettled(soak: SoakRun, callers: Callers) -> list[str]:
    """Returns a problem for each accepted job that a node doesn't report in its expected end state.

    Jobs that a caller has asked to cancel are left out.
    """
    found = []
    for name, spec in soak.caller_records.list_expected_jobs().items():
        expected = STATE_NAMES[find_end_state(spec)]
        for node, frontend in soak.frontends.items():
            state = await callers.ask(frontend, name, soak.caller_records.queues[name])
            if state != expected:
                found.append(f"{node} shows {name} as {state}")
    return found


async def _wait_until_settled(soak: SoakRun, callers: Callers) -> list[str]:
    end_s = asyncio.get_running_loop().time() + SETTLE_S
    unsettled = await _list_unsettled(soak, callers)
    while unsettled and asyncio.get_running_loop().time() < end_s:
        await asyncio.sleep(SETTLE_STEP_S)
        unsettled = await _list_unsettled(soak, callers)
    return unsettled


async def run_soak(seed: int, folder: Path) -> tuple[SoakRun, list[str]]:
    """Runs one seed and returns the run and all problems found."""
    soak = await start_soak(seed, folder)
    callers = Callers(
        list(soak.frontends.values()), KEY, soak.caller_records, random.Random(seed + 1)
    )
    try:
        await _wait_until_configured(callers, soak)
        chosen = [soak.generator.choice(FAULTS) for _ in range(soak.generator.choice(FAULT_COUNTS))]
        faults = [
            asyncio.create_task(
                _inject_fault(soak, fault, soak.generator.uniform(0.5, TRAFFIC_S), random.Random(n))
            )
            for n, fault in enumerate(chosen, seed * 100)
        ]
        await _submit_jobs(soak, callers)
        await asyncio.gather(*faults)
        problems = await _wait_until_settled(soak, callers)
        return soak, problems + find_violations(
            soak.vm_simulator.history, soak.caller_records, CAPACITY
        )
    finally:
        await callers.close()
        await stop_soak(soak)


@app.default
def search(seeds: int = 10, first: int = 1, keep: Path = Path("build/soak")):
    """Runs a range of seeds and exits with 1 if any of them violates a guarantee.

    Parameters
    ----------
    seeds
        The number of seeds to run.
    first
        The first seed.
    keep
        The directory in which the logs of failed runs are kept.
    """
    failed_seeds = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as name:
            soak, problems = asyncio.run(run_soak(seed, Path(name)))
            starts = sum(line.kind == "start" for line in soak.vm_simulator.history)
            print(
                f"seed {seed}: {len(soak.caller_records.accepted)} accepted, {starts} starts,"
                f" {', '.join(soak.faults)}: {len(problems)} problems",
                flush=True,
            )
            for problem in problems:
                print(f"  {problem}", flush=True)
            if problems:
                failed_seeds += 1
                target = keep / str(seed)
                target.mkdir(parents=True, exist_ok=True)
                for log in Path(name).glob("*.log"):
                    (target / log.name).write_bytes(log.read_bytes())
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    app()
