"""Bringing the tables in line with what a VM reports of its tasks.

The VM is right: what it runs is booked, what it has ended is ended here, and what was delivered to
it and is not on its list any more is lost. Requests stand on the list too; one whose connection was
lost stays booked until a list under a later epoch shows that it is not running.
"""

from dataclasses import replace

from ..core.data import Task, TaskState, Team, Urgent, Vm
from ..core.outcome import Reason, Step
from ..core.resource import Resources
from ..fleet.interface import LeaseAnswer, RunState, VmTask
from ..policy.cell import attach, give_back, put_team, rebook
from ..policy.relief import Checkpoint, Throttle, Use, choose_relief
from ..policy.sizing import learn_use
from .job import delay_call, finish_task, make_fault
from .jobbook import read_label, split_task_name
from .lease import Lease
from .request import enqueue_again, spread_retry
from .shard import Shard, finish_without_answer

ONE_SLOT = Resources(slots=1)
# An answer may arrive this much later than the list that does not show its request any more.
ANSWER_GRACE_S = 0.3


def reconcile_vm(shard: Shard, lease: Lease, answer: LeaseAnswer):
    """Takes in what a VM reports: all that is on it, or what has changed."""
    lease.seen = answer.version
    if lease.vm is None:
        return
    for item in answer.tasks:
        if item.need.slots:
            _meet_request(shard, lease, item)
        else:
            _meet_task(shard, lease, item)
    if answer.complete:
        _miss_absent(shard, lease, {item.task for item in answer.tasks})
    if answer.pressed:
        _relieve(shard, lease, answer)


def _relieve(shard: Shard, lease: Lease, answer: LeaseAnswer):
    """Orders what takes a VM back to what it holds; the next call to it carries the orders.

    What is reported is learned and booked first, so that the next tasks of the kind are allotted
    what they will need, and none is placed on memory that is taken already.
    """
    uses = {item.task: Use(item.millicores, item.memory_mb) for item in answer.pressed}
    for name, use in uses.items():
        if name in lease.vm.tasks:
            task = lease.vm.tasks[name]
            learn_use(shard.cell.sizes, task, use.millicores, use.memory_mb)
            if use.memory_mb > task.allotted.memory_mb:
                amount = replace(task.allotted, memory_mb=use.memory_mb)
                rebook(shard.cell, task, amount, shard.get_time())
    for relief in choose_relief(lease.vm, uses):
        if isinstance(relief, Throttle):
            lease.throttle[relief.task.name] = relief.millicores
        elif isinstance(relief, Checkpoint):
            lease.checkpoint.add(relief.task.name)
        else:
            lease.stop.add(relief.task.name)
        lease.call_again = True


def _miss_absent(shard: Shard, lease: Lease, reported: set[str]):
    """Ends what should be on a VM but is not on its complete list."""
    for task in list(lease.vm.tasks.values()):
        if task.name in reported:
            continue
        if task.need.slots and task.name in lease.unsettled:
            _settle_if_fenced(shard, lease, task)
        elif not task.need.slots and task.name in lease.delivered:
            lease.delivered.discard(task.name)
            finish_task(shard, task, None)


def _meet_task(shard: Shard, lease: Lease, item: VmTask):
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
        and item.task not in shard.tables.end_vms
        and not shard.tables.jobs_ready
    ):
        task = _adopt_task(shard, lease, item)
    if task is not None:
        learn_use(shard.cell.sizes, task, item.used_millicores, item.used_memory_mb)
        finish_task(shard, task, item.state)
    elif item.task not in shard.tables.end_vms:
        lease.forget.add(item.task)


def _adopt_task(shard: Shard, lease: Lease, item: VmTask) -> Task:
    """Books a task that the VM ran for a former owner."""
    now_s = shard.get_time()
    name, index = split_task_name(item.task)
    job = shard.cell.jobs.get(name)
    if job is None:
        job = read_label(item.label, now_s)
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


def _meet_request(shard: Shard, lease: Lease, item: VmTask):
    if item.task in lease.vm.tasks or item.task in shard.tables.requests:
        return
    _ensure_team(shard, item.label)
    task = Task(item.task, item.label, "", Urgent(), ONE_SLOT, repeatable=False)
    attach(shard.cell, task, lease.vm, ONE_SLOT, shard.get_time())
    shard.tables.foreign[item.task] = task
    lease.unsettled.add(item.task)


def _settle_if_fenced(shard: Shard, lease: Lease, task: Task):
    """Settles a request that a list under a raised epoch does not show.

    Its answer may be on the way, having left before the list; it is given a moment.
    """
    if not lease.raise_epoch:
        lease.unsettled.discard(task.name)
        delay_call(shard, ANSWER_GRACE_S, _settle_attempt, shard, task, task.attempt)


def _settle_attempt(shard: Shard, task: Task, attempt: int):
    if task.vm is not None and task.attempt == attempt and task.name in shard.cell.tasks:
        settle_request(shard, task)


def settle_request(shard: Shard, task: Task):
    """Frees the slot of a request that certainly runs no more, and tries it again if it may."""
    now_s = shard.get_time()
    give_back(shard.cell, task, now_s)
    if shard.tables.foreign.pop(task.name, None) is not None:
        shard.cell.tasks.pop(task.name, None)
        return
    entry = shard.tables.requests.get(task.name)
    if entry is None or entry.future.done():
        shard.cell.tasks.pop(task.name, None)
        return
    entry.may_have_run = True
    pause_s = spread_retry(shard, task)
    if pause_s is not None and now_s + pause_s < task.deadline_s:
        task.state = TaskState.STOPPED
        delay_call(shard, pause_s, enqueue_again, shard, task)
        return
    shard.cell.tasks.pop(task.name, None)
    detail = "the endpoint was lost while it had the request"
    fault = make_fault(shard, Reason.ENDPOINT_LOST, Step.DISPATCH, detail)
    finish_without_answer(shard, entry, fault)


def lose_vm(shard: Shard, vm: Vm):
    """Ends the attempts on a VM that can't be running anything any more."""
    for task in list(vm.tasks.values()):
        if task.need.slots:
            settle_request(shard, task)
        else:
            finish_task(shard, task, None)


def refuse_waiting(shard: Shard, reason: Reason, detail: str):
    """Ends every request that is not at an endpoint, and those whose endpoint was lost."""
    unsettled = {name for lease in shard.leases.values() for name in lease.unsettled}
    for name, entry in shard.tables.requests.items():
        if entry.task.vm is None or name in unsettled:
            fault = make_fault(shard, reason, Step.QUEUE, detail)
            finish_without_answer(shard, entry, fault)
