"""Leader election through the log.

A node that has seen no sign of the leader in the log for the election timeout appends a record of
the next term. From then on the log refuses appends of an earlier term. Of several records of one
term only the first takes effect, so the order of the log decides the election. The timeout is
measured only up to the last answered read, so that an unreachable log isn't taken for a silent
leader.
"""

import random
import secrets
import zlib
from collections.abc import Callable, Coroutine

from transitions import Machine

from ..core.clock import get_elapsed_s
from ..core.logsink import log
from ..core.outcome import LogError
from ..dispatch.interface import Fence, FencedError, KeyedLog
from ..jobs.record import KeyedRecord, NodeRecord, RecordKind, Term, encode_term, make_key
from .tail import Tail

# A leader without a record in the log for the election timeout is replaced. The timeout is this
# multiple of the usual gap between the leader's records plus a slack, within bounds. A slow store
# makes the gaps longer, and the timeout grows with them.
ELECTION_TIMEOUT_GAPS = 2.0
ELECTION_TIMEOUT_SLACK_S = 0.35
MIN_ELECTION_TIMEOUT_S = 0.6
MAX_ELECTION_TIMEOUT_S = 3.0
# A term that ends unplanned within this time makes the timeout for the next one longer by the
# factor: a leader is slowest while it takes over, and each takeover costs all nodes time.
SHORT_TERM_S = 2.5
SHORT_TERM_FACTOR = 1.5
# By this age of a term the usual gap shows how slow its leader is.
YOUNG_TERM_S = 10.0
GAP_SMOOTHING_FACTOR = 0.2
# How much longer the first heartbeat of a term may take for each open job, which a new leader on a
# slow machine has to decode before it can write to the log.
TAKEOVER_S_PER_JOB = 0.002
MAX_TAKEOVER_S = 2.0
# Random delays make nodes stand one after another, so that usually only one of them is a candidate.
MAX_JITTER_S = 0.2
MAX_RESIGNATION_JITTER_S = 0.15
# How much longer the other nodes wait when a resignation names a successor, so that the successor
# stands first.
SUCCESSOR_HEAD_START_S = 0.4
# A node with less than this fraction of the strongest node's strength is weak: it hands the
# leadership over when a strong node can lead.
STRONG_NODE_FRACTION = 0.75
APPEND_TIMEOUT_S = 1.0
ELECTION_CHECK_INTERVAL_S = 0.05

STATES = ("following", "standing", "leading", "leaving")


