"""VMs of the platform stand-in, in memory, with the history that the checker reads.

Each VM keeps the highest term that it has seen, a lease, the active runs and the ended runs that
have not been acknowledged. Responses to orders can be lost, and orders can be executed late. An
order names the VM and not its incarnation, so a restarted VM executes orders that were meant for
its previous incarnation.
"""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ..core.resource import NOTHING, Resources
from ..core.timer import wait_for_event
from ..dispatch.interface import (
    EndedTask,
    EndReason,
    HoldAnswer,
    ListedVm,
    Refused,
    RunningTask,
    Started,
    StartOrder,
    StartRefusal,
    TaskName,
)
from .behavior import TaskBehavior, make_checkpoint, read_worked_s
from .history import CapacityChange, HistoryEvent
from .limits import MAX_ENDS_PER_ANSWER, MAX_LEASE_MS

STOP_DELAY_S = 0.1
# A member of a gang ends when it has waited for the others for so long.
GANG_WAIT_S = 3.0

# A run of a gang: its job, occurrence, step and run number.
GangKey = tuple[str, int, int, int]


@dataclass(slots=True, eq=False)
class ActiveRun:
    """A run in progress; ``percent`` is its pace in percent of its full pace.

    It had done ``worked_s`` of its work when the speed of its VM last changed, at ``since_s``. A
    member of a gang that ``waits`` for the others does none.
    """

    number: int
    behavior: TaskBehavior
    began_s: float
    timer: asyncio.TimerHandle
    stopping: bool = False
    percent: int = 100
    worked_s: float = 0.0
    since_s: float = 0.0
    waits: bool = False


@dataclass(slots=True, eq=False)
class SimulatedVm:
    """One VM.

    ``deadline_ms`` is the end of the lease on the VM's clock, and ``ended`` the ended runs that
    have not been acknowledged. ``highest_ended_run`` is the highest run number of each task that
    has ended or was ordered to stop; such runs can't start any more. ``lease_expired_s`` is when
    the lease was last seen expired.
    """

    listed: ListedVm
    incarnation: int
    up: bool = True
    term: int = 0
    deadline_ms: int = 0
    active_runs: dict[TaskName, ActiveRun] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    serials: itertools.count = field(default_factory=lambda: itertools.count(1))
    highest_ended_run: dict[TaskName, int] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    began_s: float = 0.0
    lease_expired_s: float = 0.0
    speed: float = 1.0
    ended_s: dict[int, float] = field(default_factory=dict)


