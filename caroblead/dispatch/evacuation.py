"""Keeps new tasks out of the availability zones that the operators evacuate.

The load: operators empty one or more zones of a fleet on which 530 tasks start in a second, and no
task may start there once a fixed time has passed since the store acknowledged their write. A leader
learns of the write by reading. Therefore it starts nothing, anywhere, by a reading that is older
than :data:`MAX_AGE_FRACTION` of that time. The rest of the time is for orders under way: each one
carries a deadline after which its VM refuses it, so that neither a frozen leader nor a slow network
starts a task later than the bound.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..core.resource import Resources
from ..jobs.data import StepKey
from .eviction import count_fit
from .fleet import Fleet, Run, VmRow
from .interface import Configuration, ListedVm, find_service
from .lease import CLOCK_DRIFT
from .work import StepWork, get_booked_need

# The age of a reading, as a fraction of the bound, above which nothing starts by it.
MAX_AGE_FRACTION = 0.6


@dataclass(slots=True, frozen=True)
class ZoneReading:
    """The evacuated zones as last read.

    ``read_s`` is when the last read that reached the end of the operators' log was sent; ``None``
    before the first one. The zones include every write that was acknowledged before.
    """

    zones: frozenset[str] = frozenset()
    read_s: float | None = None


@dataclass(slots=True)
class EvacuationState:
    """What a term remembers of evacuations from one tick to the next.

    ``paused`` is set while no reading is current. ``cold_until_s`` holds the entry of each VM that
    was listed as cold and until when it is. ``waiting`` holds the steps that only VMs of evacuated
    zones could run, with the names of these zones.
    """

    paused: bool = False
    cold_until_s: dict[str, tuple[ListedVm, float]] = field(default_factory=dict)
    waiting: dict[StepKey, str] = field(default_factory=dict)
    next_report_s: float = 0.0


@dataclass(slots=True, frozen=True)
class ZoneChange:
    """The zones whose evacuation has begun or ended, and the reservations that were released."""

    began: list[str]
    ended: list[str]
    released: list[str]


def is_reading_current(
    reading: ZoneReading, bound_s: float, term_began_s: float, now_s: float
) -> bool:
    """Returns whether tasks may be started by a reading.

    It must have been made in this term, and be recent enough that an order sent now arrives within
    the bound. For example, with a bound of 5 s a reading counts for 3 s.
    """
    if reading.read_s is None or reading.read_s < term_began_s:
        return False
    return now_s - reading.read_s <= MAX_AGE_FRACTION * bound_s


def limit_start_deadline(row: VmRow, deadline_ms: int, start_until_s: float) -> int:
    """Returns the deadline of a start order that must not be carried out after ``start_until_s``.

    The clock of the VM is assumed to be slow by up to :data:`CLOCK_DRIFT`.
    """
    if start_until_s == float("inf"):
        return deadline_ms
    left_s = (start_until_s - row.clock_at_s) * (1 - CLOCK_DRIFT)
    return min(deadline_ms, row.clock_ms + int(left_s * 1000))


def set_zones(fleet: Fleet, zones: frozenset[str]) -> ZoneChange | None:
    """Sets the evacuated zones and releases the reservations there; ``None`` if nothing changed."""
    before = fleet.evacuated_zones
    if zones == before:
        return None
    fleet.evacuated_zones = zones
    released = [name for name in fleet.reservations if _is_in_evacuated_zone(fleet, name)]
    for name in released:
        del fleet.reservations[name]
    return ZoneChange(sorted(zones - before), sorted(before - zones), sorted(released))


def _is_in_evacuated_zone(fleet: Fleet, name: str) -> bool:
    row = fleet.rows.get(name)
    return row is not None and row.listed.zone in fleet.evacuated_zones


def list_evacuated_rows(fleet: Fleet) -> list[VmRow]:
    """Returns the VMs in the evacuated zones."""
    if not fleet.evacuated_zones:
        return []
    return [row for row in fleet.rows.values() if row.listed.zone in fleet.evacuated_zones]


def find_evacuated_zones(fleet: Fleet, runs: Iterable[Run]) -> list[str]:
    """Returns the evacuated zones in which runs are about to start."""
    return sorted({run.vm.listed.zone for run in runs} & fleet.evacuated_zones)


def list_cold(state: EvacuationState, fleet: Fleet, now_s: float) -> set[str]:
    """Returns the VMs that have just started and are slow for some time.

    An entry says how much of that time was left when the VM wrote it. The time is counted from when
    the entry is first seen here, so a VM may count as cold for too long by the age of its entry.
    """
    for name, row in fleet.rows.items():
        listed = row.listed
        if listed.cold_remaining_ms > 0:
            known = state.cold_until_s.get(name)
            if known is None or known[0] is not listed:
                state.cold_until_s[name] = listed, now_s + listed.cold_remaining_ms / 1000
        elif name in state.cold_until_s:
            del state.cold_until_s[name]
    return {name for name, (_, until_s) in state.cold_until_s.items() if until_s > now_s}


@dataclass(slots=True)
class Vms:
    """The capacity of each VM of a group by its name, and how many VMs have the same one."""

    capacities: dict[str, Resources] = field(default_factory=dict)
    counts: Counter[Resources] = field(default_factory=Counter)


def find_waiting_steps(
    steps: list[StepWork], fleet: Fleet, configuration: Configuration
) -> dict[StepKey, str]:
    """Returns the steps that only VMs of evacuated zones could run, with the names of these zones.

    Only what lasts is looked at: service, label, capacity and the answers of the advice service. A
    gang needs room for all of its waiting tasks, any other step for one.
    """
    if not list_evacuated_rows(fleet):
        return {}
    groups: dict[tuple[str, str], dict[str, Vms]] = {}
    found = {}
    for step in steps:
        service = find_service(configuration, step.work.job.queue)
        group = groups.get((service, step.spec.label))
        if group is None:
            group = groups[service, step.spec.label] = _group_vms(fleet, service, step.spec.label)
        zones = _find_zones_to_wait_for(step, group)
        if zones:
            found[step.key] = ",".join(zones)
    return found


def _group_vms(fleet: Fleet, service: str, label: str) -> dict[str, Vms]:
    """Returns the VMs of a service with a label by evacuated zone; all others are under ``""``."""
    group: defaultdict[str, Vms] = defaultdict(Vms)
    for row in fleet.rows.values():
        listed = row.listed
        if listed.service != service or not row.in_registry or listed.draining:
            continue
        if label and label not in listed.labels:
            continue
        vms = group[listed.zone if listed.zone in fleet.evacuated_zones else ""]
        vms.capacities[row.name] = listed.capacity
        vms.counts[listed.capacity] += 1
    return group


def _find_zones_to_wait_for(step: StepWork, group: dict[str, Vms]) -> list[str]:
    required = len(step.waiting) if step.spec.gang else 1
    outside = _count_places(step, group.get("", Vms()), required)
    if outside >= required:
        return []
    places = {zone: _count_places(step, vms, required) for zone, vms in group.items() if zone}
    if outside + sum(places.values()) < required:
        return []
    return sorted(zone for zone, count in places.items() if count)


def _count_places(step: StepWork, vms: Vms, enough: int) -> int:
    """Returns how many tasks of a step the VMs could hold if they were empty, or ``enough``."""
    need, limit = get_booked_need(step.spec), step.spec.max_per_vm or enough
    excluded = (step.advice.asked - step.advice.allowed) & vms.capacities.keys()
    counts = vms.counts - Counter(vms.capacities[name] for name in excluded)
    places = sum(
        min(limit, count_fit(need, capacity)) * count for capacity, count in counts.items()
    )
    return min(places, enough)
