"""A minion starts again under its id, and is then cut off and runs on: its task runs twice."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from small import TROUBLE, Site, find_doubled, make_job, run_case  # noqa: E402

MINIONS = 8
# Each task needs a minion for itself.
MILLICORES = 12_000
WORK_S = 16.0
STEADY_S = 10.0
# How long the process of the minion is gone, and how long after its start it writes its entry.
DOWN_S, ENTRY_S = 0.4, 0.2
# How long after its task has started there again, which takes most of a second, the minion is cut
# off, and for how long.
BETWEEN_S, CUT_S = 0.2, 12.0
MAX_START_S = 1.4


async def play(site: Site) -> list[str]:
    """Submits a task for each minion, and lets one minion start again and then be cut off."""
    for number in range(1, MINIONS + 1):
        if not await site.submit(f"{number:016x}", make_job(WORK_S, 1, MILLICORES)):
            raise RuntimeError("a submission was not accepted")
    await asyncio.sleep(STEADY_S)
    if TROUBLE in ("1", "crash"):
        await site.crash_minion("m-0", DOWN_S, ENTRY_S)
    else:
        await asyncio.sleep(DOWN_S)
    await site.wait_until(lambda: site.minions.vms["m-0"].active_runs, MAX_START_S)
    await asyncio.sleep(BETWEEN_S)
    if TROUBLE in ("1", "cut"):
        await site.cut_minion("m-0", CUT_S)
    else:
        await asyncio.sleep(CUT_S)
    await asyncio.sleep(3.0)
    return find_doubled(site.minions)


if __name__ == "__main__":
    run_case(__file__, MINIONS, play)
