"""Acquisition, lease renewal and handover of a shard.

A placer acquires a shard only when no live node claims it and the leases of its VMs have lapsed or
were released. It raises the epoch on every VM. It becomes the owner only once it holds the leases
of all VMs, except those that have been unreachable for so long that nothing can still run there.
From then on no former owner can start anything, and the reports of the VMs show everything that
runs.

An owner stops using a VM when its lease could not be renewed in time. It gives up the whole shard
when another node turns out to hold one of the leases, or when all leases have lapsed at once, which
happens after a long pause of the process.
"""

import asyncio

from ..core.data import Vm, VmState
from ..core.outcome import Reason
from ..events.event import LeaseLapsed, LeaseTaken, OwnerChanged
from ..fleet.interface import LeaseAnswer, ListedVm
from ..fleet.membership import compute_node_weight
from ..policy.cell import add_vm, remove_vm, set_vm_state
from .job import flush_ends
from .jobrecord import RecordedState, make_vms_record
from .lease import Lease, call_vm, is_valid, query_lease
from .reconcile import end_attempts_on_vm, reconcile_vm, refuse_waiting
from .recorder import Written
from .request import schedule_tick, start_background
from .shard import Shard, Tables

# Added to the lease and grace times before an unreachable VM is assumed to run nothing.
LOSS_MARGIN_S = 0.5


def get_node(holder: str) -> str:
    """Returns the node of an incarnation, which has the form ``node~suffix``."""
    return holder.split("~")[0]


def compute_loss_timeout_s(shard: Shard) -> float:
    """Returns after how many seconds without a lease a VM has certainly stopped all its work."""
    limits = shard.context.limits
    return limits.lease_s + limits.grace_s + LOSS_MARGIN_S


async def try_acquire(shard: Shard) -> bool:
    """Makes one attempt to acquire a shard; returns whether this placer became its owner."""
    if shard.acquiring:
        return False
    shard.acquiring = True
    try:
        return await _acquire(shard)
    finally:
        shard.acquiring = False


async def _acquire(shard: Shard) -> bool:
    for listed in shard.listed.values():
        shard.leases.setdefault(listed.name, Lease(listed))
    now_s = shard.get_time()
    missing = [lease for lease in shard.leases.values() if not is_valid(lease, now_s)]
    lease_states = await asyncio.gather(
        *(query_lease(shard.context.holder, lease.listed) for lease in missing)
    )
    free, competing_node = _find_free_leases(shard, missing, lease_states)
    if competing_node and not _outranks(shard, competing_node):
        await release_all(shard)
        return False
    if competing_node and not any(
        is_valid(lease, shard.get_time()) for lease in shard.leases.values()
    ):
        return False
    if shard.lifecycle.state == "idle":
        shard.lifecycle.begin()
    await asyncio.gather(*(_take_lease(shard, lease) for lease in free))
    if _is_complete(shard):
        await _become_owner(shard)
        return True
    return False


def _find_free_leases(shard: Shard, leases: list[Lease], lease_states: list[LeaseAnswer | None]):
    """Returns the leases that can be taken, and a node that holds one of the others.

    The node is an empty string if no other node holds any of them.
    """
    free, competing_node, now_s = [], "", shard.get_time()
    for lease, lease_state in zip(leases, lease_states, strict=True):
        if lease_state is None:
            shard.unreachable_since_s.setdefault(lease.name, now_s)
            continue
        shard.unreachable_since_s.pop(lease.name, None)
        shard.epoch = max(shard.epoch, lease_state.epoch + 1)
        if lease_state.remaining_s > 0 and lease_state.holder != shard.context.holder.incarnation:
            competing_node = get_node(lease_state.holder)
        else:
            free.append(lease)
    return free, competing_node


def _outranks(shard: Shard, competing_node: str) -> bool:
    return compute_node_weight(shard.name, shard.context.node) > compute_node_weight(
        shard.name, competing_node
    )


async def _take_lease(shard: Shard, lease: Lease):
    lease.epoch, lease.seen_version, lease.raise_epoch = shard.epoch, -1, False
    answer = await call_vm(shard.context.holder, lease, shard.get_time)
    if answer is None or not answer.granted:
        lease.lapsed = True
        return
    lease.answer = answer


