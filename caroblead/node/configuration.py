"""The configuration in force on this node, and the limit on how stale it may become."""

from collections.abc import Callable, Iterable

from ..core.logsink import log
from ..dispatch.interface import Batch, Configuration
from ..jobs.data import JobQueue
from ..jobs.record import KeyedRecord
from .tail import apply_each

# A copy of the configuration decides nothing once it is older than this fraction of the time within
# which a change must be in force.
MAX_AGE_FRACTION = 0.85


class ConfigurationView:
    """Tracks the versions of the configuration; the highest version read so far is in force."""

    def __init__(self, key: str, decode: Callable[[bytes], Configuration]):
        self.key = key
        self.decode = decode
        self.current: Configuration | None = None
        self.indexed: Configuration | None = None
        self.index = QueueIndex(())

    @property
    def version(self) -> int:
        """The version in force, or 0 before the first one is read."""
        return self.current.version if self.current is not None else 0

    def find_queue(self, host: str, path: str) -> JobQueue | None:
        """Returns the queue in force for a call, or ``None`` if there is none."""
        if self.indexed is not self.current:
            self.indexed = self.current
            self.index = QueueIndex(self.current.queues.values())
        return self.index.find(host, path)

    def consume(self, batch: Batch, complete: bool):
        """Applies records of the operators' log.

        A version that can't be decoded is logged and skipped, and the one before stays in force.
        """
        apply_each("configuration", batch.records, self._apply)

    def _apply(self, record: KeyedRecord):
        if record.key != self.key or not record.value:
            return
        found = self.decode(record.value)
        if self.current is not None and found.version <= self.current.version:
            return
        self.current = found
        log(
            "configuration:in_force",
            version=found.version,
            queues=len(found.queues),
            teams=len(found.teams),
        )


class QueueIndex:
    """The queues of a configuration by host and path.

    Hosts are compared regardless of case, as in all of HTTP. ``lengths`` are the lengths of the
    paths, the longest first.
    """

    def __init__(self, queues: Iterable[JobQueue]):
        self.by_place = {(queue.host.lower(), queue.path): queue for queue in queues}
        self.lengths = sorted({len(path) for _, path in self.by_place}, reverse=True)

    def find(self, host: str, path: str) -> JobQueue | None:
        """Returns the queue of a host whose path is the longest prefix of ``path``, if any."""
        host = host.lower()
        for length in self.lengths:
            queue = self.by_place.get((host, path[:length]))
            if queue is not None and length <= len(path):
                return queue
        return None
