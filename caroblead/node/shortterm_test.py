"""Short terms of long ago don't delay the replacement of a leader."""

import asyncio

from ..core.clock import use_clocks, use_system_clocks
from ..core.loop import run_in_virtual_time
from ..jobs.record import Term
from .election import MIN_ELECTION_TIMEOUT_S, SHORT_TERM_S, Election


def test_short_terms_before_a_long_one_that_was_handed_over_delay_no_election():
    async def main():
        loop = asyncio.get_running_loop()
        use_clocks(loop.time, loop.time)
        election = Election("n1", None, None, 1)
        for number in range(1, 6):
            election.handle_term(Term(number, "n2", "n2~1"))
            await asyncio.sleep(SHORT_TERM_S / 5)
        for _ in range(400):
            await asyncio.sleep(0.1)
            election.handle_heartbeat()
        election.handle_resignation()
        election.handle_term(Term(6, "n3", "n3~1"))
        assert election.get_election_timeout_s() == MIN_ELECTION_TIMEOUT_S

    try:
        run_in_virtual_time(main())
    finally:
        use_system_clocks()
