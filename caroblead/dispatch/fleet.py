"""The VMs under the leader's term: their room, their leases and what runs on them.

Room is taken before an order is recorded and given back only when it is certain that nothing runs
on it any more.
"""

import enum
from dataclasses import dataclass, field

from ..core.resource import NOTHING, Resources, add, subtract
from ..jobs.data import StepKey
from .interface import ListedVm, Target, TaskName

# A VM's clock may run this much slow.
CLOCK_DRIFT = 0.02
# Added to each proof that a lease has lapsed, for rounding and for the delay of timers.
LAPSE_MARGIN_S = 0.1
# A VM that has not answered for this long gets no new work.
SILENT_AFTER_S = 1.3


# The pace of a run that works undisturbed, in percent.
FULL_PACE = 100


class RunPhase(enum.StrEnum):
    """What is known of a run.

    ``INHERITED`` runs were ordered in a former term and their VM hasn't answered in this one.
    """

    RECORDING = "recording"
    ORDERED = "ordered"
    RUNNING = "running"
    UNSURE = "unsure"
    STOPPING = "stopping"
    INHERITED = "inherited"


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task on a VM, from the decision to the proof of its end.

    ``settled_s`` is when the VM last answered an order about it. ``wanted`` is false once its end
    no longer matters, such as after a cancellation. An ``evictable`` run may be stopped for more
    urgent work, and one that ``saves`` goes on from its last checkpoint then. A ``watched`` run
    should show progress: ``percent`` of its work was done at ``moved_s``. A run of a former term
    has no ``started_s``. ``need`` is the room that it takes of its VM and ``charge`` what counts
    for its team, which is the same unless it says more.

    A run with a latency objective has a ``target_ms``. One that ``fills`` what the others leave of
    a VM works at ``pace`` percent of its speed; nothing is known of the pace of a run of a former
    term.
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
    settled_s: float = 0.0
    started_s: float = 0.0
    percent: float = 0.0
    moved_s: float = 0.0
    still_looks: int = 0
    watched: bool = False
    estimate_s: float = 0.0
    checkpoint: str = ""
    priority: int = 0
    evictable: bool = False
    saves: bool = False
    target_ms: int = 0
    fills: bool = False
    pace: int | None = FULL_PACE
    charge: Resources | None = None

    def get_charge(self) -> Resources:
        """Returns what counts for the team."""
        return self.need if self.charge is None else self.charge


@dataclass(slots=True, eq=False)
class VmRow:
    """A VM with its lease.

    ``clock_ms`` was read from the VM by the time ``clock_at_s``; ``deadline_ms`` is the latest end
    of a lease ever given to this incarnation, on the VM's own clock. ``fill_pace`` is the pace for
    runs that fill, raised after ``calm_looks`` without harm.
    """

    name: str
    listed: ListedVm
    incarnation: int
    free: Resources
    in_registry: bool = True
    runs: dict[tuple[TaskName, int], Run] = field(default_factory=dict)
    clock_ms: int = 0
    clock_at_s: float = 0.0
    deadline_ms: int = 0
    answered: bool = False
    heard_s: float = 0.0
    seen: int = 0
    strangers: int = 0
    avoid_until_s: float = 0.0
    reset_s: float = 0.0
    fill_pace: int = FULL_PACE
    calm_looks: int = 0
    failed_jobs: set[str] = field(default_factory=set)

    def make_target(self) -> Target:
        """Returns where orders to this incarnation go."""
        return Target(self.name, self.incarnation, self.listed.address)


@dataclass(slots=True, frozen=True)
class Reservation:
    """A VM that is kept for a step that found no room; only more urgent work may use it."""

    step: StepKey
    rank: tuple
    until_s: float


@dataclass(slots=True, eq=False)
class Fleet:
    """All VMs, what each team has running, and when this term began."""

    rows: dict[str, VmRow] = field(default_factory=dict)
    used: dict[str, Resources] = field(default_factory=dict)
    term_began_s: float = 0.0
    lease_s: float = 8.0
    reservations: dict[str, "Reservation"] = field(default_factory=dict)


