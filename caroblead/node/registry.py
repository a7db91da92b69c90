"""The VMs in the platform's registry, as last read by this node."""

from collections.abc import Callable

from ..core.logsink import log
from ..core.timer import call_and_log_errors
from ..dispatch.interface import Batch, ListedVm
from ..jobs.record import KeyedRecord
from .tail import apply_each


class Registry:
    """Tracks the registered VMs; an entry that can't be decoded names no VM."""

    def __init__(self, decode: Callable[[str, bytes], ListedVm]):
        self.decode = decode
        self.vms: dict[str, ListedVm] = {}
        self.on_change: Callable[[], None] = lambda: None

    def consume(self, batch: Batch, complete: bool):
        """Applies records of the registry's log; a complete batch replaces all entries."""
        before = self.vms
        found = {} if complete else dict(before)

        def apply(record: KeyedRecord):
            found.pop(record.key, None)
            if record.value:
                found[record.key] = self.decode(record.key, record.value)

        apply_each("registry", batch.records, apply)
        self.vms = found
        self._log_changes(before, found)
        if before != found:
            call_and_log_errors(self.on_change)

    def _log_changes(self, before: dict[str, ListedVm], found: dict[str, ListedVm]):
        for name in before.keys() - found.keys():
            log("registry:vm_gone", vm=name)
        for name, vm in found.items():
            old = before.get(name)
            if old is None or old.incarnation != vm.incarnation:
                log("registry:vm_listed", vm=name, incarnation=vm.incarnation, zone=vm.zone)
            elif old.draining != vm.draining:
                log("registry:vm_draining", vm=name, draining=vm.draining)
