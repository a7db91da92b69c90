"""A shard: the VMs that one owner decides for, with everything that it knows of them.

The life of a shard in a placer is a state machine: ``idle`` while another node owns it,
``acquiring`` while leases are being taken, ``owning``, and ``leaving`` while it is handed over. The
tables are built anew from the VMs each time a shard is acquired.
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
from .jobbook import JobBook
from .lease import Holder, Lease
from .recorder import Recorder

STATES = ["idle", "acquiring", "owning", "leaving"]
TRANSITIONS = [
    {"trigger": "begin", "source": "idle", "dest": "acquiring"},
    {"trigger": "win", "source": "acquiring", "dest": "owning"},
    {"trigger": "hand_over", "source": "owning", "dest": "leaving"},
    {"trigger": "reset", "source": "*", "dest": "idle"},
]
FIRST_SERVICE_S = 0.05


@dataclass(slots=True, eq=False)
class RequestEntry:
    """A request that this owner has taken, and its outcome once there is one.

    ``may_have_run`` is set when an attempt was lost; from then on "not run" can't be said.
    """

    task: Task
    payload: bytes
    future: asyncio.Future
    action: str
    ended_s: float = 0.0
    may_have_run: bool = False


@dataclass(slots=True, frozen=True)
class Surroundings:
    """What a shard uses of its process."""

    node: str
    zone: str
    holder: Holder
    limits: Limits
    timeline: Timeline
    follower: Follower
    log: Log
    random: random.Random
    kick: Callable
    sync: Callable
    claim: Callable


class ShardLife:
    """The state of a shard's life; the triggers are added by the machine."""

    def __init__(self):
        self.state = "idle"


LIFE_MACHINE = Machine(
    model=None, states=STATES, transitions=TRANSITIONS, initial="idle", auto_transitions=False
)


@dataclass(slots=True, eq=False)
class Tables:
    """What an owner knows of its shard; made new at each acquisition."""

    cell: Cell = field(default_factory=Cell)
    requests: dict[str, RequestEntry] = field(default_factory=dict)
    foreign: dict[str, Task] = field(default_factory=dict)
    end_buffer: dict[str, object] = field(default_factory=dict)
    end_vms: dict[str, str] = field(default_factory=dict)
    verdict_buffer: dict[str, str] = field(default_factory=dict)
    previous_grants: dict[str, tuple[int, int]] = field(default_factory=dict)
    asked_s: dict[str, float] = field(default_factory=dict)
    gone_vms: set[str] = field(default_factory=set)
    mean_service_s: float = FIRST_SERVICE_S
    jobs_ready: bool = False
    restoring: bool = False
    recorded_s: float = 0.0


class Shard:
    """One shard as a placer sees it, owned or not."""

    def __init__(self, name: str, around: Surroundings):
        self.name = name
        self.around = around
        self.life = ShardLife()
        LIFE_MACHINE.add_model(self.life, initial="idle")
        self.epoch = 0
        self.leases: dict[str, Lease] = {}
        self.listed: dict[str, ListedVm] = {}
        self.unheard: dict[str, float] = {}
        self.without_owner_s: float | None = None
        self.tables = Tables()
        self.book = JobBook()
        self.recorder = Recorder(around.log, self.stream, around.limits.record_batch_s)
        self.tick_handle: asyncio.TimerHandle | None = None
        self.background: set[asyncio.Task] = set()
        self.acquiring = False
        self.settled = 0

    @property
    def stream(self) -> str:
        """The stream of the shard's jobs in the platform's log."""
        return f"jobs-{self.name}"

    @property
    def cell(self) -> Cell:
        """The tables of the decision systems."""
        return self.tables.cell

    def is_owned(self) -> bool:
        """Returns whether this process decides for the shard now."""
        return self.life.state == "owning"

    def get_time(self) -> float:
        """Returns the monotonic time in seconds."""
        return asyncio.get_running_loop().time()


def finish_entry(shard: Shard, entry: RequestEntry, outcome: Outcome):
    """Gives a request its outcome, once."""
    if not entry.future.done():
        entry.ended_s = shard.get_time()
        entry.future.set_result(outcome)


def finish_without_answer(shard: Shard, entry: RequestEntry, fault: Fault):
    """Ends a request that will not be tried again: not run, unless an attempt was lost."""
    finish_entry(shard, entry, Unknown(fault) if entry.may_have_run else NotRun(fault))
