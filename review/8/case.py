"""A manifest gives a cap as a number with a decimal point: nothing starts any more, for anybody."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from small import TROUBLE, Site, make_job, run_case  # noqa: E402

MINIONS = 8
MILLICORES = 12_000
WORK_S = 2.0
# The tenant may run two of its four tasks at a time. Both are the same number in JSON.
CAP = {"cpu": 24000} if TROUBLE == "0" else {"cpu": 24000.0}
SPEC_TASKS, OTHERS = 4, 3
# How long after the end of the traffic submissions are asked for, and have to be on their way.
FINISH_S, IDLE_S = 14.0, 3.0


async def play(site: Site) -> list[str]:
    """Changes the cap of one tenant, and submits for it and for another that has no cap."""
    site.publish({0: CAP})
    await asyncio.sleep(3.0)
    capped = f"{1:016x}"
    others = [f"{number:016x}" for number in range(2, 2 + OTHERS)]
    accepted = [await site.submit(capped, make_job(WORK_S, SPEC_TASKS, MILLICORES))]
    for job in others:
        accepted.append(await site.submit(job, make_job(WORK_S, 1, MILLICORES), tenant=1))
    if not all(accepted):
        raise RuntimeError("a submission was not accepted")
    await asyncio.sleep(FINISH_S + IDLE_S)
    started = {event.task.job for event in site.minions.history if event.kind == "start"}
    states = {capped: await site.ask(capped)}
    for job in others:
        states[job] = await site.ask(job, tenant=1)
    return [
        f"{job}: accepted {FINISH_S + IDLE_S} s ago, shown as {state!r}, nothing of it has run"
        for job, state in states.items()
        if job not in started
    ]


if __name__ == "__main__":
    run_case(__file__, MINIONS, play)
