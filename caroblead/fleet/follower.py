"""Following the configuration: the log in order, and peers when the log can't be reached.

Tickets are folded in the order of the log, so every process comes to the same verdict on each. A
digest that tells of a higher ticket makes a process fetch at once; polling is only for what no
digest told. That a notification carries no content and only causes a fetch follows the proposal
for change notifications in OFREP (ADR-0008, server-sent events for bulk evaluation).

When retention has cut the log, what is left starts with tickets whose verdict can't be known. They
are set aside until a record of the whole state comes, which names the offset up to which it holds.
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
    join_states,
)
from ..config.ticket import Ticket, read_ticket
from ..core.outcome import Fault, Reason, Step
from ..events.event import TicketInForce
from ..wire.call import CallError
from ..wire.gen.ttypes import FetchConfig
from .interface import Log, LogError

STREAM = "tickets"
FETCH_TIMEOUT_S = 1.0
# A configuration that was confirmed within this time needs no look at the log.
FRESH_S = 3.0
SETTLE_TRIES = 5
SETTLE_PAUSE_S = 0.3


class Follower:
    """Keeps the configuration of one process up to date."""

    def __init__(self, program: str, log: Log, caller, timeline):
        self.program = program
        self.log = log
        self.caller = caller
        self.timeline = timeline
        self.state = ConfigState()
        self.digest = compute_digest(self.state)
        self.offset = 0
        self.set_aside: list[tuple[int, Ticket]] = []
        self.in_gap = False
        self.reading = asyncio.Lock()
        self.fetching = False
        self.listeners: list[Callable[[], None]] = []
        self.verdicts: dict[str, list[Fault]] = {}
        self.state_record_s = float("-inf")
        self.confirmed_s = float("-inf")

    def listen(self, callback: Callable[[], None]):
        """Calls back after each change of the configuration."""
        self.listeners.append(callback)

    async def poll(self):
        """Reads the log to its end; an outage is left for the next turn."""
        try:
            await self.read_log()
        except LogError as error:
            eliot.log_message("config:log_unreachable", detail=str(error))

    async def read_log(self):
        """Folds every record that has not been read yet, or raises :class:`LogError`."""
        async with self.reading:
            while True:
                page = await self.log.read(STREAM, self.offset)
                if page.start > self.offset:
                    self.in_gap = True
                    self.set_aside.clear()
                for index, text in enumerate(page.records):
                    self._fold(page.start + index, json.loads(text))
                self.offset = max(self.offset, page.next)
                if not page.records:
                    self._confirm()
                    return

    def _confirm(self):
        self.confirmed_s = asyncio.get_running_loop().time()

    async def ensure_fresh(self):
        """Looks at the log first when nothing has confirmed the configuration for a while.

        That is so after a pause, in which a key may have been withdrawn. Where neither the log nor
        a peer can be reached, what is known has to do.
        """
        if asyncio.get_running_loop().time() - self.confirmed_s <= FRESH_S:
            return
        with contextlib.suppress(LogError, TimeoutError):
            await asyncio.wait_for(self.read_log(), FETCH_TIMEOUT_S)
        self._confirm()

    def _fold(self, offset: int, record: dict):
        if "state" in record:
            self._fold_state(record)
            return
        ticket = read_ticket(record["ticket"]).value
        if ticket is None:
            return
        if self.in_gap:
            self.set_aside.append((offset, ticket))
            return
        before = self.state.number
        faults = apply_ticket(self.state, ticket)
        self.verdicts[record["nonce"]] = faults
        if self.state.number != before:
            self._announce()

    def _fold_state(self, record: dict):
        self.state_record_s = asyncio.get_running_loop().time()
        changed = join_states(self.state, decode_state(json.dumps(record["state"])))
        if self.in_gap:
            for offset, ticket in self.set_aside:
                if offset >= record["through"]:
                    changed = not apply_ticket(self.state, ticket) or changed
            self.set_aside.clear()
            self.in_gap = False
        if changed:
            self._announce()

    def _announce(self):
        self.digest = compute_digest(self.state)
        self.timeline.emit(TicketInForce(self.program, self.state.number, self.digest))
        for callback in self.listeners:
            callback()

    async def hear(self, ticket: int, digest: int, peer):
        """Fetches what a peer's digest shows to be missing here."""
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
        """Joins the state of a peer; returns whether one was got."""
        try:
            reply = await self.caller.call(peer, FetchConfig(since=0), FETCH_TIMEOUT_S)
        except CallError:
            return False
        if join_states(self.state, decode_state(reply.state)):
            self._announce()
        return True

    async def publish(self, ticket: Ticket) -> list[Fault]:
        """Appends a ticket and returns the verdict that its place in the log gives it.

        An answer that was lost is settled by reading back; when even that fails the fault says
        that the outcome is unknown.
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
        return await self._settle(nonce)

    async def _settle(self, nonce: str) -> list[Fault]:
        for _ in range(SETTLE_TRIES):
            try:
                await self.read_log()
                if nonce in self.verdicts:
                    return self.verdicts.pop(nonce)
            except LogError:
                pass
            await asyncio.sleep(SETTLE_PAUSE_S)
        detail = "the log gave no answer; the ticket may have been published"
        return [Fault(Reason.PEER_LOST, Step.RECORD, "log", detail)]

    async def refresh(self, older_than_s: float):
        """Writes the whole state again before its last record can expire."""
        now_s = asyncio.get_running_loop().time()
        if self.state.number == 0 or self.in_gap or now_s - self.state_record_s < older_than_s:
            return
        through = self.offset
        record = {"state": json.loads(encode_state(self.state)), "through": through}
        try:
            await self.log.append(STREAM, [json.dumps(record, separators=(",", ":"))])
            await self.read_log()
        except LogError as error:
            eliot.log_message("config:refresh_failed", detail=str(error))
