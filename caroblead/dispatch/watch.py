"""Renews the lease of each VM and reconciles its run lists with the leader's table."""

import asyncio

from ..core.clock import get_elapsed_s
from ..core.logsink import log
from ..core.timer import await_and_log_errors, call_and_log_errors
from .fleet import Fleet, Run, RunPhase, VmRow
from .health import record_progress
from .interface import HoldAnswer, NoAnswer, Refused, StartRefusal, VmControl
from .learning.speedwatch import watch_progress
from .lease import grant_deadline, observe_clock, observe_first_answer
from .orders import OrderSender
from .pacing import list_runs_to_pace, update_pace
from .report import Reports

# A renewal is a long poll: it returns at the end of a run, or after this long without one.
POLL_WAIT_S = 0.7
# Ends that come within this time share one poll.
BATCH_DELAY_S = 0.06
RETRY_S = 0.1
# The lease of a VM that has been silent for longer is not extended: the VM might receive a grant
# without its answer arriving, and the end of its last lease could then never be determined.
GRANT_WHILE_HEARD_S = 1.2
# The interval at which a VM is polled while its ends can't be recorded.
UNRECORDED_POLL_S = 0.5


class Watch:
    """Renews the lease of one VM in a loop and reports its answers to the leader."""

    def __init__(
        self,
        fleet: Fleet,
        row: VmRow,
        vms: VmControl,
        order_sender: OrderSender,
        reports: Reports,
    ):
        self.fleet = fleet
        self.row = row
        self.vms = vms
        self.order_sender = order_sender
        self.reports = reports
        self.polls = 0
        self.silent = False

    async def run(self):
        """Polls the VM until it is cancelled; an error in one poll doesn't end the others."""
        while True:
            if not await await_and_log_errors(self._renew()):
                await asyncio.sleep(RETRY_S)

    async def _renew(self) -> bool:
        """Polls the VM once; returns whether it answered with its lists."""
        sent_s, fence = get_elapsed_s(), self.row.fence
        answer = await self._hold()
        if self.row.fence != fence:
            # The VM has restarted meanwhile, and this may be an answer of its former incarnation.
            return True
        if not isinstance(answer, HoldAnswer):
            if isinstance(answer, NoAnswer):
                self.reports.on_unanswered(self.row, sent_s)
            self._handle_failure(answer)
            return False
        await self._handle_lists(answer, sent_s)
        return True

    async def poll_once(self):
        """Polls the VM at once, in parallel to a renewal that may be waiting there."""
        sent_s, fence = get_elapsed_s(), self.row.fence
        answer = await self._hold(wait=False)
        if isinstance(answer, HoldAnswer) and self.row.fence == fence:
            await self._handle_lists(answer, sent_s)

    async def _hold(self, wait: bool = True):
        row, now_s = self.row, get_elapsed_s()
        # A VM that has just been silent may have restarted: its clock and ends may be others now.
        known = row.clock_at_s > 0 and row.answered and not self.silent
        deadline = None
        if known and now_s - row.heard_s < GRANT_WHILE_HEARD_S:
            deadline = grant_deadline(self.fleet, row, self.reports.get_confirmed_s(), now_s)
        self.polls += 1
        wait_s = POLL_WAIT_S if known and wait else 0.0
        seen = row.seen if known else 0
        return await self.vms.hold(row.make_target(), row.fence, seen, deadline, wait_s)

    def _handle_failure(self, answer: Refused | NoAnswer):
        row = self.row
        if not self.silent:
            self.silent = True
            detail = answer.reason if isinstance(answer, Refused) else answer.detail
            log("vm:lost", vm=row.name, detail=detail, runs=len(row.runs))
        if isinstance(answer, Refused) and answer.reason is StartRefusal.FENCED:
            self.reports.on_fenced(row, row.fence)

    async def _handle_lists(self, answer: HoldAnswer, sent_s: float):
        row, fence = self.row, self.row.fence
        if self.silent:
            self.silent = False
            log("vm:back", vm=row.name, silent_s=get_elapsed_s() - row.heard_s)
        if answer.incarnation != row.incarnation:
            self.reports.on_restarted(row, answer.incarnation)
            # It still carries out calls for its former incarnation, until it has got one with the
            # fence of this one; that answer is its first.
            return
        first = not row.answered
        if first:
            observe_first_answer(self.fleet, row, answer.clock_ms, get_elapsed_s())
        else:
            observe_clock(row, answer.clock_ms, get_elapsed_s())
        seen = row.seen
        for ended in answer.ended:
            seen = max(seen, ended.serial)
            self.reports.on_end(row, ended)
        self._reconcile(answer, sent_s)
        call_and_log_errors(watch_progress, self.fleet, row, answer, get_elapsed_s())
        self._set_pace(answer)
        if first:
            self.reports.on_free_room()
        if seen > row.seen:
            if await self.reports.wait_recorded(UNRECORDED_POLL_S):
                if row.fence == fence:
                    row.seen = max(row.seen, seen)
                await asyncio.sleep(BATCH_DELAY_S)

    def _set_pace(self, answer: HoldAnswer):
        row, before = self.row, self.row.fill_pace
        update_pace(row, answer)
        if row.fill_pace != before:
            log("vm:fill_pace", vm=row.name, percent=row.fill_pace, before=before)
        for run in list_runs_to_pace(row):
            self.order_sender.pace(run, row.fill_pace)

    def _reconcile(self, answer: HoldAnswer, sent_s: float):
        row = self.row
        listed = {(item.task, item.number): item for item in answer.running}
        ended = {(item.task, item.number) for item in answer.ended}
        for place, run in list(row.runs.items()):
            item = listed.pop(place, None)
            if item is not None:
                self._handle_running(run, item)
            elif place not in ended and not answer.more_ends:
                self._handle_absent(run, sent_s)
        row.unknown_runs = len(listed)
        for item in listed.values():
            self.reports.on_unknown_run(row, item)

    def _handle_running(self, run: Run, item):
        run.is_confirmed = True
        if record_progress(run, item, get_elapsed_s()):
            self.reports.on_stalled(run)
        if item.checkpoint:
            run.checkpoint = item.checkpoint
        if run.phase in (RunPhase.UNSURE, RunPhase.INHERITED):
            run.phase = RunPhase.RUNNING
            run.order_answered_s = get_elapsed_s()
            self.reports.on_begun(run)
        if not run.wanted:
            self.order_sender.stop(run)

    def _handle_absent(self, run: Run, sent_s: float):
        if run.phase is RunPhase.INHERITED:
            # The VM has seen this term, so it rejects an order of a former one that arrives late.
            self.reports.on_gone(run, "it never started")
        elif run.phase is RunPhase.UNSURE:
            self.order_sender.stop(run)
        elif run.phase is RunPhase.RUNNING and run.order_answered_s < sent_s:
            self.reports.on_gone(run, "its VM does not list it")
        elif run.phase is RunPhase.STOPPING and run.order_answered_s < sent_s:
            self.reports.on_gone(run, "it was stopped before it started")
