"""The state of one term of the leader, which its modules share."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.timer import TimerService
from ..jobs.ledger import Ledger
from .advicequeue import AdviceQueue
from .commit import CommitQueue
from .crash import CrashTable
from .fleet import Fleet
from .health import HealthTable
from .interface import Configuration, KeyedLog, ListedVm, VmControl
from .orders import OrderSender
from .rank import TokenBucket
from .work import JobWork


@dataclass(slots=True)
class LeaderDependencies:
    """The services, data sources and callbacks that the leader depends on."""

    log: KeyedLog
    vms: VmControl
    advice_queue: AdviceQueue
    ledger: Ledger
    timers: TimerService
    get_configuration: Callable[[], Configuration]
    get_listed: Callable[[], dict[str, ListedVm]]
    on_lost: Callable[[str], None]
    lease_s: float


@dataclass(slots=True, eq=False)
class TermState:
    """The tables and services of a term; ``lost`` is set once another term may have begun.

    Nothing new is decided once the leader is ``resigning``, because the term would end before the
    orders could be sent.
    """

    dependencies: LeaderDependencies
    term: int
    fleet: Fleet
    commit: CommitQueue
    order_sender: OrderSender
    open_jobs: dict[str, JobWork] = field(default_factory=dict)
    health: HealthTable = field(default_factory=HealthTable)
    crash_table: CrashTable = field(default_factory=CrashTable)
    buckets: dict[str, TokenBucket] = field(default_factory=dict)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    lost: bool = False
    resigning: bool = False
