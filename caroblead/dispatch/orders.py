"""Sends the orders of the leader to VMs and handles their answers."""

import asyncio

from ..core.clock import get_elapsed_s
from ..core.logsink import log, log_routine
from ..core.timer import await_and_log_errors
from .evacuation import limit_start_deadline
from .fleet import Fleet, Run, RunPhase, is_within_capacity
from .interface import NoAnswer, Refused, Started, StartOrder, StartRefusal, VmControl
from .lease import grant_deadline, is_clock_of_incarnation
from .orderwindow import OrderWindow, tells_congestion
from .report import Reports

STOP_RETRY_S = 0.1
# A VM that leaves stops unanswered is asked again at growing intervals up to this one.
MAX_STOP_RETRY_S = 0.8
# How long a VM gets no new tasks after it refused a start for a reason that lies in the VM.
AVOID_S = {StartRefusal.UNHEALTHY: 2.0, StartRefusal.NO_ROOM: 1.0}
DEFAULT_AVOID_S = 0.5
# The reasons that lie in the order or its task: the VM goes on to get the tasks of other jobs.
REFUSALS_DUE_TO_THE_TASK = frozenset(
    {StartRefusal.NO_TICKET, StartRefusal.SUPERSEDED, StartRefusal.INVALID}
)


class OrderSender:
    """Starts, throttles and stops runs on behalf of one term."""

    def __init__(
        self,
        fleet: Fleet,
        vms: VmControl,
        reports: Reports,
    ):
        self.fleet = fleet
        self.vms = vms
        self.reports = reports
        self.tasks: set[asyncio.Task] = set()
        self.refusals: dict[str, int] = {}
        self.window = OrderWindow()

    def spawn(self, coroutine):
        """Runs a coroutine as a task that :meth:`close` cancels."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def start_all(self, runs: list[Run], payload: str):
        """Sends the start orders of recorded runs: of one run, or of all members of a gang.

        None is sent if a VM has shrunk so much since the decision that it can't hold them.
        """
        present = [run for run in runs if _is_start_due(run)]
        if not all(is_within_capacity(run.vm, present) for run in present):
            self.withdraw(present, "its VM or that of another member has shrunk")
            return
        for run in present:
            run.phase = RunPhase.ORDERED
            self.spawn(await_and_log_errors(self.start(run, payload)))

    def withdraw(self, runs: list[Run], detail: str):
        """Gives up recorded starts that have not been sent, so that their tasks wait again."""
        for run in runs:
            if _is_start_due(run):
                self.reports.on_gone(run, f"not sent: {detail}")

    async def start(self, run: Run, payload: str):
        """Sends the start order of a recorded run and handles the answer."""
        row = run.vm
        if not _is_start_due(run):
            return
        if get_elapsed_s() >= run.ticket_until_s:
            self.reports.on_refused(run, StartRefusal.NO_TICKET)
            return
        run.phase = RunPhase.ORDERED
        sent_s, fence = get_elapsed_s(), row.fence
        deadline_ms = grant_deadline(self.fleet, row, self.reports.get_confirmed_s(), sent_s)
        run.resumed = bool(run.checkpoint)
        order = StartOrder(
            run.task,
            run.number,
            payload,
            limit_start_deadline(row, deadline_ms, self.fleet.start_until_s),
            fence,
            run.checkpoint,
            run.ticket,
        )
        outcome = await self.vms.start(row.make_target(), order)
        self._observe_duration(run, outcome, sent_s)
        if (run.task, run.number) not in row.runs or row.fence != fence:
            return
        if isinstance(outcome, NoAnswer):
            self.reports.on_unanswered(row, sent_s)
        if isinstance(outcome, Started):
            now_s = get_elapsed_s()
            run.is_confirmed = is_clock_of_incarnation(row, outcome.clock_ms, sent_s, now_s)
        self._handle_start_outcome(run, outcome)

    def _observe_duration(self, run: Run, outcome, sent_s: float):
        """Adapts the number of open orders and their timeout to how long an answer took."""
        now_s = get_elapsed_s()
        self.window.delays_s.append(now_s - run.started_s)
        if isinstance(outcome, NoAnswer) and not tells_congestion(run, now_s):
            return
        if self.window.observe(now_s - sent_s, now_s):
            usual_s = round(self.window.get_usual_answer_s(), 3)
            log("orders:limited", open=int(self.window.size), usual_answer_s=usual_s)
        self.vms.order_timeout_s = self.window.get_order_timeout_s()

    def _handle_start_outcome(self, run: Run, outcome):
        row = run.vm
        run.order_answered_s = get_elapsed_s()
        name = str(run.task)
        if isinstance(outcome, Started):
            run.phase = RunPhase.RUNNING
            run.began_s = run.order_answered_s
            log_routine("task:started", task=name, run=run.number, vm=row.name)
            self.reports.on_begun(run)
            if not run.wanted:
                self.stop(run)
        elif isinstance(outcome, Refused):
            log("task:refused", task=name, run=run.number, vm=row.name, reason=outcome.reason)
            self.refusals[outcome.reason] = self.refusals.get(outcome.reason, 0) + 1
            if outcome.reason is StartRefusal.FENCED:
                run.phase = RunPhase.UNSURE
                self.reports.on_fenced(row, row.fence)
                return
            if outcome.reason not in REFUSALS_DUE_TO_THE_TASK:
                avoid_s = AVOID_S.get(outcome.reason, DEFAULT_AVOID_S)
                row.avoid_until_s = run.order_answered_s + avoid_s
            self.reports.on_refused(run, outcome.reason)
        else:
            run.phase = RunPhase.UNSURE
            run.unanswered = True
            log(
                "task:start_unanswered",
                task=name,
                run=run.number,
                vm=row.name,
                detail=outcome.detail,
            )
            # The VM's lists show whether it runs; if not, a stop keeps it from starting late.
            self.spawn(await_and_log_errors(self.reports.poll_vm(row)))

    def stop(self, run: Run):
        """Stops a run; retries until the VM confirms it, the term is lost or the run is gone."""
        if run.phase is not RunPhase.STOPPING:
            run.phase = RunPhase.STOPPING
            run.order_answered_s = float("inf")
            self.spawn(self._stop(run))

    async def _stop(self, run: Run):
        row = run.vm
        retry_s = STOP_RETRY_S
        while (run.task, run.number) in row.runs:
            fence = row.fence
            outcome = await self.vms.stop(row.make_target(), run.task, run.number, fence)
            if isinstance(outcome, Started):
                run.order_answered_s = get_elapsed_s()
                log_routine("task:stopped", task=str(run.task), run=run.number, vm=row.name)
                if run.unanswered:
                    await self.reports.poll_vm(row)
                return
            if isinstance(outcome, Refused) and outcome.reason is StartRefusal.FENCED:
                if self.reports.on_fenced(row, fence):
                    return
            if isinstance(outcome, NoAnswer):
                log(
                    "task:stop_unanswered",
                    task=str(run.task),
                    run=run.number,
                    vm=row.name,
                    detail=outcome.detail,
                )
            await asyncio.sleep(retry_s)
            retry_s = min(MAX_STOP_RETRY_S, 2 * retry_s)

    def pace(self, run: Run, percent: int):
        """Throttles a run to a percentage of its speed; after a failure the next poll retries."""
        run.pace = percent
        self.spawn(self._pace(run, percent))

    async def _pace(self, run: Run, percent: int):
        row, fence = run.vm, run.vm.fence
        outcome = await self.vms.pace(row.make_target(), run.task, run.number, percent, fence)
        if isinstance(outcome, Started):
            log_routine("task:paced", task=str(run.task), run=run.number, percent=percent)
            return
        run.pace = None
        log("task:not_paced", task=str(run.task), run=run.number, vm=row.name, percent=percent)
        if isinstance(outcome, Refused) and outcome.reason is StartRefusal.FENCED:
            self.reports.on_fenced(row, fence)

    async def stop_unknown_run(self, row, running):
        """Stops a run that a VM lists but the log has no record of."""
        log("task:stranger", task=str(running.task), run=running.number, vm=row.name)
        await self.vms.stop(row.make_target(), running.task, running.number, row.fence)

    def close(self):
        """Cancels the orders in flight."""
        for task in list(self.tasks):
            task.cancel()


def _is_start_due(run: Run) -> bool:
    """Returns whether a recorded start is still wanted and its run has not been given up."""
    return run.wanted and (run.task, run.number) in run.vm.runs
