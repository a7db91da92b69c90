"""Calls between nodes: the leader has other nodes put questions to the advice service."""

from ..dispatch.counsel import Adviser
from ..dispatch.interface import Advice, Advisor
from ..events.clock import LogicalClock
from ..jobs.record import NodeRecord
from ..wire.call import Address, Caller, CallError, WireServer
from ..wire.gen import ttypes


class Peers:
    """This node's server for its peers and its client to them."""

    def __init__(self, node: str, advisor: Advisor):
        clock = LogicalClock()
        self.advisor = advisor
        self.caller = Caller(node, f"{node}/node", clock)
        self.server = WireServer(f"{node}/node", clock, {ttypes.AskAdvice: self._answer_ask})

    async def start(self, host: str, port: int):
        """Listens for peers."""
        await self.server.start(host, port)

    async def _answer_ask(self, message: ttypes.AskAdvice, envelope) -> ttypes.AdviceReply:
        advice = await self.advisor.ask(message.step, message.vms, envelope.budget_ms / 1000)
        tickets = advice.tickets or {}
        return ttypes.AdviceReply(
            answered=advice.tickets is not None,
            tickets=[ttypes.Ticket(vm=vm, ticket=ticket) for vm, ticket in tickets.items()],
        )

    def make_adviser(self, record: NodeRecord) -> Adviser:
        """Returns a peer as one that can ask for advice."""
        address = Address(record.node, record.host, record.port)

        async def ask(step: str, vms: list[str], timeout_s: float) -> Advice:
            try:
                message = ttypes.AskAdvice(step=step, vms=vms)
                reply = await self.caller.call(address, message, timeout_s)
            except CallError:
                return Advice(None)
            if not reply.answered:
                return Advice(None)
            return Advice({item.vm: item.ticket for item in reply.tickets})

        return Adviser(record.node, ask)

    async def close(self):
        """Closes all connections."""
        await self.caller.close()
        await self.server.close()
