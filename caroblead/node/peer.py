"""Calls between nodes.

The leader has other nodes send requests to the advice service, and the other nodes ask the leader
for the state of a job.
"""

import asyncio

from ..core.port import open_port
from ..dispatch.advice.advicequeue import Adviser
from ..dispatch.interface import Advice, AdviceService
from ..events.clock import LogicalClock
from ..jobs.data import JobState
from ..jobs.record import NodeRecord
from ..wire.call import Address, CallError, RpcClient, RpcServer
from ..wire.gen import ttypes
from .notifier import CompletionNotifier

# How much longer than its requested wait a request for the state of a job may take.
STATE_SLACK_S = 0.15
# No request for the state of a job is kept open for longer.
MAX_STATE_WAIT_S = 2.0
KNOWN_STATES = frozenset(map(str, JobState))
# A peer that does not answer within this time isn't chosen as the next leader.
ALIVE_TIMEOUT_S = 0.25


class Peers:
    """This node's server for its peers and its client for calls to them."""

    def __init__(self, node: str, advisor: AdviceService):
        clock = LogicalClock()
        self.advisor = advisor
        self.rpc_client = RpcClient(node, f"{node}/node", clock)
        self.notifier: CompletionNotifier | None = None
        handlers = {ttypes.AskAdvice: self._answer_ask, ttypes.AskState: self._answer_state}
        self.server = RpcServer(f"{node}/node", clock, handlers)
        self.listening = asyncio.Event()
        self.opening: asyncio.Task | None = None

    async def start(self, host: str, port: int):
        """Starts to listen for calls from peers, or does so later if the port is taken."""
        self.opening = await open_port(lambda: self._listen(host, port), "peers")

    async def _listen(self, host: str, port: int):
        await self.server.start(host, port)
        self.listening.set()

    async def _answer_ask(self, message: ttypes.AskAdvice, envelope) -> ttypes.AdviceReply:
        advice = await self.advisor.ask(message.step, message.vms, envelope.budget_ms / 1000)
        tickets = advice.tickets or {}
        return ttypes.AdviceReply(
            answered=advice.tickets is not None,
            tickets=[ttypes.Ticket(vm=vm, ticket=ticket) for vm, ticket in tickets.items()],
        )

    def make_adviser(self, record: NodeRecord) -> Adviser:
        """Returns an adviser that asks the advice service through a peer."""
        address = Address(record.node, record.host, record.port)

        async def ask(step: str, vms: list[str], timeout_s: float) -> Advice:
            try:
                message = ttypes.AskAdvice(step=step, vms=vms)
                reply = await self.rpc_client.call(address, message, timeout_s)
            except CallError:
                return Advice(None)
            if not reply.answered:
                return Advice(None)
            return Advice({item.vm: item.ticket for item in reply.tickets})

        return Adviser(record.node, ask)

    async def _answer_state(self, message: ttypes.AskState, envelope) -> ttypes.StateReply:
        if self.notifier is None or not self.notifier.is_leading():
            return ttypes.StateReply(state=None)
        wait_s = min(max(0.0, message.wait_ms / 1000), MAX_STATE_WAIT_S)
        state = await self.notifier.wait_for_end(message.job, wait_s)
        return ttypes.StateReply(state=None if state is None else str(state))

    async def ask_state(self, record: NodeRecord, job: str, wait_s: float) -> JobState | None:
        """Asks a peer for the state of a job.

        Returns ``None`` if the peer isn't the leader, doesn't know the job or does not answer.
        """
        address = Address(record.node, record.host, record.port)
        message = ttypes.AskState(job=job, wait_ms=int(wait_s * 1000))
        try:
            reply = await self.rpc_client.call(address, message, wait_s + STATE_SLACK_S)
        except CallError:
            return None
        return JobState(reply.state) if reply.state in KNOWN_STATES else None

    async def is_alive(self, record: NodeRecord) -> bool:
        """Returns whether a peer answers a call within :data:`ALIVE_TIMEOUT_S`."""
        address = Address(record.node, record.host, record.port)
        try:
            await self.rpc_client.call(address, ttypes.AskState(job="", wait_ms=0), ALIVE_TIMEOUT_S)
        except CallError:
            return False
        return True

    async def close(self):
        """Closes all connections."""
        if self.opening is not None:
            self.opening.cancel()
        await self.rpc_client.close()
        await self.server.close()