class Election:
    """One node's state machine in the leader election; ``state`` is one of :data:`STATES`."""

    def __init__(self, node: str, keyed_log: KeyedLog, tail: Tail, seed: int):
        self.node = node
        self.incarnation = f"{node}~{secrets.token_hex(4)}"
        self.log = keyed_log
        self.tail = tail
        self.random = random.Random(seed)
        self.silent_since_s = get_elapsed_s()
        self.heartbeat_gap_s = MIN_ELECTION_TIMEOUT_S / 2
        self.term: Term | None = None
        self.term_began_s = get_elapsed_s()
        self.short_terms = 0
        self.heard_in_term = False
        self.count_open_jobs: Callable[[], int] = lambda: 0
        self.resigned = False
        self.extra_delay_s = 0.0
        self.jitter_s = self._draw_jitter()
        self.attempted_term = 0
        self.last_led_term = 0
        self.attempted_s = 0.0
        self.on_won: Callable[[int, float], None] = lambda number, term_confirmed_s: None
        self.on_displaced: Callable[[str], None] = lambda detail: None
        self.machine = Machine(self, states=STATES, initial="following", auto_transitions=False)
        self.machine.add_transition("stand", "following", "standing")
        self.machine.add_transition("win", ["standing", "following"], "leading")
        self.machine.add_transition("step_back", ["standing", "leading"], "following")
        self.machine.add_transition("leave", "*", "leaving")

    def _draw_jitter(self) -> float:
        return self.random.random() * MAX_JITTER_S

    def handle_heartbeat(self):
        """Restarts the election timeout after a record of the leader was read from the log."""
        now_s = get_elapsed_s()
        self.heartbeat_gap_s += GAP_SMOOTHING_FACTOR * (
            min(now_s - self.silent_since_s, MAX_ELECTION_TIMEOUT_S) - self.heartbeat_gap_s
        )
        self.silent_since_s = now_s
        self.heard_in_term = True

    def get_election_timeout_s(self) -> float:
        """Returns for how long the leader may write nothing to the log before it is replaced."""
        timeout_s = ELECTION_TIMEOUT_GAPS * self.heartbeat_gap_s + ELECTION_TIMEOUT_SLACK_S
        timeout_s = max(MIN_ELECTION_TIMEOUT_S, timeout_s)
        if get_elapsed_s() - self.term_began_s < YOUNG_TERM_S:
            timeout_s *= SHORT_TERM_FACTOR**self.short_terms
        if not self.heard_in_term:
            timeout_s += min(MAX_TAKEOVER_S, TAKEOVER_S_PER_JOB * self.count_open_jobs())
        return min(MAX_ELECTION_TIMEOUT_S, timeout_s)

    def _count_short_term(self):
        """Counts the terms in a row that ended unplanned soon after they began."""
        now_s = get_elapsed_s()
        is_short = self.term is not None and now_s - self.term_began_s < SHORT_TERM_S
        if not is_short:
            self.short_terms = 0
        elif not self.resigned:
            self.short_terms += 1
        self.term_began_s = now_s

    def handle_resignation(self, successor: str = ""):
        """Handles the end of the leader's term; ``successor`` is the node that should lead next."""
        self.resigned = True
        self.jitter_s = self.random.random() * MAX_RESIGNATION_JITTER_S + self.extra_delay_s
        if successor == self.node:
            self.jitter_s = 0.0
        elif successor:
            self.jitter_s += SUCCESSOR_HEAD_START_S
        self.silent_since_s = get_elapsed_s()

    def handle_term(self, term: Term):
        """Handles the beginning of a term, led by this node or another."""
        self._count_short_term()
        self.term = term
        self.resigned = False
        self.handle_heartbeat()
        self.heard_in_term = False
        self.jitter_s = self._draw_jitter()
        if term.incarnation == self.incarnation and self.state != "leaving":
            self._begin_own_term(term)
            return
        log("election:term_heard", term=term.number, leader=term.node)
        if self.state == "leading":
            self.step_back()
            self.on_displaced(f"{term.node} began term {term.number}")

    def _begin_own_term(self, term: Term):
        """Begins to lead, but never twice in one term.

        Appends are numbered within a term. A leader that began the same term again would
        restart the numbering, and the log would drop its first appends as duplicates.
        """
        if term.number <= self.last_led_term:
            log("election:term_spent", term=term.number)
            self.handle_resignation()
            return
        self.last_led_term = term.number
        if self.state != "leading":
            self.win()
        log("election:won", term=term.number)
        self.on_won(term.number, self.attempted_s)

    def should_stand(self, now_s: float) -> bool:
        """Returns whether this node should stand for election now."""
        if self.state != "following" or not self.tail.caught_up:
            return False
        if self.term is None or self.resigned:
            return now_s - self.silent_since_s >= self.jitter_s
        limit_s = self.get_election_timeout_s() + self.jitter_s + self.extra_delay_s
        # Only time up to the last answered read counts, so that an unreachable log isn't taken for
        # a silent leader.
        return self.tail.answered_s - self.silent_since_s >= limit_s

    def stand_if_due(self) -> Coroutine | None:
        """Returns the coroutine that tries to begin a term if the election timeout has passed.

        Most checks find that it hasn't, and then cost no task.
        """
        return self._attempt_term() if self.should_stand(get_elapsed_s()) else None

    async def _attempt_term(self):
        number = (self.term.number if self.term else 0) + 1
        if number != self.attempted_term:
            self.attempted_term, self.attempted_s = number, get_elapsed_s()
        self.stand()
        silent_s = round(get_elapsed_s() - self.silent_since_s, 3)
        log("election:standing", term=number, silent_s=silent_s, resigned=self.resigned)
        term = Term(number, self.node, self.incarnation)
        record = KeyedRecord(make_key(RecordKind.TERM, "leader"), encode_term(term))
        try:
            await self.log.append([record], Fence(number, 0), APPEND_TIMEOUT_S)
        except (LogError, FencedError) as error:
            log("election:not_won", term=number, error=str(error))
        finally:
            self._end_attempt()

    def _end_attempt(self):
        """Makes this node a follower again: only what it reads in the log tells who has won."""
        if self.state == "standing":
            self.step_back()
            self.silent_since_s = get_elapsed_s()
            self.jitter_s = self._draw_jitter()


def find_strong(nodes: dict[str, NodeRecord]) -> set[str]:
    """Returns the nodes whose strength is close to that of the strongest node."""
    limit = STRONG_NODE_FRACTION * max((record.strength for record in nodes.values()), default=0.0)
    return {name for name, record in nodes.items() if record.strength >= limit}


def list_candidates(nodes: dict[str, NodeRecord]) -> list[str]:
    """Returns the nodes in the order in which they should stand for election.

    Strong nodes come before weak ones, and the first ones are spread over many zones. All nodes
    compute the same order, because it depends only on the records of the nodes.
    """
    strong = find_strong(nodes)
    counts_by_group: dict[object, int] = {}
    order = []
    for node in sorted(nodes, key=lambda name: (zlib.crc32(name.encode()), name)):
        zone = nodes[node].zone
        group = zone, node in strong
        order.append((node not in strong, counts_by_group.get(group, 0), len(order), node))
        counts_by_group[group] = counts_by_group.get(group, 0) + 1
    return [entry[-1] for entry in sorted(order)]
