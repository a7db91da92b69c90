"""A whole site in one event loop: the platform stand-in, every placer and every gate.

The demonstration and the failure tests use it. The programs are the real ones and only the way in
which they are started differs. Each of them can be killed, frozen, drained or replaced.
"""

import asyncio
import socket

from ..config.setting import NodeSettings, SiteSettings
from ..config.ticket import read_ticket
from ..events.event import LinksCut, LinksHealed, ProcessKilled, ProgramFrozen, ProgramThawed
from ..events.timeline import Record, Timeline, merge_records
from ..gate.operation import make_ticket_event
from ..gate.program import Gate
from ..placer.program import Placer
from ..standin.server import PlatformServer
from ..wire.call import InjectedFaults


def choose_ports(count: int) -> list[int]:
    """Returns TCP ports of the loopback address that the kernel reports as free."""
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
    """All programs of a site, by node, with the faults that tests inject into them."""

    def __init__(self, site: SiteSettings, seed: int = 1):
        self.site = use_free_ports(site)
        self.seed = seed
        self.injected_faults = InjectedFaults()
        self.loop = asyncio.get_running_loop()
        self.timelines: list[Timeline] = []
        self.fault_timeline = self.make_timeline("tester")
        self.platform = PlatformServer(
            self.site.standin, self.make_timeline("platform"), seed, self.site.limits.grace_s
        )
        self.placers: dict[str, Placer] = {}
        self.gates: dict[str, Gate] = {}
        self.cut_nodes: set[str] = set()
        # The nodes whose killed placer is still to be started again.
        self.nodes_to_restart: list[str] = []

    def make_timeline(self, node: str) -> Timeline:
        """Creates a timeline that takes its time from the event loop."""
        timeline = Timeline(node, now=self.loop.time)
        self.timelines.append(timeline)
        return timeline

    async def start(self):
        """Starts the platform and every node, then publishes the first ticket."""
        await self.platform.start()
        for index, node in enumerate(self.site.nodes):
            await self.start_placer(node, index)
            await self.start_gate(node, index)
        ticket = self.site.standin.first_ticket
        if ticket:
            await self.publish(ticket)

    async def start_placer(self, node: NodeSettings, seed: int = 0) -> Placer:
        """Starts a new incarnation of the placer of a node."""
        timeline = self.make_timeline(f"{node.node}/placer")
        placer = Placer(self.site, node, timeline, self.injected_faults, self.seed * 1000 + seed)
        self.placers[node.node] = placer
        await placer.start()
        return placer

    async def start_gate(self, node: NodeSettings, seed: int = 0) -> Gate:
        """Starts a new incarnation of the gate of a node."""
        timeline = self.make_timeline(f"{node.node}/gate")
        gate = Gate(self.site, node, timeline, self.injected_faults, self.seed * 1000 + 500 + seed)
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
            gate.timeline.emit(make_ticket_event(ticket))
            await gate.broadcast_digest()
        return faults

    async def wait_until_owned(self, timeout_s: float = 30.0) -> float:
        """Waits until all live gates know the owner of every shard; returns the seconds it took."""
        start_s = self.loop.time()
        while self.loop.time() - start_s < timeout_s:
            if self.list_unowned_shards() == set():
                return self.loop.time() - start_s
            await asyncio.sleep(0.05)
        raise TimeoutError(f"no owner for {sorted(self.list_unowned_shards())}")

    def list_unowned_shards(self) -> set[str]:
        """Returns the shards whose owner some live gate does not know, or that have no owner."""
        names = {f"{zone.zone}.0" for zone in self.site.standin.zones}
        missing = set(names)
        for name in names:
            owners = [
                placer
                for placer in self.placers.values()
                if name in placer.shards and placer.shards[name].is_owned()
            ]
            known_to_gates = all(
                any(
                    owner.incarnation == gate.list_shard_owners()[name].incarnation
                    for owner in owners
                )
                for gate in self.gates.values()
                if name in gate.list_shard_owners()
            )
            listed_by_gates = all(name in gate.list_shard_owners() for gate in self.gates.values())
            if owners and known_to_gates and listed_by_gates:
                missing.discard(name)
        return missing

    def find_owner(self, shard: str) -> Placer | None:
        """Returns the placer that owns a shard now."""
        for placer in self.placers.values():
            if shard in placer.shards and placer.shards[shard].is_owned():
                return placer
        return None

    async def kill_placer(self, node: str):
        """Stops a placer without draining it, as a crash would."""
        placer = self.placers.pop(node)
        self.fault_timeline.emit(ProcessKilled("placer", f"{node}/placer"))
        self.thaw(f"{node}/placer")
        await placer.close()

    async def kill_gate(self, node: str):
        """Stops a gate without draining it, as a crash would."""
        gate = self.gates.pop(node)
        self.fault_timeline.emit(ProcessKilled("gate", f"{node}/gate"))
        await gate.close()

    async def drain_node(self, node: str):
        """Drains and stops both programs of a node."""
        placer, gate = self.placers.pop(node), self.gates.pop(node)
        await asyncio.gather(placer.drain(), gate.drain())

    def freeze(self, program: str):
        """Suspends a program, such as ``a1-1/placer``, until it is thawed."""
        if program not in self.injected_faults.frozen:
            self.injected_faults.frozen[program] = asyncio.Event()
            self.fault_timeline.emit(ProgramFrozen(program))

    def thaw(self, program: str):
        """Resumes a frozen program."""
        event = self.injected_faults.frozen.pop(program, None)
        if event is not None:
            event.set()
            self.fault_timeline.emit(ProgramThawed(program))

    def cut(self, left: set[str], right: set[str], platform: bool = False):
        """Cuts every link between two sets of nodes.

        With ``platform``, the left nodes also lose the platform's log and its VM list.
        """
        for one in left:
            for other in right:
                self.injected_faults.cut_pairs.add(frozenset((one, other)))
        if platform:
            cuts = {(node, target) for node in left for target in ("log", "list")}
            self.platform.cuts |= cuts
        self.cut_nodes |= left
        zones = {node.zone for node in self.site.nodes if node.node in left}
        zones_without_platform = ",".join(sorted(zones)) if platform else ""
        self.fault_timeline.emit(LinksCut(",".join(sorted(left)), zones_without_platform))

    def heal(self):
        """Restores every link that was cut."""
        self.injected_faults.cut_pairs.clear()
        self.platform.cuts.clear()
        if self.cut_nodes:
            self.fault_timeline.emit(LinksHealed(",".join(sorted(self.cut_nodes))))
        self.cut_nodes = set()

    def collect_history(self) -> list[Record]:
        """Returns the merged events of all processes."""
        return merge_records(record for line in self.timelines for record in line.records)

    async def close(self):
        """Stops every program, then the platform."""
        for placer in self.placers.values():
            await placer.close()
        for gate in self.gates.values():
            await gate.close()
        await self.platform.close()
