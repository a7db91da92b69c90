"""Which VMs get no new tasks because they, or others of their zone, leave calls unanswered.

This is meant for an availability zone that is cut off, and for VMs that hang: their leases must
expire before a task that was ordered there may start elsewhere, which is too late for an urgent
one. A VM that leaves a call unanswered is doubted until it answers a call again. Once two VMs of a
zone are doubted, so are the others of which nothing was heard since, and each is asked at once.
"""

from .fleet import Fleet, VmRow

# A single VM that hangs says nothing about its zone.
MIN_DOUBTED_VMS = 2


def doubt_vm(fleet: Fleet, row: VmRow, sent_s: float) -> list[VmRow]:
    """Doubts a VM that left a call sent at ``sent_s`` unanswered.

    Returns the other VMs of its zone that are doubted from now on because of it, which should be
    asked at once.
    """
    if row.heard_s >= sent_s:
        return []
    row.doubted_s = max(row.doubted_s, sent_s)
    zone = [other for other in fleet.rows.values() if other.listed.zone == row.listed.zone]
    since = [other.doubted_s for other in zone if is_doubted(other)]
    if len(since) < MIN_DOUBTED_VMS:
        return []
    since_s = min(since)
    added = [other for other in zone if other.heard_s < since_s and not is_doubted(other)]
    for other in added:
        other.doubted_s = since_s
    return added


def is_doubted(row: VmRow) -> bool:
    """Returns whether a VM has left a call unanswered, or is in doubt with its zone."""
    return row.heard_s < row.doubted_s
