"""The state of one term of the leader, which its modules share."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..core.timer import TimerService
from ..jobs.ledger import Ledger
from .advice.adviceload import AdviceMeter
from .advice.advicequeue import AdviceQueue
from .advice.advicesize import AdviceShares
from .commit import CommitQueue
from .crash import CrashTable
from .evacuation import EvacuationState, ZoneReading
from .failure import Failures
from .features import Features
from .fleet import Fleet
from .health import HealthTable
from .interface import Configuration, KeyedLog, ListedVm, TaskName, VmControl
from .loadmeter import LoadMeter
from .orders import OrderSender
from .rank import TokenBucket
from .share import ShareTable
from .waitlog import WaitTable
from .work import JobWork, StepWork

# No task is started by entries of the registry that were read longer ago than this: a shrink that
# they may lack counts 4 s after the VM has written it at the latest.
MAX_LISTED_AGE_S = 3.5


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
    get_listed_age_s: Callable[[], float]
    on_lost: Callable[[str], None]
    lease_s: float
    longest_lease_s: float
    features: Features = Features()
    get_evacuations: Callable[[], ZoneReading] = ZoneReading


@dataclass(slots=True, eq=False)
class TermState:
    """The tables and services of a term; ``lost`` is set once another term may have begun.

    Nothing new is decided once the leader is ``resigning``, because the term would end before the
    orders could be sent. That the ``begun_jobs`` have begun isn't recorded yet.
    ``on_steps_opened`` is called with steps that have become due, and ``load_meter`` is
    ``None`` unless admission control is enabled.
    """

    dependencies: LeaderDependencies
    term: int
    fleet: Fleet
    commit: CommitQueue
    order_sender: OrderSender
    open_jobs: dict[str, JobWork] = field(default_factory=dict)
    begun_jobs: list[JobWork] = field(default_factory=list)
    health: HealthTable = field(default_factory=HealthTable)
    crash_table: CrashTable = field(default_factory=CrashTable)
    evacuation: EvacuationState = field(default_factory=EvacuationState)
    buckets: dict[str, TokenBucket] = field(default_factory=dict)
    advice_shares: AdviceShares = field(default_factory=AdviceShares)
    shares: ShareTable = field(default_factory=ShareTable)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    failures: Failures = field(default_factory=Failures)
    lost: bool = False
    resigning: bool = False
    on_steps_opened: Callable[[Iterable[StepWork]], None] = lambda steps: None
    load_meter: LoadMeter | None = None
    wait_table: WaitTable = field(default_factory=WaitTable)
    advice_meter: AdviceMeter = field(default_factory=AdviceMeter)

    def __post_init__(self):
        if self.dependencies.features.admission:
            self.load_meter = LoadMeter()

    def find_step(self, task: TaskName) -> StepWork | None:
        """Returns the step of a task, or ``None`` if its job has ended."""
        work = self.open_jobs.get(task.job)
        return work and work.steps.get((task.occurrence, task.step))


def is_registry_current(dependencies: LeaderDependencies) -> bool:
    """Returns whether the entries of the VMs are recent enough to start tasks by them."""
    return dependencies.get_listed_age_s() <= MAX_LISTED_AGE_S
