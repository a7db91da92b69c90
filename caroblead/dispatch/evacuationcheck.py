"""Applies the evacuations of zones in a term, and logs their effect.

The decisions are in :mod:`caroblead.dispatch.evacuation`.
"""

from ..core.clock import get_elapsed_s
from ..core.logsink import log, log_routine
from .evacuation import (
    find_evacuated_zones,
    find_waiting_steps,
    is_reading_current,
    list_cold,
    list_evacuated_rows,
    set_zones,
)
from .fleet import Run
from .term import TermState
from .work import StepWork

# How often to look for steps that only VMs of evacuated zones could run.
REPORT_INTERVAL_S = 1.0


def apply_evacuations(state: TermState) -> bool:
    """Applies the last reading of the evacuated zones; returns whether tasks may be started by it.

    Where zones aren't evacuated, nothing is read and tasks may always be started.
    """
    bound_s = state.dependencies.features.evacuation_s
    if bound_s <= 0:
        return True
    reading, now_s = state.dependencies.get_evacuations(), get_elapsed_s()
    _set_zones(state, reading.zones)
    may_start = is_reading_current(reading, bound_s, state.fleet.term_began_s, now_s)
    state.fleet.start_until_s = bound_s + (reading.read_s or 0.0)
    if may_start == state.evacuation.paused:
        state.evacuation.paused = not may_start
        age_s = None if reading.read_s is None else round(now_s - reading.read_s, 3)
        kind = "evacuation:read" if may_start else "evacuation:not_read"
        log(kind, term=state.term, age_s=age_s)
    return may_start


def _set_zones(state: TermState, zones: frozenset[str]):
    change = set_zones(state.fleet, zones)
    if change is None:
        return
    rows = list_evacuated_rows(state.fleet)
    log(
        "evacuation:applied",
        term=state.term,
        began=change.began,
        ended=change.ended,
        vms=len(rows),
        runs=sum(len(row.runs) for row in rows),
        released=len(change.released),
    )


def find_withdrawal_reason(state: TermState, runs: list[Run]) -> str:
    """Returns why recorded starts must not be sent now, or an empty string if they may be.

    The runs are one run or all members of a gang, which is withdrawn as a whole.
    """
    if not apply_evacuations(state):
        return "the evacuated zones were not read in time"
    zones = find_evacuated_zones(state.fleet, runs)
    return f"zone {', '.join(zones)} is evacuated" if zones else ""


def list_cold_vms(state: TermState, now_s: float) -> set[str]:
    """Returns the VMs that are slow because they have just started."""
    if state.dependencies.features.evacuation_s <= 0:
        return set()
    return list_cold(state.evacuation, state.fleet, now_s)


def report_waiting_steps(state: TermState, steps: list[StepWork], now_s: float):
    """Logs which steps have begun or ceased to wait for evacuated zones, once in a while."""
    evacuation = state.evacuation
    if not state.fleet.evacuated_zones and not evacuation.waiting:
        return
    if now_s < evacuation.next_report_s and state.fleet.evacuated_zones:
        return
    evacuation.next_report_s = now_s + REPORT_INTERVAL_S
    configuration = state.dependencies.get_configuration()
    waiting = find_waiting_steps(steps, state.fleet, configuration)
    for key, zones in waiting.items():
        if evacuation.waiting.get(key) != zones:
            reason = "only VMs of evacuated zones could run it"
            log_routine("step:waits", step=str(key), zones=zones, reason=reason)
    for key in evacuation.waiting.keys() - waiting.keys():
        log_routine("step:waits_no_longer", step=str(key))
    evacuation.waiting = waiting
