"""Base class of the two programs of an entry VM, with its timers, peers and platform access."""

import secrets

from ..config.setting import NodeSettings, SiteSettings
from ..config.state import encode_state
from ..core.timer import TimerService
from ..events.timeline import Timeline
from ..wire.call import Address, InjectedFaults, RpcClient
from ..wire.gen import ttypes
from .client import HttpPlatform
from .follower import Follower
from .membership import Member, Members, seed_members, update_member

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

    async def handle_digest(self, digest: ttypes.Digest, envelope):
        """Learns from a digest what its sender knows; one without an incarnation is of a gate."""
        ticket, config = digest.ticket or 0, digest.config or 0
        if not digest.incarnation:
            peer = Address(digest.node, digest.host, digest.gate_port)
            await self.follower.handle_peer_digest(ticket, config, peer)
            return
        member = update_member(self.members, digest, self.timers.get_time())
        await self.handle_member(member, digest)
        await self.follower.handle_peer_digest(ticket, config, member.placer)

    async def handle_member(self, member: Member, digest: ttypes.Digest):
        """Does what else a program has to do with the digest of a placer; nothing by default."""

    async def fetch_config(self, message: ttypes.FetchConfig, envelope) -> ttypes.ConfigReply:
        """Returns the configuration to a peer, without what the peer has already."""
        state = self.follower.state
        return ttypes.ConfigReply(ticket=state.number, state=encode_state(state, message.since))

    async def close_connections(self):
        """Closes the connections to peers and to the platform."""
        await self.rpc_client.close()
        await self.platform.close()
