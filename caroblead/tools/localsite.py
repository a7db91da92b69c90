"""A whole site in one event loop: the stand-in, every placer and every gate.

The demonstration and the failure tests use it. The programs are the real ones; only their start
differs, and every process may be killed, frozen, drained or replaced.
"""

import asyncio
import socket

from ..config.setting import NodeSettings, SiteSettings
from ..config.ticket import read_ticket
from ..events.event import LinksCut, LinksHealed, ProcessKilled, ProgramFrozen, ProgramThawed
from ..events.timeline import Record, Timeline, merge_records
from ..gate.operation import describe_ticket
from ..gate.program import Gate
from ..placer.program import Placer
from ..standin.server import PlatformServer
from ..wire.call import LinkSwitch


def choose_ports(count: int) -> list[int]:
    """Returns ports that the kernel finds free."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


def use_free_ports(site: SiteSettings) -> SiteSettings:
    """Returns the settings with every port replaced by a free one."""
    ports = iter(choose_ports(3 * len(site.nodes) + 1))
    nodes = [
        node.model_copy(
            update={
                "http_port": next(ports),
                "gate_port": next(ports),
                "placer_port": next(ports),
            }
        )
        for node in site.nodes
    ]
    port = next(ports)
    url = f"http://127.0.0.1:{port}"
    platform = site.platform.model_copy(update={"log_url": url, "list_url": url})
    standin = site.standin.model_copy(update={"port": port})
    return site.model_copy(update={"nodes": nodes, "platform": platform, "standin": standin})


class LocalSite:
    """All processes of a site, by node."""

    def __init__(self, site: SiteSettings, seed: int = 1):
        self.site = use_free_ports(site)
        self.seed = seed
        self.links = LinkSwitch()
        self.loop = asyncio.get_running_loop()
        self.timelines: list[Timeline] = []
        self.tester = self.make_timeline("tester")
        self.platform = PlatformServer(
            self.site.standin, self.make_timeline("platform"), seed, self.site.limits.grace_s
        )
        self.placers: dict[str, Placer] = {}
        self.gates: dict[str, Gate] = {}
        self.cut_nodes: set[str] = set()
        self.replaced: list[str] = []

    def make_timeline(self, node: str) -> Timeline:
        """Makes a time line whose time is that of the loop."""
        timeline = Timeline(node, now=self.loop.time)
        self.timelines.append(timeline)
        return timeline

    async def start(self):
        """Starts the platform with its first ticket, then every node."""
        await self.platform.start()
        for index, node in enumerate(self.site.nodes):
            await self.start_placer(node, index)
            await self.start_gate(node, index)
        ticket = self.site.standin.first_ticket
        if ticket:
            await self.publish(ticket)

    async def start_placer(self, node: NodeSettings, seed: int = 0) -> Placer:
        """Starts the placer of a node, as a new process."""
        timeline = self.make_timeline(f"{node.node}/placer")
        placer = Placer(self.site, node, timeline, self.links, self.seed * 1000 + seed)
        self.placers[node.node] = placer
        await placer.start()
        return placer

    async def start_gate(self, node: NodeSettings, seed: int = 0) -> Gate:
        """Starts the gate of a node, as a new process."""
        timeline = self.make_timeline(f"{node.node}/gate")
        gate = Gate(self.site, node, timeline, self.links, self.seed * 1000 + 500 + seed)
        self.gates[node.node] = gate
        await gate.start()
        return gate

    def find_node(self, name: str) -> NodeSettings:
        """Returns the settings of a node."""
        return next(node for node in self.site.nodes if node.node == name)

    async def publish(self, raw: dict, node: str = "") -> list:
        """Publishes a ticket through a gate and returns the faults."""
        gate = self.gates[node or next(iter(self.gates))]
        ticket = read_ticket(raw).value
        faults = await gate.follower.publish(ticket)
        if not faults:
            gate.timeline.emit(describe_ticket(ticket))
            await gate.tell_everyone()
        return faults

    async def wait_until_owned(self, timeout_s: float = 30.0) -> float:
        """Waits until every shard has an owner that all live gates know; returns how long."""
        start_s = self.loop.time()
        while self.loop.time() - start_s < timeout_s:
            if self.find_unowned() == set():
                return self.loop.time() - start_s
            await asyncio.sleep(0.05)
        raise TimeoutError(f"no owner for {sorted(self.find_unowned())}")

    def find_unowned(self) -> set[str]:
        """Returns the shards that have no owner which every live gate knows."""
        names = {f"{zone.zone}.0" for zone in self.site.standin.zones}
        missing = set(names)
        for name in names:
            owners = [
                placer
                for placer in self.placers.values()
                if name in placer.shards and placer.shards[name].is_owned()
            ]
            known = all(
                any(owner.incarnation == gate.list_owned()[name].incarnation for owner in owners)
                for gate in self.gates.values()
                if name in gate.list_owned()
            )
            heard = all(name in gate.list_owned() for gate in self.gates.values())
            if owners and known and heard:
                missing.discard(name)
        return missing

    def find_owner(self, shard: str) -> Placer | None:
        """Returns the placer that owns a shard now."""
        for placer in self.placers.values():
            if shard in placer.shards and placer.shards[shard].is_owned():
                return placer
        return None

    async def kill_placer(self, node: str):
        """Ends a placer without notice."""
        placer = self.placers.pop(node)
        self.tester.emit(ProcessKilled("placer", f"{node}/placer"))
        self.thaw(f"{node}/placer")
        await placer.close()

    async def kill_gate(self, node: str):
        """Ends a gate without notice."""
        gate = self.gates.pop(node)
        self.tester.emit(ProcessKilled("gate", f"{node}/gate"))
        await gate.close()

    async def drain_node(self, node: str):
        """Stops both programs of a node in the planned way."""
        placer, gate = self.placers.pop(node), self.gates.pop(node)
        await asyncio.gather(placer.drain(), gate.drain())

    def freeze(self, program: str):
        """Makes a program stand still, such as ``a1-1/placer``."""
        if program not in self.links.frozen:
            self.links.frozen[program] = asyncio.Event()
            self.tester.emit(ProgramFrozen(program))

    def thaw(self, program: str):
        """Lets a frozen program go on."""
        event = self.links.frozen.pop(program, None)
        if event is not None:
            event.set()
            self.tester.emit(ProgramThawed(program))

    def cut(self, left: set[str], right: set[str], platform: bool = False):
        """Cuts every link between two sets of nodes, and from the left ones to the platform."""
        for one in left:
            for other in right:
                self.links.cut_pairs.add(frozenset((one, other)))
        if platform:
            cuts = {(node, target) for node in left for target in ("log", "list")}
            self.platform.cuts |= cuts
        self.cut_nodes |= left
        zones = {node.zone for node in self.site.nodes if node.node in left}
        blind = ",".join(sorted(zones)) if platform else ""
        self.tester.emit(LinksCut(",".join(sorted(left)), blind))

    def heal(self):
        """Connects everything again."""
        self.links.cut_pairs.clear()
        self.platform.cuts.clear()
        if self.cut_nodes:
            self.tester.emit(LinksHealed(",".join(sorted(self.cut_nodes))))
        self.cut_nodes = set()

    def collect_history(self) -> list[Record]:
        """Returns the merged events of all processes."""
        return merge_records(record for line in self.timelines for record in line.records)

    async def close(self):
        """Ends everything."""
        for placer in self.placers.values():
            await placer.close()
        for gate in self.gates.values():
            await gate.close()
        await self.platform.close()
