"""Replicates the configuration from the log, or from peers while the log is unreachable.

Every process applies the tickets in log order, so all processes accept and reject the same tickets.
A digest that announces a higher ticket makes a process fetch at once; polling only covers changes
that no digest announced. A notification carries no content and only triggers a fetch, as in the
proposal for change notifications in OFREP (ADR-0008, server-sent events for bulk evaluation).

When retention has truncated the log, whether its first remaining tickets were accepted can't be
determined. They are deferred until a snapshot record arrives. A snapshot holds the whole state and
the offset up to which it is complete (``through``).
"""

import asyncio
import contextlib
import json
import secrets
from collections.abc import Callable

import eliot

from ..config.state import (
    ConfigState,
    apply_ticket,
    check_ticket,
    compute_digest,
    decode_state,
    encode_state,
    merge_states,
)
from ..config.ticket import Ticket, read_ticket
from ..core.outcome import Fault, LogError, Reason, Step
from ..events.event import TicketInForce
from ..wire.call import CallError
from ..wire.gen.ttypes import FetchConfig
from .interface import Log

STREAM = "tickets"
FETCH_TIMEOUT_S = 1.0
# The log is read before the configuration is used when its last confirmation is older than this.
MAX_UNCONFIRMED_S = 3.0
# After an append the log is read up to this many times to find the result of the ticket.
READBACK_ATTEMPTS = 5
READBACK_DELAY_S = 0.3
MAX_ERROR_LENGTH = 200