def _is_complete(shard: Shard) -> bool:
    now_s, held = shard.get_time(), 0
    for lease in shard.leases.values():
        if is_valid(lease, now_s):
            held += 1
        elif now_s - shard.unreachable_since_s.get(lease.name, now_s) < compute_loss_timeout_s(
            shard
        ):
            return False
    return held > 0


async def _become_owner(shard: Shard):
    """Builds the tables from the reports of the VMs and starts scheduling."""
    now_s = shard.get_time()
    shard.tables = Tables(requests=shard.tables.requests)
    shard.recorded_state = RecordedState()
    shard.recorder.next_offset = 0
    shard.lifecycle.win()
    shard.context.sync_grants(shard)
    for lease in shard.leases.values():
        if is_valid(lease, now_s):
            _add_leased_vm(shard, lease, lease.answer)
    waited_s = now_s - (shard.ownerless_since_s or now_s)
    shard.ownerless_since_s = None
    shard.context.timeline.emit(
        OwnerChanged(shard.name, shard.epoch, shard.context.holder.incarnation, round(waited_s, 3))
    )
    schedule_tick(shard)
    start_background(shard, shard.context.restore_and_claim(shard))


def _add_leased_vm(shard: Shard, lease: Lease, answer: LeaseAnswer):
    listed = lease.listed
    vm = Vm(listed.name, listed.zone, listed.rack, listed.capacity, address=listed.address)
    vm.connections = listed.connections
    vm.recorded = False
    lease.vm = vm
    add_vm(shard.cell, vm)
    if listed.leaving:
        set_vm_state(shard.cell, vm, VmState.LEAVING)
    shard.context.timeline.emit(LeaseTaken(lease.name, lease.epoch, shard.name))
    reconcile_vm(shard, lease, answer)


async def release_all(shard: Shard):
    """Releases the leases that are held, after a lost acquisition race or in a handover."""
    held = [lease for lease in shard.leases.values() if is_valid(lease, shard.get_time())]
    await asyncio.gather(
        *(call_vm(shard.context.holder, lease, shard.get_time, release=True) for lease in held)
    )
    reset_shard(shard, "the shard was given up")


def reset_shard(shard: Shard, detail: str):
    """Gives up a shard: waiting requests are answered as not run, those at an endpoint go on."""
    refuse_waiting(shard, Reason.DRAINING, detail)
    if shard.tick_handle is not None:
        shard.tick_handle.cancel()
        shard.tick_handle = None
    shard.leases = {}
    shard.unreachable_since_s = {}
    shard.tables = Tables(requests=shard.tables.requests)
    shard.lifecycle.reset()


def start_lease_call(shard: Shard, lease: Lease):
    """Starts a lease call to a VM, or makes one follow the call in progress.

    Calls to the same VM never overlap.
    """
    if lease.calling:
        lease.call_again = True
        return
    lease.calling = True
    start_background(shard, _run_lease_calls(shard, lease))


async def _run_lease_calls(shard: Shard, lease: Lease):
    try:
        while True:
            lease.call_again = False
            await _renew_once(shard, lease)
            if not lease.call_again or shard.leases.get(lease.name) is not lease:
                return
    finally:
        lease.calling = False


async def _renew_once(shard: Shard, lease: Lease):
    if not is_valid(lease, shard.get_time()):
        _handle_lapsed_lease(shard, lease)
        if shard.leases.get(lease.name) is not lease or not await _prepare_reacquire(shard, lease):
            return
    answer = await call_vm(shard.context.holder, lease, shard.get_time)
    if shard.leases.get(lease.name) is not lease:
        return
    if answer is None:
        if not is_valid(lease, shard.get_time()):
            _handle_lapsed_lease(shard, lease)
        return
    if not answer.granted:
        _handle_refusal(shard, lease, answer)
        return
    shard.unreachable_since_s.pop(lease.name, None)
    if shard.is_owned():
        _accept_answer(shard, lease, answer)


def _accept_answer(shard: Shard, lease: Lease, answer: LeaseAnswer):
    if lease.vm is None:
        _add_leased_vm(shard, lease, answer)
        start_background(shard, _record_vm(shard, lease.vm))
    else:
        if lease.vm.state is VmState.SUSPECT:
            leaving = lease.listed.leaving
            set_vm_state(shard.cell, lease.vm, VmState.LEAVING if leaving else VmState.LIVE)
        reconcile_vm(shard, lease, answer)
    if lease.stop or lease.raise_epoch:
        lease.call_again = True
    if shard.cell.waiting:
        schedule_tick(shard)


