"""Health of VMs and jobs: distinguishes a faulty VM from a faulty job.

A VM on which several different jobs failed in a row, with no success between, is put into
quarantine. The failures there then no longer count against the jobs. After a pause the VM gets one
task as a probe; a success ends the quarantine, a failure doubles the pause. A job that failed on
several distinct VMs, none of them in quarantine, is not retried any more.
"""

from ..core.data import Job, Task, Vm, VmState
from .cell import Cell, set_vm_state

FAILED_JOBS_TO_QUARANTINE = 3
FAILED_VMS_TO_GIVE_UP = 3
FIRST_QUARANTINE_S = 30.0
MAX_QUARANTINE_S = 1800.0


def record_success(cell: Cell, vm: Vm):
    """Records that a task succeeded on a VM, which ends its quarantine."""
    vm.failed_jobs.clear()
    vm.probe_task = ""
    if vm.state is VmState.QUARANTINED:
        vm.quarantine_count = 0
        set_vm_state(cell, vm, VmState.LIVE)


def record_failure(cell: Cell, vm: Vm, task: Task, now_s: float) -> bool:
    """Records that a task failed on a VM; returns whether its job should not be retried."""
    job = task.job
    name = job.name if job else task.name
    was_probe = vm.probe_task == task.name
    if job is None or len(job.failed_vms) < FAILED_VMS_TO_GIVE_UP:
        vm.failed_jobs[name] = now_s
    if job is not None:
        job.failed_vms.add(vm.name)
    if was_probe or len(vm.failed_jobs) >= FAILED_JOBS_TO_QUARANTINE:
        quarantine(cell, vm, now_s)
    return job is not None and len(job.failed_vms) >= FAILED_VMS_TO_GIVE_UP


def quarantine(cell: Cell, vm: Vm, now_s: float):
    """Stops new work on a VM for a pause and discards the failures recorded there."""
    pause_s = min(MAX_QUARANTINE_S, FIRST_QUARANTINE_S * 2**vm.quarantine_count)
    vm.quarantine_count += 1
    vm.quarantined_until_s = now_s + pause_s
    vm.probe_task = ""
    for name in vm.failed_jobs:
        job = cell.jobs.get(name)
        if job is not None:
            job.failed_vms.discard(vm.name)
    vm.failed_jobs.clear()
    if vm.state is VmState.LIVE:
        set_vm_state(cell, vm, VmState.QUARANTINED)


def find_probe_vm(cell: Cell, job: Job, now_s: float) -> Vm | None:
    """Returns a VM in quarantine whose pause is over and that has no probe task yet.

    Only a job that may be repeated can supply the probe task.
    """
    if not job.repeatable:
        return None
    for name in sorted(cell.quarantined):
        vm = cell.vms[name]
        if not vm.probe_task and now_s >= vm.quarantined_until_s:
            return vm
    return None