class Follower:
    """Keeps the configuration of one process up to date.

    ``offset`` is the next log offset to read. ``in_gap`` is true from the detection of missing log
    records until the next snapshot; meanwhile tickets go to ``deferred_tickets``.
    ``faults_by_nonce`` holds the result of each applied ticket record under its nonce.
    """

    def __init__(self, program: str, log: Log, rpc_client, timeline):
        self.program = program
        self.log = log
        self.rpc_client = rpc_client
        self.timeline = timeline
        self.state = ConfigState()
        self.digest = compute_digest(self.state)
        self.offset = 0
        self.deferred_tickets: list[tuple[int, Ticket]] = []
        self.in_gap = False
        self.read_lock = asyncio.Lock()
        self.fetching = False
        self.listeners: list[Callable[[], None]] = []
        self.faults_by_nonce: dict[str, list[Fault]] = {}
        self.last_snapshot_s = float("-inf")
        self.confirmed_s = float("-inf")

    def add_listener(self, callback: Callable[[], None]):
        """Registers a callback that runs after each change of the configuration."""
        self.listeners.append(callback)

    async def poll(self):
        """Reads the log to its end; if the log is unreachable, the next poll tries again."""
        try:
            await self.read_log()
        except LogError as error:
            eliot.log_message("config:log_unreachable", detail=str(error))

    async def read_log(self):
        """Applies every record that has not been read yet, or raises :class:`LogError`."""
        async with self.read_lock:
            while True:
                page = await self.log.read(STREAM, self.offset)
                if page.start > self.offset:
                    self.in_gap = True
                    self.deferred_tickets.clear()
                for index, text in enumerate(page.records):
                    self._apply_or_log(page.start + index, text)
                self.offset = max(self.offset, page.next)
                if not page.records:
                    self._confirm()
                    return

    def _confirm(self):
        self.confirmed_s = asyncio.get_running_loop().time()

    async def ensure_fresh(self):
        """Reads the log if the configuration was last confirmed over ``MAX_UNCONFIRMED_S`` ago.

        This happens after the process was suspended, during which a key may have been withdrawn. If
        the log can't be read in time, the known configuration is used and counts as confirmed.
        """
        if asyncio.get_running_loop().time() - self.confirmed_s <= MAX_UNCONFIRMED_S:
            return
        with contextlib.suppress(LogError, TimeoutError):
            await asyncio.wait_for(self.read_log(), FETCH_TIMEOUT_S)
        self._confirm()

    def _apply_or_log(self, offset: int, text: str):
        """Applies a record; one that raises any error is logged and never read again."""
        try:
            self._apply_record(offset, json.loads(text))
        except Exception as error:
            detail = f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH]
            eliot.log_message("config:unreadable", offset=offset, error=detail)

    def _apply_record(self, offset: int, record: dict):
        if "state" in record:
            self._apply_snapshot(record)
            return
        ticket, nonce = read_ticket(record["ticket"]).value, record["nonce"]
        if ticket is None:
            return
        if self.in_gap:
            self.deferred_tickets.append((offset, ticket))
            return
        previous_number = self.state.number
        faults = apply_ticket(self.state, ticket)
        self.faults_by_nonce[nonce] = faults
        if self.state.number != previous_number:
            self._notify_change()

    def _apply_snapshot(self, record: dict):
        self.last_snapshot_s = asyncio.get_running_loop().time()
        changed = merge_states(self.state, decode_state(json.dumps(record["state"])))
        if self.in_gap:
            for offset, ticket in self.deferred_tickets:
                if offset >= record["through"]:
                    changed = not apply_ticket(self.state, ticket) or changed
            self.deferred_tickets.clear()
            self.in_gap = False
        if changed:
            self._notify_change()

    def _notify_change(self):
        self.digest = compute_digest(self.state)
        self.timeline.emit(TicketInForce(self.program, self.state.number, self.digest))
        for callback in self.listeners:
            callback()

    async def handle_peer_digest(self, ticket: int, digest: int, peer):
        """Handles a peer's digest: reads the log if the peer's configuration is newer or differs.

        The configuration is fetched from the peer if the log doesn't bring this process up to date.
        A ticket number no higher than the local one confirms the local configuration.
        """
        if ticket <= self.state.number:
            self._confirm()
        if ticket < self.state.number or digest == self.digest or self.fetching:
            return
        self.fetching = True
        try:
            await self.poll()
            if self.state.number < ticket or self.in_gap:
                await self.fetch_from(peer)
        finally:
            self.fetching = False

    async def fetch_from(self, peer) -> bool:
        """Merges the state of a peer into the local one; returns whether the peer answered."""
        try:
            reply = await self.rpc_client.call(peer, FetchConfig(since=0), FETCH_TIMEOUT_S)
        except CallError:
            return False
        if merge_states(self.state, decode_state(reply.state)):
            self._notify_change()
        return True

    async def publish(self, ticket: Ticket) -> list[Fault]:
        """Appends a ticket and returns its faults, none if it was accepted.

        Its position in the log decides whether it is accepted. If the answer to the append is lost,
        the log is read to learn the result; if that fails too, the fault says that the outcome is
        unknown.
        """
        nonce = secrets.token_hex(8)
        record = json.dumps({"ticket": ticket.model_dump(), "nonce": nonce})
        sent = False
        try:
            await self.read_log()
            if not self.in_gap:
                faults = check_ticket(self.state, ticket)
                if faults:
                    return faults
            sent = True
            await self.log.append(STREAM, [record])
        except LogError as error:
            if not (sent and error.sent):
                return [Fault(Reason.LOG_DOWN, Step.RECORD, "log", f"not published: {error}")]
        return await self._read_back_result(nonce)

    async def _read_back_result(self, nonce: str) -> list[Fault]:
        for _ in range(READBACK_ATTEMPTS):
            try:
                await self.read_log()
                if nonce in self.faults_by_nonce:
                    return self.faults_by_nonce.pop(nonce)
            except LogError:
                pass
            await asyncio.sleep(READBACK_DELAY_S)
        detail = "no response from the log; the ticket may have been published"
        return [Fault(Reason.PEER_LOST, Step.RECORD, "log", detail)]

    async def write_snapshot(self, older_than_s: float):
        """Appends a snapshot if the last one is older than ``older_than_s`` seconds.

        This keeps a snapshot in the log at all times: it is renewed before the last one expires.
        """
        now_s = asyncio.get_running_loop().time()
        if self.state.number == 0 or self.in_gap or now_s - self.last_snapshot_s < older_than_s:
            return
        through = self.offset
        record = {"state": json.loads(encode_state(self.state)), "through": through}
        try:
            await self.log.append(STREAM, [json.dumps(record, separators=(",", ":"))])
            await self.read_log()
        except LogError as error:
            eliot.log_message("config:refresh_failed", detail=str(error))
