"""What both programs of an entry VM are made of: clocks, peers, the platform, the configuration."""

import secrets

from ..config.setting import NodeSettings, SiteSettings
from ..core.timer import TimerService
from ..events.timeline import Timeline
from ..wire.call import Caller, LinkSwitch
from ..wire.gen import ttypes
from .client import HttpPlatform
from .follower import Follower
from .membership import Members, seed_members

# A gate hears of a suspected owner this many heartbeats later than a placer gives it up, so that it
# does not turn away from an owner that is only late.
GATE_PATIENCE_HEARTBEATS = 1


class NodeProcess:
    """The parts that a gate and a placer share."""

    def __init__(
        self,
        program: str,
        site: SiteSettings,
        settings: NodeSettings,
        timeline: Timeline,
        links: LinkSwitch | None,
        seed: int,
    ):
        self.site = site
        self.settings = settings
        self.limits = site.limits
        self.timeline = timeline
        self.program = f"{settings.node}/{program}"
        self.incarnation = f"{settings.node}~{secrets.token_hex(4)}"
        self.links = links or LinkSwitch()
        self.timers = TimerService(seed, self.is_frozen)
        urls = site.platform.log_url, site.platform.list_url
        self.platform = HttpPlatform(settings.node, timeline.clock, *urls, self.pause)
        self.caller = Caller(settings.node, self.program, timeline.clock, self.links)
        self.follower = Follower(program, self.platform, self.caller, timeline)
        patience_s = self.limits.suspect_after_s
        if program == "gate":
            patience_s += GATE_PATIENCE_HEARTBEATS * self.limits.heartbeat_s
        self.members = Members(settings.zone, patience_s, self.limits.heartbeat_s)
        seed_members(self.members, site.nodes)

    def is_frozen(self) -> bool:
        """Returns whether a failure test has frozen this program."""
        return self.program in self.links.frozen

    async def pause(self):
        """Stands still while a failure test has frozen this program."""
        await self.links.wait_while_frozen(self.program)

    def make_digest(self, ports: tuple[int, int]) -> ttypes.Digest:
        """Returns what this node tells others of its configuration; ports of placer and gate."""
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

    async def close_links(self):
        """Closes the connections to peers and to the platform."""
        await self.caller.close()
        await self.platform.close()