async def _record_vm(shard: Shard, vm: Vm):
    """Records a VM that joined the shard, so that it may get work that must not be repeated."""
    if isinstance(await shard.recorder.write(make_vms_record([vm.name], [])), Written):
        vm.recorded = True


async def _prepare_reacquire(shard: Shard, lease: Lease) -> bool:
    """Queries a VM whose lease lapsed; returns whether its lease may be taken again."""
    lease_state = await query_lease(shard.context.holder, lease.listed)
    if lease_state is None:
        shard.unreachable_since_s.setdefault(lease.name, shard.get_time())
        return False
    if lease_state.remaining_s > 0 and lease_state.holder != shard.context.holder.incarnation:
        _handle_refusal(shard, lease, lease_state)
        return False
    lease.epoch, lease.seen_version, lease.raise_epoch = lease_state.epoch + 1, -1, False
    return True


def _handle_refusal(shard: Shard, lease: Lease, answer: LeaseAnswer):
    """Handles a refused lease call: the VM has another holder or requires a higher epoch."""
    if answer.remaining_s > 0 and answer.holder != shard.context.holder.incarnation:
        if shard.is_owned():
            reset_shard(shard, f"{get_node(answer.holder)} holds the lease of {lease.name}")
    else:
        lease.valid_until_s = float("-inf")


def _handle_lapsed_lease(shard: Shard, lease: Lease):
    now_s = shard.get_time()
    if not lease.lapsed:
        lease.lapsed = True
        if lease.vm is not None:
            shard.context.timeline.emit(LeaseLapsed(lease.name, lease.epoch))
            if lease.vm.state is not VmState.LEAVING:
                set_vm_state(shard.cell, lease.vm, VmState.SUSPECT)
    held = [other for other in shard.leases.values() if is_valid(other, now_s)]
    if not held and shard.is_owned():
        reset_shard(shard, "every lease has lapsed")


def check_leases(shard: Shard):
    """Renews leases that are due, handles lapsed ones, and ends attempts on VMs silent too long."""
    now_s, limits = shard.get_time(), shard.context.limits
    for lease in list(shard.leases.values()):
        soon = lease.start or lease.stop or not lease.answered
        due = now_s - lease.last_call_s >= (limits.renew_s / 2 if soon else limits.renew_s)
        if due and not lease.calling:
            start_lease_call(shard, lease)
        elif not is_valid(lease, now_s) and not lease.lapsed:
            _handle_lapsed_lease(shard, lease)
    if shard.is_owned():
        _handle_silent_vms(shard, now_s)


def _handle_silent_vms(shard: Shard, now_s: float):
    for lease in list(shard.leases.values()):
        silent_s = now_s - lease.valid_until_s
        if not lease.lapsed or silent_s < shard.context.limits.grace_s + LOSS_MARGIN_S:
            continue
        if lease.vm is not None and lease.vm.tasks:
            lease.start.clear()
            lease.delivered.clear()
            end_attempts_on_vm(shard, lease.vm)
        if lease.vm is not None and lease.name not in shard.listed:
            remove_vm(shard.cell, lease.vm)
            shard.tables.gone_vms.add(lease.name)
            del shard.leases[lease.name]


def apply_vm_list(shard: Shard, listed: dict[str, ListedVm]):
    """Applies the platform's list of VMs: new VMs are leased, leaving VMs get no new work."""
    shard.listed = listed
    if not shard.is_owned():
        return
    for item in listed.values():
        lease = shard.leases.get(item.name)
        if lease is None:
            shard.leases[item.name] = Lease(item, lapsed=True)
            continue
        lease.listed = item
        if item.leaving and lease.vm is not None and lease.vm.state is not VmState.LEAVING:
            set_vm_state(shard.cell, lease.vm, VmState.LEAVING)
    for name, lease in shard.leases.items():
        if name not in listed and lease.vm is not None:
            set_vm_state(shard.cell, lease.vm, VmState.LEAVING)


async def hand_over(shard: Shard):
    """Gives up a shard gracefully: no running work is interrupted, and the leases are released.

    Waiting requests are answered as not run, so that gates send them to the next owner; requests at
    endpoints are finished and answered here; tasks continue under the next owner's lease.
    """
    if shard.is_owned():
        shard.lifecycle.hand_over()
    await flush_ends(shard)
    await release_all(shard)
