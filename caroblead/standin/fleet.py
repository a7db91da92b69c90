"""The stand-in's VMs: leases with epochs, tasks under them, and an endpoint with slots.

A VM is the arbiter of its own lease. It grants a higher epoch only once the lease before has lapsed
or was given back, and it does nothing for a caller of another epoch. When a lease lapses its tasks
go on for a grace time, in which the next holder can take them over, and are then stopped.
"""

import hashlib
from dataclasses import dataclass, field

from ..core.resource import Resources
from ..events.event import VmFailed, VmLeaving, VmListed, WorkEnded, WorkStarted
from ..events.timeline import Timeline
from ..fleet.interface import RunState

# Measured use is reported this often, and only when it fills this part of a VM.
REPORT_INTERVAL_S = 2.0
PRESSED_FRACTION = 0.95


@dataclass(slots=True)
class HostedTask:
    """A task on a VM of the stand-in."""

    task: str
    team: str
    need: Resources
    label: str
    state: RunState
    end_s: float
    used: tuple[int, int]
    version: int = 0


@dataclass(slots=True)
class HostedVm:
    """A VM of the stand-in with its lease, tasks and faults."""

    name: str
    zone: str
    region: str
    rack: str
    capacity: Resources
    connections: int
    holder: str = ""
    epoch: int = 0
    lease_end_s: float = 0.0
    version: int = 0
    tasks: dict[str, HostedTask] = field(default_factory=dict)
    requests: dict[str, str] = field(default_factory=dict)
    leaving: bool = False
    dead: bool = False
    silent: bool = False
    fail_all: bool = False
    listed: bool = True
    reported_s: float = 0.0


