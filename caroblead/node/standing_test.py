"""A node whose attempt to begin a term failed in any way stands for election again."""

from ..standin.cluster import find_leader, run_scenario, start_site, wait_for_leader


def test_node_whose_attempt_raised_an_unexpected_error_stands_again():
    async def scenario():
        site = await start_site(node_count=1)
        node = site.nodes[find_leader(site)]
        original, errors = node.adapters.ledger_log.append, []

        async def fail_once(records, fence, timeout_s):
            if fence is not None and fence.sequence == 0 and not errors:
                errors.append(1)
                raise RuntimeError("an error that nobody expected")
            return await original(records, fence, timeout_s)

        node.election.log.append = fail_once
        node._abandon_term("the test ends the term")
        await wait_for_leader(site)
        assert errors
        return site

    run_scenario(scenario)
