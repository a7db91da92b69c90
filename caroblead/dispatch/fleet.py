"""The leader's table of VMs: their free resources and their runs.

Resources are booked before an order is recorded, and released only when it is certain that the run
does not use them any more.
"""

import enum
from dataclasses import dataclass, field

from ..core.resource import NOTHING, Resources, add, fits, subtract
from ..jobs.data import StepKey
from .interface import ListedVm, Target, TaskName
from .learning.speed import SpeedTable

# The fencing tokens of a term. Each incarnation of a VM is called with one of its own.
FENCES_PER_TERM = 1_000_000
# A VM that has not answered for this long gets no new tasks.
SILENT_AFTER_S = 1.3

# The pace of a run that isn't throttled, in percent.
FULL_PACE = 100


class RunPhase(enum.StrEnum):
    """What the leader knows about a run.

    ``RECORDING``: the decision is not yet stored in the log. ``ORDERED``: the start order is in
    flight. ``RUNNING``: the VM has confirmed it. ``UNSURE``: an order may or may not have taken
    effect. ``STOPPING``: it is being stopped. ``INHERITED``: it was ordered in a former term, and
    its VM hasn't answered in this one.
    """

    RECORDING = "recording"
    ORDERED = "ordered"
    RUNNING = "running"
    UNSURE = "unsure"
    STOPPING = "stopping"
    INHERITED = "inherited"


