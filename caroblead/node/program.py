"""The node: follows the logs, serves callers' requests and leads when it is elected."""

import asyncio
from dataclasses import dataclass

from ..core.clock import get_elapsed_s
from ..core.logsink import log
from ..core.timer import TimerService, await_and_log_errors
from ..dispatch.advice.advicequeue import AdviceQueue, Adviser
from ..dispatch.interface import AdviceService, Batch, Configuration, KeyedLog, VmControl
from ..dispatch.leader import Leader
from ..dispatch.term import LeaderDependencies
from ..jobs.data import JobState
from ..jobs.ledger import (
    Change,
    HeartbeatReceived,
    LeaderResigned,
    Ledger,
    ProgressRecorded,
    TermBegun,
    apply_record,
)
from ..jobs.record import KeyedRecord, NodeRecord, RecordKind, encode_node, make_key
from .access import AccessControl
from .admission import LoadControl
from .appender import Appender, AppendResult
from .configuration import ConfigurationView
from .election import ELECTION_CHECK_INTERVAL_S, Election, find_strong, list_candidates
from .evacuation import EvacuationView
from .metric import NodeMetrics
from .notifier import CompletionNotifier
from .peer import Peers
from .registry import Registry
from .requesthandler import RequestHandler
from .setting import NodeSettings, compute_strength, make_features
from .tail import Tail, apply_each

LEDGER_WAIT_S = 0.2
LEDGER_PAUSE_S = 0.1
# Only this many nodes, the first candidates for the leadership, read the ledger often. The other
# nodes read it less often and stand for election later, weak ones last. They need a job's newest
# state only when a caller asks for it, and then ask the leader.
CANDIDATE_COUNT = 3
NON_CANDIDATE_PAUSE_S = 0.8
NON_CANDIDATE_DELAY_S = 0.3
WEAK_NODE_DELAY_S = 0.7
# How often a weak leader looks for a strong node to take over, and how long it leads before that.
YIELD_CHECK_INTERVAL_S = 1.0
MIN_TERM_S = 2.0
LEADER_LEDGER_PAUSE_S = 0.015
CONFIGURATION_WAIT_S = 0.4
REGISTRY_WAIT_S = 1.0
REGISTRY_PAUSE_S = 1.5
LEADER_REGISTRY_PAUSE_S = 0.25
ANNOUNCE_TIMEOUT_S = 3.0
# A node whose last read of the configuration is older than this reports itself as not ready to the
# load balancer: it has no connection to the store.
MAX_READY_AGE_S = 1.2
# Fractions of the grace period of a planned stop: when the load balancer should have noticed the
# drain, and until when open calls may finish.
NOTICE_FRACTION = 0.4
FINISH_FRACTION = 0.75
# How long a leader waits for its resignation to be stored; a term that has ended never tells.
RESIGN_TIMEOUT_S = 1.0


@dataclass(slots=True)
class NodeAdapters:
    """The adapters through which a node uses the platform."""

    ledger_log: KeyedLog
    configuration_log: KeyedLog
    registry_log: KeyedLog
    vms: VmControl
    advisor: AdviceService


