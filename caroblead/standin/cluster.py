"""Runs several nodes, a store and VMs in one event loop, for tests of their interaction."""

import asyncio
import itertools
from dataclasses import dataclass, field, replace
from functools import partial

from ..core.clock import use_clocks, use_system_clocks
from ..core.loop import run_in_virtual_time
from ..core.outcome import Reason
from ..core.resource import Resources
from ..dispatch.interface import Advice, Configuration, ListedVm, LogLimits, TeamLimits
from ..jobs.data import AdviceTimes, JobQueue, JobSpec
from ..jobs.record import KeyedRecord
from ..node.answer import Accepted, Admission, Cancelled, Rejected
from ..node.configuration import ConfigurationView
from ..node.evacuation import EvacuationView
from ..node.program import Node, NodeAdapters
from ..node.registry import Registry
from ..node.setting import NodeSettings
from ..platform.evacuation import KEY_PREFIX, decode_evacuated_zone
from .keyedlog import CallerFaults, MemoryLog, MemoryTopic
from .verdict import CallerRecords, Evacuation
from .vmcontrol import SimulatedVmControl
from .vmsimulator import SimulatedVm, VmSimulator
from .work import make_behavior_lookup

# A VM that is down for longer loses its registry entry, and a restarted one registers this late.
ENTRY_EXPIRY_S = 2.0
REGISTER_DELAY_S = 0.3
WALL_OFFSET_S = 1_700_000_000.0
SERVICE = "planner"
KEY = "key-of-north"
CAPACITY = Resources(4000, 8192)
# The interval at which a VM updates its entry in the registry.
HEARTBEAT_S = 1.5
QUEUES = {
    "checks": JobQueue("checks", "x.example", "/c/", SERVICE, priority=0, max_attempts=3),
    "reviews": JobQueue("reviews", "x.example", "/r/", SERVICE, priority=2, max_attempts=2),
}
# A queue whose steps may run only on the VMs that the advice service allows.
ADVISED = JobQueue(
    "renders", "x.example", "/a/", SERVICE, priority=1, advice=AdviceTimes(0.01, 0.001, 2.5)
)


class AllowAllAdvisor:
    """An advice service that allows every VM."""

    async def ask(self, step: str, vms: list[str], timeout_s: float) -> Advice:
        """Returns a ticket for every VM."""
        return Advice(dict.fromkeys(vms, "ticket"))


@dataclass(slots=True, eq=False)
class Site:
    """A store, VMs and nodes in one process.

    ``caller_records`` records what callers requested and which responses they got.
    ``faults_by_node`` holds the injected faults of each node, by its name. ``draining_s`` is the
    loop time at which the registry first showed a VM as draining. The VMs are spread over the
    ``zones``, and the nodes evacuate zones if ``evacuation_ms`` isn't 0. ``settings`` are the
    settings of all nodes that differ from the defaults, and
    ``teams`` are added to the configuration.
    """

    vm_simulator: VmSimulator
    ledger: MemoryTopic = field(default_factory=MemoryTopic)
    config: MemoryTopic = field(default_factory=MemoryTopic)
    registry: MemoryTopic = field(default_factory=MemoryTopic)
    nodes: dict[str, Node] = field(default_factory=dict)
    faults_by_node: dict[str, CallerFaults] = field(default_factory=dict)
    caller_records: CallerRecords = field(default_factory=CallerRecords)
    draining_s: dict[str, float] = field(default_factory=dict)
    ids: itertools.count = field(default_factory=lambda: itertools.count(1))
    seeds: itertools.count = field(default_factory=lambda: itertools.count(1))
    cap: Resources = Resources()
    zones: tuple[str, ...] = ("a",)
    evacuation_ms: float = 0
    settings: dict[str, object] = field(default_factory=dict)
    evacuations: list[Evacuation] = field(default_factory=list)
    teams: dict[str, TeamLimits] = field(default_factory=dict)


def make_listed_vm(
    number: int,
    incarnation: int = 1,
    draining: bool = False,
    capacity: Resources = CAPACITY,
    zone: str = "a",
    cold_remaining_ms: int = 0,
) -> ListedVm:
    """Returns the registry entry of a test VM with 4 cores and 8 GiB of memory."""
    return ListedVm(
        f"vm-{number}",
        incarnation,
        SERVICE,
        f"vm:{number}",
        zone,
        "r1",
        ("r1",),
        capacity,
        draining,
        cold_remaining_ms,
    )


