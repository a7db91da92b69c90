"""Taking, keeping and handing over a shard.

A placer takes a shard only when no live node claims it and the leases of its VMs have lapsed or
were given back. It raises the epoch on every VM, and it serves only once it holds all of them, or
has not heard from one for so long that nothing can run there any more. From then on no former owner
can start anything, and the lists of the VMs say all that runs.

An owner gives a VM up when its lease could not be renewed in time, and the whole shard when another
holder shows up or every lease has lapsed at once, which is what a long pause looks like.
"""

import asyncio

from ..core.data import Vm, VmState
from ..core.outcome import Reason
from ..events.event import LeaseLapsed, LeaseTaken, OwnerChanged
from ..fleet.interface import LeaseAnswer, ListedVm
from ..fleet.membership import rank_node
from ..policy.cell import add_vm, remove_vm, set_vm_state
from .job import flush_ends
from .jobbook import JobBook, write_vms
from .lease import Lease, call_vm, is_valid, look_at_vm
from .reconcile import lose_vm, reconcile_vm, refuse_waiting
from .recorder import Written
from .request import start_background, wake
from .shard import Shard, Tables

# Added to the lease and grace times before a silent VM is taken to run nothing.
LOSS_MARGIN_S = 0.5


def get_node(holder: str) -> str:
    """Returns the node of an incarnation, which is written as ``node~number``."""
    return holder.split("~")[0]


def compute_loss_s(shard: Shard) -> float:
    """Returns after how long without a lease a VM has certainly stopped everything."""
    limits = shard.around.limits
    return limits.lease_s + limits.grace_s + LOSS_MARGIN_S


async def try_acquire(shard: Shard) -> bool:
    """Makes one try at taking a shard; returns whether it is now owned."""
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
    looks = await asyncio.gather(
        *(look_at_vm(shard.around.holder, lease.listed) for lease in missing)
    )
    free, rival = _sort_looks(shard, missing, looks)
    if rival and not _outranks(shard, rival):
        await release_all(shard)
        return False
    if rival and not any(is_valid(lease, shard.get_time()) for lease in shard.leases.values()):
        return False
    if shard.life.state == "idle":
        shard.life.begin()
    await asyncio.gather(*(_take_lease(shard, lease) for lease in free))
    if _is_complete(shard):
        await _become_owner(shard)
        return True
    return False


def _sort_looks(shard: Shard, leases: list[Lease], looks: list[LeaseAnswer | None]):
    """Returns the leases that are free to take and a node that holds one of the others."""
    free, rival, now_s = [], "", shard.get_time()
    for lease, look in zip(leases, looks, strict=True):
        if look is None:
            shard.unheard.setdefault(lease.name, now_s)
            continue
        shard.unheard.pop(lease.name, None)
        shard.epoch = max(shard.epoch, look.epoch + 1)
        if look.left_s > 0 and look.holder != shard.around.holder.incarnation:
            rival = get_node(look.holder)
        else:
            free.append(lease)
    return free, rival


def _outranks(shard: Shard, rival: str) -> bool:
    return rank_node(shard.name, shard.around.node) > rank_node(shard.name, rival)


async def _take_lease(shard: Shard, lease: Lease):
    lease.epoch, lease.seen, lease.raise_epoch = shard.epoch, -1, False
    answer = await call_vm(shard.around.holder, lease, shard.get_time)
    if answer is None or not answer.granted:
        lease.lapsed = True
        return
    lease.answer = answer


def _is_complete(shard: Shard) -> bool:
    now_s, held = shard.get_time(), 0
    for lease in shard.leases.values():
        if is_valid(lease, now_s):
            held += 1
        elif now_s - shard.unheard.get(lease.name, now_s) < compute_loss_s(shard):
            return False
    return held > 0


async def _become_owner(shard: Shard):
    """Builds the tables from the lists of the VMs and begins to decide."""
    now_s = shard.get_time()
    shard.tables = Tables(requests=shard.tables.requests)
    shard.book = JobBook()
    shard.recorder.next_offset = 0
    shard.life.win()
    shard.around.sync(shard)
    for lease in shard.leases.values():
        if is_valid(lease, now_s):
            _add_leased_vm(shard, lease, lease.answer)
    waited_s = now_s - (shard.without_owner_s or now_s)
    shard.without_owner_s = None
    shard.around.timeline.emit(
        OwnerChanged(shard.name, shard.epoch, shard.around.holder.incarnation, round(waited_s, 3))
    )
    wake(shard)
    start_background(shard, shard.around.claim(shard))


def _add_leased_vm(shard: Shard, lease: Lease, answer: LeaseAnswer):
    listed = lease.listed
    vm = Vm(listed.name, listed.zone, listed.rack, listed.capacity, address=listed.address)
    vm.connections = listed.connections
    vm.recorded = False
    lease.vm = vm
    add_vm(shard.cell, vm)
    if listed.leaving:
        set_vm_state(shard.cell, vm, VmState.LEAVING)
    shard.around.timeline.emit(LeaseTaken(lease.name, lease.epoch, shard.name))
    reconcile_vm(shard, lease, answer)