class Node:
    """All components of a node, running in one process."""

    def __init__(
        self,
        settings: NodeSettings,
        adapters: NodeAdapters,
        configuration_view: ConfigurationView,
        registry: Registry,
        seed: int,
        evacuation_view: EvacuationView | None = None,
    ):
        self.settings = settings
        self.adapters = adapters
        self.configuration_view = configuration_view
        self.evacuation_view = evacuation_view or EvacuationView(lambda key: None)
        self.registry = registry
        self.ledger = Ledger()
        self.metrics = NodeMetrics()
        self.timers = TimerService(seed)
        self.appender = Appender(adapters.ledger_log)
        self.ledger_tail = Tail(
            "ledger", adapters.ledger_log, self._consume, LEDGER_WAIT_S, LEDGER_PAUSE_S
        )
        self.configuration_tail = Tail(
            "configuration",
            adapters.configuration_log,
            self._consume_operators,
            CONFIGURATION_WAIT_S,
            0.0,
        )
        self.registry_tail = Tail(
            "registry", adapters.registry_log, registry.consume, REGISTRY_WAIT_S, REGISTRY_PAUSE_S
        )
        registry.on_change = self._on_registry_change
        self.election = Election(settings.node, adapters.ledger_log, self.ledger_tail, seed)
        self.election.count_open_jobs = lambda: len(self.ledger.jobs)
        self.election.on_won = self._begin_term
        self.election.on_displaced = self._abandon_term
        self.peers = Peers(settings.node, adapters.advisor)
        self.advice_queue = AdviceQueue(Adviser(settings.node, adapters.advisor.ask), get_elapsed_s)
        self.notifier = CompletionNotifier(lambda: self.ledger, lambda: self.leader is not None)
        self.notifier.ask_leader = self._ask_leader
        self.peers.notifier = self.notifier
        self.load_control = LoadControl() if settings.admission else None
        self.access = AccessControl(settings, configuration_view, self.configuration_tail)
        self.request_handler = RequestHandler(
            self.access,
            self.ledger_tail,
            self.appender,
            self.notifier,
            lambda: self.ledger,
            self.load_control,
            lambda: self.registry.vms,
        )
        self.leader: Leader | None = None
        self.leader_appends = 0
        self.draining = False
        self.tasks: list[asyncio.Task] = []

    async def start(self):
        """Starts to follow the logs and to serve peers."""
        await self.peers.start(self.settings.host, self.settings.peer_port)
        loops = (
            self.ledger_tail.run(),
            self.configuration_tail.run(),
            self.registry_tail.run(),
            self.appender.run(),
            self._announce(),
        )
        self.tasks = [asyncio.create_task(await_and_log_errors(loop)) for loop in loops]
        self.timers.subscribe(ELECTION_CHECK_INTERVAL_S, self.election.stand_if_due)
        self.timers.subscribe(YIELD_CHECK_INTERVAL_S, self._yield_to_stronger)

    async def _announce(self):
        """Publishes the address and the strength of this node to its peers through the log.

        A node whose port for peers is taken takes calls and may lead, but isn't known to them.
        """
        await self.peers.listening.wait()
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
        results = AppendResult.STORED, AppendResult.REFUSED
        while (result := await self.appender.append(keyed, ANNOUNCE_TIMEOUT_S)) not in results:
            log("node:not_announced")
        if result is AppendResult.REFUSED:
            log("node:can_not_be_announced", size=keyed.size)

    def is_ready(self) -> bool:
        """Returns whether the load balancer should route callers to this node.

        A node that has just started takes jobs as soon as it knows the configuration, since storing
        a job needs no knowledge of the others. Questions about a job wait for the ledger.
        """
        if self.draining or self.configuration_view.current is None:
            return False
        return self.configuration_tail.get_age_s() < MAX_READY_AGE_S

    # The ledger.

    def _consume(self, batch: Batch, complete: bool):
        if complete:
            self._abandon_term("the ledger was rebuilt from the newest records")
            self.ledger = Ledger()
        apply_each("ledger", batch.records, self._apply)

    def _apply(self, record: KeyedRecord):
        change = apply_or_log(self.ledger, record)
        if record.kind == RecordKind.NODE:
            self._apply_node_record(record.name)
        if record.kind == RecordKind.LOAD and self.load_control is not None:
            self.load_control.observe(self.ledger.load_report)
        if isinstance(change, HeartbeatReceived | ProgressRecorded):
            self.election.handle_heartbeat()
            if isinstance(change, ProgressRecorded):
                self.notifier.notify(change.job_id)
        elif isinstance(change, LeaderResigned):
            self.election.handle_resignation(change.successor)
        elif isinstance(change, TermBegun):
            self.election.handle_term(change.term)
        elif change is not None and self.leader is not None:
            self.leader.apply_change(change)

    def _apply_node_record(self, name: str):
        record = self.ledger.nodes.get(name)
        term = self.ledger.term
        if record is not None and term is not None and term.node == name:
            if term.incarnation != record.incarnation:
                # The leader's process has restarted and no longer knows about its term.
                log("election:leader_restarted", term=term.number, leader=name)
                self.election.handle_resignation()
        if record is None:
            self.advice_queue.remove_adviser(name)
        elif name != self.settings.node:
            self.advice_queue.put_adviser(self.peers.make_adviser(record))
        self._update_read_interval()

    def _update_read_interval(self):
        """Reads the ledger often if this node may have to lead next, and less often otherwise."""
        if self.leader is None:
            first = list_candidates(self.ledger.nodes)[:CANDIDATE_COUNT]
            is_candidate = not first or self.settings.node in first
            self.ledger_tail.pause_s = LEDGER_PAUSE_S if is_candidate else NON_CANDIDATE_PAUSE_S
            weak = self.settings.node not in find_strong(self.ledger.nodes)
            delay_s = WEAK_NODE_DELAY_S if weak else NON_CANDIDATE_DELAY_S
            self.election.extra_delay_s = 0.0 if is_candidate else delay_s

    async def _ask_leader(self, job_id: str, wait_s: float) -> JobState | None:
        """Asks the leader that this node knows of for the state of a job."""
        term = self.ledger.term
        record = self.ledger.nodes.get(term.node) if term is not None else None
        if record is None or record.incarnation != term.incarnation:
            return None
        return await self.peers.ask_state(record, job_id, wait_s)

    def _on_registry_change(self):
        if self.leader is not None:
            self.leader.on_listed()

    def _consume_operators(self, batch: Batch, complete: bool):
        before = self.configuration_view.version
        self.configuration_view.consume(batch, complete)
        if 0 < before < self.configuration_view.version:
            self._record_lag()
        if self.settings.evacuation_ms > 0:
            self.evacuation_view.consume(batch, complete)

    def _record_lag(self):
        """Records how late a version is in force at most: it was not there at the last read."""
        lag_s = self.configuration_tail.get_age_s()
        self.metrics.record_span("configuration_lag", lag_s)
        if lag_s > MAX_READY_AGE_S:
            log("configuration:late", version=self.configuration_view.version, lag_s=lag_s)

    # Leading.

    def _begin_term(self, number: int, term_confirmed_s: float):
        self._close_leader()
        dependencies = LeaderDependencies(
            log=self.adapters.ledger_log,
            vms=self.adapters.vms,
            advice_queue=self.advice_queue,
            ledger=self.ledger,
            timers=self.timers,
            get_configuration=lambda: self.configuration_view.current or Configuration(),
            get_listed=lambda: self.registry.vms,
            get_listed_age_s=self.registry_tail.get_age_s,
            on_lost=self._on_term_lost,
            lease_s=self.settings.lease_s,
            longest_lease_s=self.settings.hold_max_ms / 1000,
            features=make_features(self.settings),
            get_evacuations=lambda: self.evacuation_view.make_reading(
                self.configuration_tail.current_s
            ),
        )
        self.leader = Leader(dependencies, number, term_confirmed_s)
        self.ledger_tail.pause_s = LEADER_LEDGER_PAUSE_S
        self.registry_tail.pause_s = LEADER_REGISTRY_PAUSE_S
        self.registry_tail.read_now.set()
        if self.settings.evacuation_ms > 0:
            self.configuration_tail.needed_s = self.leader.fleet.term_began_s
        self.leader.start()

    def _on_term_lost(self, detail: str):
        """Handles the loss of the term that the leader detected before the log showed it."""
        asyncio.get_running_loop().call_soon(self._abandon_term, detail)

    def _abandon_term(self, detail: str):
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
        self._update_read_interval()
        self.registry_tail.pause_s = REGISTRY_PAUSE_S

    async def _find_successor(self, names: list[str]) -> str:
        """Returns the first of the named nodes that answers, or an empty string if none does."""
        # The ledger may change while a node is asked, so the records are looked up beforehand.
        for record in [self.ledger.nodes[name] for name in names[:CANDIDATE_COUNT]]:
            if await self.peers.is_alive(record):
                return record.node
        return ""

    async def _yield_to_stronger(self):
        """Hands the leadership over if this node is weak and a strong node could lead."""
        leader, strong = self.leader, find_strong(self.ledger.nodes)
        if leader is None or self.settings.node in strong or self.draining:
            return
        if get_elapsed_s() - leader.fleet.term_began_s < MIN_TERM_S:
            return
        names = [name for name in list_candidates(self.ledger.nodes) if name in strong]
        successor = await self._find_successor(names)
        if successor and self.leader is leader and not leader.state.lost:
            log("node:yields", term=leader.term, heir=successor)
            await _resign(leader, successor)

    # Stopping.

    async def drain(self, frontend, requested_s: float):
        """Stops in a planned way, within the grace period, which began at ``requested_s``.

        The node hands the leadership over, gives the load balancer time to notice that it isn't
        ready, and finishes open calls.
        """
        self.draining = True
        frontend.closing = True
        log("node:draining", open_calls=frontend.open_calls, leading=self.leader is not None)
        self.election.leave()
        await self._hand_over()
        notice_s = self.settings.grace_s * NOTICE_FRACTION
        await asyncio.sleep(max(0.0, requested_s + notice_s - get_elapsed_s()))
        deadline_s = requested_s + self.settings.grace_s * FINISH_FRACTION
        while frontend.open_calls and get_elapsed_s() < deadline_s:
            await asyncio.sleep(0.02)
        log("node:stopped", open_calls=frontend.open_calls)

    async def _hand_over(self):
        removal = KeyedRecord(make_key(RecordKind.NODE, self.settings.node), b"")
        successor = ""
        if self.leader is not None:
            others = [n for n in list_candidates(self.ledger.nodes) if n != self.settings.node]
            successor = await self._find_successor(others)
        if self.leader is not None:
            self.leader.commit.add(removal)
            await _resign(self.leader, successor)
            self._close_leader()
        else:
            await self.appender.append(removal, 0.5)

    async def close(self):
        """Stops all loops and closes all connections."""
        self._close_leader()
        self.timers.close()
        for task in self.tasks:
            task.cancel()
        await self.peers.close()


async def _resign(leader: Leader, successor: str):
    try:
        await asyncio.wait_for(leader.resign(successor), RESIGN_TIMEOUT_S)
    except TimeoutError:
        log("node:not_handed_over")


def apply_or_log(ledger: Ledger, record: KeyedRecord) -> Change | None:
    """Applies a record to the ledger and returns what changed; logs and skips a malformed one."""
    changes: list[Change | None] = [None]
    apply_each("ledger", [record], lambda item: changes.append(apply_record(ledger, item)))
    return changes[-1]
