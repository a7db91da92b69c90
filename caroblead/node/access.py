"""Decides by this node's copy of the configuration who may call which queue."""

from dataclasses import dataclass

from ..core.clock import get_elapsed_s
from ..core.logsink import log_routine
from ..core.outcome import Fault, Reason, Step
from ..core.timer import wait_for_event
from .answer import RETRY_AFTER_S, Admission, Rejected
from .configuration import MAX_AGE_FRACTION, ConfigurationView
from .setting import NodeSettings
from .tail import Tail

# How long a call waits for the read of the configuration that can decide it.
CONFIGURATION_TIMEOUT_S = 0.5


@dataclass(slots=True, frozen=True)
class SeenVersion:
    """A version of the configuration that a peer has, and when this node heard of it."""

    version: int = 0
    seen_s: float = 0.0


NOTHING_SEEN = SeenVersion()


class AccessControl:
    """The decisions on calls that rest on the configuration and on how old this node's copy is.

    An old copy may show that a queue and a key are there, within the limit for withdrawn keys. Only
    one that was read lately proves that they are not. A copy that is older than what a peer has
    shown to a caller of this node decides nothing, since the node would go back to an earlier
    version. ``shown`` is the highest version of a peer whose answer was passed to a caller.
    """

    def __init__(self, settings: NodeSettings, view: ConfigurationView, tail: Tail):
        self.settings = settings
        self.view = view
        self.tail = tail
        self.shown = NOTHING_SEEN

    def admit(
        self, host: str, path: str, key: str | None, seen: SeenVersion = NOTHING_SEEN
    ) -> Admission | Rejected:
        """Returns the queue of a request and the team of its key, or why it is rejected.

        The reason is ``NO_CONFIG`` if this node's copy of the configuration can't tell. ``seen`` is
        the version of the peer that passed the request on.
        """
        configuration = self.view.current
        if configuration is None:
            detail = "the node has not read its configuration yet"
            return self._reject(Reason.NO_CONFIG, Step.ADMIT, detail)
        if self._is_behind(seen) or self._is_behind(self.shown):
            detail = "a newer version of the configuration is in force at a peer"
            return self._reject(Reason.NO_CONFIG, Step.ADMIT, detail)
        queue = self.view.find_queue(host, path)
        if queue is None:
            return self._deny(Reason.NO_SUCH_QUEUE, Step.ADMIT, f"no queue at {host}{path}")
        if queue.open_to_all:
            return Admission(queue, configuration.keys.get(key or "", ""))
        if self.settings.strict_keys and self._is_older_than(self.settings.revoke_ms):
            return self._reject_by_age(Step.CHECK_KEY)
        team = configuration.keys.get(key or "")
        if team is None:
            reason = Reason.BAD_KEY if key else Reason.NO_KEY
            return self._deny(reason, Step.CHECK_KEY, "the key is unknown")
        return Admission(queue, team)

    async def decide(
        self, host: str, path: str, key: str | None, seen: SeenVersion = NOTHING_SEEN
    ) -> Admission | Rejected:
        """Does the same as :meth:`admit`, and waits a moment for a copy that can tell.

        A call that came during the start is answered sooner than if its caller had to try again.
        """
        if self.view.current is None:
            await wait_for_event(self.tail.answered, CONFIGURATION_TIMEOUT_S)
        answer = self.admit(host, path, key, seen)
        if self._needs_newer_copy(answer):
            await self.tail.catch_up_quickly(CONFIGURATION_TIMEOUT_S)
            answer = self.admit(host, path, key, seen)
        if isinstance(answer, Rejected):
            self._log(answer)
        return answer

    def _needs_newer_copy(self, answer: Admission | Rejected) -> bool:
        """Returns whether a newer copy could decide a call and may be read soon."""
        if isinstance(answer, Admission) or answer.fault.reason is not Reason.NO_CONFIG:
            return False
        return self.view.current is not None and not self.tail.lost

    def check_size(self, size: int) -> Rejected | None:
        """Returns why a body of ``size`` bytes is rejected, or ``None`` if it isn't too large."""
        limit = self.view.current.max_body_bytes
        if size <= limit:
            return None
        answer = self._deny(Reason.TOO_LARGE, Step.ADMIT, f"the body must not exceed {limit} bytes")
        self._log(answer)
        return answer

    def note_shown(self, version: int):
        """Notes that the answer of a peer with this version was passed to a caller."""
        if version > self.get_min_version():
            self.shown = SeenVersion(version, get_elapsed_s())

    def get_min_version(self) -> int:
        """Returns the version that a peer must have for a call to be passed on to it."""
        shown = self.shown.version if self._is_behind(self.shown) else 0
        return max(self.view.version, shown)

    def _is_behind(self, seen: SeenVersion) -> bool:
        """Returns whether this copy lacks a version that was seen at a peer.

        A copy that was read to the end of the log since then lacks nothing, whatever a peer says.
        """
        return self.view.version < seen.version and self.tail.current_s < seen.seen_s

    def _is_older_than(self, limit_ms: float) -> bool:
        """Returns whether the copy may soon be older than ``limit_ms``."""
        return self.tail.get_age_s() > limit_ms / 1000 * MAX_AGE_FRACTION

    def _deny(self, reason: Reason, step: Step, detail: str) -> Rejected:
        """Rejects a call for what isn't there, unless the copy can't prove that any more."""
        if self.tail.lost or self._is_older_than(self.settings.apply_ms):
            return self._reject_by_age(step)
        return Rejected(Fault(reason, step, self.settings.node, detail))

    def _reject_by_age(self, step: Step) -> Rejected:
        detail = f"the configuration was last read {self.tail.get_age_s():.1f} s ago"
        return self._reject(Reason.NO_CONFIG, step, detail)

    def _reject(self, reason: Reason, step: Step, detail: str) -> Rejected:
        return Rejected(
            Fault(reason, step, self.settings.node, detail, retry_after_s=RETRY_AFTER_S)
        )

    def _log(self, answer: Rejected):
        """Logs a rejection and the copy of the configuration by which it was made."""
        log_routine(
            "call:rejected",
            reason=answer.fault.reason,
            step=answer.fault.step,
            detail=answer.fault.detail,
            configuration=self.view.version,
            configuration_age_s=round(self.tail.get_age_s(), 3),
        )
