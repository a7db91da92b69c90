"""Telling bad workers from bad jobs.

A VM on which several different jobs failed in a row, with no success between, is put into
quarantine. What failed there is then forgiven, so it can't condemn a job. After a pause the VM gets
one task as a probe; a success brings it back, a failure doubles the pause. A job that failed on
several distinct VMs, none of them in quarantine, is not tried any more.
"""

from ..core.data import Job, Task, Vm, VmState
from .cell import Cell, set_vm_state

JOBS_TO_QUARANTINE = 3
VMS_TO_GIVE_UP = 3
FIRST_QUARANTINE_S = 30.0
MAX_QUARANTINE_S = 1800.0


def record_success(cell: Cell, vm: Vm):
    """Takes in that a task succeeded on a VM."""
    vm.failed_jobs.clear()
    vm.probing = ""
    if vm.state is VmState.QUARANTINED:
        vm.quarantines = 0
        set_vm_state(cell, vm, VmState.LIVE)


def record_failure(cell: Cell, vm: Vm, task: Task, now_s: float) -> bool:
    """Takes in that a task failed on a VM; returns whether its job should be given up."""
    job = task.job
    name = job.name if job else task.name
    was_probe = vm.probing == task.name
    if job is None or len(job.failed_vms) < VMS_TO_GIVE_UP:
        vm.failed_jobs[name] = now_s
    if job is not None:
        job.failed_vms.add(vm.name)
    if was_probe or len(vm.failed_jobs) >= JOBS_TO_QUARANTINE:
        quarantine(cell, vm, now_s)
    return job is not None and len(job.failed_vms) >= VMS_TO_GIVE_UP


def quarantine(cell: Cell, vm: Vm, now_s: float):
    """Stops new work on a VM for a while and forgives what failed there."""
    pause_s = min(MAX_QUARANTINE_S, FIRST_QUARANTINE_S * 2**vm.quarantines)
    vm.quarantines += 1
    vm.quarantined_until_s = now_s + pause_s
    vm.probing = ""
    for name in vm.failed_jobs:
        job = cell.jobs.get(name)
        if job is not None:
            job.failed_vms.discard(vm.name)
    vm.failed_jobs.clear()
    if vm.state is VmState.LIVE:
        set_vm_state(cell, vm, VmState.QUARANTINED)


def find_probe_vm(cell: Cell, job: Job, now_s: float) -> Vm | None:
    """Returns a VM in quarantine whose pause is over and that has no probe yet."""
    if not job.repeatable:
        return None
    for name in sorted(cell.quarantined):
        vm = cell.vms[name]
        if not vm.probing and now_s >= vm.quarantined_until_s:
            return vm
    return None