class Fleet:
    """All VMs of the stand-in."""

    def __init__(self, timeline: Timeline, settings, grace_s: float = 8.0):
        self.timeline = timeline
        self.settings = settings
        self.grace_s = grace_s
        self.vms: dict[str, HostedVm] = {}
        self.list_version = 1
        self.size_error = 1.0
        self.checkpoints: dict[str, float] = {}

    def add_vm(self, vm: HostedVm):
        """Adds a VM to the fleet and to the list."""
        self.vms[vm.name] = vm
        self.list_version += 1
        size = vm.capacity
        self.timeline.emit(
            VmListed(vm.name, size.millicores, size.memory_mb, size.accelerators, size.slots)
        )

    def mark_leaving(self, name: str):
        """Shows a VM as leaving."""
        self.vms[name].leaving = True
        self.list_version += 1
        self.timeline.emit(VmLeaving(name, self.vms[name].zone))

    def fail_vm(self, name: str):
        """Ends a VM at once with everything on it; it stays listed until it is removed."""
        vm = self.vms[name]
        vm.dead = True
        vm.tasks.clear()
        vm.requests.clear()
        self.timeline.emit(VmFailed(name))

    def remove_vm(self, name: str):
        """Takes a VM off the list for good."""
        vm = self.vms[name]
        if not vm.dead:
            self.fail_vm(name)
        vm.listed = False
        self.list_version += 1

    def settle(self, vm: HostedVm, now_s: float):
        """Ends the tasks whose time is up and, long after a lapse, all the others."""
        for hosted in vm.tasks.values():
            if hosted.state is RunState.RUNNING and hosted.end_s <= now_s:
                self._end(vm, hosted, RunState.FAILED if vm.fail_all else RunState.DONE, now_s)
        if now_s > vm.lease_end_s + self.grace_s:
            for hosted in vm.tasks.values():
                if hosted.state is RunState.RUNNING:
                    self._end(vm, hosted, RunState.STOPPED, now_s)

    def settle_all(self, now_s: float):
        """Settles every VM; called at intervals so that ends are recorded in time."""
        for vm in self.vms.values():
            self.settle(vm, now_s)

    def _end(self, vm: HostedVm, hosted: HostedTask, state: RunState, now_s: float):
        hosted.state = state
        vm.version += 1
        hosted.version = vm.version
        self.timeline.emit(WorkEnded(hosted.task, vm.name, str(state), ""))

    def call_lease(self, vm: HostedVm, call: dict, now_s: float) -> dict:
        """Answers a lease call: grants or renews, starts, stops and lists what changed.

        A caller that has seen a version gets only what changed since, without what it started by
        this very call; one that has seen nothing gets everything.
        """
        self.settle(vm, now_s)
        before = vm.version
        granted = False
        if not call.get("look"):
            granted = self._grant(vm, call, now_s)
        started: set[str] = set()
        if granted:
            self._forget(vm, call.get("forget", ()))
            self._stop(vm, call.get("stop", ()), now_s)
            self._checkpoint(vm, call.get("checkpoint", ()), now_s)
            self._throttle(vm, call.get("throttle", {}), now_s)
            for group in call.get("start", ()):
                started |= self._start_group(vm, group, now_s)
            if call.get("release"):
                vm.lease_end_s = now_s
                vm.holder = ""
        seen = call.get("seen", -1)
        answer = {"granted": granted, "version": vm.version}
        if not granted:
            answer["holder"] = vm.holder
            answer["epoch"] = vm.epoch
            answer["left_ms"] = max(0, int((vm.lease_end_s - now_s) * 1000))
        if seen < 0 and (granted or call.get("look")):
            answer["all"] = [_write_task(hosted) for hosted in vm.tasks.values()]
            answer["all"] += [_write_request(*item) for item in vm.requests.items()]
        elif granted and (seen != before or seen != vm.version):
            changed = [
                _write_task(hosted, brief=hosted.state is not RunState.RUNNING)
                for hosted in vm.tasks.values()
                if hosted.version > seen and hosted.task not in started
            ]
            if changed:
                answer["changed"] = changed
        if granted:
            pressed = self._list_pressed(vm, now_s)
            if pressed:
                answer["pressed"] = pressed
        return answer

    def _list_pressed(self, vm: HostedVm, now_s: float) -> list[list]:
        """Returns the use of the running tasks when it nears what the VM holds, at intervals."""
        if now_s < vm.reported_s + REPORT_INTERVAL_S:
            return []
        vm.reported_s = now_s
        cores, memory = measure_use(vm)
        size = vm.capacity
        near = cores > size.millicores * PRESSED_FRACTION
        if not near and memory <= size.memory_mb * PRESSED_FRACTION:
            return []
        running = (h for h in vm.tasks.values() if h.state is RunState.RUNNING)
        return [[hosted.task, *hosted.used] for hosted in running]

    def _checkpoint(self, vm: HostedVm, names, now_s: float):
        for name in names:
            hosted = vm.tasks.get(name)
            if hosted and hosted.state is RunState.RUNNING:
                self.checkpoints[name] = hosted.end_s - now_s
                self._end(vm, hosted, RunState.STOPPED, now_s)

    def _throttle(self, vm: HostedVm, limits: dict[str, int], now_s: float):
        """Holds tasks to fewer cores; what is left of them takes longer in proportion."""
        for name, millicores in limits.items():
            hosted = vm.tasks.get(name)
            if hosted and hosted.state is RunState.RUNNING and hosted.used[0] > millicores > 0:
                hosted.end_s = now_s + (hosted.end_s - now_s) * hosted.used[0] / millicores
                hosted.used = (millicores, hosted.used[1])

    def _grant(self, vm: HostedVm, call: dict, now_s: float) -> bool:
        same = call["holder"] == vm.holder and call["epoch"] >= vm.epoch
        free = now_s >= vm.lease_end_s
        if same and not free or free and call["epoch"] > vm.epoch:
            vm.holder = call["holder"]
            vm.epoch = call["epoch"]
            vm.lease_end_s = now_s + call["ttl_ms"] / 1000
            return True
        return False

    def _forget(self, vm: HostedVm, names):
        for name in names:
            hosted = vm.tasks.get(name)
            if hosted and hosted.state is not RunState.RUNNING:
                del vm.tasks[name]

    def _stop(self, vm: HostedVm, names, now_s: float):
        for name in names:
            hosted = vm.tasks.get(name)
            if hosted and hosted.state is RunState.RUNNING:
                self._end(vm, hosted, RunState.STOPPED, now_s)

    def _start_group(self, vm: HostedVm, group: dict, now_s: float) -> set[str]:
        """Starts equal tasks, each once; returns the names of those that began now."""
        fresh = [name for name in group["tasks"] if name not in vm.tasks]
        for name in fresh:
            self._start(vm, name, group, now_s)
        return set(fresh)

    def _start(self, vm: HostedVm, name: str, item: dict, now_s: float):
        need = Resources(*item["need"])
        run_ms = item["run_ms"]
        true_s = run_ms / 1000 * self._draw_factor(name) if run_ms else float("inf")
        true_s = self.checkpoints.pop(name, true_s)
        used = (
            int(need.millicores * self._draw_factor(name + "c")),
            int(need.memory_mb * self._draw_factor(name + "m")),
        )
        end_s = now_s + (0.05 if vm.fail_all else true_s)
        vm.version += 1
        hosted = HostedTask(
            name, item["team"], need, item["label"], RunState.RUNNING, end_s, used, vm.version
        )
        vm.tasks[name] = hosted
        self.timeline.emit(
            WorkStarted(
                hosted.task,
                hosted.team,
                vm.name,
                vm.epoch,
                need.millicores,
                need.memory_mb,
                need.accelerators,
                need.slots,
                item["repeatable"],
            )
        )

    def _draw_factor(self, name: str) -> float:
        """Returns by how much a declared size is off, the same each time for the same name."""
        spread = hashlib.sha256(name.encode()).digest()[0] / 255
        return self.size_error ** (2 * spread - 1)

    def begin_request(self, vm: HostedVm, request: str, team: str, epoch: int, repeatable, now_s):
        """Takes a request to the endpoint; returns whether it was under a lease in force."""
        if epoch != vm.epoch or now_s >= vm.lease_end_s or request in vm.requests:
            return False
        vm.requests[request] = team
        self.timeline.emit(WorkStarted(request, team, vm.name, epoch, 0, 0, 0, 1, bool(repeatable)))
        return True

    def end_request(self, vm: HostedVm, request: str, body: bytes):
        """Ends a request with its answer, unless the VM has died meanwhile."""
        if request in vm.requests:
            del vm.requests[request]
            digest = hashlib.sha256(body).hexdigest()[:16]
            self.timeline.emit(WorkEnded(request, vm.name, "done", digest))


