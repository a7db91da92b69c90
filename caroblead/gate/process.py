"""The state of a gate process (peers, metrics, requests in flight) and its graceful shutdown."""

import asyncio

from aiohttp import web

from ..config.setting import NodeSettings, SiteSettings
from ..events.event import DrainStarted, ProcessStopped
from ..events.timeline import Timeline
from ..fleet.membership import Member, list_shard_owners
from ..fleet.process import NodeProcess
from ..wire.call import RpcServer
from ..wire.gen import ttypes
from .metric import Metrics
from .route import Router

# Requests on connections that were accepted before the gate stopped listening may still arrive
# this long after.
DRAIN_LINGER_S = 0.3


class GateProcess(NodeProcess):
    """The state that the handlers of callers' and operators' calls share."""

    def __init__(
        self,
        site: SiteSettings,
        settings: NodeSettings,
        timeline: Timeline,
        injected_faults=None,
        seed=0,
    ):
        super().__init__("gate", site, settings, timeline, injected_faults, seed)
        self.router = Router(settings.node, settings.zone, self.rpc_client, self.members, seed)
        self.metrics = Metrics()
        handlers = {ttypes.Digest: self.handle_digest, ttypes.FetchConfig: self.fetch_config}
        self.server = RpcServer(self.program, timeline.clock, handlers, self.injected_faults)
        self.runner: web.AppRunner | None = None
        self.http_port = 0
        self.in_flight = 0
        self.sequence = 0
        self.draining = False
        self.stopped = asyncio.Event()

    def list_shard_owners(self) -> dict[str, Member]:
        """Returns the owner of each shard that has one, by shard name."""
        return list_shard_owners(self.members, self.timers.get_time())

    async def broadcast_digest(self):
        """Sends every placer and every other gate a digest with the ticket in force here."""
        digest = self.make_digest((self.settings.placer_port, self.server.port))
        sends = []
        for member in list(self.members.table.values()):
            sends.append(self.rpc_client.send(member.placer, digest))
            if member.node != self.settings.node:
                sends.append(self.rpc_client.send(member.gate, digest))
        await asyncio.gather(*sends)

    async def drain(self):
        """Shuts down gracefully: accepts no new connections and finishes the work in flight.

        Work that is still in flight after the ``drain_s`` limit is cut off. A second call waits for
        the first one.
        """
        if self.draining:
            await self.stopped.wait()
            return
        self.draining = True
        self.timeline.emit(DrainStarted("gate"))
        for site in list(self.runner.sites):
            await site.stop()
        await asyncio.sleep(DRAIN_LINGER_S)
        end_s = self.timers.get_time() + self.site.limits.drain_s
        while self.in_flight and self.timers.get_time() < end_s:
            await asyncio.sleep(0.05)
        in_flight = self.in_flight
        await self.close()
        self.timeline.emit(ProcessStopped("gate", self.incarnation, in_flight))
        self.stopped.set()

    async def close(self):
        """Closes all timers, servers and connections at once."""
        self.timers.close()
        await self.server.close(abort=True)
        await self.runner.cleanup()
        await self.close_connections()
