"""The leases of VMs: when a grant ends, and when a silent VM certainly runs nothing any more."""

from .fleet import FULL_PACE, Fleet, VmRow

# The fraction by which the clock of a VM may be slow.
CLOCK_DRIFT = 0.02
# Added to the end of a lease before it counts as expired, for rounding and for delayed timers.
EXPIRY_MARGIN_S = 0.1


def observe_clock(row: VmRow, clock_ms: int, now_s: float):
    """Stores a reading of a VM's clock that has just arrived."""
    row.clock_ms = clock_ms
    row.clock_at_s = now_s
    row.heard_s = now_s


def observe_first_answer(fleet: Fleet, row: VmRow, clock_ms: int, now_s: float):
    """Handles a VM's first answer in this term.

    The former leader may have renewed its lease until a moment ago, so the lease doesn't count as
    expired before the longest one that it can have granted.
    """
    observe_clock(row, clock_ms, now_s)
    row.answered = True
    row.deadline_ms = max(row.deadline_ms, clock_ms + int(fleet.lease_s * 1000))


def grant_deadline(fleet: Fleet, row: VmRow, confirmed_s: float) -> int:
    """Returns the end of a lease that begins when the leader's term was last confirmed.

    It doesn't begin now, because a leader may be paused between the confirmation and the order:
    counting from the confirmation bounds what such a leader can grant, so that a successor knows
    when the last of these leases has expired.
    """
    deadline = row.clock_ms + int((confirmed_s - row.clock_at_s + fleet.lease_s) * 1000)
    row.deadline_ms = max(row.deadline_ms, deadline)
    return deadline


def is_lease_expired(fleet: Fleet, row: VmRow, now_s: float) -> bool:
    """Returns whether every lease ever granted to a silent VM has certainly expired.

    The clock of the VM is assumed to be slow by :data:`CLOCK_DRIFT`.
    """
    if not row.answered:
        wait_s = fleet.lease_s * (1 + 2 * CLOCK_DRIFT) + EXPIRY_MARGIN_S
        return now_s - max(fleet.term_began_s, row.reset_s) > wait_s
    slowest_ms = row.clock_ms + (now_s - row.clock_at_s) * 1000 * (1 - CLOCK_DRIFT)
    expired = slowest_ms >= row.deadline_ms + EXPIRY_MARGIN_S * 1000
    return expired


def reset_incarnation(row: VmRow, incarnation: int, now_s: float):
    """Resets the lease of a VM that has restarted; the caller must end its runs."""
    row.incarnation = incarnation
    row.clock_ms = row.deadline_ms = row.seen = row.unknown_runs = 0
    row.clock_at_s = row.heard_s = row.doubted_s = 0.0
    row.answered = False
    row.reset_s = now_s
    row.fill_pace, row.calm_polls = FULL_PACE, 0
    row.failed_jobs.clear()
    row.speed = 1.0
