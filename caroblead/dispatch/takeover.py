"""Takes over the recorded runs of a former leader."""

from ..core.resource import NOTHING
from ..jobs.data import RunRecord
from .crash import judge_isolation
from .fleet import Fleet, Isolation, Run, RunPhase, VmRow, book_run, put_vm
from .interface import ListedVm
from .work import StepWork, add_run, copy_step_attributes, get_booked_need


def inherit_run(fleet: Fleet, step: StepWork, record: RunRecord) -> Run:
    """Adds a recorded run to its task and books its resources on its VM."""
    row = fleet.rows.get(record.vm)
    if row is None:
        row = _add_unlisted(fleet, record.vm)
    task = step.make_task_name(record.task)
    need = get_booked_need(step.spec)
    run = Run(task, record.number, row, step.work.job.team, need, RunPhase.INHERITED)
    run.charge, run.pace, run.incarnation = step.spec.need, None, record.incarnation
    run.isolation = min(judge_isolation(step, record.task), Isolation.ALONE)
    book_run(fleet, run)
    add_run(step, copy_step_attributes(step, run))
    if not (row.in_registry and row.incarnation):
        row.incarnation = max(row.incarnation, record.incarnation)
    return run


def _add_unlisted(fleet: Fleet, name: str) -> VmRow:
    """Adds a row for a VM that the registry doesn't list but on which runs may still exist."""
    listed = ListedVm(name, 0, "", "", "", "", (), NOTHING, False)
    row = put_vm(fleet, listed)
    row.in_registry = False
    return row
