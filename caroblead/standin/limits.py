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
# The kind of each call to the store, and how many of that kind it takes in a second.
RATES = {
    "log_append": ("write", WRITES_PER_S),
    "log_read": ("read", READS_PER_S),
    "log_newest": ("read", READS_PER_S),
}
# A partition carries out its appends one at a time, each in this time and at this rate. One that
# would wait longer than the delay is turned away.
APPEND_S = 0.002
PARTITION_BYTES_PER_S = 20_000_000
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

    def __init__(self):
        self.second = 0
        self.calls: Counter[str] = Counter()

    def admit(self, call: str, now_s: float) -> bool:
        """Counts a call, and returns whether it is within the rate; calls to others always are."""
        kind, limit = RATES.get(call, ("", 0))
        if not kind:
            return True
        if int(now_s) != self.second:
            self.second, self.calls = int(now_s), Counter()
        self.calls[kind] += 1
        return self.calls[kind] <= limit


class Partition:
    """The queue of the appends to a partition."""

    def __init__(self):
        self.busy_until_s = 0.0

    def enqueue(self, size: int, now_s: float, slowness: float = 1.0) -> float | None:
        """Returns how long an append of so many bytes takes, ``None`` if it is turned away.

        It takes ``slowness`` times as long as usual.
        """
        begins_s = max(now_s, self.busy_until_s)
        if begins_s - now_s > MAX_APPEND_DELAY_S:
            return None
        usual_s = APPEND_S + size / PARTITION_BYTES_PER_S
        self.busy_until_s = begins_s + usual_s * slowness
        return self.busy_until_s - now_s
