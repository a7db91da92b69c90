"""Reconciliation of a shard's tables with the task list that a VM reports.

The VM's report is authoritative: tasks that run there get their resources booked, tasks that ended
there are ended here, and tasks that were delivered to the VM and are missing from its list are
lost. The list has requests too. A request whose connection was lost stays booked until a list under
a later epoch shows that it is not running.
"""

from ..core.data import Task, TaskState, Team, Urgent, Vm
from ..core.outcome import Reason, Step
from ..core.resource import Resources
from ..fleet.interface import LeaseAnswer, RunState, VmTask
from ..policy.cell import attach, put_team, release_allocation, resize_allocation
from ..policy.overload import Checkpoint, MeasuredUse, Throttle, choose_overload_actions
from ..policy.sizing import learn_use
from .job import delay_call, finish_task, make_fault
from .jobrecord import parse_label, split_task_name
from .lease import Lease
from .request import compute_retry_pause, requeue_request
from .shard import Shard, finish_without_answer

ONE_SLOT = Resources(slots=1)
# An answer may arrive this much later than the list that no longer shows its request.
ANSWER_GRACE_S = 0.3


def reconcile_vm(shard: Shard, lease: Lease, answer: LeaseAnswer):
    """Applies a VM's report, which has either all of its tasks or those that changed."""
    lease.seen_version = answer.version
    if lease.vm is None:
        return
    for item in answer.tasks:
        if item.need.slots:
            _reconcile_request(shard, lease, item)
        else:
            _reconcile_task(shard, lease, item)
    if answer.complete:
        _end_missing_tasks(shard, lease, {item.task for item in answer.tasks})
    if answer.usage_near_capacity:
        _relieve(shard, lease, answer)


def _relieve(shard: Shard, lease: Lease, answer: LeaseAnswer):
    """Orders tasks throttled, checkpointed or stopped so that usage fits the VM's capacity again.

    The next lease call carries the orders. The reported usage is learned and booked first, so that
    the next tasks of the same kind are allotted what they will need, and no task is placed on
    memory that is in use already.
    """
    uses = {
        item.task: MeasuredUse(item.millicores, item.memory_mb)
        for item in answer.usage_near_capacity
    }
    for name, use in uses.items():
        if name in lease.vm.tasks:
            task = lease.vm.tasks[name]
            learn_use(shard.cell.sizes, task, use.millicores, use.memory_mb)
            if use.memory_mb > task.allotted.memory_mb:
                amount = task.allotted._replace(memory_mb=use.memory_mb)
                resize_allocation(shard.cell, task, amount, shard.get_time())
    for action in choose_overload_actions(lease.vm, uses):
        if isinstance(action, Throttle):
            lease.throttle[action.task.name] = action.millicores
        elif isinstance(action, Checkpoint):
            lease.checkpoint.add(action.task.name)
        else:
            lease.stop.add(action.task.name)
        lease.call_again = True


def _end_missing_tasks(shard: Shard, lease: Lease, reported: set[str]):
    """Ends attempts that were sent to a VM but are missing from its complete list."""
    for task in list(lease.vm.tasks.values()):
        if task.name in reported:
            continue
        if task.need.slots and task.name in lease.unresolved:
            _resolve_if_fenced(shard, lease, task)
        elif not task.need.slots and task.name in lease.delivered:
            lease.delivered.discard(task.name)
            finish_task(shard, task, None)


def _reconcile_task(shard: Shard, lease: Lease, item: VmTask):
    task = lease.vm.tasks.get(item.task)
    if item.state is RunState.RUNNING:
        lease.delivered.add(item.task)
        if task is not None:
            task.state = TaskState.RUNNING
        elif item.task in shard.cell.tasks:
            lease.stop.add(item.task)
        else:
            _adopt_task(shard, lease, item)
        return
    lease.delivered.discard(item.task)
    if (
        task is None
        and item.label
        and item.task not in shard.tables.ended_task_vms
        and not shard.tables.jobs_ready
    ):
        task = _adopt_task(shard, lease, item)
    if task is not None:
        learn_use(shard.cell.sizes, task, item.used_millicores, item.used_memory_mb)
        finish_task(shard, task, item.state)
    elif item.task not in shard.tables.ended_task_vms:
        lease.forget.add(item.task)


