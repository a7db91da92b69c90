"""What the parts that talk to VMs report to the leader, and what they ask of it."""

from typing import Protocol

from .fleet import Run, VmRow
from .interface import EndedTask, StartRefusal


class Reports(Protocol):
    """The leader as its order desk and its watches see it."""

    def get_proof_s(self) -> float:
        """Returns the time at which the last acknowledged append of this term was sent."""

    def on_end(self, row: VmRow, ended: EndedTask):
        """Takes in an end that a VM lists."""

    def on_gone(self, run: Run, detail: str):
        """Takes in that a run is certainly not there without a listed end."""

    def on_stalled(self, run: Run):
        """Takes in that a run makes no progress."""

    def on_refused(self, run: Run, reason: StartRefusal):
        """Takes in that a VM did not start a run and won't."""

    def on_reborn(self, row: VmRow, incarnation: int):
        """Takes in that a VM has started again."""

    def on_fenced(self, vm: str):
        """Takes in that a VM has seen a later term."""

    def on_room(self):
        """Takes in that there may be room now."""

    async def look_at(self, row: VmRow):
        """Has a VM's lists read at once."""

    async def wait_recorded(self, timeout_s: float) -> bool:
        """Returns whether everything decided before the call stands in the log in time."""
