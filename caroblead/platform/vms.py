"""HTTP client of the VMs, which start, stop and throttle tasks on request."""

import re

from ..core.logsink import log
from ..dispatch.interface import (
    EndedTask,
    EndReason,
    HoldAnswer,
    NoAnswer,
    Refused,
    RunningTask,
    Started,
    StartOrder,
    StartOutcome,
    StartRefusal,
    Target,
    TaskName,
    parse_task_name,
)
from ..dispatch.orderwindow import MIN_ORDER_TIMEOUT_S
from .fields import (
    check_list,
    check_number,
    check_text,
    check_whole,
    read_list,
    read_text,
    read_whole,
)
from .http import MAX_BODY_BYTES, CallFailedError, HttpClient, Reply
from .registry import MAX_BORN_MS

HOLD_TIMEOUT_MARGIN_S = 0.4
MAX_NAME_LENGTH = 256
# A longer checkpoint is not kept: it must fit into one record of the log, and 500 of them into a
# list of ends. Its task starts anew.
MAX_CHECKPOINT_LENGTH = 16_384
# A VM lists no more ends at a time.
MAX_ENDS_PER_ANSWER = 500
TASK_NAME = re.compile(r"[^.]+(\.[0-9]{1,9}){3}")
# The meaning of the platform's reason strings in responses with status 409.
REFUSAL_BY_REASON = {
    "fence": StartRefusal.FENCED,
    "old": StartRefusal.SUPERSEDED,
    "late": StartRefusal.EXPIRED,
    "room": StartRefusal.NO_ROOM,
    "ticket": StartRefusal.NO_TICKET,
}


class PlatformVms:
    """Controls the tasks on VMs and renews the leases of VMs.

    See :class:`caroblead.dispatch.interface.VmControl`.
    """

    def __init__(self, http: HttpClient):
        self.http = http
        self.order_timeout_s = MIN_ORDER_TIMEOUT_S

    async def start(self, target: Target, order: StartOrder) -> StartOutcome:
        """Starts a task."""
        message = {
            "task": str(order.task),
            "runId": order.number,
            "spec": order.payload,
            "deadlineMs": order.deadline_ms,
            "fencingToken": order.fence,
        }
        if order.checkpoint:
            message["checkpoint"] = order.checkpoint
        if order.ticket:
            message["ticket"] = order.ticket
        return await self._send_command(target, "run-start", message)

    async def stop(self, target: Target, task: TaskName, number: int, fence: int) -> StartOutcome:
        """Stops a run; one that has not started yet is prevented from starting."""
        message = {"task": str(task), "runId": number, "fencingToken": fence}
        return await self._send_command(target, "run-stop", message)

    async def pace(
        self, target: Target, task: TaskName, number: int, percent: int, fence: int
    ) -> StartOutcome:
        """Sets the speed of a run to ``percent`` of its full speed."""
        message = {
            "task": str(task),
            "runId": number,
            "percentage": percent,
            "fencingToken": fence,
        }
        return await self._send_command(target, "pace", message)

    async def hold(
        self, target: Target, fence: int, seen: int, deadline_ms: int | None, wait_s: float
    ) -> HoldAnswer | Refused | NoAnswer:
        """Renews the lease of a VM and returns its running and ended tasks.

        Ended tasks up to serial ``seen`` are already known. ``deadline_ms`` is the new end of the
        lease on the VM's clock; without it the lease is not extended. The VM waits up to ``wait_s``
        for another task to end.
        """
        message = {"fencingToken": fence, "lastSeen": seen}
        if deadline_ms is not None:
            message["deadlineMs"] = deadline_ms
        if wait_s > 0:
            message["waitMs"] = int(wait_s * 1000)
        try:
            reply = await self._post(target, "hold", message, wait_s + HOLD_TIMEOUT_MARGIN_S)
            if reply.status != 200:
                return _decode_refusal(reply)
            return _decode_hold_answer(reply.decode())
        except CallFailedError as error:
            return NoAnswer(str(error))
        except ValueError as error:
            return NoAnswer(f"malformed response to hold: {error}")

    async def _send_command(self, target: Target, operation: str, message: dict) -> StartOutcome:
        try:
            reply = await self._post(target, operation, message, self.order_timeout_s)
            if reply.status == 200:
                return Started(read_whole(reply.decode(), "clockMs", 0))
            return _decode_refusal(reply)
        except CallFailedError as error:
            return NoAnswer(str(error))
        except ValueError as error:
            return NoAnswer(f"malformed response to {operation}: {error}")

    async def _post(self, target: Target, operation: str, message: dict, timeout_s: float) -> Reply:
        headers = {"Expect-Instance": target.vm}
        return await self.http.post(
            f"http://{target.address}/api/{operation}", message, timeout_s, headers
        )


def _decode_refusal(reply: Reply) -> Refused | NoAnswer:
    if reply.status == 409:
        reason = read_text(reply.decode(), "reason", "")
        return Refused(REFUSAL_BY_REASON.get(reason, StartRefusal.INVALID))
    if reply.status == 421:
        return Refused(StartRefusal.OTHER_INCARNATION)
    if reply.status in (429, 503):
        return Refused(StartRefusal.UNHEALTHY)
    if reply.status == 400:
        return Refused(StartRefusal.INVALID)
    return NoAnswer(f"unexpected status {reply.status}")


def _decode_hold_answer(raw: dict) -> HoldAnswer:
    ended = [_decode_ended_task(row) for row in _list_rows(raw, "finished", 5)]
    return HoldAnswer(
        read_whole(raw, "clockMs"),
        read_whole(raw, "born", 0, high=MAX_BORN_MS),
        [_decode_running_task(row) for row in _list_rows(raw, "running", 4)],
        ended,
        len(ended) >= MAX_ENDS_PER_ANSWER,
    )


def _list_rows(raw: dict, name: str, min_length: int) -> list[list]:
    rows = [check_list(row, name) for row in read_list(raw, name)]
    if any(len(row) < min_length for row in rows):
        raise ValueError(f"{name}: a row must have at least {min_length} elements")
    return rows


def _decode_running_task(row: list) -> RunningTask:
    # The fifth element is the tail response time in milliseconds for a task with a latency
    # objective, and the processor usage for any other task. The row itself does not tell which; the
    # caller must know the kind of the task.
    measured = check_number(row[4] or 0.0, "running") if len(row) > 4 else 0.0
    percent = check_number(row[3], "running")
    return RunningTask(
        _decode_task_name(row[0]),
        check_whole(row[1], "running"),
        _decode_checkpoint(row[2]),
        float(percent),
        float(measured),
    )


def _decode_ended_task(row: list) -> EndedTask:
    ended = EndedTask(
        check_whole(row[0], "finished"),
        _decode_task_name(row[1]),
        check_whole(row[2], "finished"),
        EndReason(check_text(row[3], "finished")),
        _decode_checkpoint(row[4]),
    )
    if row[4] and not ended.checkpoint:
        log("vm:checkpoint_dropped", task=str(ended.task), length=len(row[4]))
    return ended


def _decode_task_name(value: object) -> TaskName:
    name = check_text(value, "task", MAX_NAME_LENGTH)
    if not TASK_NAME.fullmatch(name):
        raise ValueError("task: must have the form ID.K.STEP.INDEX")
    return parse_task_name(name)


def _decode_checkpoint(value: object) -> str:
    checkpoint = check_text("" if value is None else value, "saved", MAX_BODY_BYTES)
    return checkpoint if len(checkpoint) <= MAX_CHECKPOINT_LENGTH else ""
