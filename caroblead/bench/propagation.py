"""Measures how fast a ticket takes effect on all nodes, with notification and with polling only."""

import asyncio

from ..core.loop import run_in_virtual_time
from ..events.event import TicketAccepted, TicketInForce
from ..fleet.follower import Follower
from ..tools.localsite import LocalSite
from ..tools.scenario import make_site_settings
from .result import Results

TICKETS = 12
TARGET_S = 3.0
CUT_TARGET_S = 14.0


async def _publish_many(cut_from_peers: bool) -> list[float]:
    """Publishes tickets one by one and returns the seconds until each was in force on all nodes.

    With ``cut_from_peers``, the links between the first node and all other nodes are cut.
    """
    site = LocalSite(make_site_settings(zones=3, nodes=3))
    await site.start()
    await site.wait_until_owned()
    if cut_from_peers:
        nodes = [node.node for node in site.site.nodes]
        site.injected_faults.cut_pairs = {frozenset((nodes[0], node)) for node in nodes[1:]}
    loop = site.loop
    start_s = loop.time()
    for number in range(2, 2 + TICKETS):
        part = {"name": "north", "share": 1, "max_running": 20 + number}
        await site.publish({"ticket": number, "teams": [part]})
        while loop.time() < start_s + 7.3 * (number - 1):
            await _sleep()
    await _sleep(20.0)
    history = site.collect_history()
    await site.close()
    accepted = {r.event.ticket: r.at_s for r in history if isinstance(r.event, TicketAccepted)}
    delays = []
    for ticket, at_s in accepted.items():
        first_in_force_s = {}
        for record in history:
            if isinstance(record.event, TicketInForce) and record.event.ticket >= ticket:
                first_in_force_s.setdefault(record.node, record.at_s)
        if ticket > 1:
            delays.append(max(first_in_force_s.values()) - at_s)
    return delays


async def _sleep(seconds: float = 0.1):
    await asyncio.sleep(seconds)


async def _ignore_notification(self, *arguments):
    """Replaces the handler of notifications, so that tickets are only found by polling."""


def measure_propagation(results: Results):
    """Measures the time until 9 entry VMs apply a ticket, with and without notification."""
    original_hear = Follower.handle_peer_digest
    figures = {}
    for name, handle_peer_digest, cut_from_peers in (
        ("notify", original_hear, False),
        ("notify_one_node_cut_from_peers", original_hear, True),
        ("polling_alone", _ignore_notification, False),
    ):
        Follower.handle_peer_digest = handle_peer_digest
        try:
            delays = run_in_virtual_time(_publish_many(cut_from_peers))
        finally:
            Follower.handle_peer_digest = original_hear
        figures[f"{name}_mean_s"] = round(sum(delays) / len(delays), 3)
        figures[f"{name}_worst_s"] = round(max(delays), 3)
    met = (
        figures["notify_worst_s"] <= TARGET_S
        and figures["notify_one_node_cut_from_peers_worst_s"] <= CUT_TARGET_S
    )
    results.add("ticket in force at 9 entry VMs", figures, "3 s; 14 s with a bad link", met)
