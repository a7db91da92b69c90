"""The callbacks by which the modules that talk to VMs report events to the leader and query it."""

from typing import Protocol

from .fleet import Run, VmRow
from .interface import EndedTask, RunningTask, StartRefusal


class Reports(Protocol):
    """The interface of the leader for its order sender and its watches of VMs."""

    def get_confirmed_s(self) -> float:
        """Returns the time at which the last acknowledged append of this term was sent."""

    def on_begun(self, run: Run):
        """Handles a run that has started on its VM."""

    def on_end(self, row: VmRow, ended: EndedTask):
        """Handles the end of a run that a VM lists."""

    def on_gone(self, run: Run, detail: str):
        """Handles a run that certainly doesn't exist although its VM listed no end for it."""

    def on_stalled(self, run: Run):
        """Handles a run that makes no progress."""

    def on_refused(self, run: Run, reason: StartRefusal):
        """Handles a run that a VM refused to start and won't start later."""

    def on_restarted(self, row: VmRow, incarnation: int):
        """Handles the restart of a VM."""

    def on_unanswered(self, row: VmRow, sent_s: float):
        """Handles a call to a VM, sent at ``sent_s``, that got no answer in time."""

    def on_unknown_run(self, row: VmRow, running: RunningTask):
        """Handles a run that a VM lists but that isn't in the table: takes it back or stops it."""

    def on_fenced(self, row: VmRow, fence: int) -> bool:
        """Handles an answer that shows that a VM has seen a higher fence than this one.

        Returns whether it is that of a later term.
        """

    def on_free_room(self):
        """Triggers a tick because resources may be free now."""

    async def poll_vm(self, row: VmRow):
        """Reads a VM's run lists at once."""

    async def wait_recorded(self, timeout_s: float) -> bool:
        """Waits until all earlier decisions are stored in the log; returns false on a timeout."""