def put_vm(fleet: Fleet, listed: ListedVm) -> VmRow:
    """Adds a VM or takes over what the registry says of it."""
    row = fleet.rows.get(listed.name)
    if row is None:
        row = VmRow(listed.name, listed, listed.incarnation, listed.capacity)
        fleet.rows[listed.name] = row
        return row
    if listed.capacity != row.listed.capacity:
        row.free = add(row.free, subtract(listed.capacity, row.listed.capacity))
    row.listed = listed
    row.in_registry = True
    return row


def book_run(fleet: Fleet, run: Run):
    """Takes the room of a run on its VM and counts it for its team."""
    row = run.vm
    row.runs[run.task, run.number] = run
    row.free = subtract(row.free, run.need)
    fleet.used[run.team] = add(fleet.used.get(run.team, NOTHING), run.get_charge())


def release_run(fleet: Fleet, run: Run) -> bool:
    """Gives back the room of a run, once."""
    row = run.vm
    if row.runs.pop((run.task, run.number), None) is None:
        return False
    row.free = add(row.free, run.need)
    fleet.used[run.team] = subtract(fleet.used[run.team], run.get_charge())
    return True


def observe_clock(row: VmRow, clock_ms: int, now_s: float):
    """Takes in a reading of a VM's clock that has just arrived."""
    row.clock_ms = clock_ms
    row.clock_at_s = now_s
    row.heard_s = now_s


def observe_first_answer(fleet: Fleet, row: VmRow, clock_ms: int, now_s: float):
    """Takes in a VM's first answer in this term.

    The former leader may have given it a lease until a moment ago, so nothing on it counts as
    lapsed before the longest such lease has.
    """
    observe_clock(row, clock_ms, now_s)
    row.answered = True
    row.deadline_ms = max(row.deadline_ms, clock_ms + int(fleet.lease_s * 1000))


def grant_deadline(fleet: Fleet, row: VmRow, authority_s: float) -> int:
    """Returns the end of a lease counted from the leader's last proof of its term.

    Counting from the proof and not from now bounds what a leader can grant that was paused between
    the proof and the order: a successor knows when the last such lease has lapsed.
    """
    deadline = row.clock_ms + int((authority_s - row.clock_at_s + fleet.lease_s) * 1000)
    row.deadline_ms = max(row.deadline_ms, deadline)
    return deadline


def has_lapsed(fleet: Fleet, row: VmRow, now_s: float) -> bool:
    """Returns whether every lease ever given to a silent VM has certainly lapsed."""
    if not row.answered:
        wait_s = fleet.lease_s * (1 + 2 * CLOCK_DRIFT) + LAPSE_MARGIN_S
        return now_s - max(fleet.term_began_s, row.reset_s) > wait_s
    slowest_ms = row.clock_ms + (now_s - row.clock_at_s) * 1000 * (1 - CLOCK_DRIFT)
    lapsed = slowest_ms >= row.deadline_ms + LAPSE_MARGIN_S * 1000
    return lapsed


def is_usable(row: VmRow, now_s: float) -> bool:
    """Returns whether a VM may get new work."""
    return (
        row.answered
        and row.in_registry
        and not row.listed.draining
        and not row.strangers
        and now_s - row.heard_s < SILENT_AFTER_S
        and now_s >= row.avoid_until_s
    )


def reset_incarnation(row: VmRow, incarnation: int, now_s: float):
    """Forgets the lease of a VM that has started again; its runs must be ended by the caller."""
    row.incarnation = incarnation
    row.clock_ms = row.deadline_ms = row.seen = row.strangers = 0
    row.clock_at_s = row.heard_s = 0.0
    row.answered = False
    row.reset_s = now_s
    row.fill_pace, row.calm_looks = FULL_PACE, 0
    row.failed_jobs.clear()
