"""Passes the progress that VMs report of their runs to the learned speeds."""

from ...core.logsink import log
from ..fleet import Fleet, RunPhase, VmRow
from ..interface import HoldAnswer
from .speed import ProgressReport, get_estimate, observe_progress


def watch_progress(fleet: Fleet, row: VmRow, answer: HoldAnswer, now_s: float):
    """Learns the speed of a VM from its answer, if speeds are learned.

    Runs of gangs are left out, because they have the pace of the slowest VM of the gang.
    """
    if fleet.speeds is None:
        return
    reports = []
    for item in answer.running:
        run = row.runs.get((item.task, item.number))
        if run is None or run.phase is not RunPhase.RUNNING:
            continue
        # Only a run that is neither a member of a gang nor lasting is evictable.
        if run.evictable and run.expects_progress:
            expected_s = 0.0 if run.resumed else run.expected_s
            step = item.task[:3]
            reports.append(ProgressReport(step, (item.task, item.number), item.percent, expected_s))
    before = row.speed
    if observe_progress(fleet.speeds, row.name, row.incarnation, answer.clock_ms, reports, now_s):
        log_change(fleet, row, before, "progress")


def log_change(fleet: Fleet, row: VmRow, before: float, seen_in: str):
    """Sets and logs the speed of a VM that has changed."""
    estimate = get_estimate(fleet.speeds, row.name, row.incarnation)
    row.speed = estimate.get_speed()
    log(
        "vm:speed_changed",
        vm=row.name,
        speed=round(row.speed, 2),
        before=round(before, 2),
        deviation=round(estimate.get_deviation(), 2),
        seen_in=seen_in,
    )
