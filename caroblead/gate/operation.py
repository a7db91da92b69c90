"""HTTP handlers for operators: tickets, configuration in force, status, metrics and drain."""

import asyncio
import time

from aiohttp import web

from ..config.state import ConfigState, check_ticket
from ..config.ticket import Ticket, parse_ticket
from ..core.outcome import Reason
from ..core.timer import await_and_log_errors
from ..events.event import TicketAccepted
from ..fleet.membership import is_live
from ..wire.gen import ttypes
from .access import RefusalError, check_operator
from .message import describe_fault
from .metric import write_metrics
from .process import GateProcess
from .work import KEY_PREFIX_LENGTH


async def _read_new_ticket(gate: GateProcess, request: web.Request) -> Ticket:
    """Returns the ticket that an operator sent; refuses an invalid one with every error."""
    check_operator(gate, request)
    parsed = parse_ticket(await request.read())
    if parsed.faults:
        raise RefusalError(*parsed.faults)
    return parsed.value


async def check_new_ticket(gate: GateProcess, request: web.Request):
    """Validates a ticket against the latest configuration without publishing it."""
    ticket = await _read_new_ticket(gate, request)
    await gate.follower.poll()
    faults = check_ticket(gate.follower.state, ticket)
    if faults:
        raise RefusalError(*faults)
    return web.json_response({"outcome": "valid", "ticket": ticket.ticket})


async def publish_ticket(gate: GateProcess, request: web.Request):
    """Publishes a ticket and announces it to every process."""
    ticket = await _read_new_ticket(gate, request)
    faults = await gate.follower.publish(ticket)
    if faults and faults[0].reason is Reason.PEER_LOST:
        document = {"outcome": "unknown", "error": describe_fault(faults[0])}
        return web.json_response(document, status=504)
    if faults:
        raise RefusalError(*faults)
    gate.timeline.emit(make_ticket_event(ticket))
    await gate.broadcast_digest()
    return web.json_response({"outcome": "accepted", "ticket": ticket.ticket})


async def show_config(gate: GateProcess, request: web.Request):
    """Returns the configuration in force."""
    check_operator(gate, request)
    return web.json_response(describe_config(gate.follower.state))


async def show_status(gate: GateProcess, request: web.Request):
    """Returns what this gate knows about all entry VMs and their shards."""
    now_s = gate.timers.get_time()
    nodes = [
        {
            "node": member.node,
            "zone": member.zone,
            "live": is_live(gate.members, member, now_s),
            "draining": member.draining,
            "ticket": member.ticket,
            "shards": [
                {
                    "shard": item.shard,
                    "epoch": item.epoch,
                    "free_slots": item.free_slots,
                    "free_cores": item.free_millicores / 1000,
                    "waiting": item.waiting,
                }
                for item in member.shards.values()
            ],
        }
        for member in sorted(gate.members.table.values(), key=lambda m: m.node)
    ]
    document = {
        "node": gate.settings.node,
        "ticket": gate.follower.state.number,
        "in_flight": gate.in_flight,
        "nodes": nodes,
    }
    return web.json_response(document)


async def show_metrics(gate: GateProcess, request: web.Request):
    """Returns the metrics of this process as text."""
    gauges = {
        "requests_in_flight": gate.in_flight,
        "ticket": gate.follower.state.number,
        "control_sent_bytes": gate.rpc_client.sent_bytes + gate.server.sent_bytes,
        "process_cpu_seconds": time.process_time(),
    }
    return web.Response(text=write_metrics(gate.metrics, gauges))


async def start_drain(gate: GateProcess, request: web.Request):
    """Starts to drain this entry VM: both its placer and this gate."""
    check_operator(gate, request)
    member = gate.members.table[gate.settings.node]
    await gate.rpc_client.send(member.placer, ttypes.Drain(node=gate.settings.node))
    asyncio.ensure_future(await_and_log_errors(gate.drain()))
    return web.json_response({"outcome": "draining", "node": gate.settings.node}, status=202)


def make_ticket_event(ticket: Ticket) -> TicketAccepted:
    """Returns the event for an accepted ticket, with the changes that the history checker needs."""
    withdrawn = ",".join(key.digest[:KEY_PREFIX_LENGTH] for key in ticket.keys if key.removed)
    limits = ",".join(
        f"{team.name}={0 if team.removed else team.max_running}" for team in ticket.teams
    )
    return TicketAccepted(ticket.ticket, withdrawn, limits)


def describe_config(state: ConfigState) -> dict:
    """Returns the JSON form of a configuration, with only a prefix of each key's digest."""
    document: dict = {"ticket": state.number, "teams": [], "keys": [], "queues": [], "zones": []}
    for (section, name), entry in sorted(state.entries.items()):
        if entry.spec.removed:
            continue
        item = entry.spec.model_dump(exclude={"removed"})
        if section == "keys":
            item = {"key": name[:KEY_PREFIX_LENGTH], "team": entry.spec.team}
        document[section].append({**item, "set_by": entry.number})
    return document
