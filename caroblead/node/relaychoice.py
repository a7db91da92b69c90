"""Decides which peers a call is passed on to by a node that can't serve it.

This is meant for a store that turns some nodes away, and for nodes that have just started or were
cut off: their callers would otherwise have to try again, a second later, at a node that is chosen
at random. A call is passed on once only. When the store is down for all, peers reject what is
passed on to them, and each such peer is left alone for a while.
"""

import zlib
from collections import Counter
from collections.abc import Iterable

from ..core.outcome import Reason
from ..jobs.record import NodeRecord

# At most this many peers are tried for one call.
MAX_RELAYS = 2
# A peer that rejected a call or did not answer gets none for this long; each further failure in a
# row doubles the time. Most cuts last for some seconds.
BACKOFF_S = 1.0
MAX_BACKOFF_S = 4.0
# The rejections whose reason lies in the node, so that another node may serve the call.
NODE_REASONS = frozenset({Reason.NO_CONFIG, Reason.LOG_DOWN})


class RelayChoice:
    """The peers of a node that calls may be passed on to."""

    def __init__(self, node: str):
        self.node = node
        self.backoff_until_s: dict[str, float] = {}
        self.failures: Counter[str] = Counter()

    def choose(self, peers: Iterable[NodeRecord], call: str, now_s: float) -> list[NodeRecord]:
        """Returns the peers to try in turn for a call; different calls go to different peers."""
        usable = [
            peer
            for peer in peers
            if peer.node != self.node and self.backoff_until_s.get(peer.node, 0.0) <= now_s
        ]
        usable.sort(key=lambda peer: zlib.crc32(f"{call}/{peer.node}".encode()))
        return usable[:MAX_RELAYS]

    def note_failure(self, peer: NodeRecord, now_s: float):
        """Notes that a peer rejected a call or did not answer."""
        if self.backoff_until_s.get(peer.node, 0.0) > now_s:
            # A call that was sent before that failure became known shows nothing new.
            return
        self.failures[peer.node] += 1
        pause_s = min(MAX_BACKOFF_S, BACKOFF_S * 2 ** (self.failures[peer.node] - 1))
        self.backoff_until_s[peer.node] = now_s + pause_s

    def note_success(self, peer: NodeRecord):
        """Notes that a peer has served a call."""
        self.failures.pop(peer.node, None)
