"""The limits that the platform's protocol names, which the stand-ins of the platform enforce.

A stand-in that takes more than the platform would hide every call that the platform refuses. The
sizes that differ between platforms are those of :class:`caroblead.dispatch.interface.LogLimits`.
"""

from collections import Counter

# The store.
MAX_TOPICS = 100
MAX_STORED_BYTES = 400_000_000
MAX_KEYS_PER_PAGE = 500
MAX_PAGE_BYTES = 1_000_000
MAX_READ_WAIT_MS = 30_000
WRITES_PER_S = 800
READS_PER_S = 2000
# An append that would wait longer than this at its partition is turned away.
MAX_APPEND_DELAY_S = 2.0
# VMs.
MAX_ENDS_PER_ANSWER = 500
MAX_HOLD_WAIT_MS = 2000
MAX_LEASE_MS = 10_000
MAX_PAYLOAD_BYTES = 4000
# The advice service.
MAX_VMS_PER_QUESTION = 100
MAX_WAITING_QUESTIONS = 32


class CallRate:
    """Counts the calls of each second and tells which are beyond the rate of their kind."""

    def __init__(self, limits: dict[str, int]):
        self.limits = limits
        self.second = 0
        self.calls: Counter[str] = Counter()

    def admit(self, kind: str, now_s: float) -> bool:
        """Counts a call, and returns whether it is within the rate; other kinds always are."""
        if int(now_s) != self.second:
            self.second, self.calls = int(now_s), Counter()
        self.calls[kind] += 1
        return self.calls[kind] <= self.limits.get(kind, self.calls[kind])