class VmSimulator:
    """All VMs by name, with the history of everything that happened on them.

    ``get_task_behavior`` returns how a run behaves. ``cut`` holds pairs of a caller and a VM that
    can't reach each other. The next ``late_orders`` orders, and the next renewal of each VM in
    ``late_holds``, are executed ``late_s`` seconds late and without a response. The next
    ``lose_answers`` other orders are executed, but their response is lost. ``on_crashed`` is called
    after a task has crashed its VM, with the VM and the seconds for which it is down.
    """

    def __init__(self, get_task_behavior: Callable[[TaskName, int], TaskBehavior]):
        self.loop = asyncio.get_running_loop()
        self.get_task_behavior = get_task_behavior
        self.vms: dict[str, SimulatedVm] = {}
        self.history: list[HistoryEvent] = []
        self.gangs: dict[GangKey, dict[TaskName, SimulatedVm]] = {}
        self.capacity_changes: list[CapacityChange] = []
        self.cut: set[tuple[str, str]] = set()
        self.lose_answers = 0
        self.late_orders = 0
        self.late_holds: set[str] = set()
        self.late_s = 3.0
        self.fenced_orders = 0
        self.on_crashed: Callable[[SimulatedVm, float], None] = lambda vm, down_s: None

    def add(self, listed: ListedVm):
        """Adds a VM and starts to check its lease every 50 ms."""
        vm = SimulatedVm(listed, listed.incarnation, began_s=self.loop.time())
        self.vms[listed.name] = vm
        self._check_lease(vm)

    def crash(self, name: str, down_s: float):
        """Crashes a VM, which restarts ``down_s`` seconds later without its runs and its state.

        It doesn't come back if that is infinite.
        """
        vm = self.vms[name]
        vm.up = False
        for task, run in vm.active_runs.items():
            if run.behavior.crashes_after_s is not None:
                self._record_event("crashed", task, run.number, vm, run.behavior)
        for task in list(vm.active_runs):
            self._end_run(vm, task, EndReason.LAPSED, reported=False)
        # The calls that wait there break off.
        self._wake_waiting_calls(vm)
        if down_s != float("inf"):
            self.loop.call_later(down_s, self._restart, vm)

    def _crash_under(self, vm: SimulatedVm, behavior: TaskBehavior):
        """Crashes a VM because of a task that runs on it."""
        self.crash(vm.listed.name, behavior.down_s)
        self.on_crashed(vm, behavior.down_s)

    def _restart(self, vm: SimulatedVm):
        vm.incarnation += 1
        vm.up, vm.term, vm.deadline_ms = True, 0, 0
        vm.ended, vm.highest_ended_run, vm.serials = [], {}, itertools.count(1)
        vm.began_s = self.loop.time()

    def resize(self, name: str, capacity: Resources):
        """Changes the capacity of a VM at once; its runs go on."""
        vm = self.vms[name]
        vm.listed = replace(vm.listed, capacity=capacity)
        self.capacity_changes.append(CapacityChange(self.loop.time(), name, capacity))

    def get_clock_ms(self, vm: SimulatedVm) -> int:
        """Returns the time on a VM's own clock, in milliseconds since it started."""
        return int((self.loop.time() - vm.began_s) * 1000)

    def _check_lease(self, vm: SimulatedVm):
        if vm.up and self.get_clock_ms(vm) > vm.deadline_ms:
            vm.lease_expired_s = self.loop.time()
            for task in list(vm.active_runs):
                self._end_run(vm, task, EndReason.LAPSED)
        self.loop.call_later(0.05, self._check_lease, vm)

    def start(self, vm: SimulatedVm, order: StartOrder, late_s: float = 0.0) -> Started | Refused:
        """Executes an order to start a run; it is idempotent for a run that is active.

        ``late_s`` is how long ago the order was sent, if it is executed late.
        """
        if order.fence < vm.term:
            self.fenced_orders += 1
            return Refused(StartRefusal.FENCED)
        vm.term = order.fence
        run = vm.active_runs.get(order.task)
        if run is not None and run.number == order.number:
            return Started(self.get_clock_ms(vm))
        if order.number <= vm.highest_ended_run.get(order.task, 0) or run is not None:
            return Refused(StartRefusal.SUPERSEDED)
        if order.deadline_ms <= self.get_clock_ms(vm):
            return Refused(StartRefusal.EXPIRED)
        self._extend_lease(vm, order.deadline_ms)
        self._begin_run(vm, order, late_s)
        return Started(self.get_clock_ms(vm))

    def _begin_run(self, vm: SimulatedVm, order: StartOrder, late_s: float):
        behavior = self.get_task_behavior(order.task, order.number)
        now_s, restored_s = self.loop.time(), read_worked_s(order.checkpoint)
        if behavior.crashes_after_s is None:
            left_s = max(0.0, behavior.seconds - restored_s)
            timer = self._schedule_end(vm.speed, vm, order.task, behavior, left_s)
        else:
            timer = self.loop.call_later(behavior.crashes_after_s, self._crash_under, vm, behavior)
        run = ActiveRun(order.number, behavior, now_s, timer, worked_s=restored_s, since_s=now_s)
        vm.active_runs[order.task] = run
        if order.checkpoint not in (
            "",
            make_checkpoint(behavior, restored_s),
        ):
            self._record_event("foreign checkpoint", order.task, order.number, vm, behavior)
        self._record_event("start", order.task, order.number, vm, behavior, late_s)
        if behavior.crashes_after_s == 0:
            self._crash_under(vm, behavior)
        elif behavior.gang_size:
            self._join_gang(vm, order.task, run)

    def _join_gang(self, vm: SimulatedVm, task: TaskName, run: ActiveRun):
        """Lets a member wait, or all members begin if it is the last one."""
        members = self.gangs.setdefault(_make_gang_key(task, run.number), {})
        members[task] = vm
        run.waits = True
        run.timer.cancel()
        run.timer = self.loop.call_later(GANG_WAIT_S, self._end_run, vm, task, EndReason.ALONE)
        if len(members) < run.behavior.gang_size:
            return
        for name, other in members.items():
            member = other.active_runs[name]
            member.waits, member.since_s = False, self.loop.time()
            self._reschedule(other, name, member)

    def _schedule_end(
        self,
        speed: float,
        vm: SimulatedVm,
        task: TaskName,
        behavior: TaskBehavior,
        work_s: float,
    ) -> asyncio.TimerHandle:
        reason = EndReason.FAILED if behavior.fails else EndReason.DONE
        return self.loop.call_later(work_s / speed, self._end_run, vm, task, reason)

    def _reschedule(self, vm: SimulatedVm, task: TaskName, run: ActiveRun):
        """Schedules the end of a run anew; a gang has the speed of its slowest member's VM."""
        members = self.gangs.get(_make_gang_key(task, run.number), {})
        speed = min((other.speed for other in members.values()), default=vm.speed)
        left_s = max(0.0, run.behavior.seconds - run.worked_s)
        run.timer.cancel()
        run.timer = self._schedule_end(speed, vm, task, run.behavior, left_s)

    def set_speed(self, name: str, speed: float):
        """Changes the speed of a VM, also for the runs that are active there."""
        vm, now_s = self.vms[name], self.loop.time()
        for run in vm.active_runs.values():
            run.worked_s, run.since_s = self._measure_work(vm, run), now_s
        vm.speed = speed
        for task, run in vm.active_runs.items():
            if run.behavior.crashes_after_s is None and not run.waits:
                self._reschedule(vm, task, run)

    def _measure_work(self, vm: SimulatedVm, run: ActiveRun) -> float:
        if run.waits:
            return run.worked_s
        return run.worked_s + (self.loop.time() - run.since_s) * vm.speed

    def _extend_lease(self, vm: SimulatedVm, deadline_ms: int):
        latest = self.get_clock_ms(vm) + MAX_LEASE_MS
        vm.deadline_ms = max(vm.deadline_ms, min(deadline_ms, latest))

    def stop(self, vm: SimulatedVm, task: TaskName, number: int, term: int) -> Started | Refused:
        """Executes an order to stop a run, which also keeps it from starting later."""
        if term < vm.term:
            self.fenced_orders += 1
            return Refused(StartRefusal.FENCED)
        vm.term = term
        vm.highest_ended_run[task] = max(vm.highest_ended_run.get(task, 0), number)
        run = vm.active_runs.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            self.loop.call_later(STOP_DELAY_S, self._end_run, vm, task, EndReason.STOPPED)
        return Started(self.get_clock_ms(vm))

    def pace(
        self, vm: SimulatedVm, task: TaskName, number: int, percent: int, term: int
    ) -> Started | Refused:
        """Executes an order to change the pace of a run, in percent of its full pace."""
        if term < vm.term:
            self.fenced_orders += 1
            return Refused(StartRefusal.FENCED)
        vm.term = term
        run = vm.active_runs.get(task)
        if run is not None and run.number == number:
            run.percent = percent
        return Started(self.get_clock_ms(vm))

    def measure_response(self, vm: SimulatedVm, run: ActiveRun) -> float:
        """Returns the response time in ms of a run that serves users, slowed by the VM's runs.

        It is 0 for a run that serves no users.
        """
        if not run.behavior.response_ms:
            return 0.0
        slowdown_ms = sum(
            item.behavior.disturbs_ms * item.percent / 100 for item in vm.active_runs.values()
        )
        return run.behavior.response_ms + slowdown_ms

    async def hold(self, vm: SimulatedVm, term, seen, deadline_ms, wait_s) -> HoldAnswer | Refused:
        """Executes a lease renewal, which acknowledges the ends up to the serial ``seen``.

        Waits up to ``wait_s`` seconds for a run to end if there are no other ends to report.
        """
        refusal = self._renew(vm, term, seen, deadline_ms)
        if refusal is not None:
            return refusal
        if not vm.ended and wait_s > 0:
            await wait_for_event(vm.changed, wait_s)
        running = [
            RunningTask(
                task,
                run.number,
                self._save(vm, run),
                self._compute_percent(vm, run),
                self.measure_response(vm, run),
            )
            for task, run in vm.active_runs.items()
        ]
        ended = vm.ended[:MAX_ENDS_PER_ANSWER]
        more_ends = len(ended) == MAX_ENDS_PER_ANSWER
        return HoldAnswer(self.get_clock_ms(vm), vm.incarnation, running, ended, more_ends)

    def hold_late(self, vm: SimulatedVm, term: int, seen: int, deadline_ms: int | None):
        """Executes a lease renewal ``late_s`` seconds late, if the VM is up then."""
        self.loop.call_later(self.late_s, self._renew, vm, term, seen, deadline_ms)

    def _renew(
        self, vm: SimulatedVm, term: int, seen: int, deadline_ms: int | None
    ) -> Refused | None:
        if term < vm.term:
            self.fenced_orders += 1
            return Refused(StartRefusal.FENCED)
        if not vm.up:
            return None
        vm.term = term
        if deadline_ms is not None:
            self._extend_lease(vm, deadline_ms)
        self._acknowledge_ends(vm, seen)
        return None

    def _save(self, vm: SimulatedVm, run: ActiveRun) -> str:
        """Returns the newest checkpoint of a run, an empty string if there is none."""
        return make_checkpoint(run.behavior, self._measure_work(vm, run))

    def _compute_percent(self, vm: SimulatedVm, run: ActiveRun) -> float:
        return int(100 * self._measure_work(vm, run) / run.behavior.seconds)

    def _acknowledge_ends(self, vm: SimulatedVm, seen: int):
        """Drops the ends up to a serial.

        Those that came after the last expiry of the lease are final, and are recorded as ``noted``.
        """
        for item in vm.ended:
            if item.serial <= seen and vm.ended_s[item.serial] > vm.lease_expired_s:
                behavior = TaskBehavior(0.0, NOTHING)
                self._record_event(f"noted {item.reason}", item.task, item.number, vm, behavior)
        vm.ended = [item for item in vm.ended if item.serial > seen]

    def _end_run(self, vm: SimulatedVm, task: TaskName, reason: EndReason, reported: bool = True):
        run = vm.active_runs.pop(task, None)
        if run is None:
            return
        run.timer.cancel()
        saved = "" if reason is EndReason.DONE else self._save(vm, run)
        vm.highest_ended_run[task] = max(vm.highest_ended_run.get(task, 0), run.number)
        self._record_event(str(reason), task, run.number, vm, run.behavior)
        if reported:
            serial = next(vm.serials)
            vm.ended_s[serial] = self.loop.time()
            vm.ended.append(EndedTask(serial, task, run.number, reason, saved))
            self._wake_waiting_calls(vm)
        if run.behavior.gang_size:
            self._end_gang(task, run.number, reason)

    def _end_gang(self, task: TaskName, number: int, reason: EndReason):
        """Ends the other members of a gang of which one has ended."""
        members = self.gangs.pop(_make_gang_key(task, number), {})
        shared = EndReason.DONE if reason is EndReason.DONE else EndReason.BROKEN
        for name, vm in members.items():
            if name != task and vm.up:
                self._end_run(vm, name, shared)

    def _wake_waiting_calls(self, vm: SimulatedVm):
        vm.changed.set()
        vm.changed = asyncio.Event()

    def _record_event(
        self,
        kind: str,
        task: TaskName,
        number: int,
        vm: SimulatedVm,
        behavior: TaskBehavior,
        late_s: float = 0.0,
    ):
        need, fills = behavior.need, behavior.fills
        event = HistoryEvent(
            self.loop.time(), kind, task, number, vm.listed.name, need, fills, late_s
        )
        self.history.append(event)


def _make_gang_key(task: TaskName, number: int) -> GangKey:
    return (task.job, task.occurrence, task.step, number)
