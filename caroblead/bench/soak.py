"""A soak of the real node program: ``python -m caroblead.bench.soak --seeds 50``.

Each seed starts nodes as processes of their own against the platform's stand-in, with a proxy on
the way of each node to the store and of everybody to each VM. Faults drawn from the seed come from
outside, several at once: signals to the processes, and connections that are delayed, reset,
silenced or left without answers. What callers are told and what VMs have done is then judged.
Processes are ended by their own ids.
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
from ..platform.jobs import STATE_WORDS
from ..platform.serve import LEDGER_TOPIC
from ..standin.caller import Callers
from ..standin.cluster import CAPACITY, KEY, QUEUES
from ..standin.proxy import Way
from ..standin.trial import draw_job
from ..standin.verdict import judge
from ..standin.work import find_end_state
from .soaksite import Soak, close_soak, open_soak, register_vm, start_process

TRAFFIC_S = 10.0
JOBS = 60
FAULT_COUNTS = (3, 4, 5, 6)
LONGEST_FAULT_S = 4.0
START_S = 10.0
SETTLE_S = 30.0
SETTLE_STEP_S = 0.5
CANCELLED_PART = 0.1

app = cyclopts.App(help="A soak of real processes under faults from outside.")


# Faults.


async def _rest(draw: random.Random):
    await asyncio.sleep(draw.uniform(0.3, LONGEST_FAULT_S))


def _pick_process(soak: Soak, draw: random.Random) -> str:
    return draw.choice(sorted(soak.processes))


def _signal(soak: Soak, name: str, number: signal.Signals) -> subprocess.Popen:
    """Sends a signal to a node's process, unless that has ended, and returns the process."""
    process = soak.processes[name]
    if process.poll() is None:
        process.send_signal(number)
    return process


async def _restart(soak: Soak, name: str, ended: subprocess.Popen):
    """Starts a node again once its process has ended, unless another fault has done so."""
    await asyncio.to_thread(ended.wait)
    if soak.processes[name] is ended:
        start_process(soak, name)


async def kill_one(soak: Soak, draw: random.Random):
    """Kills a process and starts it again."""
    name = _pick_process(soak, draw)
    process = _signal(soak, name, signal.SIGKILL)
    await asyncio.sleep(draw.uniform(0.1, 1.5))
    await _restart(soak, name, process)


async def kill_all(soak: Soak, draw: random.Random):
    """Kills every process at once and starts them again."""
    killed = {name: _signal(soak, name, signal.SIGKILL) for name in soak.processes}
    await asyncio.sleep(draw.uniform(0.1, 1.0))
    for name, process in killed.items():
        await _restart(soak, name, process)


async def stop_one(soak: Soak, draw: random.Random):
    """Stops a process in the planned way and starts it again."""
    name = _pick_process(soak, draw)
    await _restart(soak, name, _signal(soak, name, signal.SIGTERM))


async def pause_some(soak: Soak, draw: random.Random):
    """Pauses processes one after the other, for longer than a leader's silence is borne."""
    for name in draw.sample(sorted(soak.processes), draw.randint(1, 3)):
        _signal(soak, name, signal.SIGSTOP)
        await asyncio.sleep(draw.uniform(0.3, 2.0))
        _signal(soak, name, signal.SIGCONT)


async def spoil_store_way(soak: Soak, draw: random.Random):
    """Silences a node's way to the store, or its answers only."""
    way = soak.store_ways[_pick_process(soak, draw)]
    way.spoil(draw.choice((Way.SILENT, Way.MUTE)))
    await _rest(draw)
    way.heal()


async def spoil_all_store_ways(soak: Soak, draw: random.Random):
    """Silences everybody's way to the store."""
    for way in soak.store_ways.values():
        way.spoil(Way.SILENT)
    await _rest(draw)
    for way in soak.store_ways.values():
        way.heal()


async def delay_store_way(soak: Soak, draw: random.Random):
    """Delays what a node sends to the store and hears from it."""
    way = soak.store_ways[_pick_process(soak, draw)]
    way.delay_s = draw.uniform(0.02, 0.4)
    await _rest(draw)
    way.heal()


async def reset_ways(soak: Soak, draw: random.Random):
    """Resets connections, several times in a row."""
    ways = [*soak.store_ways.values(), *soak.vm_ways.values()]
    for _ in range(draw.randint(1, 4)):
        for way in draw.sample(ways, 3):
            way.reset()
        await asyncio.sleep(draw.uniform(0.05, 0.6))


async def spoil_vm_way(soak: Soak, draw: random.Random):
    """Silences the way to a VM, or its answers only."""
    way = soak.vm_ways[draw.choice(sorted(soak.vm_ways))]
    way.spoil(draw.choice((Way.SILENT, Way.MUTE)))
    await asyncio.sleep(draw.uniform(0.3, 3 * LONGEST_FAULT_S))
    way.heal()