def publish_config(site: Site, version: int):
    """Publishes a configuration; in tests its record holds only the version."""
    site.config.append([KeyedRecord("config", b"%d" % version)], None)


def evacuate_zone(site: Site, zone: str):
    """Writes the key by which the operators evacuate a zone."""
    site.config.append([KeyedRecord(KEY_PREFIX + zone, b"{}")], None)
    if _find_evacuation(site, zone) is None:
        site.evacuations.append(Evacuation(zone, asyncio.get_running_loop().time()))


def restore_zone(site: Site, zone: str):
    """Removes the key by which the operators evacuate a zone."""
    site.config.append([KeyedRecord(KEY_PREFIX + zone, b"")], None)
    evacuation = _find_evacuation(site, zone)
    if evacuation is not None:
        evacuation.ended_s = asyncio.get_running_loop().time()


def _find_evacuation(site: Site, zone: str) -> Evacuation | None:
    """Returns the evacuation of a zone that hasn't ended, if there is one."""
    infinity = float("inf")
    return next((e for e in site.evacuations if e.zone == zone and e.ended_s == infinity), None)


def put_vm_entry(site: Site, listed: ListedVm):
    """Registers a VM; in tests its record holds only what changes while a site runs.

    That is the incarnation, whether the VM is draining, its cores and its memory, and for how long
    it is still cold. The zone is there too, because it differs between sites.
    """
    numbers = (
        listed.incarnation,
        listed.draining,
        listed.capacity.millicores,
        listed.capacity.memory_mb,
        listed.cold_remaining_ms,
    )
    value = b"%d %d %d %d %d" % numbers + b" " + listed.zone.encode()
    site.registry.append([KeyedRecord(listed.name, value)], None)
    if listed.draining:
        site.draining_s.setdefault(listed.name, asyncio.get_running_loop().time())


def update_vm_entry(site: Site, name: str):
    """Registers a VM as it is now, as it does itself after a restart or a change."""
    vm = site.vm_simulator.vms[name]
    put_vm_entry(site, replace(vm.listed, incarnation=vm.incarnation))


async def resize_vm(
    site: Site, number: int, capacity: Resources, entry_delay_s: float = HEARTBEAT_S
):
    """Changes the capacity of a VM, which its registry entry shows ``entry_delay_s`` later."""
    vm = site.vm_simulator.vms[f"vm-{number}"]
    site.vm_simulator.resize(vm.listed.name, capacity)
    await asyncio.sleep(entry_delay_s)
    update_vm_entry(site, vm.listed.name)


def show_crash_in_registry(site: Site, vm: SimulatedVm, down_s: float):
    """Lets the registry entry of a crashed VM expire, and registers the VM when it is back."""
    call_later = asyncio.get_running_loop().call_later
    if down_s > ENTRY_EXPIRY_S:
        expired = KeyedRecord(vm.listed.name, b"")
        call_later(ENTRY_EXPIRY_S, site.registry.append, [expired], None)
    incarnation = vm.incarnation + 1

    def register():
        # The VM may have been resized while it was down.
        put_vm_entry(site, replace(vm.listed, incarnation=incarnation))

    call_later(down_s + REGISTER_DELAY_S, register)


async def start_site(
    vm_count: int = 4,
    node_count: int = 3,
    cap: Resources | None = None,
    zones: tuple[str, ...] = ("a",),
    evacuation_ms: float = 0,
    limits: LogLimits = LogLimits(),
    **settings,
) -> Site:
    """Starts nodes, VMs and a store and waits until a leader is elected.

    The zones are given to the VMs in turn, and ``settings`` to all nodes. ``limits`` are those of
    the ledger.
    """
    caller_records = CallerRecords()
    site = Site(
        VmSimulator(make_behavior_lookup(caller_records.jobs)),
        ledger=MemoryTopic(limits=limits),
        caller_records=caller_records,
        cap=cap or Resources(),
        zones=zones,
        evacuation_ms=evacuation_ms,
        settings=settings,
    )
    site.vm_simulator.on_crashed = partial(show_crash_in_registry, site)
    publish_config(site, 1)
    for number in range(vm_count):
        listed = make_listed_vm(number, zone=zones[number % len(zones)])
        site.vm_simulator.add(listed)
        put_vm_entry(site, listed)
    for number in range(node_count):
        await start_node(site, f"n{number}")
    await wait_for_leader(site)
    return site


