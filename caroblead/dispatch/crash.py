"""Judges which tasks crash the VMs on which they run.

A task may crash every VM that starts it, and each run on a crashed VM is a suspect. What is known
of a task is kept with the progress of its job, so that a new leader knows it too. A crash with a
common cause, such as the loss of a rack, is told apart: several VMs went down at about the same
time, and most of them didn't run the step. The job of a task that certainly crashes VMs is given
up. For example, a task fails under which three VMs went down, two of which ran nothing else.
"""

from dataclasses import dataclass, field

from ..core.logsink import log_routine
from ..jobs.data import FINAL_STATES, CrashRecord, StepKey
from .fleet import Isolation, Run, RunPhase, VmRow, end_isolation
from .work import JobWork, StepWork

# A task is given up after so many crashes for which it is blamed, with so many of them alone.
MAX_BLAMED = 3
MAX_ALONE = 2
# It is also given up after so many crashes altogether, if it is blamed for one of them.
MAX_TOTAL = 5
# It runs alone after so many crashes.
ALONE_AFTER_BLAMED = 2
ALONE_AFTER_TOTAL = 3
# So many VMs that go down within this time may have a common cause.
COMMON_LOSS_VMS = 3
COMMON_LOSS_S = 2.0
# A task is given up so long after its last crash, in case a common cause shows.
GIVE_UP_DELAY_S = 2.0
# A run that goes on for so long clears its task.
SURVIVED_S = 30.0
# Crashes are remembered for so long, because VMs that go down together come back one by one.
REMEMBERED_S = 60.0


@dataclass(slots=True)
class Blame:
    """A crash for which a task is blamed; ``alone`` if nothing else ran on the VM."""

    step: StepWork
    record: CrashRecord
    alone: bool


@dataclass(slots=True)
class Crash:
    """A crash of a VM at about ``at_s``, with the steps that ran there and the tasks blamed for it.

    It is ``explained`` if an isolated task ran there.
    """

    at_s: float
    vm: str
    explained: bool
    steps: set[StepKey] = field(default_factory=set)
    blames: list[Blame] = field(default_factory=list)


@dataclass(slots=True)
class CrashTable:
    """The recent crashes that this leader has noticed, and the steps with suspects.

    ``condemned_s`` is since when a task is to be given up, by step and index.
    """

    crashes: list[Crash] = field(default_factory=list)
    suspects: dict[StepKey, StepWork] = field(default_factory=dict)
    condemned_s: dict[tuple[StepKey, int], float] = field(default_factory=dict)


def judge_isolation(step: StepWork, index: int) -> Isolation:
    """Returns how far a task is to be kept from other work."""
    crashes = step.step_progress.crashes
    record = crashes.get(_get_record_index(step, index)) if crashes else None
    if record is None:
        return Isolation.NONE
    if _is_condemned(record):
        return Isolation.HELD
    if record.blamed >= ALONE_AFTER_BLAMED or record.total >= ALONE_AFTER_TOTAL:
        return Isolation.ALONE
    return Isolation.APART


def _get_record_index(step: StepWork, index: int) -> int:
    return 0 if step.spec.gang else index


def _is_condemned(record: CrashRecord) -> bool:
    if record.blamed >= MAX_BLAMED and record.alone >= MAX_ALONE:
        return True
    return record.total >= MAX_TOTAL and record.blamed > 0


def note_crash(
    table: CrashTable, open_jobs: dict[str, JobWork], row: VmRow, incarnation: int, at_s: float
) -> list[StepWork]:
    """Counts a crash for the runs of a VM that has restarted; returns the steps that changed.

    ``at_s`` is about when the VM went down, and ``incarnation`` is that of its new life. Runs that
    were ordered to the new life aren't counted.
    """
    runs = [run for run in _list_begun(row) if run.incarnation < incarnation]
    for run in runs:
        run.incarnation = incarnation
    blames = _count_runs(table, open_jobs, runs)
    steps = {_get_step_key(run) for run in runs}
    crash = Crash(at_s, row.name, row.alone_runs > 0, steps, blames)
    _apply_blames(blames, 1)
    table.crashes = [old for old in table.crashes if at_s - old.at_s < REMEMBERED_S]
    table.crashes.append(crash)
    return [blame.step for blame in blames] + _withdraw_common(table, crash)


def note_loss(
    table: CrashTable, open_jobs: dict[str, JobWork], row: VmRow, runs: list[Run]
) -> list[StepWork]:
    """Counts a VM that has left the registry, and whose lease has expired, for runs on it.

    It may have crashed or may only be cut off, so it is blamed only on a task that was to be alone.
    Returns the steps that changed.
    """
    blames = _count_runs(table, open_jobs, runs)
    if row.alone_runs:
        _apply_blames(blames, 1)
    return [blame.step for blame in blames]


