"""Keeps the lease of each VM and compares what it lists with what the leader believes."""

import asyncio

from ..core.clock import get_elapsed_s
from ..core.logsink import log
from .fleet import (
    Fleet,
    Run,
    RunPhase,
    VmRow,
    grant_deadline,
    observe_clock,
    observe_first_answer,
)
from .health import take_progress
from .interface import HoldAnswer, NoAnswer, Refused, StartRefusal, VmControl
from .orders import OrderDesk
from .pacing import list_to_pace, update_pace
from .report import Reports

# A renewal waits this long for an end before it comes back by itself.
WAIT_S = 0.7
# Ends that come within this time share one look.
GATHER_S = 0.06
RETRY_S = 0.1
# A VM that is silent for longer gets no longer lease, which it might receive without an answer;
# otherwise it could never be told when its last lease has lapsed.
GRANT_WHILE_HEARD_S = 1.2
# How often a VM is looked at while its ends can't be recorded.
UNRECORDED_LOOK_S = 0.5


class Watch:
    """Renews one VM's lease again and again and reports what it says."""

    def __init__(
        self,
        fleet: Fleet,
        row: VmRow,
        vms: VmControl,
        term: int,
        desk: OrderDesk,
        reports: Reports,
    ):
        self.fleet = fleet
        self.row = row
        self.vms = vms
        self.term = term
        self.desk = desk
        self.reports = reports
        self.looks = 0
        self.silent = False

    async def run(self):
        """Looks at the VM until it is cancelled."""
        while True:
            sent_s = get_elapsed_s()
            answer = await self._hold()
            if isinstance(answer, HoldAnswer):
                await self._take_lists(answer, sent_s)
            else:
                self._take_failure(answer)
                await asyncio.sleep(RETRY_S)

    async def look(self):
        """Looks at the VM at once, beside the renewal that may be waiting there."""
        sent_s = get_elapsed_s()
        answer = await self._hold(wait=False)
        if isinstance(answer, HoldAnswer):
            await self._take_lists(answer, sent_s)

    async def _hold(self, wait: bool = True):
        row = self.row
        known = row.clock_at_s > 0 and row.answered
        deadline = None
        if known and get_elapsed_s() - row.heard_s < GRANT_WHILE_HEARD_S:
            deadline = grant_deadline(self.fleet, row, self.reports.get_proof_s())
        self.looks += 1
        wait_s = WAIT_S if known and wait else 0.0
        return await self.vms.hold(row.make_target(), self.term, row.seen, deadline, wait_s)

    def _take_failure(self, answer: Refused | NoAnswer):
        row = self.row
        if not self.silent:
            self.silent = True
            detail = answer.reason if isinstance(answer, Refused) else answer.detail
            log("vm:lost", vm=row.name, detail=detail, runs=len(row.runs))
        if isinstance(answer, Refused) and answer.reason is StartRefusal.FENCED:
            self.reports.on_fenced(row.name)

    async def _take_lists(self, answer: HoldAnswer, sent_s: float):
        row = self.row
        if self.silent:
            self.silent = False
            log("vm:back", vm=row.name, silent_s=get_elapsed_s() - row.heard_s)
        if answer.incarnation != row.incarnation:
            self.reports.on_reborn(row, answer.incarnation)
        first = not row.answered
        if first:
            observe_first_answer(self.fleet, row, answer.clock_ms, get_elapsed_s())
        else:
            observe_clock(row, answer.clock_ms, get_elapsed_s())
        seen = row.seen
        for ended in answer.ended:
            seen = max(seen, ended.serial)
            self.reports.on_end(row, ended)
        self._compare(answer, sent_s)
        self._set_pace(answer)
        if first:
            self.reports.on_room()
        if seen > row.seen:
            if await self.reports.wait_recorded(UNRECORDED_LOOK_S):
                row.seen = max(row.seen, seen)
                await asyncio.sleep(GATHER_S)

    def _set_pace(self, answer: HoldAnswer):
        row, before = self.row, self.row.fill_pace
        update_pace(row, answer)
        if row.fill_pace != before:
            log("vm:fill_pace", vm=row.name, percent=row.fill_pace, before=before)
        for run in list_to_pace(row):
            self.desk.pace(run, row.fill_pace)

    def _compare(self, answer: HoldAnswer, sent_s: float):
        row = self.row
        listed = {(item.task, item.number): item for item in answer.running}
        ended = {(item.task, item.number) for item in answer.ended}
        for place, run in list(row.runs.items()):
            item = listed.pop(place, None)
            if item is not None:
                self._take_running(run, item)
            elif place not in ended:
                self._take_absent(run, sent_s)
        row.strangers = len(listed)
        for item in listed.values():
            self.desk.spawn(self.desk.stop_stranger(row, item))

    def _take_running(self, run: Run, item):
        if take_progress(run, item, get_elapsed_s()):
            self.reports.on_stalled(run)
        if item.checkpoint:
            run.checkpoint = item.checkpoint
        if run.phase in (RunPhase.UNSURE, RunPhase.INHERITED):
            run.phase = RunPhase.RUNNING
            run.settled_s = get_elapsed_s()
        if not run.wanted:
            self.desk.stop(run)

    def _take_absent(self, run: Run, sent_s: float):
        if run.phase is RunPhase.INHERITED:
            # The VM has seen this term, so the order of a former one can't take effect any more.
            self.reports.on_gone(run, "never started")
        elif run.phase is RunPhase.UNSURE:
            self.desk.stop(run)
        elif run.phase is RunPhase.RUNNING and run.settled_s < sent_s:
            self.reports.on_gone(run, "not listed")
        elif run.phase is RunPhase.STOPPING and run.settled_s < sent_s:
            self.reports.on_gone(run, "stopped before it started")