class Isolation(enum.IntEnum):
    """How far a task is kept from other work because VMs have gone down under it.

    ``APART``: away from other such tasks where possible. ``ALONE``: on a VM without other runs.
    ``HELD``: not started.
    """

    NONE = 0
    APART = 1
    ALONE = 2
    HELD = 3


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task on a VM, from the decision until its end is certain.

    ``order_answered_s`` is when the VM last answered an order about it. ``unanswered`` is set when
    an order got no answer and may take effect late. ``wanted`` is false once its end no longer
    matters, such as after a cancellation. An ``evictable`` run may be stopped for more urgent
    work, and one that ``has_checkpoints`` then resumes from the last one. A run that
    ``expects_progress`` counts as stalled when it shows none: its progress became ``percent``
    at ``progressed_s``. An ``endless`` run keeps its resources until it is stopped or breaks
    off. A run of a former term has no ``started_s``, and ``began_s`` is when the VM confirmed the
    start in this one. ``resumed`` tells whether it began from a checkpoint. ``expected_s`` is its
    expected work as learned, 0 if only the estimate is known. ``need`` is what it books on its VM,
    and ``charge`` what counts toward the quota of its team; ``None`` stands for ``need``.

    It is expected to end between ``low_s`` and ``high_s`` after its start, in eight cases of ten.
    Run anew, it and the steps after it take ``rest_s``. Its job is due at ``due_s``, which is
    ``target_s`` after it was accepted. A run that ``backfills`` is on a VM that was reserved for
    that step.

    A run with a latency objective has a ``target_ms``. One that ``fills``, that is, uses what the
    other runs of a VM leave free, works at ``pace`` percent of its speed; the pace of a run of a
    former term is not known.

    ``incarnation`` is that of the VM to which it was ordered, or a later one whose restart has been
    counted for it. It ``is_confirmed`` once it is known to be in the incarnation whose clock the
    leader knows.
    """

    task: TaskName
    number: int
    vm: "VmRow"
    team: str
    need: Resources
    phase: RunPhase = RunPhase.RECORDING
    wanted: bool = True
    unanswered: bool = False
    ticket: str = ""
    ticket_until_s: float = float("inf")
    order_answered_s: float = 0.0
    started_s: float = 0.0
    began_s: float = 0.0
    resumed: bool = False
    expected_s: float = 0.0
    percent: float = 0.0
    progressed_s: float = 0.0
    stalled_polls: int = 0
    expects_progress: bool = False
    estimate_s: float = 0.0
    high_s: float = 0.0
    low_s: float = 0.0
    rest_s: float = 0.0
    due_s: float = 0.0
    target_s: float = 0.0
    checkpoint: str = ""
    priority: int = 0
    evictable: bool = False
    endless: bool = False
    has_checkpoints: bool = False
    target_ms: int = 0
    fills: bool = False
    pace: int | None = FULL_PACE
    charge: Resources | None = None
    incarnation: int = 0
    is_confirmed: bool = False
    isolation: Isolation = Isolation.NONE
    backfills: StepKey | None = None

    def get_charge(self) -> Resources:
        """Returns the resources that count toward the quota of the team."""
        return self.need if self.charge is None else self.charge


@dataclass(slots=True, eq=False)
class VmRow:
    """The row of one VM in the table, with its lease.

    ``clock_ms`` is the VM's clock as read by the time ``clock_at_s``; ``deadline_ms`` is the latest
    end of any lease granted to this incarnation, on the VM's own clock, and ``granted_s`` when the
    last grant was sent. ``fence`` is the fencing token of the calls to this incarnation: a VM that
    has seen it does nothing for a call to a former one. ``heard_s`` is when the VM
    last answered, and ``answered`` whether it has done so in this term. ``seen`` is the serial of
    the last end that has been recorded, and ``unknown_runs`` counts the listed runs that the leader
    doesn't know. The VM gets no new tasks before ``avoid_until_s``. ``reset_s`` is when a restart
    of the VM was noticed. ``fill_pace`` is the pace of its filling runs in percent, and
    ``calm_polls`` counts the polls in a row with low response times, after which it is raised.
    ``failed_jobs`` are the jobs whose runs failed since the last success. ``apart_runs`` and
    ``alone_runs`` count the runs of either level of isolation. ``late_orders`` are the start orders
    that got no answer and were settled by a stop, with the time until which they may be carried
    out if the VM restarts and forgets the stop. ``speed`` is as learned, 1.0 if nothing is known.
    The VM gets no new tasks until it has been heard after ``doubted_s``.
    """

    name: str
    listed: ListedVm
    incarnation: int
    free: Resources
    fence: int = 0
    in_registry: bool = True
    runs: dict[tuple[TaskName, int], Run] = field(default_factory=dict)
    clock_ms: int = 0
    clock_at_s: float = 0.0
    deadline_ms: int = 0
    granted_s: float = 0.0
    answered: bool = False
    heard_s: float = 0.0
    seen: int = 0
    unknown_runs: int = 0
    avoid_until_s: float = 0.0
    reset_s: float = 0.0
    fill_pace: int = FULL_PACE
    calm_polls: int = 0
    failed_jobs: set[str] = field(default_factory=set)
    apart_runs: int = 0
    alone_runs: int = 0
    speed: float = 1.0
    late_orders: dict[tuple[TaskName, int], float] = field(default_factory=dict)
    doubted_s: float = 0.0

    def make_target(self) -> Target:
        """Returns the target for orders to this incarnation."""
        return Target(self.name, self.incarnation, self.listed.address)


@dataclass(slots=True, frozen=True)
class Reservation:
    """A reservation of a VM for a step that found no room; only more urgent work may use the VM."""

    step: StepKey
    rank: tuple
    until_s: float


@dataclass(slots=True, eq=False)
class Fleet:
    """All VMs, the resources that each team uses, the reservations, and when this term began.

    A grant ends ``lease_s`` after the leader's term was last confirmed, and a VM shortens a lease
    to ``longest_lease_s``.

    No task starts in the ``evacuated_zones``, and no start order sent now may be carried out later
    than ``start_until_s``. ``speeds`` holds the learned speeds of the VMs, ``None`` if they are not
    learned.
    ``fences`` counts the fences that have been given out in this term.
    ``lapsed_holds`` counts how often a step has had to give up reservations that it couldn't use,
    and ``backfilled_runs`` the runs started on VMs that were reserved for another step. In the last
    tick, quota was kept for ``steps_keeping_quota``.
    """

    rows: dict[str, VmRow] = field(default_factory=dict)
    used: dict[str, Resources] = field(default_factory=dict)
    term: int = 0
    term_began_s: float = 0.0
    lease_s: float = 8.0
    longest_lease_s: float = 10.0
    fences: int = 0
    reservations: dict[str, "Reservation"] = field(default_factory=dict)
    evacuated_zones: frozenset[str] = frozenset()
    start_until_s: float = float("inf")
    speeds: SpeedTable | None = None
    lapsed_holds: int = 0
    backfilled_runs: int = 0
    steps_keeping_quota: int = 0


def take_fence(fleet: Fleet) -> int:
    """Returns a fencing token that is higher than all before, in this term and former ones.

    A VM that comes back into the table gets a new one too, since its former row is forgotten.
    """
    fence = fleet.term * FENCES_PER_TERM + fleet.fences
    fleet.fences = min(fleet.fences + 1, FENCES_PER_TERM - 1)
    return fence


def put_vm(fleet: Fleet, listed: ListedVm) -> VmRow:
    """Adds a VM, or updates it from its entry in the registry."""
    row = fleet.rows.get(listed.name)
    if row is None:
        row = VmRow(listed.name, listed, listed.incarnation, listed.capacity, take_fence(fleet))
        fleet.rows[listed.name] = row
        return row
    if listed.capacity != row.listed.capacity:
        row.free = add(row.free, subtract(listed.capacity, row.listed.capacity))
    row.listed = listed
    row.in_registry = True
    return row


def book_run(fleet: Fleet, run: Run):
    """Books the resources of a run on its VM and charges them to its team."""
    row = run.vm
    row.runs[run.task, run.number] = run
    row.free = subtract(row.free, run.need)
    _count_isolated(run, 1)
    fleet.used[run.team] = add(fleet.used.get(run.team, NOTHING), run.get_charge())


def release_run(fleet: Fleet, run: Run) -> bool:
    """Releases the resources of a run; returns false if this was done before."""
    row = run.vm
    if row.runs.pop((run.task, run.number), None) is None:
        return False
    row.free = add(row.free, run.need)
    _count_isolated(run, -1)
    fleet.used[run.team] = subtract(fleet.used[run.team], run.get_charge())
    return True


def is_within_capacity(row: VmRow, starting: list[Run]) -> bool:
    """Returns whether a VM can hold the runs that are about to start there.

    It can unless it has shrunk since they were booked. Of the runs that exceed a shrunk capacity
    those whose orders have been sent count first, and those that are still being recorded not at
    all, because they are checked once they are recorded.
    """
    free = row.free
    if fits(NOTHING, free):
        return True
    for run in row.runs.values():
        if run.phase is RunPhase.RECORDING and run not in starting:
            free = add(free, run.need)
    return fits(NOTHING, free)


def _count_isolated(run: Run, change: int):
    if run.isolation is Isolation.APART:
        run.vm.apart_runs += change
    elif run.isolation is Isolation.ALONE:
        run.vm.alone_runs += change


def end_isolation(run: Run):
    """Lets other work share the VM of a booked run again."""
    _count_isolated(run, -1)
    run.isolation = Isolation.NONE


def is_usable(row: VmRow, now_s: float) -> bool:
    """Returns whether a VM may get new tasks."""
    return (
        row.answered
        and row.in_registry
        and not is_entry_outdated(row)
        and not row.listed.draining
        and not row.unknown_runs
        and not row.alone_runs
        and now_s - row.heard_s < SILENT_AFTER_S
        and row.heard_s >= row.doubted_s
        and now_s >= row.avoid_until_s
    )


def is_entry_outdated(row: VmRow) -> bool:
    """Returns whether the entry of a VM describes a former incarnation, or false if it names none.

    The present one may have another capacity and other labels.
    """
    return 0 < row.listed.incarnation < row.incarnation
