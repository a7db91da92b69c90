"""Two accepted submissions with many overdue occurrences: all work stands still."""

import asyncio
import dataclasses
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from small import TROUBLE, Site, make_job, run_case  # noqa: E402

MINIONS = 8
# Every second for twelve and a half hours, which are over; each occurrence is one small task.
SCHEDULES, INTERVAL_S, REPETITIONS = 2, 1.0, 45_000
SMALL_MILLICORES, SMALL_WORK_S = 50, 1.0
# The other tenant submits one task a second, each of a quarter of a minion.
OTHERS, OTHER_MILLICORES, OTHER_WORK_S = 20, 4000, 0.5
FINISH_S, IDLE_S = 14.0, 3.0


async def play(site: Site) -> list[str]:
    """Submits the schedules of one tenant, then small submissions of another one."""
    for number in range(SCHEDULES if TROUBLE != "0" else 0):
        schedule = dataclasses.replace(
            make_job(SMALL_WORK_S, 1, SMALL_MILLICORES),
            repeats=REPETITIONS,
            first_due_s=time.time() - REPETITIONS * INTERVAL_S,
            interval_s=INTERVAL_S,
        )
        if not await site.submit(f"{number:x}" * 16, schedule):
            raise RuntimeError("a schedule was not accepted")
    others = [f"{number:016x}" for number in range(1, OTHERS + 1)]
    calls = []
    for job in others:
        work = make_job(OTHER_WORK_S, 1, OTHER_MILLICORES)
        calls.append(asyncio.create_task(site.submit(job, work, tenant=1)))
        await asyncio.sleep(1.0)
    accepted = await asyncio.gather(*calls)
    await asyncio.sleep(FINISH_S + IDLE_S)
    started = {event.task.job for event in site.minions.history if event.kind == "start"}
    waiting = [job for job, was in zip(others, accepted, strict=True) if was and job not in started]
    states = {job: await site.ask(job, tenant=1) for job in waiting}
    return [
        f"{job}: accepted over {FINISH_S + IDLE_S} s ago, shown as {state!r}, nothing has run"
        for job, state in states.items()
    ]


if __name__ == "__main__":
    run_case(__file__, MINIONS, play)
