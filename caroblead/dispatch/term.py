"""The tables of one term of the leader, on which its systems work."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.timer import TimerService
from ..jobs.ledger import Ledger
from .commit import CommitQueue
from .counsel import Counsel
from .fleet import Fleet
from .health import HealthBook
from .interface import Configuration, KeyedLog, ListedVm, VmControl
from .orders import OrderDesk
from .rank import Allowance
from .work import JobWork


@dataclass(slots=True)
class LeaderParts:
    """What a term works with."""

    log: KeyedLog
    vms: VmControl
    counsel: Counsel
    ledger: Ledger
    timers: TimerService
    get_configuration: Callable[[], Configuration]
    get_listed: Callable[[], dict[str, ListedVm]]
    on_lost: Callable[[str], None]
    lease_s: float


@dataclass(slots=True, eq=False)
class TermState:
    """What a term knows and works with; ``lost`` is set once another may have begun."""

    parts: LeaderParts
    term: int
    fleet: Fleet
    commit: CommitQueue
    desk: OrderDesk
    works: dict[str, JobWork] = field(default_factory=dict)
    health: HealthBook = field(default_factory=HealthBook)
    allowances: dict[str, Allowance] = field(default_factory=dict)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    lost: bool = False
