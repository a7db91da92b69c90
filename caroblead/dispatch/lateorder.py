"""Start orders that a VM may carry out after they were given up, because it has restarted.

A VM that refuses an order or is told to stop its run forgets both when it restarts, and an order
names a VM and not its incarnation. If the order is still on its way, the new incarnation carries it
out. So the run of such an order is taken back into the table when its VM restarts, as one that may
or may not exist: its task waits until the new incarnation has refused the order or has ended the
run, and starts nowhere else meanwhile.
"""

import asyncio

from ..core.clock import get_elapsed_s
from ..core.logsink import log
from ..core.timer import await_and_log_errors
from ..jobs.data import RunRecord
from .fleet import Run, RunPhase, VmRow
from .interface import NoAnswer, RunningTask, TaskName
from .orders import STOP_RETRY_S
from .takeover import inherit_run
from .term import TermState

# A start order without an answer may be carried out this late.
MAX_ORDER_DELAY_S = 30.0
# Answers on different connections to a VM may arrive out of order by at most this much.
MAX_REORDERING_S = 0.5


def note_late_order(run: Run, now_s: float):
    """Remembers a settled start order that got no answer, for the case that its VM restarts."""
    _drop_old(run.vm, now_s)
    run.vm.late_orders.setdefault((run.task, run.number), now_s + MAX_ORDER_DELAY_S)


def has_late_orders(row: VmRow, now_s: float) -> bool:
    """Returns whether orders may still reach a VM that has forgotten that they are settled."""
    return any(at_s > now_s for at_s in row.late_orders.values())


def _drop_old(row: VmRow, now_s: float):
    row.late_orders = {key: at_s for key, at_s in row.late_orders.items() if at_s > now_s}


def list_gone(row: VmRow, last_list_s: float) -> list[Run]:
    """Returns the runs that certainly ended with the former incarnation of a restarted VM.

    An order that was not answered may still be carried out by the new incarnation, and one that was
    answered since the last run lists may have been answered by it. The runs of such orders become
    unsure: their tasks only run elsewhere once the new incarnation has refused the order, because
    it has seen this term or a stop, or once it doesn't list the run.
    """
    gone = []
    for run in row.runs.values():
        if run.phase is RunPhase.INHERITED:
            continue
        is_recent = run.order_answered_s > last_list_s - MAX_REORDERING_S
        may_be_in_new_incarnation = run.phase is RunPhase.RUNNING and is_recent
        if run.unanswered or may_be_in_new_incarnation or run.phase is RunPhase.ORDERED:
            run.phase = RunPhase.UNSURE
            run.unanswered = True
        else:
            gone.append(run)
    return gone


def expect_late_orders(state: TermState, row: VmRow):
    """Takes back the runs that a restarted VM may start by orders that were given up.

    The highest run of a task comes first: a VM that refuses it refuses the lower ones too.
    """
    _drop_old(row, get_elapsed_s())
    for task, number in sorted(row.late_orders, reverse=True):
        if _take_back(state, row, task, number):
            log("task:taken_back", task=str(task), run=number, vm=row.name)
        else:
            refusal = _refuse(state, row, row.fence, task, number)
            state.order_sender.spawn(await_and_log_errors(refusal))


def handle_unknown_run(state: TermState, row: VmRow, running: RunningTask):
    """Takes back a run that a VM lists but that isn't in the table, or stops it.

    The VM has restarted and has carried out an order that this leader or a former one gave up.
    """
    if _take_back(state, row, running.task, running.number):
        log("task:taken_back", task=str(running.task), run=running.number, vm=row.name)
        row.unknown_runs -= 1
    else:
        stop = state.order_sender.stop_unknown_run(row, running)
        state.order_sender.spawn(await_and_log_errors(stop))


def _take_back(state: TermState, row: VmRow, task: TaskName, number: int) -> bool:
    """Returns false, without a change, if the task is done or has another run."""
    step = state.find_step(task)
    if step is None or task.index not in step.waiting:
        return False
    run = inherit_run(state.fleet, step, RunRecord(task.index, number, row.name, row.incarnation))
    run.phase = RunPhase.UNSURE
    run.unanswered = True
    return True


async def _refuse(state: TermState, row: VmRow, fence: int, task: TaskName, number: int):
    """Makes an incarnation of a VM refuse an order, by a stop that it is sent until it answers."""
    sender = state.order_sender
    while row.fence == fence and (task, number) in row.late_orders:
        outcome = await sender.vms.stop(row.make_target(), task, number, fence)
        if not isinstance(outcome, NoAnswer):
            return
        await asyncio.sleep(STOP_RETRY_S)