def _adopt_task(shard: Shard, lease: Lease, item: VmTask) -> Task:
    """Books a task that the VM runs or ran for a former owner of the shard."""
    now_s = shard.get_time()
    name, index = split_task_name(item.task)
    job = shard.cell.jobs.get(name)
    if job is None:
        job = parse_label(item.label, now_s)
        shard.cell.jobs[name] = job
    _ensure_team(shard, job.team)
    task = next((known for known in job.tasks if known.name == item.task), None)
    if task is None:
        task = Task(
            item.task,
            job.team,
            job.queue,
            job.kind,
            job.need,
            job,
            submitted_s=now_s,
            run_time_s=job.run_time_s,
            repeatable=job.repeatable,
        )
        job.tasks.append(task)
    attach(shard.cell, task, lease.vm, item.need, now_s)
    return task


def _ensure_team(shard: Shard, name: str):
    if name not in shard.cell.teams:
        put_team(shard.cell, Team(name, 1.0, 0), 0)


def _reconcile_request(shard: Shard, lease: Lease, item: VmTask):
    if item.task in lease.vm.tasks or item.task in shard.tables.requests:
        return
    _ensure_team(shard, item.label)
    task = Task(item.task, item.label, "", Urgent(), ONE_SLOT, repeatable=False)
    attach(shard.cell, task, lease.vm, ONE_SLOT, shard.get_time())
    shard.tables.inherited_requests[item.task] = task
    lease.unresolved.add(item.task)


def _resolve_if_fenced(shard: Shard, lease: Lease, task: Task):
    """Resolves a request that is missing from a list which was made under a raised epoch.

    Its answer may have been sent before the list and still be in transit, so the attempt is
    resolved after ``ANSWER_GRACE_S`` only.
    """
    if not lease.raise_epoch:
        lease.unresolved.discard(task.name)
        delay_call(shard, ANSWER_GRACE_S, _resolve_attempt, shard, task, task.attempt)


def _resolve_attempt(shard: Shard, task: Task, attempt: int):
    if task.vm is not None and task.attempt == attempt and task.name in shard.cell.tasks:
        resolve_request(shard, task)


def resolve_request(shard: Shard, task: Task):
    """Frees the slot of a request that has certainly stopped, and schedules a retry if allowed.

    A retry needs a repeatable request, a token of the team's retry budget, and enough time before
    the deadline.
    """
    now_s = shard.get_time()
    release_allocation(shard.cell, task, now_s)
    if shard.tables.inherited_requests.pop(task.name, None) is not None:
        shard.cell.tasks.pop(task.name, None)
        return
    entry = shard.tables.requests.get(task.name)
    if entry is None or entry.future.done():
        shard.cell.tasks.pop(task.name, None)
        return
    entry.may_have_run = True
    pause_s = compute_retry_pause(shard, task)
    if pause_s is not None and now_s + pause_s < task.deadline_s:
        task.state = TaskState.STOPPED
        delay_call(shard, pause_s, requeue_request, shard, task)
        return
    shard.cell.tasks.pop(task.name, None)
    detail = "contact with the endpoint was lost while it had the request"
    fault = make_fault(shard, Reason.ENDPOINT_LOST, Step.DISPATCH, detail)
    finish_without_answer(shard, entry, fault)


def end_attempts_on_vm(shard: Shard, vm: Vm):
    """Ends all attempts on a VM that can no longer be running anything."""
    for task in list(vm.tasks.values()):
        if task.need.slots:
            resolve_request(shard, task)
        else:
            finish_task(shard, task, None)


def refuse_waiting(shard: Shard, reason: Reason, detail: str):
    """Ends every request that is not at an endpoint, and those whose attempt is unresolved."""
    unresolved = {name for lease in shard.leases.values() for name in lease.unresolved}
    for name, entry in shard.tables.requests.items():
        if entry.task.vm is None or name in unresolved:
            fault = make_fault(shard, reason, Step.QUEUE, detail)
            finish_without_answer(shard, entry, fault)
