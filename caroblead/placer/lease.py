"""The lease of one VM, and the calls that renew it and carry orders to start and stop tasks.

One call does everything: it renews the lease, starts and stops tasks, and returns what changed on
the VM. Orders whose call was not answered are sent again with the next call; starts are idempotent
on the VM. The lease's duration is counted from before the call was sent, on the monotonic clock, so
for the holder it always expires earlier than for the VM.
"""

from dataclasses import dataclass, field

from ..core.data import TaskState, Vm
from ..fleet.interface import LeaseAnswer, LeaseCall, ListedVm, StartTask, VmAccess, VmError

# The holder stops using a lease this fraction of its duration early, to allow for clock drift.
SAFETY_FRACTION = 0.05
# Timeout of a call to a VM as a fraction of the lease's duration, which leaves time for a retry.
CALL_TIMEOUT_FRACTION = 0.25


@dataclass(slots=True, eq=False)
class Lease:
    """The lease of a VM as its holder knows it, with the orders for the next call.

    ``seen_version`` is the version of the last applied report, -1 to ask for a complete one.
    ``start``, ``stop``, ``forget``, ``checkpoint`` and ``throttle`` are orders that the VM has not
    acknowledged. ``delivered`` has the tasks whose start it acknowledged or that it reported as
    running, ``unresolved`` the requests of which it is not known whether they still run there.
    ``raise_epoch`` makes the next call raise the epoch; ``call_again`` makes another call follow
    the one in progress.
    """

    listed: ListedVm
    epoch: int = 0
    valid_until_s: float = float("-inf")
    last_call_s: float = 0.0
    answered: bool = True
    seen_version: int = -1
    lapsed: bool = False
    start: dict[str, StartTask] = field(default_factory=dict)
    stop: set[str] = field(default_factory=set)
    forget: set[str] = field(default_factory=set)
    checkpoint: set[str] = field(default_factory=set)
    throttle: dict[str, int] = field(default_factory=dict)
    unresolved: set[str] = field(default_factory=set)
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
class LeaseHolder:
    """The process that holds leases, by its incarnation, with its access to VMs.

    ``lease_s`` is the duration of a lease and ``renew_s`` the renewal interval, both in seconds.
    """

    incarnation: str
    access: VmAccess
    lease_s: float
    renew_s: float


def is_valid(lease: Lease, now_s: float) -> bool:
    """Returns whether work may be sent to the VM under this lease."""
    return not lease.lapsed and now_s < lease.valid_until_s


async def query_lease(holder: LeaseHolder, listed: ListedVm) -> LeaseAnswer | None:
    """Asks a VM who holds its lease, without taking it; returns ``None`` if there is no answer."""
    call = LeaseCall(holder.incarnation, 0, 0.0, read_only=True)
    try:
        return await holder.access.lease(
            listed.name, listed.address, call, holder.lease_s * CALL_TIMEOUT_FRACTION
        )
    except VmError:
        return None


async def call_vm(
    holder: LeaseHolder, lease: Lease, get_time, release: bool = False
) -> LeaseAnswer | None:
    """Acquires or renews a lease and sends pending orders; ``None`` if there is no answer."""
    epoch = lease.epoch + 1 if lease.raise_epoch else lease.epoch
    call = LeaseCall(
        holder.incarnation,
        epoch,
        holder.lease_s,
        seen_version=-1 if lease.unresolved else lease.seen_version,
        start=list(lease.start.values()),
        stop=sorted(lease.stop),
        forget=sorted(lease.forget),
        checkpoint=sorted(lease.checkpoint),
        throttle=dict(lease.throttle),
        release=release,
    )
    sent_s = get_time()
    lease.last_call_s = sent_s
    lease.answered = False
    try:
        answer = await holder.access.lease(
            lease.name, lease.listed.address, call, holder.lease_s * CALL_TIMEOUT_FRACTION
        )
    except VmError:
        return None
    lease.answered = True
    if answer.granted:
        lease.raise_epoch = lease.raise_epoch and epoch != lease.epoch + 1
        lease.epoch = epoch
        lease.valid_until_s = sent_s + holder.lease_s * (1 - SAFETY_FRACTION)
        lease.lapsed = False
        _drop_delivered_orders(lease, call)
    return answer


def _drop_delivered_orders(lease: Lease, call: LeaseCall):
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
