"""Throttles filling runs on a VM to protect the latency of the runs that serve users there.

Filling runs use what the other runs of a VM leave free, and slow those down by an amount that isn't
known beforehand and changes within seconds. So their pace is controlled by feedback: as soon as a
serving run comes close to its latency objective, the filling runs on its VM are slowed down, and
they are paused when the objective is missed; after some polls with low response times they speed up
again, step by step. This is needed for loads under which both kinds share VMs because the fleet has
no room to keep them apart.
"""

from .fleet import FULL_PACE, Run, RunPhase, VmRow
from .interface import HoldAnswer

# From this fraction of its latency objective on, a task is too close to missing it.
CLOSE_FRACTION = 0.8
# Below this fraction there is room for more interference.
CALM_FRACTION = 0.5
CALM_POLLS = 2
PACE_FACTOR = 2
# The lowest pace after a raise, in percent: without it, a pace of 0 would never grow.
MIN_RAISED_PACE = 10
# A filling step prefers VMs that serve no users, and avoids those where it would be throttled.
SERVING_PENALTY = 1.0
THROTTLED_PENALTY = 4.0


def score_neighbours(row: VmRow) -> float:
    """Returns the penalty of a VM for a filling step because of the other runs there."""
    score = SERVING_PENALTY if any(run.target_ms for run in row.runs.values()) else 0.0
    if row.fill_pace < FULL_PACE:
        score += THROTTLED_PENALTY
    return score


def update_pace(row: VmRow, answer: HoldAnswer):
    """Sets the pace of the filling runs of a VM from the response times of its serving runs."""
    max_fraction = _find_max_fraction(row, answer)
    if max_fraction >= 1.0:
        row.fill_pace, row.calm_polls = 0, 0
    elif max_fraction >= CLOSE_FRACTION:
        row.fill_pace, row.calm_polls = row.fill_pace // PACE_FACTOR, 0
    elif max_fraction < CALM_FRACTION and row.fill_pace < FULL_PACE:
        row.calm_polls += 1
        if row.calm_polls >= CALM_POLLS:
            row.fill_pace = min(FULL_PACE, max(MIN_RAISED_PACE, row.fill_pace * PACE_FACTOR))
            row.calm_polls = 0
    else:
        row.calm_polls = 0


def _find_max_fraction(row: VmRow, answer: HoldAnswer) -> float:
    """Returns the largest ratio of response time to latency objective of the runs on a VM."""
    max_fraction = 0.0
    for item in answer.running:
        run = row.runs.get((item.task, item.number))
        if run is not None and run.target_ms:
            max_fraction = max(max_fraction, item.response_ms / run.target_ms)
    return max_fraction


def list_runs_to_pace(row: VmRow) -> list[Run]:
    """Returns the filling runs of a VM whose pace differs from the one set for the VM."""
    return [
        run
        for run in row.runs.values()
        if run.fills and run.phase is RunPhase.RUNNING and run.pace != row.fill_pace
    ]