def measure_use(vm: HostedVm) -> tuple[int, int]:
    """Returns the thousandths of cores and the memory that the running tasks of a VM truly use."""
    running = [h for h in vm.tasks.values() if h.state is RunState.RUNNING]
    return sum(h.used[0] for h in running), sum(h.used[1] for h in running)


def _write_task(hosted: HostedTask, brief: bool = False) -> dict:
    need = hosted.need
    if brief:
        return {"task": hosted.task, "state": str(hosted.state), "used": list(hosted.used)}
    return {
        "task": hosted.task,
        "state": str(hosted.state),
        "label": hosted.label,
        "need": [need.millicores, need.memory_mb, need.accelerators, need.slots],
        "used": list(hosted.used),
    }


def _write_request(request: str, team: str) -> dict:
    return {
        "task": request,
        "state": str(RunState.RUNNING),
        "label": team,
        "need": [0, 0, 0, 1],
        "used": [0, 0],
    }


def build_fleet(timeline: Timeline, settings, grace_s: float) -> Fleet:
    """Makes the VMs that the settings describe."""
    fleet = Fleet(timeline, settings, grace_s)
    capacity = Resources(
        settings.cores * 1000, settings.memory_mb, settings.accelerators, settings.slots
    )
    for zone in settings.zones:
        for index in range(zone.vms):
            rack = f"{zone.zone}-r{index // zone.rack_size}"
            name = f"{zone.zone}-v{index}"
            fleet.add_vm(
                HostedVm(name, zone.zone, zone.region, rack, capacity, settings.connections)
            )
    return fleet
