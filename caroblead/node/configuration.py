"""The configuration in force on this node, and how fresh this node's knowledge of it is."""

from collections.abc import Callable

from ..core.logsink import log
from ..dispatch.interface import Batch, Configuration
from ..jobs.data import JobQueue

# A node runs no keyed call once its knowledge is older than this part of the time a withdrawn key
# may still work.
STALE_PART = 0.85


class ConfigurationBook:
    """Takes in versions of the configuration; the highest one ever read stays in force."""

    def __init__(self, key: str, decode: Callable[[bytes], Configuration]):
        self.key = key
        self.decode = decode
        self.current: Configuration | None = None

    def consume(self, batch: Batch, complete: bool):
        """Takes in records of the operators' log; what can't be read is logged and passed over."""
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
    """Returns the queue whose host is this one and whose path is the longest start of ``path``."""
    best = None
    for queue in configuration.queues.values():
        if queue.host == host and path.startswith(queue.path):
            if best is None or len(queue.path) > len(best.path):
                best = queue
    return best
