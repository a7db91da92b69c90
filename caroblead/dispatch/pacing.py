"""How fast filling work may go beside work that serves users.

Work that fills takes what the rest of a VM leaves, and disturbs it by an amount that nobody knows
beforehand and that changes within seconds. So its pace follows what is measured: as soon as a task
comes near its latency objective the filling runs on its VM slow down, and stop when it is missed;
once all has been calm for some looks they speed up again, step by step. It answers a load on which
both kinds share VMs because the fleet has no room to keep them apart.
"""

from .fleet import FULL_PACE, Run, RunPhase, VmRow
from .interface import HoldAnswer

# From this part of its latency objective on, a task is too close to missing it.
CLOSE_PART = 0.8
# Below this part there is room for more disturbance.
CALM_PART = 0.5
CALM_LOOKS = 2
SLOWDOWN = 2
LOWEST_PACE = 10
# A filling step prefers VMs that serve no users, and avoids those where it would be slowed down.
SERVING_PENALTY = 1.0
SLOWED_PENALTY = 4.0


def score_neighbours(row: VmRow) -> float:
    """Returns how much worse a VM is for a filling step because of what else runs there."""
    score = SERVING_PENALTY if any(run.target_ms for run in row.runs.values()) else 0.0
    if row.fill_pace < FULL_PACE:
        score += SLOWED_PENALTY
    return score


def update_pace(row: VmRow, answer: HoldAnswer):
    """Takes in how the serving runs of a VM fare and sets the pace of the filling ones."""
    fullest = _find_fullest(row, answer)
    if fullest >= 1.0:
        row.fill_pace, row.calm_looks = 0, 0
    elif fullest >= CLOSE_PART:
        row.fill_pace, row.calm_looks = row.fill_pace // SLOWDOWN, 0
    elif fullest < CALM_PART and row.fill_pace < FULL_PACE:
        row.calm_looks += 1
        if row.calm_looks >= CALM_LOOKS:
            row.fill_pace = min(FULL_PACE, max(LOWEST_PACE, row.fill_pace * SLOWDOWN))
            row.calm_looks = 0
    else:
        row.calm_looks = 0


def _find_fullest(row: VmRow, answer: HoldAnswer) -> float:
    """Returns the largest part of its latency objective that any run on a VM takes up."""
    fullest = 0.0
    for item in answer.running:
        run = row.runs.get((item.task, item.number))
        if run is not None and run.target_ms:
            fullest = max(fullest, item.response_ms / run.target_ms)
    return fullest


def list_to_pace(row: VmRow) -> list[Run]:
    """Returns the filling runs of a VM that don't go at the pace that they should."""
    return [
        run
        for run in row.runs.values()
        if run.fills and run.phase is RunPhase.RUNNING and run.pace != row.fill_pace
    ]
