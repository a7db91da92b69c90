"""Routing: which placer gets a request, and what may be done when it does not answer.

A request is sent to another placer only when it certainly did not run at the first, or when it may
be repeated and the shard has a new owner, which knows from the VMs what still runs. The gate asks
the same incarnation again over a new connection as often as needed, since an incarnation takes a
request only once.
"""

import asyncio
import random
from dataclasses import dataclass

from ..config.state import ConfigState
from ..core.data import Queue
from ..core.outcome import Fault, NotRun, Outcome, Reason, Step, Unknown
from ..fleet.membership import Member, Members, find_owner, list_owned
from ..wire.call import Caller, CallError
from ..wire.convert import from_reply
from ..wire.gen import ttypes

# Refusals after which another placer, or the same one later, may take the request.
REROUTE = frozenset(
    {
        Reason.NOT_OWNER,
        Reason.DRAINING,
        Reason.NO_PLACER,
        Reason.ENDPOINT_REFUSED,
        Reason.NO_SUCH_QUEUE,
    }
)
REROUTE_PAUSE_S = 0.1
ASK_AGAIN_S = 3.0
# How long after the deadline a gate still waits for a request that may have started.
ANSWER_SLACK_S = 75.0
NEAR_BONUS_SLOTS = 4


@dataclass(slots=True)
class RequestCall:
    """A request on its way through a gate."""

    request: str
    team: str
    queue: Queue
    repeatable: bool
    deadline_s: float
    payload: bytes
    action: str


class Router:
    """Chooses shards by what their owners told, corrected by what was sent since."""

    def __init__(self, node: str, zone: str, caller: Caller, members: Members, seed: int = 0):
        self.node = node
        self.zone = zone
        self.caller = caller
        self.members = members
        self.random = random.Random(seed)
        self.outstanding: dict[str, int] = {}

    def list_choices(self, state: ConfigState, queue: Queue) -> dict[str, Member]:
        """Returns the owned shards that a queue may use."""
        now_s = asyncio.get_running_loop().time()
        zones = {zone.name for zone in state.zones.values() if queue.region in ("", zone.region)}
        owned = list_owned(self.members, now_s)
        return {shard: owner for shard, owner in owned.items() if shard.rpartition(".")[0] in zones}

    def choose(self, choices: dict[str, Member]) -> str | None:
        """Returns the shard with the most room, with a bonus for the gate's own zone."""
        best, best_score = None, float("-inf")
        for shard, owner in choices.items():
            item = owner.shards[shard]
            score = item.free_slots - item.waiting - self.outstanding.get(shard, 0)
            score += NEAR_BONUS_SLOTS * (owner.zone == self.zone) + self.random.random()
            if score > best_score:
                best, best_score = shard, score
        return best

    async def run(self, state: ConfigState, call: RequestCall) -> Outcome:
        """Sends a request on until it has an outcome or its deadline has passed."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + call.deadline_s
        last = NotRun(self._make_fault(Reason.NO_PLACER, "no shard of this queue has an owner"))
        passed: set[str] = set()
        while loop.time() < end_s:
            choices = self.list_choices(state, call.queue)
            fresh = {shard: owner for shard, owner in choices.items() if shard not in passed}
            shard = self.choose(fresh)
            if shard is None:
                passed.clear()
                await asyncio.sleep(REROUTE_PAUSE_S)
                continue
            outcome = await self._run_in_shard(call, shard, choices[shard], end_s)
            if not isinstance(outcome, NotRun) or outcome.fault.reason not in REROUTE:
                return outcome
            last = outcome
            passed.add(shard)
        return last

    async def _run_in_shard(
        self, call: RequestCall, shard: str, owner: Member, end_s: float
    ) -> Outcome:
        self.outstanding[shard] = self.outstanding.get(shard, 0) + 1
        try:
            return await self._follow_shard(call, shard, owner, end_s)
        finally:
            self.outstanding[shard] -= 1

    async def _follow_shard(
        self, call: RequestCall, shard: str, owner: Member, end_s: float
    ) -> Outcome:
        """Asks the owner of a shard, and the owner after it as far as that is allowed.

        ``sent`` tells that the present incarnation may have the request, ``tainted`` that a former
        one may have run it, after which nobody can say "not run" any more.
        """
        loop = asyncio.get_running_loop()
        incarnation, sent, tainted = owner.incarnation, False, False
        fault = self._make_fault(Reason.PEER_LOST, "the placer gave no answer")
        while loop.time() < end_s + ANSWER_SLACK_S:
            try:
                outcome = await self._ask(call, shard, owner, incarnation, end_s)
                if _is_final(outcome, sent):
                    return _taint(outcome) if tainted else outcome
            except CallError as error:
                fault = error.fault
                sent = sent or error.sent
                if not sent and not tainted:
                    return NotRun(self._make_fault(Reason.NO_PLACER, fault.detail))
            successor = self._find_successor(shard, incarnation)
            if successor is not None:
                if not call.repeatable or loop.time() >= end_s:
                    return Unknown(self._make_fault(Reason.OWNER_CHANGED, "the placer is gone"))
                owner, incarnation, sent, tainted = successor, successor.incarnation, False, True
            elif not self._is_worth_asking(shard, end_s):
                return Unknown(fault)
            else:
                await asyncio.sleep(REROUTE_PAUSE_S)
        return Unknown(fault)

    def _is_worth_asking(self, shard: str, end_s: float) -> bool:
        """Returns whether the owner still lives, or a new one may yet show up in time."""
        now_s = asyncio.get_running_loop().time()
        return now_s < end_s + ASK_AGAIN_S or find_owner(self.members, shard, now_s) is not None

    def _find_successor(self, shard: str, incarnation: str) -> Member | None:
        owner = find_owner(self.members, shard, asyncio.get_running_loop().time())
        return owner if owner is not None and owner.incarnation != incarnation else None

    async def _ask(
        self, call: RequestCall, shard: str, owner: Member, incarnation: str, end_s: float
    ) -> Outcome:
        left_s = end_s - asyncio.get_running_loop().time()
        message = ttypes.RunRequest(
            request=call.request,
            incarnation=incarnation,
            shard=shard,
            team=call.team,
            queue=call.queue.name,
            repeatable=call.repeatable,
            deadline_ms=max(1, int(left_s * 1000)),
            payload=call.payload,
        )
        reply = await self.caller.call(owner.placer, message, ASK_AGAIN_S, call.action)
        return from_reply(reply)

    def _make_fault(self, reason: Reason, detail: str) -> Fault:
        return Fault(reason, Step.ROUTE, self.node, detail, "", 1.0)


def _is_final(outcome: Outcome, sent_before: bool) -> bool:
    """Returns whether an answer settles the request.

    A placer that does not know the request and says that it is not the owner may still read an
    earlier copy later on, so after a lost answer that refusal settles nothing.
    """
    refused = isinstance(outcome, NotRun) and outcome.fault.reason is Reason.NOT_OWNER
    return not (refused and sent_before)


def _taint(outcome: Outcome) -> Outcome:
    return Unknown(outcome.fault) if isinstance(outcome, NotRun) else outcome
