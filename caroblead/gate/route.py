"""Request routing: chooses the placer for a request and decides when the request may be retried.

A request is sent to another placer only in two cases: when it certainly did not run at the first
one, or when it is repeatable and the shard has a new owner. The new owner learns from the VMs what
is still running. The gate may resend a request to the same incarnation of a placer as often as
needed, over a new connection, since an incarnation accepts each request only once.
"""

import asyncio
import random
from dataclasses import dataclass

from ..config.state import ConfigState
from ..core.data import Queue
from ..core.outcome import Fault, NotRun, Outcome, Reason, Step, Unknown
from ..fleet.membership import Member, Members, find_owner, list_shard_owners
from ..wire.call import CallError, RpcClient
from ..wire.convert import from_reply
from ..wire.gen import ttypes

# Reasons for a refusal after which another placer, or the same one later, may accept the request.
REROUTE_REASONS = frozenset(
    {
        Reason.NOT_OWNER,
        Reason.DRAINING,
        Reason.NO_PLACER,
        Reason.ENDPOINT_REFUSED,
        Reason.NO_SUCH_QUEUE,
    }
)
RETRY_DELAY_S = 0.1
ATTEMPT_TIMEOUT_S = 3.0
# How long after its deadline the gate keeps waiting for a request that may have started.
ANSWER_GRACE_S = 75.0
SAME_ZONE_BONUS_SLOTS = 4


@dataclass(slots=True)
class RequestCall:
    """An accepted request that the gate routes; ``action`` is the id of its trace."""

    request: str
    team: str
    queue: Queue
    repeatable: bool
    deadline_s: float
    payload: bytes
    action: str


class Router:
    """Chooses shards by the load that their owners reported and sends requests to the owners.

    The requests that this gate has outstanding at a shard count as load there too.
    """

    def __init__(
        self, node: str, zone: str, rpc_client: RpcClient, members: Members, seed: int = 0
    ):
        self.node = node
        self.zone = zone
        self.rpc_client = rpc_client
        self.members = members
        self.random = random.Random(seed)
        self.outstanding: dict[str, int] = {}

    def list_candidates(self, state: ConfigState, queue: Queue) -> dict[str, Member]:
        """Returns the owners of the shards that a queue may use, by shard name."""
        now_s = asyncio.get_running_loop().time()
        zones = {zone.name for zone in state.zones.values() if queue.region in ("", zone.region)}
        owned = list_shard_owners(self.members, now_s)
        return {shard: owner for shard, owner in owned.items() if shard.rpartition(".")[0] in zones}

    def choose_shard(self, candidates: dict[str, Member]) -> str | None:
        """Returns the shard with the most room, in slots; shards in the gate's zone get a bonus.

        Room is the free slots less the requests that wait or that this gate has outstanding there.
        """
        best, best_score = None, float("-inf")
        for shard, owner in candidates.items():
            item = owner.shards[shard]
            score = item.free_slots - item.waiting - self.outstanding.get(shard, 0)
            score += SAME_ZONE_BONUS_SLOTS * (owner.zone == self.zone) + self.random.random()
            if score > best_score:
                best, best_score = shard, score
        return best

    async def run(self, state: ConfigState, call: RequestCall) -> Outcome:
        """Tries one shard after another until there is an outcome or the deadline has passed."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + call.deadline_s
        last_outcome = NotRun(
            self._make_fault(Reason.NO_PLACER, "no shard of this queue has an owner")
        )
        tried: set[str] = set()
        while loop.time() < end_s:
            candidates = self.list_candidates(state, call.queue)
            untried = {shard: owner for shard, owner in candidates.items() if shard not in tried}
            shard = self.choose_shard(untried)
            if shard is None:
                tried.clear()
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            outcome = await self._run_in_shard(call, shard, candidates[shard], end_s)
            if not isinstance(outcome, NotRun) or outcome.fault.reason not in REROUTE_REASONS:
                return outcome
            last_outcome = outcome
            tried.add(shard)
        return last_outcome

    async def _run_in_shard(
        self, call: RequestCall, shard: str, owner: Member, end_s: float
    ) -> Outcome:
        self.outstanding[shard] = self.outstanding.get(shard, 0) + 1
        try:
            return await self._run_at_owner(call, shard, owner, end_s)
        finally:
            self.outstanding[shard] -= 1

    async def _run_at_owner(
        self, call: RequestCall, shard: str, owner: Member, end_s: float
    ) -> Outcome:
        """Sends a request to the owner of a shard and, if that is allowed, to its successors.

        ``sent`` means that the current incarnation may have received the request.
        ``may_have_run`` means that an earlier incarnation may have run it; the outcome can then no
        longer be "not run".
        """
        loop = asyncio.get_running_loop()
        incarnation, sent, may_have_run = owner.incarnation, False, False
        fault = self._make_fault(Reason.PEER_LOST, "the placer did not answer")
        while loop.time() < end_s + ANSWER_GRACE_S:
            try:
                outcome = await self._send_request(call, shard, owner, incarnation, end_s)
                if _is_final(outcome, sent):
                    return _replace_not_run_by_unknown(outcome) if may_have_run else outcome
            except CallError as error:
                fault = error.fault
                sent = sent or error.sent
                if not sent and not may_have_run:
                    return NotRun(self._make_fault(Reason.NO_PLACER, fault.detail))
            successor = self._find_successor(shard, incarnation)
            if successor is not None:
                if not call.repeatable or loop.time() >= end_s:
                    return Unknown(
                        self._make_fault(Reason.OWNER_CHANGED, "the shard has a new owner")
                    )
                owner, incarnation, sent, may_have_run = (
                    successor,
                    successor.incarnation,
                    False,
                    True,
                )
            elif not self._may_still_answer(shard, end_s):
                return Unknown(fault)
            else:
                await asyncio.sleep(RETRY_DELAY_S)
        return Unknown(fault)

    def _may_still_answer(self, shard: str, end_s: float) -> bool:
        """Returns whether the shard has a live owner, or a new owner may still appear in time."""
        now_s = asyncio.get_running_loop().time()
        return (
            now_s < end_s + ATTEMPT_TIMEOUT_S or find_owner(self.members, shard, now_s) is not None
        )

    def _find_successor(self, shard: str, incarnation: str) -> Member | None:
        owner = find_owner(self.members, shard, asyncio.get_running_loop().time())
        return owner if owner is not None and owner.incarnation != incarnation else None

    async def _send_request(
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
        reply = await self.rpc_client.call(owner.placer, message, ATTEMPT_TIMEOUT_S, call.action)
        return from_reply(reply)

    def _make_fault(self, reason: Reason, detail: str) -> Fault:
        return Fault(reason, Step.ROUTE, self.node, detail, "", 1.0)


def _is_final(outcome: Outcome, sent_before: bool) -> bool:
    """Returns whether an answer is the final outcome of the request.

    A placer may reply that it is not the owner because it does not know the request, and then read
    an earlier copy of it later. So this refusal is not final if the request was sent before and the
    answer to it was lost.
    """
    refused = isinstance(outcome, NotRun) and outcome.fault.reason is Reason.NOT_OWNER
    return not (refused and sent_before)


def _replace_not_run_by_unknown(outcome: Outcome) -> Outcome:
    return Unknown(outcome.fault) if isinstance(outcome, NotRun) else outcome
