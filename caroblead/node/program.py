"""The node: follows the logs, takes in callers' requests and leads when it is its turn."""

import asyncio
from dataclasses import dataclass

from ..core.clock import get_elapsed_s
from ..core.logsink import log
from ..core.timer import TimerService, guard
from ..dispatch.counsel import Adviser, Counsel
from ..dispatch.interface import Advisor, Batch, Configuration, KeyedLog, VmControl
from ..dispatch.leader import Leader
from ..dispatch.term import LeaderParts
from ..jobs.data import JobState
from ..jobs.ledger import (
    LeaderHeard,
    LeaderResigned,
    Ledger,
    ProgressMade,
    TermBegun,
    apply_record,
)
from ..jobs.record import KeyedRecord, NodeRecord, RecordKind, encode_node, make_key
from .appender import Appender, Stored
from .configuration import ConfigurationBook
from .election import CONSIDER_S, Election, find_strong, list_candidates
from .intake import Intake
from .metric import NodeMetrics, write_node_metrics
from .news import NewsDesk
from .peer import Peers
from .registry import Registry
from .setting import NodeSettings, compute_strength
from .tail import Tail

LEDGER_WAIT_S = 0.2
LEDGER_PAUSE_S = 0.1
# Nodes that don't stand next for the leadership read less often and stand later.
CANDIDATES = 3
LEISURE_PAUSE_S = 0.3
LEISURE_PATIENCE_S = 0.3
WEAK_PATIENCE_S = 0.7
# How often a weak leader looks for a strong node to lead in its place, and how long it leads first.
YIELD_CHECK_S = 1.0
MIN_TERM_S = 2.0
LEADER_LEDGER_PAUSE_S = 0.015
CONFIGURATION_WAIT_S = 0.4
REGISTRY_WAIT_S = 1.0
REGISTRY_PAUSE_S = 1.5
LEADER_REGISTRY_PAUSE_S = 0.25
ANNOUNCE_TIMEOUT_S = 3.0
# A node whose logs are older than this can't serve and tells the balancer so.
READY_AGE_S = 1.2
# A planned stop: how long the balancer may take to notice, and what is left for open calls.
NOTICE_PART = 0.4
FINISH_PART = 0.75


@dataclass(slots=True)
class NodeAdapters:
    """The outside world as this node uses it."""

    ledger_log: KeyedLog
    configuration_log: KeyedLog
    registry_log: KeyedLog
    vms: VmControl
    advisor: Advisor


