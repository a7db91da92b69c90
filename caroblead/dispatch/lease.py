"""The leases of VMs: when a grant ends, and when a silent VM certainly runs nothing any more.

A VM may restart under its name, with a clock that starts anew. A call that was computed by the
former clock and reaches the new incarnation gives it the longest lease there is, whatever deadline
it carries. So two things bound what a new incarnation may hold:

- Each incarnation gets calls with a fence of its own. Once it has answered one of them, it carries
  out no call for a former incarnation, however late that call arrives.
- Until then it may hold the longest lease, counted from that answer, and so may a VM that has
  restarted unnoticed. A run is known to be in the incarnation by whose clock the leader counts
  once its VM has listed it, or has answered its order with a reading of that clock.
"""

from .fleet import FULL_PACE, Fleet, Run, RunPhase, VmRow, take_fence

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
    """Handles the first answer of an incarnation of a VM in this term.

    A call of the former leader, or for a former incarnation, may have renewed its lease until a
    moment ago, so the lease doesn't count as expired before the longest one that there can be.
    """
    observe_clock(row, clock_ms, now_s)
    row.answered = True
    row.deadline_ms = max(row.deadline_ms, clock_ms + int(_get_longest_lease_s(fleet) * 1000))


def _get_longest_lease_s(fleet: Fleet) -> float:
    return max(fleet.lease_s, fleet.longest_lease_s)


def is_clock_of_incarnation(row: VmRow, clock_ms: int, sent_s: float, now_s: float) -> bool:
    """Returns whether a reading continues the clock of a VM, and isn't that of a later incarnation.

    The call that was answered with it was sent at ``sent_s``.
    """
    margin_ms = EXPIRY_MARGIN_S * 1000
    earliest_ms = row.clock_ms + (sent_s - row.clock_at_s) * 1000 * (1 - CLOCK_DRIFT) - margin_ms
    latest_ms = row.clock_ms + (now_s - row.clock_at_s) * 1000 * (1 + CLOCK_DRIFT) + margin_ms
    return row.answered and earliest_ms <= clock_ms <= latest_ms


def grant_deadline(fleet: Fleet, row: VmRow, confirmed_s: float, now_s: float) -> int:
    """Returns the end of a lease that begins when the leader's term was last confirmed.

    It doesn't begin now, because a leader may be paused between the confirmation and the order:
    counting from the confirmation bounds what such a leader can grant, so that a successor knows
    when the last of these leases has expired.
    """
    deadline = row.clock_ms + int((confirmed_s - row.clock_at_s + fleet.lease_s) * 1000)
    row.deadline_ms = max(row.deadline_ms, deadline)
    row.granted_s = now_s
    return deadline


def is_lease_expired(fleet: Fleet, row: VmRow, now_s: float) -> bool:
    """Returns whether every lease granted to the known incarnation of a silent VM has expired.

    The clock of the VM is assumed to be slow by :data:`CLOCK_DRIFT`.
    """
    if not row.answered:
        return _has_longest_lease_expired(fleet, max(fleet.term_began_s, row.reset_s), now_s)
    slowest_ms = row.clock_ms + (now_s - row.clock_at_s) * 1000 * (1 - CLOCK_DRIFT)
    expired = slowest_ms >= row.deadline_ms + EXPIRY_MARGIN_S * 1000
    return expired


def list_expired_runs(fleet: Fleet, row: VmRow, now_s: float) -> list[Run]:
    """Returns the runs on a VM whose lease has expired that certainly don't exist any more.

    One that isn't confirmed may have been started by a later incarnation, which holds the longest
    lease from the last grant on.
    """
    is_any_expired = _has_longest_lease_expired(fleet, row.granted_s, now_s)
    return [
        run
        for run in row.runs.values()
        if run.phase is not RunPhase.RECORDING and (run.is_confirmed or is_any_expired)
    ]


def _has_longest_lease_expired(fleet: Fleet, since_s: float, now_s: float) -> bool:
    wait_s = _get_longest_lease_s(fleet) * (1 + 2 * CLOCK_DRIFT) + EXPIRY_MARGIN_S
    return now_s - since_s > wait_s


def reset_incarnation(fleet: Fleet, row: VmRow, incarnation: int, now_s: float):
    """Resets the lease of a VM that has restarted; the caller must end its runs."""
    row.incarnation = incarnation
    row.fence = take_fence(fleet)
    row.clock_ms = row.deadline_ms = row.seen = row.unknown_runs = 0
    row.clock_at_s = row.heard_s = row.doubted_s = row.granted_s = 0.0
    for run in row.runs.values():
        run.is_confirmed = False
    row.answered = False
    row.reset_s = now_s
    row.fill_pace, row.calm_polls = FULL_PACE, 0
    row.failed_jobs.clear()
    row.speed = 1.0
