"""VMs of the platform stand-in: leases with epochs, tasks under them, and endpoints with slots.

A VM decides on its own lease. It grants the lease to another holder only at a higher epoch, once
the previous lease has expired or was released, and it refuses calls of any other epoch. When a
lease expires, its tasks keep running for a grace period, in which the next holder can adopt them,
and are then stopped.
"""

import hashlib
from dataclasses import dataclass, field

from ..core.resource import Resources
from ..events.event import VmFailed, VmLeaving, VmListed, WorkEnded, WorkStarted
from ..events.timeline import Timeline
from ..fleet.interface import RunState

# Measured use is reported at this interval, and only when it exceeds this fraction of a VM's
# capacity.
REPORT_INTERVAL_S = 2.0
PRESSED_FRACTION = 0.95


@dataclass(slots=True)
class HostedTask:
    """A task on a VM of the platform stand-in.

    ``used`` is the actual use in millicores and MB, and ``version`` the VM's version at the last
    change of the task.
    """

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
    """A VM of the platform stand-in with its lease, tasks, requests and injected faults.

    ``requests`` maps the requests in flight to their teams, and ``version`` counts the changes of
    its tasks.
    """

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
    """All VMs of the platform stand-in.

    ``grace_s`` is how long tasks outlive an expired lease, and ``checkpoints`` holds the remaining
    run time in seconds of each checkpointed task.
    """

    def __init__(self, timeline: Timeline, settings, grace_s: float = 8.0):
        self.timeline = timeline
        self.settings = settings
        self.grace_s = grace_s
        self.vms: dict[str, HostedVm] = {}
        self.list_version = 1
        self.size_error = 1.0
        self.checkpoints: dict[str, float] = {}

    def add_vm(self, vm: HostedVm):
        """Adds a VM to the fleet and to the VM list."""
        self.vms[vm.name] = vm
        self.list_version += 1
        size = vm.capacity
        self.timeline.emit(
            VmListed(vm.name, size.millicores, size.memory_mb, size.accelerators, size.slots)
        )

    def mark_leaving(self, name: str):
        """Lists a VM as leaving."""
        self.vms[name].leaving = True
        self.list_version += 1
        self.timeline.emit(VmLeaving(name, self.vms[name].zone))

    def fail_vm(self, name: str):
        """Crashes a VM with its tasks and requests; it stays listed until it is removed."""
        vm = self.vms[name]
        vm.dead = True
        vm.tasks.clear()
        vm.requests.clear()
        self.timeline.emit(VmFailed(name))

    def remove_vm(self, name: str):
        """Removes a VM from the list permanently, and crashes it if it is still alive."""
        vm = self.vms[name]
        if not vm.dead:
            self.fail_vm(name)
        vm.listed = False
        self.list_version += 1

    def end_due_tasks(self, vm: HostedVm, now_s: float):
        """Ends the tasks whose run time is over.

        Once the grace period after the end of the lease is over, all other tasks are stopped too.
        """
        for hosted in vm.tasks.values():
            if hosted.state is RunState.RUNNING and hosted.end_s <= now_s:
                self._end_task(vm, hosted, RunState.FAILED if vm.fail_all else RunState.DONE, now_s)
        if now_s > vm.lease_end_s + self.grace_s:
            for hosted in vm.tasks.values():
                if hosted.state is RunState.RUNNING:
                    self._end_task(vm, hosted, RunState.STOPPED, now_s)

    def end_all_due_tasks(self, now_s: float):
        """Ends the due tasks of every VM; called at intervals to record ends promptly."""
        for vm in self.vms.values():
            self.end_due_tasks(vm, now_s)

    def _end_task(self, vm: HostedVm, hosted: HostedTask, state: RunState, now_s: float):
        hosted.state = state
        vm.version += 1
        hosted.version = vm.version
        self.timeline.emit(WorkEnded(hosted.task, vm.name, str(state), ""))

    def handle_lease_call(self, vm: HostedVm, call: dict, now_s: float) -> dict:
        """Handles a lease call: grants or renews the lease, starts and stops tasks, lists changes.

        A caller that has seen a version gets only the tasks that changed since, without those that
        this call started; a caller that has seen none gets all tasks and requests. A call with
        ``look`` only reads the VM's state and is not granted a lease.
        """
        self.end_due_tasks(vm, now_s)
        previous_version = vm.version
        granted = False
        if not call.get("look"):
            granted = self._grant(vm, call, now_s)
        started: set[str] = set()
        if granted:
            self._forget_tasks(vm, call.get("forget", ()))
            self._stop_tasks(vm, call.get("stop", ()), now_s)
            self._checkpoint_tasks(vm, call.get("checkpoint", ()), now_s)
            self._throttle_tasks(vm, call.get("throttle", {}), now_s)
            for group in call.get("start", ()):
                started |= self._start_tasks(vm, group, now_s)
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
            answer["all"] = [_encode_task(hosted) for hosted in vm.tasks.values()]
            answer["all"] += [_encode_request(*item) for item in vm.requests.items()]
        elif granted and (seen != previous_version or seen != vm.version):
            changed = [
                _encode_task(hosted, brief=hosted.state is not RunState.RUNNING)
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
        """Returns each running task's use if the total is close to the VM's capacity.

        The use is checked at most once per report interval.
        """
        if now_s < vm.reported_s + REPORT_INTERVAL_S:
            return []
        vm.reported_s = now_s
        cores, memory = measure_use(vm)
        size = vm.capacity
        near_cpu_limit = cores > size.millicores * PRESSED_FRACTION
        if not near_cpu_limit and memory <= size.memory_mb * PRESSED_FRACTION:
            return []
        running = (h for h in vm.tasks.values() if h.state is RunState.RUNNING)
        return [[hosted.task, *hosted.used] for hosted in running]

    def _checkpoint_tasks(self, vm: HostedVm, names, now_s: float):
        for name in names:
            hosted = vm.tasks.get(name)
            if hosted and hosted.state is RunState.RUNNING:
                self.checkpoints[name] = hosted.end_s - now_s
                self._end_task(vm, hosted, RunState.STOPPED, now_s)

    def _throttle_tasks(self, vm: HostedVm, limits: dict[str, int], now_s: float):
        """Limits tasks to fewer millicores; their remaining run time grows in proportion."""
        for name, millicores in limits.items():
            hosted = vm.tasks.get(name)
            if hosted and hosted.state is RunState.RUNNING and hosted.used[0] > millicores > 0:
                hosted.end_s = now_s + (hosted.end_s - now_s) * hosted.used[0] / millicores
                hosted.used = (millicores, hosted.used[1])

    def _grant(self, vm: HostedVm, call: dict, now_s: float) -> bool:
        same_holder = call["holder"] == vm.holder and call["epoch"] >= vm.epoch
        lease_expired = now_s >= vm.lease_end_s
        if same_holder and not lease_expired or lease_expired and call["epoch"] > vm.epoch:
            vm.holder = call["holder"]
            vm.epoch = call["epoch"]
            vm.lease_end_s = now_s + call["ttl_ms"] / 1000
            return True
        return False

    def _forget_tasks(self, vm: HostedVm, names):
        for name in names:
            hosted = vm.tasks.get(name)
            if hosted and hosted.state is not RunState.RUNNING:
                del vm.tasks[name]

    def _stop_tasks(self, vm: HostedVm, names, now_s: float):
        for name in names:
            hosted = vm.tasks.get(name)
            if hosted and hosted.state is RunState.RUNNING:
                self._end_task(vm, hosted, RunState.STOPPED, now_s)

    def _start_tasks(self, vm: HostedVm, group: dict, now_s: float) -> set[str]:
        """Starts the tasks of a group that are not on the VM yet, and returns their names."""
        new_tasks = [name for name in group["tasks"] if name not in vm.tasks]
        for name in new_tasks:
            self._start_task(vm, name, group, now_s)
        return set(new_tasks)

    def _start_task(self, vm: HostedVm, name: str, item: dict, now_s: float):
        need = Resources(*item["need"])
        run_ms = item["run_ms"]
        actual_s = run_ms / 1000 * self._compute_size_factor(name) if run_ms else float("inf")
        actual_s = self.checkpoints.pop(name, actual_s)
        used = (
            int(need.millicores * self._compute_size_factor(name + "c")),
            int(need.memory_mb * self._compute_size_factor(name + "m")),
        )
        end_s = now_s + (0.05 if vm.fail_all else actual_s)
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

    def _compute_size_factor(self, name: str) -> float:
        """Returns actual size divided by declared size, which is always the same for a name."""
        position = hashlib.sha256(name.encode()).digest()[0] / 255
        return self.size_error ** (2 * position - 1)

    def begin_request(self, vm: HostedVm, request: str, team: str, epoch: int, repeatable, now_s):
        """Starts a request at the endpoint and returns whether it was accepted.

        It is refused unless its epoch is that of the current lease, which must not have expired,
        and if a request of the same name is in flight.
        """
        if epoch != vm.epoch or now_s >= vm.lease_end_s or request in vm.requests:
            return False
        vm.requests[request] = team
        self.timeline.emit(WorkStarted(request, team, vm.name, epoch, 0, 0, 0, 1, bool(repeatable)))
        return True

    def end_request(self, vm: HostedVm, request: str, body: bytes):
        """Ends a request with its response body, unless the VM has crashed in the meantime."""
        if request in vm.requests:
            del vm.requests[request]
            digest = hashlib.sha256(body).hexdigest()[:16]
            self.timeline.emit(WorkEnded(request, vm.name, "done", digest))


def measure_use(vm: HostedVm) -> tuple[int, int]:
    """Returns the millicores and the MB of memory that the running tasks of a VM actually use."""
    running = [h for h in vm.tasks.values() if h.state is RunState.RUNNING]
    return sum(h.used[0] for h in running), sum(h.used[1] for h in running)


def _encode_task(hosted: HostedTask, brief: bool = False) -> dict:
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


def _encode_request(request: str, team: str) -> dict:
    return {
        "task": request,
        "state": str(RunState.RUNNING),
        "label": team,
        "need": [0, 0, 0, 1],
        "used": [0, 0],
    }


def build_fleet(timeline: Timeline, settings, grace_s: float) -> Fleet:
    """Builds the fleet of VMs that the settings describe."""
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