async def crash_vm(soak: Soak, draw: random.Random):
    """Crashes a VM, which starts again with no memory and registers itself."""
    name = draw.choice(sorted(soak.park.vms))
    if not soak.park.vms[name].up:
        return
    down_s = draw.uniform(0.2, 2.0)
    soak.vm_ways[name].spoil(Way.SILENT)
    soak.park.crash(name, down_s)
    await asyncio.sleep(down_s)
    soak.vm_ways[name].heal()
    await asyncio.sleep(draw.uniform(0.05, 0.5))
    register_vm(soak, name)


async def refuse_calls(soak: Soak, draw: random.Random):
    """Has the platform refuse every call."""
    soak.platform.status = 503
    await _rest(draw)
    soak.platform.status = 200


async def forget_history(soak: Soak, draw: random.Random):
    """Has the store keep only the newest record of each key."""
    for name in (LEDGER_TOPIC, configuration.TOPIC, registry.TOPIC):
        soak.get_topic(name).forget()


Fault = Callable[[Soak, random.Random], Awaitable[None]]
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


async def _bring_about(soak: Soak, fault: Fault, at_s: float, draw: random.Random):
    await asyncio.sleep(at_s)
    soak.faults.append(fault.__name__)
    await fault(soak, draw)


# Traffic and verdict.


async def _wait_for_service(callers: Callers, soak: Soak):
    """Returns once every node knows its queues."""
    queue = QUEUES["checks"]
    for frontend in soak.frontends.values():
        for _ in range(int(START_S / SETTLE_STEP_S)):
            if await callers.ask(frontend, "0" * 16, queue) == "status 410":
                break
            await asyncio.sleep(SETTLE_STEP_S)


async def _hand_in(soak: Soak, callers: Callers):
    tasks = []
    for number in range(1, JOBS + 1):
        await asyncio.sleep(soak.draw.uniform(0.2, 1.8) * TRAFFIC_S / JOBS)
        job_id, spec = f"{number:016x}", draw_job(soak.draw)
        queue = QUEUES[soak.draw.choice(sorted(QUEUES))]
        tasks.append(asyncio.create_task(callers.submit(job_id, spec, queue)))
        if soak.draw.random() < CANCELLED_PART and soak.notes.accepted:
            name = soak.draw.choice(sorted(soak.notes.accepted))
            tasks.append(asyncio.create_task(callers.cancel(name)))
    await asyncio.gather(*tasks)


async def _list_unsettled(soak: Soak, callers: Callers) -> list[str]:
    """Returns every accepted job that a node doesn't show as it should be in the end."""
    found = []
    for name, spec in soak.notes.list_promised().items():
        expected = STATE_WORDS[find_end_state(spec)]
        for node, frontend in soak.frontends.items():
            state = await callers.ask(frontend, name, soak.notes.queues[name])
            if state != expected:
                found.append(f"{node} shows {name} as {state}")
    return found


async def _settle(soak: Soak, callers: Callers) -> list[str]:
    end_s = asyncio.get_running_loop().time() + SETTLE_S
    unsettled = await _list_unsettled(soak, callers)
    while unsettled and asyncio.get_running_loop().time() < end_s:
        await asyncio.sleep(SETTLE_STEP_S)
        unsettled = await _list_unsettled(soak, callers)
    return unsettled


async def run_soak(seed: int, folder: Path) -> tuple[Soak, list[str]]:
    """Runs one seed and returns the run and every problem found."""
    soak = await open_soak(seed, folder)
    callers = Callers(list(soak.frontends.values()), KEY, soak.notes, random.Random(seed + 1))
    try:
        await _wait_for_service(callers, soak)
        chosen = [soak.draw.choice(FAULTS) for _ in range(soak.draw.choice(FAULT_COUNTS))]
        faults = [
            asyncio.create_task(
                _bring_about(soak, fault, soak.draw.uniform(0.5, TRAFFIC_S), random.Random(n))
            )
            for n, fault in enumerate(chosen, seed * 100)
        ]
        await _hand_in(soak, callers)
        await asyncio.gather(*faults)
        problems = await _settle(soak, callers)
        return soak, problems + judge(soak.park.history, soak.notes, CAPACITY)
    finally:
        await callers.close()
        await close_soak(soak)


@app.default
def search(seeds: int = 10, first: int = 1, keep: Path = Path("build/soak")):
    """Runs a range of seeds and exits with 1 if one of them breaks a promise.

    Parameters
    ----------
    seeds
        How many runs to make.
    first
        The first seed.
    keep
        Where the logs of a run that broke a promise are kept.
    """
    broken = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as name:
            soak, problems = asyncio.run(run_soak(seed, Path(name)))
            starts = sum(line.kind == "start" for line in soak.park.history)
            print(
                f"seed {seed}: {len(soak.notes.accepted)} accepted, {starts} starts,"
                f" {', '.join(soak.faults)}: {len(problems)} problems",
                flush=True,
            )
            for problem in problems:
                print(f"  {problem}", flush=True)
            if problems:
                broken += 1
                target = keep / str(seed)
                target.mkdir(parents=True, exist_ok=True)
                for log in Path(name).glob("*.log"):
                    (target / log.name).write_bytes(log.read_bytes())
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    app()
