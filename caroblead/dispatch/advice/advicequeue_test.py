"""Tests of the distribution of advice requests: which node sends which request, and when."""

import asyncio

from ...core.loop import run_in_virtual_time
from ..interface import Advice
from .advicequeue import AdviceQueue, Adviser


def play(scenario):
    async def main():
        loop = asyncio.get_running_loop()
        asked = []

        def make_adviser(node, seconds=0.0, answers=True):
            async def ask(step, vms, timeout_s):
                asked.append((round(loop.time() - began_s, 2), node, step))
                await asyncio.sleep(seconds or float(step.split("-")[1]))
                return Advice({"v": "t"}) if answers else Advice(None)

            return Adviser(node, ask)

        began_s = loop.time()
        await scenario(make_adviser, asked, loop)

    run_in_virtual_time(main())


def test_urgent_request_overtakes_less_urgent_ones():
    async def scenario(make_adviser, asked, loop):
        advice_queue = AdviceQueue(make_adviser("own"), loop.time)
        asks = [
            advice_queue.ask(f"{name}-0.1", ["v"], 0.1, (rank,))
            for name, rank in zip("abc", (1, 2, 0), strict=True)
        ]
        await asyncio.gather(*asks)
        assert [step for _, _, step in asked] == ["a-0.1", "c-0.1", "b-0.1"]

    play(scenario)


def test_long_requests_leave_a_node_for_short_ones():
    async def scenario(make_adviser, asked, loop):
        advice_queue = AdviceQueue(make_adviser("own"), loop.time)
        for node in ("n1", "n2"):
            advice_queue.put_adviser(make_adviser(node))
        long = [
            asyncio.create_task(advice_queue.ask(f"l{n}-1", ["v"], 1.0, (0,))) for n in range(5)
        ]
        await asyncio.sleep(0.01)
        assert len(asked) == 2
        await advice_queue.ask("s-0.01", ["v"], 0.01, (9,))
        assert asked[-1][0] <= 0.02
        await asyncio.gather(*long)

    play(scenario)


def test_late_or_failing_node_is_replaced_and_backed_off():
    async def scenario(make_adviser, asked, loop):
        advice_queue = AdviceQueue(make_adviser("own", seconds=30.0), loop.time)
        advice_queue.put_adviser(make_adviser("bad", seconds=0.1, answers=False))
        advice_queue.put_adviser(make_adviser("good"))
        answer = await advice_queue.ask("s-0.05", ["v"], 0.05, (0,))
        assert answer.tickets == {"v": "t"}
        assert [node for _, node, _ in asked] == ["own", "bad", "good"] or asked[-1][1] == "good"
        assert advice_queue.advisers["bad"].backoff_until_s >= loop.time()

    play(scenario)


def test_request_without_a_free_node_does_not_block_the_next():
    async def scenario(make_adviser, asked, loop):
        advice_queue = AdviceQueue(make_adviser("own", seconds=30.0), loop.time)
        failing = make_adviser("n1", seconds=0.1, answers=False)
        advice_queue.put_adviser(failing)
        stuck = asyncio.create_task(advice_queue.ask("s-0.05", ["v"], 0.05, (0,)))
        await asyncio.sleep(0.5)
        failing.ask = make_adviser("n1").ask
        await asyncio.sleep(1.5)
        await asyncio.wait_for(advice_queue.ask("t-0.05", ["v"], 0.05, (9,)), 1.0)
        stuck.cancel()

    play(scenario)


def test_term_that_ends_before_a_call_begins_does_not_keep_its_node_busy():
    async def scenario(make_adviser, asked, loop):
        advice_queue = AdviceQueue(make_adviser("own"), loop.time)
        former = asyncio.create_task(advice_queue.ask("a-0.05", ["v"], 0.05, (0,)))
        # The request is queued in this pass of the loop, and its call would begin in the next one.
        await asyncio.sleep(0)
        former.cancel()
        advice_queue.clear()
        answer = await asyncio.wait_for(advice_queue.ask("b-0.05", ["v"], 0.05, (0,)), 1.0)
        assert answer.tickets == {"v": "t"}
        assert [step for _, _, step in asked] == ["b-0.05"]

    play(scenario)


def test_error_in_a_call_ends_the_request_and_backs_the_node_off():
    async def scenario(make_adviser, asked, loop):
        async def fail(step, vms, timeout_s):
            raise ValueError("not an answer")

        advice_queue = AdviceQueue(Adviser("own", fail), loop.time)
        answer = await asyncio.wait_for(advice_queue.ask("a-0.05", ["v"], 0.05, (0,)), 1.0)
        assert answer.tickets is None
        assert advice_queue.own.backoff_until_s > loop.time()
        advice_queue.put_adviser(make_adviser("n1"))
        answer = await asyncio.wait_for(advice_queue.ask("b-0.05", ["v"], 0.05, (0,)), 1.0)
        assert answer.tickets == {"v": "t"}

    play(scenario)


def test_call_that_cancels_itself_ends_its_request():
    async def scenario(make_adviser, asked, loop):
        async def give_up(step, vms, timeout_s):
            raise asyncio.CancelledError

        advice_queue = AdviceQueue(Adviser("own", give_up), loop.time)
        answer = await asyncio.wait_for(advice_queue.ask("a-0.05", ["v"], 0.05, (0,)), 1.0)
        assert answer.tickets is None

    play(scenario)
