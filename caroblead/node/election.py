"""Elects the leader through the log.

Whoever finds the leader silent appends a record of the next term. The log refuses appends of an
earlier term from then on, and of several records of one term only the first is kept, so the log's
order decides. Silence is judged only by what an answered read has shown.
"""

import random
import secrets
import zlib
from collections.abc import Callable

from transitions import Machine

from ..core.clock import get_elapsed_s
from ..core.logsink import log
from ..dispatch.interface import Fence, FencedError, KeyedLog
from ..fleet.interface import LogError
from ..jobs.record import KeyedRecord, NodeRecord, RecordKind, Term, encode_term, make_key
from .tail import Tail

# A leader that shows nothing in the log for this long is replaced: so many of its usual gaps and a
# little more, within bounds. A slow store makes the gaps longer, and the patience with them.
GAPS_OF_SILENCE = 2.0
SILENCE_SLACK_S = 0.35
MIN_SILENCE_S = 0.6
MAX_SILENCE_S = 1.5
GAP_WEIGHT = 0.2
# Nodes try one after another, so that one of them usually wins without a rival.
MAX_JITTER_S = 0.2
RESIGNED_JITTER_S = 0.15
# How long the others leave a free term to the heir that the last leader named.
HEIR_HEADSTART_S = 0.4
# A node with less than this part of the strongest node's strength leads only if it must.
STRONG_PART = 0.75
APPEND_TIMEOUT_S = 1.0
CONSIDER_S = 0.05

STATES = ("following", "standing", "leading", "leaving")


class Election:
    """One node's part in choosing the leader; ``state`` is one of :data:`STATES`."""

    def __init__(self, node: str, keyed_log: KeyedLog, tail: Tail, seed: int):
        self.node = node
        self.incarnation = f"{node}~{secrets.token_hex(4)}"
        self.log = keyed_log
        self.tail = tail
        self.random = random.Random(seed)
        self.heard_s = get_elapsed_s()
        self.gap_s = MIN_SILENCE_S / 2
        self.term: Term | None = None
        self.resigned = False
        self.extra_patience_s = 0.0
        self.jitter_s = self._draw_jitter()
        self.tried_number = 0
        self.led_number = 0
        self.tried_s = 0.0
        self.on_won: Callable[[int, float], None] = lambda number, proved_s: None
        self.on_displaced: Callable[[str], None] = lambda detail: None
        self.machine = Machine(self, states=STATES, initial="following", auto_transitions=False)
        self.machine.add_transition("stand", "following", "standing")
        self.machine.add_transition("win", ["standing", "following"], "leading")
        self.machine.add_transition("step_back", ["standing", "leading"], "following")
        self.machine.add_transition("leave", "*", "leaving")

    def _draw_jitter(self) -> float:
        return self.random.random() * MAX_JITTER_S

    def hear_leader(self):
        """Takes in that the leader showed itself in the log."""
        now_s = get_elapsed_s()
        self.gap_s += GAP_WEIGHT * (min(now_s - self.heard_s, MAX_SILENCE_S) - self.gap_s)
        self.heard_s = now_s

    def get_patience_s(self) -> float:
        """Returns for how long the leader may show nothing."""
        usual_s = GAPS_OF_SILENCE * self.gap_s + SILENCE_SLACK_S
        return min(MAX_SILENCE_S, max(MIN_SILENCE_S, usual_s))

    def hear_resignation(self, heir: str = ""):
        """Takes in that the leader has ended its term, and which node should begin the next."""
        self.resigned = True
        self.jitter_s = self.random.random() * RESIGNED_JITTER_S + self.extra_patience_s
        if heir == self.node:
            self.jitter_s = 0.0
        elif heir:
            self.jitter_s += HEIR_HEADSTART_S
        self.heard_s = get_elapsed_s()

    def hear_term(self, term: Term):
        """Takes in that a term has begun, of this node or another."""
        self.term = term
        self.resigned = False
        self.hear_leader()
        self.jitter_s = self._draw_jitter()
        if term.incarnation == self.incarnation and self.state != "leaving":
            self._take_own_term(term)
            return
        log("election:term_heard", term=term.number, leader=term.node)
        if self.state == "leading":
            self.step_back()
            self.on_displaced(f"{term.node} began term {term.number}")

    def _take_own_term(self, term: Term):
        """Begins to lead, but never twice in one term.

        Appends are numbered within a term, and the log would take the first ones of a second try
        for repeats and drop them.
        """
        if term.number <= self.led_number:
            log("election:term_spent", term=term.number)
            self.hear_resignation()
            return
        self.led_number = term.number
        if self.state != "leading":
            self.win()
        log("election:won", term=term.number)
        self.on_won(term.number, self.tried_s)

    def is_due(self, now_s: float) -> bool:
        """Returns whether this node should try to lead now."""
        if self.state != "following" or not self.tail.caught_up:
            return False
        if self.term is None or self.resigned:
            return now_s - self.heard_s >= self.jitter_s
        limit_s = self.get_patience_s() + self.jitter_s + self.extra_patience_s
        # The log itself must have been heard after the leader should have shown itself.
        return self.tail.answered_s - self.heard_s >= limit_s

    async def consider(self):
        """Tries to begin a term if the leader is silent."""
        if not self.is_due(get_elapsed_s()):
            return
        number = (self.term.number if self.term else 0) + 1
        if number != self.tried_number:
            self.tried_number, self.tried_s = number, get_elapsed_s()
        self.stand()
        silent_s = round(get_elapsed_s() - self.heard_s, 3)
        log("election:standing", term=number, silent_s=silent_s, resigned=self.resigned)
        term = Term(number, self.node, self.incarnation)
        record = KeyedRecord(make_key(RecordKind.TERM, "leader"), encode_term(term))
        try:
            await self.log.append([record], Fence(number, 0), APPEND_TIMEOUT_S)
        except (LogError, FencedError) as error:
            log("election:not_won", term=number, error=str(error))
        # Won or not, the log tells; until then this node goes on following it.
        if self.state == "standing":
            self.step_back()
            self.heard_s = get_elapsed_s()
            self.jitter_s = self._draw_jitter()


def find_strong(nodes: dict[str, NodeRecord]) -> set[str]:
    """Returns the nodes that are about as strong as the strongest."""
    limit = STRONG_PART * max((record.strength for record in nodes.values()), default=0.0)
    return {name for name, record in nodes.items() if record.strength >= limit}


def list_candidates(nodes: dict[str, NodeRecord]) -> list[str]:
    """Returns the nodes in the order in which they should stand.

    Strong nodes come before weak ones, and the first ones are from many zones. All nodes agree on
    the order, which depends on the records of the nodes alone.
    """
    strong = find_strong(nodes)
    places: dict[object, int] = {}
    order = []
    for node in sorted(nodes, key=lambda name: (zlib.crc32(name.encode()), name)):
        zone = nodes[node].zone
        group = zone, node in strong
        order.append((node not in strong, places.get(group, 0), len(order), node))
        places[group] = places.get(group, 0) + 1
    return [entry[-1] for entry in sorted(order)]
