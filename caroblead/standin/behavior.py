"""How the tasks of the stand-in behave, and the checkpoints that they save."""

import base64
import random
from dataclasses import dataclass

from ..core.resource import Resources

CHECKPOINT_DIGITS = 8


@dataclass(slots=True, frozen=True)
class TaskBehavior:
    """How a run of a task behaves: its duration, its resources, and whether it fails.

    A task that serves users responds within ``response_ms`` if no other task runs on its VM. Every
    other task on that VM adds its ``disturbs_ms``, or less in proportion if its pace is lower.

    A crashing task takes its VM down ``crashes_after_s`` after its start, for ``down_s`` seconds;
    with 0 the VM crashes on the start order, which gets no answer.

    With a ``gang_size`` above 0 it works only while so many tasks of its run are there, and ends
    with the first of them.

    With a ``checkpoint_length`` above 0 the task saves checkpoints of so many characters, which
    serve every task of the same ``checkpoint_owner``.
    """

    seconds: float
    need: Resources
    fails: bool = False
    response_ms: float = 0.0
    disturbs_ms: float = 0.0
    fills: bool = False
    crashes_after_s: float | None = None
    down_s: float = 1.0
    checkpoint_length: int = 0
    checkpoint_owner: str = ""
    gang_size: int = 0


def read_worked_s(checkpoint: str) -> float:
    """Returns how much of its work a task had done at a checkpoint, in seconds."""
    return int(checkpoint[:CHECKPOINT_DIGITS] or 0) / 1000


def make_checkpoint(behavior: TaskBehavior, worked_s: float) -> str:
    """Returns a checkpoint, whose beginning tells the work that was done, in milliseconds."""
    if not behavior.checkpoint_length or not worked_s:
        return ""
    begin = f"{round(worked_s * 1000):0{CHECKPOINT_DIGITS}d}"
    noise = random.Random(f"{behavior.checkpoint_owner}/{begin}")
    text = begin + base64.b64encode(noise.randbytes(behavior.checkpoint_length)).decode()
    return text[: behavior.checkpoint_length]
