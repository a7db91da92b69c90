"""The VMs reserved for steps that found no room, while a tick plans the steps by rank.

Steps are planned in the order of their ranks, so a reservation that blocks one step blocks every
later one. The blocked VMs are therefore collected once in a tick and not for each step.
"""

from collections import Counter

from ..jobs.data import StepKey
from .fleet import Reservation, VmRow

# How long a VM is reserved for a step that found no room, and by how much that is extended.
RESERVATION_S = 1.2
RESERVATION_EXTENSION_S = 0.5


class ReservationTable:
    """The reservations by VM during one tick; changes are made in the fleet's own table.

    For example, a gang that reserves ``v0`` keeps it from every step of a higher rank, until it is
    placed or lets the reservation expire.
    """

    __slots__ = ("by_vm", "now_s", "counts", "blocked", "later")

    def __init__(self, by_vm: dict[str, Reservation], now_s: float):
        self.by_vm = by_vm
        self.now_s = now_s
        for name in [name for name, found in by_vm.items() if found.until_s <= now_s]:
            del by_vm[name]
        self.counts = Counter(reservation.step for reservation in by_vm.values())
        self.blocked: set[str] = set()
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
        """Returns the names of the VMs reserved for a step."""
        return [name for name, found in self.by_vm.items() if found.step == step]