async def release_all(shard: Shard):
    """Gives back the leases that are held, after a lost race or at a hand-over."""
    held = [lease for lease in shard.leases.values() if is_valid(lease, shard.get_time())]
    await asyncio.gather(
        *(call_vm(shard.around.holder, lease, shard.get_time, release=True) for lease in held)
    )
    reset_shard(shard, "the shard was given up")


def reset_shard(shard: Shard, detail: str):
    """Drops a shard: what waits is answered as not run, what is at an endpoint goes on."""
    refuse_waiting(shard, Reason.DRAINING, detail)
    if shard.tick_handle is not None:
        shard.tick_handle.cancel()
        shard.tick_handle = None
    shard.leases = {}
    shard.unheard = {}
    shard.tables = Tables(requests=shard.tables.requests)
    shard.life.reset()


def kick_lease(shard: Shard, lease: Lease):
    """Makes a call to a VM soon; calls to one VM never overlap."""
    if lease.calling:
        lease.call_again = True
        return
    lease.calling = True
    start_background(shard, _pump(shard, lease))


async def _pump(shard: Shard, lease: Lease):
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
        _give_up_lapsed(shard, lease)
        if shard.leases.get(lease.name) is not lease or not await _prepare_again(shard, lease):
            return
    answer = await call_vm(shard.around.holder, lease, shard.get_time)
    if shard.leases.get(lease.name) is not lease:
        return
    if answer is None:
        if not is_valid(lease, shard.get_time()):
            _give_up_lapsed(shard, lease)
        return
    if not answer.granted:
        _meet_refusal(shard, lease, answer)
        return
    shard.unheard.pop(lease.name, None)
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
        wake(shard)


async def _record_vm(shard: Shard, vm: Vm):
    """Records a VM that joined the shard, so that it may get work that can't be repeated."""
    if isinstance(await shard.recorder.write(write_vms([vm.name], [])), Written):
        vm.recorded = True


async def _prepare_again(shard: Shard, lease: Lease) -> bool:
    """Looks at a VM whose lease lapsed; returns whether it may be taken again."""
    look = await look_at_vm(shard.around.holder, lease.listed)
    if look is None:
        shard.unheard.setdefault(lease.name, shard.get_time())
        return False
    if look.left_s > 0 and look.holder != shard.around.holder.incarnation:
        _meet_refusal(shard, lease, look)
        return False
    lease.epoch, lease.seen, lease.raise_epoch = look.epoch + 1, -1, False
    return True


def _meet_refusal(shard: Shard, lease: Lease, answer: LeaseAnswer):
    """Handles a VM that has another holder, or that wants a higher epoch."""
    if answer.left_s > 0 and answer.holder != shard.around.holder.incarnation:
        if shard.is_owned():
            reset_shard(shard, f"{get_node(answer.holder)} holds {lease.name}")
    else:
        lease.valid_until_s = float("-inf")


def _give_up_lapsed(shard: Shard, lease: Lease):
    now_s = shard.get_time()
    if not lease.lapsed:
        lease.lapsed = True
        if lease.vm is not None:
            shard.around.timeline.emit(LeaseLapsed(lease.name, lease.epoch))
            if lease.vm.state is not VmState.LEAVING:
                set_vm_state(shard.cell, lease.vm, VmState.SUSPECT)
    held = [other for other in shard.leases.values() if is_valid(other, now_s)]
    if not held and shard.is_owned():
        reset_shard(shard, "every lease has lapsed")


def check_leases(shard: Shard):
    """Renews what is due, gives up what has lapsed and loses VMs that were silent too long."""
    now_s, limits = shard.get_time(), shard.around.limits
    for lease in list(shard.leases.values()):
        soon = lease.start or lease.stop or not lease.answered
        due = now_s - lease.tried_s >= (limits.renew_s / 2 if soon else limits.renew_s)
        if due and not lease.calling:
            kick_lease(shard, lease)
        elif not is_valid(lease, now_s) and not lease.lapsed:
            _give_up_lapsed(shard, lease)
    if shard.is_owned():
        _lose_silent_vms(shard, now_s)


def _lose_silent_vms(shard: Shard, now_s: float):
    for lease in list(shard.leases.values()):
        silent_s = now_s - lease.valid_until_s
        if not lease.lapsed or silent_s < shard.around.limits.grace_s + LOSS_MARGIN_S:
            continue
        if lease.vm is not None and lease.vm.tasks:
            lease.start.clear()
            lease.delivered.clear()
            lose_vm(shard, lease.vm)
        if lease.vm is not None and lease.name not in shard.listed:
            remove_vm(shard.cell, lease.vm)
            shard.tables.gone_vms.add(lease.name)
            del shard.leases[lease.name]


def apply_list(shard: Shard, listed: dict[str, ListedVm]):
    """Takes in the platform's list: new VMs are leased, leaving ones get nothing new."""
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
    """Gives a shard up in a planned way: nothing is cut off, and the leases are given back.

    What waits is answered as not run, so that gates take it to the next owner; requests at
    endpoints are finished and answered here; tasks go on under the next owner's lease.
    """
    if shard.is_owned():
        shard.life.hand_over()
    await flush_ends(shard)
    await release_all(shard)
