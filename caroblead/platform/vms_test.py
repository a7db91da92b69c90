"""Guards against answers of one VM that stop the leader, or are half understood."""

import asyncio
import json

import pytest

from ..dispatch.interface import (
    EndedTask,
    EndReason,
    HoldAnswer,
    NoAnswer,
    RunningTask,
    Started,
    StartOrder,
    Target,
    TaskName,
)
from .http import Reply
from .vms import MAX_CHECKPOINT_LENGTH, PlatformVms

TARGET = Target("vm", 1, "127.0.0.1:1")
TASK = "a1.0.2.3"
RUNNING = [TASK, 1, "saved", 41.5, 3]
ENDED = [7, TASK, 1, "done", ""]


class FakeHttp:
    """Answers every call with one JSON text."""

    def __init__(self, text: str, status: int = 200):
        self.reply = Reply(status, text.encode())

    async def post(self, url, message, timeout_s, headers=None):
        return self.reply


def nest(depth: int) -> str:
    return "[" * depth + "]" * depth


def hold(lists: dict, deep: str = "0"):
    """Returns the answer to a renewal; ``"@"`` in the lists stands for the JSON text ``deep``."""
    text = json.dumps({"clockMs": 5, "born": 6, "running": [], "finished": [], **lists})
    vms = PlatformVms(FakeHttp(text.replace('"@"', deep)))
    return asyncio.run(vms.hold(TARGET, 1, 0, None, 0.0))


def change(row: list, index: int, value) -> list:
    return [*row[:index], value, *row[index + 1 :]]


def test_lists_of_a_vm_are_taken_over():
    task = TaskName("a1", 0, 2, 3)
    lists = {"running": [RUNNING, change(RUNNING, 2, None)[:4]], "finished": [ENDED]}
    assert hold(lists) == HoldAnswer(
        5,
        6,
        [RunningTask(task, 1, "saved", 41.5, 3.0), RunningTask(task, 1, "", 41.5)],
        [EndedTask(7, task, 1, EndReason.DONE, "")],
    )


ODD_TASKS = ["@", 7, "a.0.0", "a.0.0.-1", "a.0.0.\u0663", f"a.0.0.{'9' * 5000}", "a" * 5000]
ODD_NUMBERS = ["@", 1e308, 10**30, -1, 1.5, "1", True, None]
ODD_CHECKPOINTS = ["@", 5, True, {"a": 1}]


@pytest.mark.parametrize(
    "lists",
    [
        *({"running": [change(RUNNING, 0, value)]} for value in ODD_TASKS),
        *({"running": [change(RUNNING, 1, value)]} for value in ODD_NUMBERS),
        *({"running": [change(RUNNING, 2, value)]} for value in ODD_CHECKPOINTS),
        *({"running": [change(RUNNING, 3, value)]} for value in ("@", 1e308, -1, "1", True)),
        *({"running": [change(RUNNING, 4, value)]} for value in ("@", 1e308, -1, "1", True)),
        *({"finished": [change(ENDED, 0, value)]} for value in ODD_NUMBERS),
        *({"finished": [change(ENDED, 1, value)]} for value in ODD_TASKS),
        *({"finished": [change(ENDED, 2, value)]} for value in ODD_NUMBERS),
        *({"finished": [change(ENDED, 3, value)]} for value in ("@", "eaten", 5)),
        *({"finished": [change(ENDED, 4, value)]} for value in ODD_CHECKPOINTS),
        *({"clockMs": value} for value in ODD_NUMBERS),
        *({"born": value} for value in ODD_NUMBERS if value is not None),
        {"running": "ab"},
        {"running": ["abcde"]},
        {"running": {"a": 1}},
        {"running": [RUNNING[:3]]},
        {"finished": [ENDED[:4]]},
        {"finished": None},
    ],
)
def test_odd_lists_of_a_vm_count_as_no_answer(lists):
    answer = hold(lists, nest(1000))
    assert isinstance(answer, NoAnswer)
    assert len(answer.detail) < 300


# The lists of a VM counted as no answer because of one long checkpoint, so its lease ran out and
# killed all that ran there.
def test_checkpoint_that_is_too_long_to_be_kept_hides_nothing_else_of_its_vm():
    saved = "x" * MAX_CHECKPOINT_LENGTH
    lists = {
        "running": [change(RUNNING, 2, saved), change(RUNNING, 2, saved + "x")],
        "finished": [change(ENDED, 4, saved), change(ENDED, 4, "x" * 100_000)],
    }
    answer = hold(lists)
    assert [item.checkpoint for item in answer.running] == [saved, ""]
    assert [item.checkpoint for item in answer.ended] == [saved, ""]


@pytest.mark.parametrize(("count", "more_ends"), [(499, False), (500, True)])
def test_list_of_ends_that_may_be_only_the_first_part_is_told_apart(count, more_ends):
    ends = [change(ENDED, 0, number) for number in range(1, count + 1)]
    assert hold({"finished": ends}).more_ends is more_ends


@pytest.mark.parametrize("clock", ["1e308", nest(1000), '"5"', "-1"])
def test_odd_answer_to_an_order_counts_as_no_answer(clock):
    vms = PlatformVms(FakeHttp(f'{{"clockMs":{clock}}}'))
    order = StartOrder(TaskName("a1", 0, 0, 0), 1, "", 0, 1)
    assert isinstance(asyncio.run(vms.start(TARGET, order)), NoAnswer)
    vms = PlatformVms(FakeHttp('{"clockMs":5}'))
    assert asyncio.run(vms.start(TARGET, order)) == Started(5)
