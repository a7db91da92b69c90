"""Remembers records of which an append got no answer: the log may still store them.

The log may carry out a call seconds after it was sent, so until then nobody can say that such a
record isn't stored, not even after having read the log to its end.
"""

from ..core.clock import get_elapsed_s

# How long a call that got no answer may still be carried out, with a wide margin.
UNSETTLED_S = 60.0
MAX_UNSETTLED = 10_000


class UnsettledRecords:
    """The keys of the records of this node that may still be stored, oldest first."""

    def __init__(self):
        self.noted_s: dict[str, float] = {}

    def note(self, key: str):
        """Remembers that a record was sent without an answer so far."""
        self.noted_s.pop(key, None)
        while len(self.noted_s) >= MAX_UNSETTLED:
            self.noted_s.pop(next(iter(self.noted_s)))
        self.noted_s[key] = get_elapsed_s()

    def settle(self, key: str):
        """Forgets a record that is stored, or that certainly never will be."""
        self.noted_s.pop(key, None)

    def __contains__(self, key: str) -> bool:
        """Returns whether a record may still be stored."""
        return get_elapsed_s() - self.noted_s.get(key, -UNSETTLED_S) < UNSETTLED_S
