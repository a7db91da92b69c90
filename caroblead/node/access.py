"""Decides by this node's copy of the configuration who may call which queue."""

from ..core.logsink import log_routine
from ..core.outcome import Fault, Reason, Step
from ..core.timer import wait_for_event
from .answer import RETRY_AFTER_S, Admission, Rejected
from .configuration import MAX_AGE_FRACTION, ConfigurationView, find_queue
from .setting import NodeSettings
from .tail import Tail

# How long a call on a node that has just started waits for the first read of the configuration.
CONFIGURATION_TIMEOUT_S = 0.5


class AccessControl:
    """The decisions on calls that rest on the configuration and on how old this node's copy is."""

    def __init__(self, settings: NodeSettings, view: ConfigurationView, tail: Tail):
        self.settings = settings
        self.view = view
        self.tail = tail

    async def wait_for_configuration(self):
        """Waits a moment for the configuration on a node that has just started.

        A call that came during the start is answered sooner than if its caller had to try again.
        """
        if self.view.current is None:
            await wait_for_event(self.tail.answered, CONFIGURATION_TIMEOUT_S)

    def admit(self, host: str, path: str, key: str | None) -> Admission | Rejected:
        """Returns the queue of a request and the team of its key, or why it is rejected."""
        configuration = self.view.current
        if configuration is None:
            detail = "the node has not read its configuration yet"
            return self._reject(Reason.NO_CONFIG, Step.ADMIT, detail, RETRY_AFTER_S)
        queue = find_queue(configuration, host, path)
        if queue is None:
            return self._reject(Reason.NO_SUCH_QUEUE, Step.ADMIT, f"no queue at {host}{path}")
        if queue.open_to_all:
            return Admission(queue, configuration.keys.get(key or "", ""))
        age_s = self.tail.get_age_s()
        if self.settings.strict_keys and age_s > self.settings.revoke_ms / 1000 * MAX_AGE_FRACTION:
            return self._reject(
                Reason.NO_CONFIG,
                Step.CHECK_KEY,
                f"the configuration was last read {age_s:.1f} s ago",
                RETRY_AFTER_S,
            )
        team = configuration.keys.get(key or "")
        if team is None:
            reason = Reason.BAD_KEY if key else Reason.NO_KEY
            return self._reject(reason, Step.CHECK_KEY, "the key is unknown")
        return Admission(queue, team)

    def _reject(self, reason: Reason, step: Step, detail: str, retry_s: float = 0.0) -> Rejected:
        """Rejects a request by this node's copy of the configuration, and logs which copy it is."""
        log_routine(
            "call:rejected",
            reason=reason,
            step=step,
            detail=detail,
            configuration=self.view.version,
            configuration_age_s=round(self.tail.get_age_s(), 3),
        )
        return Rejected(Fault(reason, step, self.settings.node, detail, retry_after_s=retry_s))
