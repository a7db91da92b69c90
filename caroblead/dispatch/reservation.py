"""The VMs reserved for steps that found no room, while a tick plans the steps by rank.

Steps are planned in the order of their ranks, so a reservation that blocks one step blocks every
later one. The blocked VMs are therefore collected once in a tick and not for each step.

A step may hold VMs that it can't use yet only for a limited time: as long as the runs there are
expected to take, but not longer than its job is of use. Then it gives them all up for a while, so
that work that waits for them starts, and later tries again with other VMs if there are any.
Otherwise VMs would stay idle without end where a run exceeds its estimate, where more urgent work
takes one place again and again, or where the advice service doesn't answer.
"""

from collections import Counter

from ..jobs.data import StepKey
from .fleet import Reservation, VmRow
from .rank import USELESS_AFTER_TARGETS
from .work import StepWork

# How long a VM is reserved for a step that found no room, and by how much that is extended.
RESERVATION_S = 1.2
RESERVATION_EXTENSION_S = 0.5
# A step may hold VMs for at least this long, whatever is expected of the runs there.
MIN_HOLD_S = 5.0
# After the time for which a step may hold VMs it reserves none for this long: other work needs a
# tick to start there, and a step with advice also a call to the service.
HOLD_PAUSE_S = 1.2


class ReservationTable:
    """The reservations by VM during one tick; changes are made in the fleet's own table.

    For example, a gang that reserves ``v0`` keeps it from every step of a higher rank, until it is
    placed or lets the reservation expire.
    """

    __slots__ = ("by_vm", "now_s", "counts", "blocked", "later", "lapsed")

    def __init__(self, by_vm: dict[str, Reservation], now_s: float):
        self.by_vm = by_vm
        self.now_s = now_s
        for name in [name for name, found in by_vm.items() if found.until_s <= now_s]:
            del by_vm[name]
        self.counts = Counter(reservation.step for reservation in by_vm.values())
        self.blocked: set[str] = set()
        # The steps whose time to hold VMs was over in this tick.
        self.lapsed: list[StepWork] = []
        # The VMs whose reservations don't block yet, lowest rank last.
        self.later = sorted(by_vm, key=lambda name: by_vm[name].rank, reverse=True)

    def block_until(self, rank: tuple):
        """Blocks the VMs reserved at this rank or a lower one for the steps from this rank on."""
        while self.later:
            reservation = self.by_vm.get(self.later[-1])
            if reservation is not None and reservation.rank > rank:
                return
            name = self.later.pop()
            if reservation is not None:
                self.blocked.add(name)

    def list_blocked_for(self, step: StepKey) -> set[str]:
        """Returns the VMs that a step may not use."""
        if not self.blocked or not self.counts[step]:
            return self.blocked
        return {name for name in self.blocked if self.by_vm[name].step != step}

    def count(self, step: StepKey) -> int:
        """Returns how many VMs are reserved for a step."""
        return self.counts[step]

    def is_reserved_for(self, vm: str, step: StepKey) -> bool:
        """Returns whether a VM is reserved for a step."""
        found = self.by_vm.get(vm)
        return found is not None and found.step == step

    def reserve(self, step: StepKey, rank: tuple, rows: list[VmRow]):
        """Reserves VMs for a step, also those that were reserved for another."""
        for row in rows:
            before = self.by_vm.get(row.name)
            if before is not None:
                self.counts[before.step] -= 1
            self.counts[step] += 1
            self.by_vm[row.name] = Reservation(step, rank, self.now_s + RESERVATION_S)
            self.blocked.add(row.name)

    def extend(self, step: StepKey):
        """Extends the reservations of a step at their old rank, so that a late gang keeps them."""
        for name in self.list_vms(step):
            found = self.by_vm[name]
            until_s = max(found.until_s, self.now_s + RESERVATION_EXTENSION_S)
            self.by_vm[name] = Reservation(step, found.rank, until_s)

    def release(self, step: StepKey):
        """Ends the reservations of a step that has been placed."""
        if not self.counts.pop(step, 0):
            return
        for name in self.list_vms(step):
            del self.by_vm[name]
            self.blocked.discard(name)

    def list_vms(self, step: StepKey) -> list[str]:
        """Returns the names of the VMs that are reserved for a step."""
        return [name for name, found in self.by_vm.items() if found.step == step]


def compute_wait_s(rows: list[VmRow], now_s: float) -> float:
    """Returns within which time all runs on VMs that end at all are expected to have ended.

    A run of a former term counts from now on, since its start isn't known.
    """
    ends = (
        (run.started_s or now_s) + run.high_s
        for row in rows
        for run in row.runs.values()
        if not run.endless
    )
    return max(0.0, max(ends, default=now_s) - now_s)


def hold_vms(
    table: ReservationTable, step: StepWork, rank: tuple, rows: list[VmRow], extra_s: float = 0.0
) -> bool:
    """Reserves VMs for a step unless its time to hold any is over; returns whether it did.

    ``extra_s`` is added to that time. A step whose time was over before keeps the rank that it had
    then, so that it isn't passed by later work for good.
    """
    hold, now_s = step.hold, table.now_s
    if not rows or now_s < hold.paused_until_s:
        return False
    if now_s - hold.last_s >= HOLD_PAUSE_S:
        hold.since_s = now_s
        useful_s = USELESS_AFTER_TARGETS * step.work.target_s
        hold.limit_s = max(MIN_HOLD_S, min(useful_s, compute_wait_s(rows, now_s)))
        hold.rank = min(hold.rank, rank) if hold.lapses else rank
    elif _end_hold_if_over(table, step, frozenset(), extra_s):
        return False
    hold.last_s = now_s
    table.reserve(step.key, hold.rank if hold.lapses else rank, rows)
    return True


def keep_vms(
    table: ReservationTable, step: StepWork, lacking: frozenset[str], extra_s: float = 0.0
) -> bool:
    """Extends the reservations of a step unless its time is over; returns whether it did.

    The VMs ``lacking`` room are avoided at its next attempt.
    """
    if _end_hold_if_over(table, step, lacking, extra_s):
        return False
    step.hold.last_s = table.now_s
    table.extend(step.key)
    return True


def _end_hold_if_over(
    table: ReservationTable, step: StepWork, lacking: frozenset[str], extra_s: float
) -> bool:
    hold = step.hold
    if table.now_s - hold.since_s < hold.limit_s + extra_s:
        return False
    table.release(step.key)
    table.lapsed.append(step)
    hold.paused_until_s = table.now_s + HOLD_PAUSE_S
    hold.lapses += 1
    hold.avoided = lacking
    return True