def _list_begun(row: VmRow) -> list[Run]:
    """Returns the runs of a VM that may have begun there."""
    return [run for run in row.runs.values() if run.phase is not RunPhase.RECORDING]


def _get_step_key(run: Run) -> StepKey:
    return StepKey(run.task.job, run.task.occurrence, run.task.step)


def _count_runs(table: CrashTable, open_jobs: dict[str, JobWork], runs: list[Run]) -> list[Blame]:
    """Adds a crash to the total of each task that matters; a run of a gang counts once."""
    found = []
    for run in runs:
        work = open_jobs.get(run.task.job) if run.wanted else None
        if work is None:
            continue
        step = work.steps[run.task.occurrence, run.task.step]
        index = _get_record_index(step, run.task.index)
        record = step.step_progress.crashes.setdefault(index, CrashRecord())
        if run.number <= record.last_run and not _may_count_again(step, run):
            continue
        record.total += 1
        record.last_run = run.number
        table.suspects[step.key] = step
        found.append(Blame(step, record, _is_alone(step, run, runs)))
        log_routine("task:vm_crashed", task=str(run.task), run=run.number, vm=run.vm.name)
    return found


def _may_count_again(step: StepWork, run: Run) -> bool:
    """Returns whether a run that has been counted has certainly begun again on the same VM."""
    return not step.spec.gang and run.phase is RunPhase.RUNNING


def _is_alone(step: StepWork, run: Run, runs: list[Run]) -> bool:
    if step.spec.gang:
        return all(_get_step_key(other) == step.key for other in runs)
    return all(other.task == run.task for other in runs)


def _apply_blames(blames: list[Blame], change: int):
    for blame in blames:
        blame.record.blamed += change
        blame.record.alone += change * blame.alone


def _withdraw_common(table: CrashTable, crash: Crash) -> list[StepWork]:
    """Withdraws the blames of crashes with a common cause; returns the steps that changed.

    The cause is common if several VMs without an isolated task went down at about the same time.
    Only a step that ran on most of them remains suspect.
    """
    near = [other for other in table.crashes if abs(other.at_s - crash.at_s) <= COMMON_LOSS_S]
    unexplained = [other for other in near if not other.explained]
    if len({other.vm for other in unexplained}) < COMMON_LOSS_VMS:
        return []
    changed = []
    for other in near:
        for blame in list(other.blames):
            ran_on = sum(blame.step.key in found.steps for found in unexplained)
            if 2 * ran_on <= len(unexplained):
                _apply_blames([blame], -1)
                other.blames.remove(blame)
                changed.append(blame.step)
    return changed


def clear_survivors(table: CrashTable, now_s: float, term_began_s: float) -> list[StepWork]:
    """Clears the tasks whose runs have gone on for long; returns the steps that changed."""
    changed = []
    for key, step in list(table.suspects.items()):
        crashes = step.step_progress.crashes
        if not crashes or step.work.state in FINAL_STATES:
            del table.suspects[key]
            continue
        for index in list(crashes):
            runs = _list_runs(step, index)
            if runs and all(_has_survived(run, now_s, term_began_s) for run in runs):
                del crashes[index]
                changed.append(step)
                for run in runs:
                    end_isolation(run)
    return changed


def _list_runs(step: StepWork, index: int) -> list[Run]:
    """Returns the runs to which the crash record with this index applies."""
    if step.spec.gang:
        return [run for runs in step.active.values() for run in runs]
    return step.active.get(index, [])


def _has_survived(run: Run, now_s: float, term_began_s: float) -> bool:
    since_s = max(run.started_s, term_began_s, run.vm.reset_s)
    return run.phase is RunPhase.RUNNING and now_s - since_s >= SURVIVED_S


def list_condemned(table: CrashTable, now_s: float) -> list[tuple[StepWork, int]]:
    """Returns the tasks whose jobs are to be given up now, each as its step and its index."""
    condemned_s = {}
    due = []
    for key, step in table.suspects.items():
        for index, record in step.step_progress.crashes.items():
            if step.work.state in FINAL_STATES or not _is_condemned(record):
                continue
            since_s = table.condemned_s.get((key, index), now_s)
            condemned_s[key, index] = since_s
            if now_s - since_s >= GIVE_UP_DELAY_S:
                due.append((step, index))
    table.condemned_s = condemned_s
    return due
