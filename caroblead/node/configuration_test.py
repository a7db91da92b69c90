"""Guards against queues that are there and aren't found, and against searches that take long."""

from hypothesis import given
from hypothesis import strategies as st

from ..jobs.data import JobQueue
from .configuration import QueueIndex

HOSTS = st.sampled_from(["a.example", "A.example", "b.example"])
PATHS = st.text("/ab", max_size=4)


def make_queue(number, host, path):
    return JobQueue(f"q{number}", host, path, "planner")


@given(st.lists(st.tuples(HOSTS, PATHS), max_size=8), HOSTS, PATHS)
def test_longest_path_of_the_host_in_any_case_is_found(places, host, path):
    queues = [make_queue(number, *place) for number, place in enumerate(places)]
    matching = [
        queue
        for queue in queues
        if queue.host.lower() == host.lower() and path.startswith(queue.path)
    ]
    longest = max((len(queue.path) for queue in matching), default=None)
    found = QueueIndex(queues).find(host, path)
    assert (found is None) == (longest is None)
    assert found is None or (found in matching and len(found.path) == longest)