async def start_node(site: Site, name: str, strength: float = 1.0):
    """Starts a node, or restarts it after a kill."""
    caller_faults = site.faults_by_node.setdefault(name, CallerFaults())
    settings = NodeSettings(
        node=name,
        zone="a",
        host="127.0.0.1",
        callers="127.0.0.1:1",
        readiness="127.0.0.1:1",
        peer_port=0,
        store="127.0.0.1:1",
        core_share=strength,
        evacuation_ms=site.evacuation_ms,
        **site.settings,
    )
    adapters = NodeAdapters(
        MemoryLog(site.ledger, caller_faults),
        MemoryLog(site.config, caller_faults),
        MemoryLog(site.registry, caller_faults),
        SimulatedVmControl(site.vm_simulator, name, caller_faults),
        AllowAllAdvisor(),
    )

    def decode_config(value: bytes) -> Configuration:
        teams = {"north": TeamLimits("north", 1, site.cap), **site.teams}
        return Configuration(int(value), dict(QUEUES), teams, {KEY: "north"})

    def decode_vm(name: str, value: bytes) -> ListedVm:
        *numbers, zone = value.decode().split()
        incarnation, draining, millicores, memory_mb, cold_remaining_ms = map(int, numbers)
        number, capacity = int(name.split("-")[1]), Resources(millicores, memory_mb)
        return make_listed_vm(
            number, incarnation, bool(draining), capacity, zone, cold_remaining_ms
        )

    configuration_view = ConfigurationView("config", decode_config)
    evacuation_view = EvacuationView(decode_evacuated_zone)
    seed = next(site.seeds)
    node = Node(settings, adapters, configuration_view, Registry(decode_vm), seed, evacuation_view)
    site.nodes[name] = node
    await node.start()


async def kill_node(site: Site, name: str):
    """Stops a node immediately, as a kill does."""
    await site.nodes.pop(name).close()


def find_leader(site: Site) -> str | None:
    """Returns the name of the leader of the latest term, or ``None`` if no node leads."""
    leaders = [(node.leader.term, name) for name, node in site.nodes.items() if node.leader]
    return max(leaders)[1] if leaders else None


async def wait_for_leader(site: Site, timeout_s: float = 10.0) -> str:
    """Returns the leader's name, or fails if none is elected within the timeout."""
    end_s = asyncio.get_running_loop().time() + timeout_s
    while find_leader(site) is None:
        assert asyncio.get_running_loop().time() < end_s, "no leader was elected within the timeout"
        await asyncio.sleep(0.02)
    return find_leader(site)


async def submit(site: Site, node: str, spec: JobSpec, queue: str = "checks") -> str:
    """Submits a job to a node and records the outcome; returns the job's id."""
    job_id = f"{next(site.ids):016x}"
    job_queue = ADVISED if queue == ADVISED.name else QUEUES[queue]
    site.caller_records.jobs[job_id], site.caller_records.queues[job_id] = spec, job_queue
    admission = Admission(job_queue, "north")
    outcome = await site.nodes[node].request_handler.submit(admission, job_id, spec, 3.0)
    if isinstance(outcome, Accepted):
        site.caller_records.accepted.add(job_id)
    elif isinstance(outcome, Rejected):
        site.caller_records.rejected.add(job_id)
    return job_id


async def submit_stream(site: Site, spec: JobSpec, count: int, gap_s: float):
    """Submits the same job ``count`` times, to the nodes in turn, ``gap_s`` seconds apart."""
    for number in range(count):
        nodes = sorted(site.nodes)
        await submit(site, nodes[number % len(nodes)], spec)
        await asyncio.sleep(gap_s)


async def cancel(site: Site, node: str, job_id: str):
    """Cancels a job through a node and records when the cancellation was acknowledged.

    The answer that there is no such job is an acknowledgement too.
    """
    site.caller_records.cancel_requested.add(job_id)
    outcome = await site.nodes[node].request_handler.cancel(job_id, 3.0, "north")
    is_denied = isinstance(outcome, Rejected) and outcome.fault.reason is Reason.NO_SUCH_JOB
    if isinstance(outcome, Cancelled) or is_denied:
        site.caller_records.cancelled_s[job_id] = asyncio.get_running_loop().time()


def run_scenario(scenario):
    """Runs a scenario, a coroutine function, with the event loop and all clocks in virtual time.

    The scenario returns its site, whose nodes are then stopped.
    """

    async def main():
        loop = asyncio.get_running_loop()
        use_clocks(loop.time, lambda: WALL_OFFSET_S + loop.time())
        site = None
        try:
            site = await scenario()
        finally:
            for node in list(site.nodes.values()) if site else ():
                await node.close()
            use_system_clocks()
        return site

    return run_in_virtual_time(main())
