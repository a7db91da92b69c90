"""The lease of one VM, and the calls that keep it and carry what is to start and stop there.

One call does everything: it renews the lease, starts and stops tasks and brings back what changed.
What was sent without an answer is sent again with the next call; a VM takes the same start only
once. The end of a lease is counted from before the call was sent, on the monotonic clock, so the
holder always gives up before the VM does.
"""

from dataclasses import dataclass, field

from ..core.data import TaskState, Vm
from ..fleet.interface import LeaseAnswer, LeaseCall, ListedVm, StartTask, VmAccess, VmError

# A lease is given up this long before its end, for clocks that run at different speeds.
SAFETY_FRACTION = 0.05
# A call to a VM may take this part of the lease, which leaves time for another.
CALL_FRACTION = 0.25


@dataclass(slots=True, eq=False)
class Lease:
    """The lease of a VM as its holder knows it."""

    listed: ListedVm
    epoch: int = 0
    valid_until_s: float = float("-inf")
    tried_s: float = 0.0
    answered: bool = True
    seen: int = -1
    lapsed: bool = False
    start: dict[str, StartTask] = field(default_factory=dict)
    stop: set[str] = field(default_factory=set)
    forget: set[str] = field(default_factory=set)
    checkpoint: set[str] = field(default_factory=set)
    throttle: dict[str, int] = field(default_factory=dict)
    unsettled: set[str] = field(default_factory=set)
    delivered: set[str] = field(default_factory=set)
    calling: bool = False
    call_again: bool = False
    raise_epoch: bool = False
    vm: Vm | None = None
    answer: LeaseAnswer | None = None

    @property
    def name(self) -> str:
        """The name of the VM."""
        return self.listed.name


@dataclass(slots=True, frozen=True)
class Holder:
    """Who holds leases: the incarnation, its access to VMs and the times."""

    incarnation: str
    access: VmAccess
    lease_s: float
    renew_s: float


def is_valid(lease: Lease, now_s: float) -> bool:
    """Returns whether work may be sent to the VM under this lease."""
    return not lease.lapsed and now_s < lease.valid_until_s


async def look_at_vm(holder: Holder, listed: ListedVm) -> LeaseAnswer | None:
    """Asks a VM who holds its lease, without taking it; nothing when it does not answer."""
    call = LeaseCall(holder.incarnation, 0, 0.0, look=True)
    try:
        return await holder.access.lease(
            listed.name, listed.address, call, holder.lease_s * CALL_FRACTION
        )
    except VmError:
        return None


async def call_vm(
    holder: Holder, lease: Lease, get_time, release: bool = False
) -> LeaseAnswer | None:
    """Renews or takes a lease and delivers what is pending; nothing when the VM is silent."""
    epoch = lease.epoch + 1 if lease.raise_epoch else lease.epoch
    call = LeaseCall(
        holder.incarnation,
        epoch,
        holder.lease_s,
        seen=-1 if lease.unsettled else lease.seen,
        start=list(lease.start.values()),
        stop=sorted(lease.stop),
        forget=sorted(lease.forget),
        checkpoint=sorted(lease.checkpoint),
        throttle=dict(lease.throttle),
        release=release,
    )
    sent_s = get_time()
    lease.tried_s = sent_s
    lease.answered = False
    try:
        answer = await holder.access.lease(
            lease.name, lease.listed.address, call, holder.lease_s * CALL_FRACTION
        )
    except VmError:
        return None
    lease.answered = True
    if answer.granted:
        lease.raise_epoch = lease.raise_epoch and epoch != lease.epoch + 1
        lease.epoch = epoch
        lease.valid_until_s = sent_s + holder.lease_s * (1 - SAFETY_FRACTION)
        lease.lapsed = False
        _settle_delivered(lease, call)
    return answer


def _settle_delivered(lease: Lease, call: LeaseCall):
    for item in call.start:
        if lease.start.get(item.task) is item:
            del lease.start[item.task]
            lease.delivered.add(item.task)
            task = lease.vm.tasks.get(item.task) if lease.vm is not None else None
            if task is not None and task.state is TaskState.STARTING:
                task.state = TaskState.RUNNING
    lease.stop.difference_update(call.stop)
    lease.forget.difference_update(call.forget)
    lease.checkpoint.difference_update(call.checkpoint)
    for name in call.throttle:
        lease.throttle.pop(name, None)
