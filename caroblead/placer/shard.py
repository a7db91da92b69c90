"""A shard: a set of VMs scheduled by one owner, with the owner's state about them.

The lifecycle of a shard in a placer is a state machine: ``idle`` while another node owns it,
``acquiring`` while leases are being taken, ``owning``, and ``leaving`` while it is handed over. The
tables are rebuilt from the reports of the VMs each time a shard is acquired.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from transitions import Machine

from ..config.setting import Limits
from ..core.data import Task
from ..core.outcome import Fault, NotRun, Outcome, Unknown
from ..events.timeline import Timeline
from ..fleet.follower import Follower
from ..fleet.interface import ListedVm, Log
from ..policy.cell import Cell
from .jobrecord import RecordedState
from .lease import Lease, LeaseHolder
from .recorder import Recorder

STATES = ["idle", "acquiring", "owning", "leaving"]
TRANSITIONS = [
    {"trigger": "begin", "source": "idle", "dest": "acquiring"},
    {"trigger": "win", "source": "acquiring", "dest": "owning"},
    {"trigger": "hand_over", "source": "owning", "dest": "leaving"},
    {"trigger": "reset", "source": "*", "dest": "idle"},
]
INITIAL_SERVICE_TIME_S = 0.05


@dataclass(slots=True, eq=False)
class RequestEntry:
    """A request that this owner has accepted, with a future for its outcome.

    ``may_have_run`` is set when an attempt was lost; from then on the outcome can't be ``NotRun``.
    ``ended_s`` is the time of the outcome, 0 until there is one.
    """

    task: Task
    payload: bytes
    future: asyncio.Future
    action: str
    ended_s: float = 0.0
    may_have_run: bool = False


@dataclass(slots=True, frozen=True)
class ShardContext:
    """What a shard uses of its placer process.

    The callbacks start a lease call to a VM, update the grants of a shard when it is acquired, and
    restore its jobs and claim its grants afterwards.
    """

    node: str
    zone: str
    holder: LeaseHolder
    limits: Limits
    timeline: Timeline
    follower: Follower
    log: Log
    random: random.Random
    start_lease_call: Callable
    sync_grants: Callable
    restore_and_claim: Callable


class ShardLifecycle:
    """The lifecycle state of a shard; the machine adds the triggers as methods."""

    def __init__(self):
        self.state = "idle"


LIFECYCLE_MACHINE = Machine(
    model=None, states=STATES, transitions=TRANSITIONS, initial="idle", auto_transitions=False
)


@dataclass(slots=True, eq=False)
class Tables:
    """The state that an owner keeps about its shard, rebuilt at each acquisition.

    ``inherited_requests`` has the requests that VMs run for a former owner. ``unrecorded_ends``,
    ``unrecorded_verdicts`` and ``gone_vms`` wait to be written to the log. ``ended_task_vms`` has
    the VM of each ended task; the VM is told to forget the task only once its end is written.
    ``previous_grants`` has the version of a team's limit and the last grant under it.
    ``mean_service_s`` is a moving average of the latency of requests.
    """

    cell: Cell = field(default_factory=Cell)
    requests: dict[str, RequestEntry] = field(default_factory=dict)
    inherited_requests: dict[str, Task] = field(default_factory=dict)
    unrecorded_ends: dict[str, object] = field(default_factory=dict)
    ended_task_vms: dict[str, str] = field(default_factory=dict)
    unrecorded_verdicts: dict[str, str] = field(default_factory=dict)
    previous_grants: dict[str, tuple[int, int]] = field(default_factory=dict)
    move_requested_s: dict[str, float] = field(default_factory=dict)
    gone_vms: set[str] = field(default_factory=set)
    mean_service_s: float = INITIAL_SERVICE_TIME_S
    jobs_ready: bool = False
    restoring: bool = False
    recorded_s: float = 0.0


class Shard:
    """A shard as a placer sees it, whether it is the owner or not.

    ``listed`` has the shard's VMs on the platform's list, ``unreachable_since_s`` the time since
    when a VM has not answered, and ``ownerless_since_s`` the time since when no owner is known.
    ``settled`` is the highest ticket that the owners of all shards are known to apply.
    """

    def __init__(self, name: str, context: ShardContext):
        self.name = name
        self.context = context
        self.lifecycle = ShardLifecycle()
        LIFECYCLE_MACHINE.add_model(self.lifecycle, initial="idle")
        self.epoch = 0
        self.leases: dict[str, Lease] = {}
        self.listed: dict[str, ListedVm] = {}
        self.unreachable_since_s: dict[str, float] = {}
        self.ownerless_since_s: float | None = None
        self.tables = Tables()
        self.recorded_state = RecordedState()
        self.recorder = Recorder(context.log, self.stream, context.limits.record_batch_s)
        self.tick_handle: asyncio.TimerHandle | None = None
        self.background: set[asyncio.Task] = set()
        self.acquiring = False
        self.settled = 0

    @property
    def stream(self) -> str:
        """The name of the stream in the platform's log that has the records of the shard's jobs."""
        return f"jobs-{self.name}"

    @property
    def cell(self) -> Cell:
        """The tables that the scheduling policies read and change."""
        return self.tables.cell

    def is_owned(self) -> bool:
        """Returns whether this process is the owner of the shard now."""
        return self.lifecycle.state == "owning"

    def get_time(self) -> float:
        """Returns the monotonic time in seconds."""
        return asyncio.get_running_loop().time()


def finish_entry(shard: Shard, entry: RequestEntry, outcome: Outcome):
    """Sets the outcome of a request unless it has one already."""
    if not entry.future.done():
        entry.ended_s = shard.get_time()
        entry.future.set_result(outcome)


def finish_without_answer(shard: Shard, entry: RequestEntry, fault: Fault):
    """Ends a request that will not be retried: as ``NotRun``, or ``Unknown`` if it may have run."""
    finish_entry(shard, entry, Unknown(fault) if entry.may_have_run else NotRun(fault))
