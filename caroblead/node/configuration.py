"""The configuration in force on this node, and the limit on how stale it may become."""

from collections.abc import Callable

from ..core.logsink import log
from ..dispatch.interface import Batch, Configuration
from ..jobs.data import JobQueue

# A copy of the configuration decides nothing once it is older than this fraction of the time within
# which a change must be in force.
MAX_AGE_FRACTION = 0.85


class ConfigurationView:
    """Tracks the versions of the configuration; the highest version read so far is in force."""

    def __init__(self, key: str, decode: Callable[[bytes], Configuration]):
        self.key = key
        self.decode = decode
        self.current: Configuration | None = None

    @property
    def version(self) -> int:
        """The version in force, or 0 before the first one is read."""
        return self.current.version if self.current is not None else 0

    def consume(self, batch: Batch, complete: bool):
        """Applies records of the operators' log.

        A record that can't be decoded is logged and skipped.
        """
        for record in batch.records:
            if record.key != self.key or not record.value:
                continue
            try:
                found = self.decode(record.value)
            except ValueError as error:
                log("configuration:unreadable", error=str(error))
                continue
            if self.current is not None and found.version <= self.current.version:
                continue
            self.current = found
            log(
                "configuration:in_force",
                version=found.version,
                queues=len(found.queues),
                teams=len(found.teams),
            )


def find_queue(configuration: Configuration, host: str, path: str) -> JobQueue | None:
    """Returns the queue of a host whose path is the longest prefix of ``path``, if there is one."""
    best = None
    for queue in configuration.queues.values():
        if queue.host == host and path.startswith(queue.path):
            if best is None or len(queue.path) > len(best.path):
                best = queue
    return best
