"""Base class of the two programs of an entry VM, with its timers, peers and platform access."""

import secrets

from ..config.setting import NodeSettings, SiteSettings
from ..core.timer import TimerService
from ..events.timeline import Timeline
from ..wire.call import InjectedFaults, RpcClient
from ..wire.gen import ttypes
from .client import HttpPlatform
from .follower import Follower
from .membership import Members, seed_members

# A gate suspects an owner this many heartbeats later than a placer does, so that it keeps sending
# requests to an owner whose digest is only late.
GATE_EXTRA_SUSPECT_HEARTBEATS = 1


class NodeProcess:
    """State shared by the gate and the placer: clocks, peers, the platform and the configuration.

    ``incarnation`` identifies one run of a program on its node.
    """

    def __init__(
        self,
        program: str,
        site: SiteSettings,
        settings: NodeSettings,
        timeline: Timeline,
        injected_faults: InjectedFaults | None,
        seed: int,
    ):
        self.site = site
        self.settings = settings
        self.limits = site.limits
        self.timeline = timeline
        self.program = f"{settings.node}/{program}"
        self.incarnation = f"{settings.node}~{secrets.token_hex(4)}"
        self.injected_faults = injected_faults or InjectedFaults()
        self.timers = TimerService(seed, self.is_frozen)
        urls = site.platform.log_url, site.platform.list_url
        self.platform = HttpPlatform(settings.node, timeline.clock, *urls, self.block_while_frozen)
        self.rpc_client = RpcClient(
            settings.node, self.program, timeline.clock, self.injected_faults
        )
        self.follower = Follower(program, self.platform, self.rpc_client, timeline)
        suspect_timeout_s = self.limits.suspect_after_s
        if program == "gate":
            suspect_timeout_s += GATE_EXTRA_SUSPECT_HEARTBEATS * self.limits.heartbeat_s
        self.members = Members(settings.zone, suspect_timeout_s, self.limits.heartbeat_s)
        seed_members(self.members, site.nodes)

    def is_frozen(self) -> bool:
        """Returns whether a failure test has frozen this program."""
        return self.program in self.injected_faults.frozen

    async def block_while_frozen(self):
        """Blocks while a failure test has frozen this program."""
        await self.injected_faults.wait_while_frozen(self.program)

    def make_digest(self, ports: tuple[int, int]) -> ttypes.Digest:
        """Returns a digest that announces this node's address and configuration.

        ``ports`` are those of the placer and the gate. A placer adds its incarnation and shards; a
        gate leaves the incarnation empty, so that receivers use only the configuration.
        """
        settings = self.settings
        return ttypes.Digest(
            node=settings.node,
            zone=settings.zone,
            incarnation="",
            host=settings.host,
            placer_port=ports[0],
            gate_port=ports[1],
            ticket=self.follower.state.number,
            config=self.follower.digest,
            draining=False,
            shards=[],
            settled=0,
        )

    async def close_connections(self):
        """Closes the connections to peers and to the platform."""
        await self.rpc_client.close()
        await self.platform.close()
