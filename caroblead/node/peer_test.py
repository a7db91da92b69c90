"""Guards against messages of one peer that a node can't handle, or that hold it up."""

import asyncio

from ..events.clock import MAX_CLOCK, LogicalClock
from ..jobs.record import NodeRecord
from ..wire.call import RpcServer
from ..wire.gen import ttypes
from .notifier import CompletionNotifier
from .peer import MAX_STATE_WAIT_S, Peers


def test_state_that_this_version_does_not_know_counts_as_no_answer():
    async def answer(message, envelope):
        return ttypes.StateReply(state="paused")

    async def main():
        server = RpcServer("n1/node", LogicalClock(), {ttypes.AskState: answer})
        await server.start("127.0.0.1", 0)
        peers = Peers("n0", None)
        record = NodeRecord("n1", "a", "127.0.0.1", server.port, "i")
        assert await peers.ask_state(record, "a1", 0.0) is None
        await peers.close()
        await server.close()

    asyncio.run(main())


def test_question_of_a_peer_is_not_kept_open_for_longer_than_callers_wait():
    waits = []

    class Notifier(CompletionNotifier):
        async def wait_for_end(self, job_id, wait_s):
            waits.append(wait_s)

    async def main():
        peers = Peers("n0", None)
        peers.notifier = Notifier(dict, lambda: True)
        for wait_ms in (2**31 - 1, -5, 150):
            await peers._answer_state(ttypes.AskState(job="a1", wait_ms=wait_ms), None)

    asyncio.run(main())
    assert waits == [MAX_STATE_WAIT_S, 0.0, 0.15]


def test_clock_of_a_peer_that_could_not_be_sent_on_is_ignored():
    clock = LogicalClock()
    clock.observe(2**63 - 1)
    assert clock.advance() == 1
    clock.observe(MAX_CLOCK)
    assert clock.advance() == MAX_CLOCK + 1
