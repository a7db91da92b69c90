"""The gate's own state: its peers, its numbers, what is in flight, and its planned stop."""

import asyncio

from aiohttp import web

from ..config.setting import NodeSettings, SiteSettings
from ..config.state import encode_state
from ..events.event import DrainStarted, ProcessStopped
from ..events.timeline import Timeline
from ..fleet.membership import Member, hear_digest, list_owned
from ..fleet.process import NodeProcess
from ..wire.call import Address, WireServer
from ..wire.gen import ttypes
from .metric import Metrics
from .route import Router

# How long a connection attempt may still arrive after the gate said that it is leaving.
LINGER_S = 0.3


class GateProcess(NodeProcess):
    """What the handlers of callers' and operators' calls work on."""

    def __init__(
        self, site: SiteSettings, settings: NodeSettings, timeline: Timeline, links=None, seed=0
    ):
        super().__init__("gate", site, settings, timeline, links, seed)
        self.router = Router(settings.node, settings.zone, self.caller, self.members, seed)
        self.metrics = Metrics()
        handlers = {ttypes.Digest: self._hear_digest, ttypes.FetchConfig: self._fetch_config}
        self.server = WireServer(self.program, timeline.clock, handlers, self.links)
        self.runner: web.AppRunner | None = None
        self.http_port = 0
        self.in_flight = 0
        self.sequence = 0
        self.draining = False
        self.stopped = asyncio.Event()

    def list_owned(self) -> dict[str, Member]:
        """Returns the owner of every shard that has one."""
        return list_owned(self.members, self.timers.get_time())

    async def tell_everyone(self):
        """Tells every placer and gate at once which ticket is in force here."""
        digest = self.make_digest((self.settings.placer_port, self.server.port))
        sends = []
        for member in list(self.members.table.values()):
            sends.append(self.caller.send(member.placer, digest))
            if member.node != self.settings.node:
                sends.append(self.caller.send(member.gate, digest))
        await asyncio.gather(*sends)

    async def _hear_digest(self, digest: ttypes.Digest, envelope):
        if not digest.incarnation:
            peer = Address(digest.node, digest.host, digest.gate_port)
            await self.follower.hear(digest.ticket or 0, digest.config or 0, peer)
            return None
        member = hear_digest(self.members, digest, self.timers.get_time())
        await self.follower.hear(digest.ticket or 0, digest.config or 0, member.placer)
        return None

    async def _fetch_config(self, message, envelope):
        state = self.follower.state
        return ttypes.ConfigReply(ticket=state.number, state=encode_state(state, message.since))

    async def drain(self):
        """Stops in a planned way: takes no new connection and finishes what is in flight."""
        if self.draining:
            await self.stopped.wait()
            return
        self.draining = True
        self.timeline.emit(DrainStarted("gate"))
        for site in list(self.runner.sites):
            await site.stop()
        await asyncio.sleep(LINGER_S)
        end_s = self.timers.get_time() + self.site.limits.drain_s
        while self.in_flight and self.timers.get_time() < end_s:
            await asyncio.sleep(0.05)
        in_flight = self.in_flight
        await self.close()
        self.timeline.emit(ProcessStopped("gate", self.incarnation, in_flight))
        self.stopped.set()

    async def close(self):
        """Ends the process's part at once."""
        self.timers.close()
        await self.server.close(abort=True)
        await self.runner.cleanup()
        await self.close_links()
