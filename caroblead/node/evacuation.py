"""The operators' evacuations of availability zones, as last read by this node."""

from collections.abc import Callable

from ..core.logsink import log
from ..dispatch.evacuation import ZoneReading
from ..dispatch.interface import Batch
from ..jobs.record import KeyedRecord
from .tail import apply_each


class EvacuationView:
    """Tracks the zones that are evacuated, from the records of the operators' log.

    The value of a key is not interpreted: a value that this version can't read must not let tasks
    start in a zone that the operators want to empty. ``known`` is set once a complete batch has
    been read.
    """

    def __init__(self, decode_zone: Callable[[str], str | None]):
        self.decode_zone = decode_zone
        self.zones: frozenset[str] = frozenset()
        self.known = False

    def consume(self, batch: Batch, complete: bool):
        """Applies records of the operators' log; a complete batch replaces all zones."""
        before = self.zones
        found = set() if complete else set(before)

        def apply(record: KeyedRecord):
            zone = self.decode_zone(record.key)
            if zone is None:
                return
            if record.value:
                found.add(zone)
            else:
                found.discard(zone)

        apply_each("evacuation", batch.records, apply)
        self.zones = frozenset(found)
        self.known = self.known or complete
        for zone in sorted(self.zones - before):
            log("zone:evacuated", zone=zone)
        for zone in sorted(before - self.zones):
            log("zone:restored", zone=zone)

    def make_reading(self, read_s: float) -> ZoneReading:
        """Returns the zones, given when the last read that reached the end of the log was sent."""
        return ZoneReading(self.zones, read_s if self.known else None)