class Node:
    """All parts of a node in one process."""

    def __init__(
        self,
        settings: NodeSettings,
        adapters: NodeAdapters,
        book: ConfigurationBook,
        registry: Registry,
        seed: int,
    ):
        self.settings = settings
        self.adapters = adapters
        self.book = book
        self.registry = registry
        self.ledger = Ledger()
        self.metrics = NodeMetrics()
        self.timers = TimerService(seed)
        self.appender = Appender(adapters.ledger_log)
        self.ledger_tail = Tail(
            "ledger", adapters.ledger_log, self._consume, LEDGER_WAIT_S, LEDGER_PAUSE_S
        )
        self.book_tail = Tail(
            "configuration", adapters.configuration_log, book.consume, CONFIGURATION_WAIT_S, 0.0
        )
        self.registry_tail = Tail(
            "registry", adapters.registry_log, registry.consume, REGISTRY_WAIT_S, REGISTRY_PAUSE_S
        )
        registry.on_change = self._on_registry
        self.election = Election(settings.node, adapters.ledger_log, self.ledger_tail, seed)
        self.election.on_won = self._begin_term
        self.election.on_displaced = self._lose_term
        self.peers = Peers(settings.node, adapters.advisor)
        self.counsel = Counsel(Adviser(settings.node, adapters.advisor.ask), get_elapsed_s)
        self.news = NewsDesk(lambda: self.ledger, lambda: self.leader is not None)
        self.news.ask_leader = self._ask_leader
        self.peers.news = self.news
        self.intake = Intake(
            settings,
            book,
            self.book_tail,
            self.ledger_tail,
            self.appender,
            self.news,
            lambda: self.ledger,
        )
        self.leader: Leader | None = None
        self.leader_appends = 0
        self.draining = False
        self.tasks: list[asyncio.Task] = []

    async def start(self):
        """Starts to follow the logs and to answer peers."""
        await self.peers.start(self.settings.host, self.settings.peer_port)
        loops = (
            self.ledger_tail.run(),
            self.book_tail.run(),
            self.registry_tail.run(),
            self.appender.run(),
            self._announce(),
        )
        self.tasks = [asyncio.create_task(guard(loop)) for loop in loops]
        self.timers.subscribe(CONSIDER_S, self.election.consider)
        self.timers.subscribe(YIELD_CHECK_S, self._yield_to_stronger)

    async def _announce(self):
        """Tells peers through the log where this node answers."""
        settings = self.settings
        record = NodeRecord(
            settings.node,
            settings.zone,
            settings.host,
            self.peers.server.port,
            self.election.incarnation,
            compute_strength(settings),
        )
        keyed = KeyedRecord(make_key(RecordKind.NODE, settings.node), encode_node(record))
        while await self.appender.append(keyed, ANNOUNCE_TIMEOUT_S) is not Stored.YES:
            log("node:not_announced")

    def is_ready(self) -> bool:
        """Returns whether the balancer should send callers here."""
        if self.draining or self.book.current is None or self.ledger_tail.offset is None:
            return False
        return max(self.book_tail.get_age_s(), self.ledger_tail.get_age_s()) < READY_AGE_S

    # The ledger.

    def _consume(self, batch: Batch, complete: bool):
        if complete:
            self._lose_term("the ledger was read anew")
            self.ledger = Ledger()
        for record in batch.records:
            self._apply(record)

    def _apply(self, record: KeyedRecord):
        try:
            change = apply_record(self.ledger, record)
        except (ValueError, KeyError, TypeError) as error:
            log("ledger:unreadable", key=record.key, error=f"{type(error).__name__}: {error}")
            return
        if record.kind == RecordKind.NODE:
            self._take_node(record.name)
        if isinstance(change, LeaderHeard | ProgressMade):
            self.election.hear_leader()
            if isinstance(change, ProgressMade):
                self.news.announce(change.job_id)
        elif isinstance(change, LeaderResigned):
            self.election.hear_resignation(change.heir)
        elif isinstance(change, TermBegun):
            self.election.hear_term(change.term)
        elif change is not None and self.leader is not None:
            self.leader.apply_change(change)

    def _take_node(self, name: str):
        record = self.ledger.nodes.get(name)
        term = self.ledger.term
        if record is not None and term is not None and term.node == name:
            if term.incarnation != record.incarnation:
                # The leader's process has started again and knows nothing of its term.
                log("election:leader_restarted", term=term.number, leader=name)
                self.election.hear_resignation()
        if name == self.settings.node:
            return
        if record is None:
            self.counsel.remove_adviser(name)
        else:
            self.counsel.put_adviser(self.peers.make_adviser(record))
        self._choose_pace()

    def _choose_pace(self):
        """Reads the ledger closely where this node may have to lead next, and else at leisure."""
        if self.leader is None:
            first = list_candidates(self.ledger.nodes)[:CANDIDATES]
            close = not first or self.settings.node in first
            self.ledger_tail.pause_s = LEDGER_PAUSE_S if close else LEISURE_PAUSE_S
            weak = self.settings.node not in find_strong(self.ledger.nodes)
            patience_s = WEAK_PATIENCE_S if weak else LEISURE_PATIENCE_S
            self.election.extra_patience_s = 0.0 if close else patience_s

    async def _ask_leader(self, job_id: str, wait_s: float) -> JobState | None:
        """Asks the node that leads, as far as this node knows."""
        term = self.ledger.term
        record = self.ledger.nodes.get(term.node) if term is not None else None
        if record is None or record.incarnation != term.incarnation:
            return None
        return await self.peers.ask_state(record, job_id, wait_s)

    def _on_registry(self):
        if self.leader is not None:
            self.leader.on_listed()

    # Leading.

    def _begin_term(self, number: int, proved_s: float):
        self._close_leader()
        parts = LeaderParts(
            log=self.adapters.ledger_log,
            vms=self.adapters.vms,
            counsel=self.counsel,
            ledger=self.ledger,
            timers=self.timers,
            get_configuration=lambda: self.book.current or Configuration(),
            get_listed=lambda: self.registry.vms,
            on_lost=self._on_lost,
            lease_s=self.settings.lease_s,
        )
        self.leader = Leader(parts, number, proved_s)
        self.ledger_tail.pause_s = LEADER_LEDGER_PAUSE_S
        self.registry_tail.pause_s = LEADER_REGISTRY_PAUSE_S
        self.registry_tail.hurry.set()
        self.leader.start()

    def _on_lost(self, detail: str):
        """Takes in that the leader found its term lost, before the log showed it."""
        asyncio.get_running_loop().call_soon(self._lose_term, detail)

    def _lose_term(self, detail: str):
        if self.leader is None:
            return
        log("node:stepped_back", term=self.leader.term, detail=detail)
        self._close_leader()
        if self.election.state == "leading":
            self.election.step_back()

    def _close_leader(self):
        if self.leader is None:
            return
        self.leader_appends += self.leader.commit.appends
        self.leader.close()
        self.leader = None
        self._choose_pace()
        self.registry_tail.pause_s = REGISTRY_PAUSE_S

    async def _find_heir(self, names: list[str]) -> str:
        """Returns the first of some nodes that answers, or nothing."""
        # The ledger may change while a node is asked.
        for record in [self.ledger.nodes[name] for name in names[:CANDIDATES]]:
            if await self.peers.is_alive(record):
                return record.node
        return ""

    async def _yield_to_stronger(self):
        """Hands the term over if this node is weak and a strong one could lead."""
        leader, strong = self.leader, find_strong(self.ledger.nodes)
        if leader is None or self.settings.node in strong or self.draining:
            return
        if get_elapsed_s() - leader.fleet.term_began_s < MIN_TERM_S:
            return
        names = [name for name in list_candidates(self.ledger.nodes) if name in strong]
        heir = await self._find_heir(names)
        if heir and self.leader is leader and not leader.state.lost:
            log("node:yields", term=leader.term, heir=heir)
            await leader.commit.resign(heir)

    # Stopping.

    async def drain(self, frontend):
        """Ends in the planned way: hands over, lets the balancer notice, finishes open calls."""
        self.draining = True
        frontend.closing = True
        started_s = get_elapsed_s()
        log("node:draining", open_calls=frontend.open_calls, leading=self.leader is not None)
        self.election.leave()
        await self._hand_over()
        notice_s = self.settings.grace_s * NOTICE_PART
        await asyncio.sleep(max(0.0, started_s + notice_s - get_elapsed_s()))
        end_s = started_s + self.settings.grace_s * FINISH_PART
        while frontend.open_calls and get_elapsed_s() < end_s:
            await asyncio.sleep(0.02)
        log("node:stopped", open_calls=frontend.open_calls)

    async def _hand_over(self):
        leave = KeyedRecord(make_key(RecordKind.NODE, self.settings.node), b"")
        heir = ""
        if self.leader is not None:
            others = [n for n in list_candidates(self.ledger.nodes) if n != self.settings.node]
            heir = await self._find_heir(others)
        if self.leader is not None:
            self.leader.commit.add(leave)
            try:
                await asyncio.wait_for(self.leader.commit.resign(heir), 1.0)
            except TimeoutError:
                log("node:not_handed_over")
            self._close_leader()
        else:
            await self.appender.append(leave, 0.5)

    async def close(self):
        """Ends all loops and connections."""
        self._close_leader()
        self.timers.close()
        for task in self.tasks:
            task.cancel()
        await self.peers.close()

    def write_metrics(self) -> str:
        """Returns the numbers of this node as text."""
        leader = self.leader
        gauges = {
            "leading": float(leader is not None),
            "term": float(self.ledger.term.number if self.ledger.term else 0),
            "jobs_open": float(len(self.ledger.jobs)),
            "jobs_ended": float(len(self.ledger.ended)),
            "configuration_version": float(self.book.current.version if self.book.current else 0),
            "configuration_age_seconds": self.book_tail.get_age_s(),
            "ledger_age_seconds": self.ledger_tail.get_age_s(),
            "appends_total": float(self.appender.appends),
            "leader_appends_total": float(
                self.leader_appends + (leader.commit.appends if leader else 0)
            ),
            "advice_calls_total": float(self.counsel.calls),
            "vms_listed": float(len(self.registry.vms)),
        }
        if leader is not None:
            gauges["looks_total"] = float(sum(watch.looks for watch in leader.looks.values()))
            gauges["runs"] = float(sum(len(row.runs) for row in leader.fleet.rows.values()))
        return write_node_metrics(self.metrics, gauges)
