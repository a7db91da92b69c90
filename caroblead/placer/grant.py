"""Grants: the parts of the teams' limits that shards hold, and their transfer between shards.

Units of a team's limit are moved to the shards where the team has work waiting. See
:mod:`caroblead.policy.escrow` for the rules. A lowered limit applies at once. A raised limit
applies only when the digests show that the owners of all shards apply the ticket that raised it.
"""

import asyncio
import json
import secrets

import eliot

from ..config.state import ConfigState, find_first_version, find_limit_version, list_shards
from ..core.outcome import Answered, Fault, LogError, NotRun, Outcome, Reason, Step
from ..fleet.interface import Log
from ..policy.cell import put_team
from ..policy.escrow import (
    Claim,
    GrantState,
    Move,
    apply_claim,
    apply_move,
    compute_guaranteed_part,
    compute_part,
    compute_spare,
    split_limit,
)
from ..wire.gen import ttypes
from .recorder import NotWritten, Recorder, Written
from .shard import Shard

STREAM = "grants"


class GrantLedger:
    """The transfers of units recorded in the log, as far as this placer has read it.

    When retention has removed records that were not read yet (``in_gap``), later records are
    deferred until a snapshot of the whole state is read, which names the offset it covers.
    ``confirmed_claims`` has the shards, each with its epoch, whose claim was written and read back.
    ``unconfirmed_moves`` has transfers out of this placer's shards that were not read back yet.
    """

    def __init__(self, log: Log, batch_s: float):
        self.log = log
        self.grant_state = GrantState()
        self.recorder = Recorder(log, STREAM, batch_s)
        self.offset = 0
        self.in_gap = False
        self.deferred_changes: list[tuple[int, dict]] = []
        self.applied_move_ids: set[str] = set()
        self.unconfirmed_moves: dict[str, Move] = {}
        self.confirmed_claims: set[tuple[str, int]] = set()
        self.read_lock = asyncio.Lock()
        self.snapshot_s = 0.0

    async def read_log(self):
        """Applies the records that have not been read yet; raises :class:`LogError` on failure."""
        async with self.read_lock:
            while True:
                page = await self.log.read(STREAM, self.offset)
                if page.start > self.offset:
                    self.in_gap = True
                for index, text in enumerate(page.records):
                    self._fold(page.start + index, json.loads(text))
                self.offset = max(self.offset, page.next)
                if not page.records:
                    return

    def _fold(self, offset: int, record: dict):
        if record["k"] == "book":
            self._fold_snapshot(record)
        elif self.in_gap:
            self.deferred_changes.append((offset, record))
        else:
            self._fold_change(record)

    def _fold_change(self, record: dict):
        if record["k"] == "claim":
            apply_claim(self.grant_state, Claim(record["shard"], record["epoch"]))
            return
        move = Move(*record["move"])
        if record["id"] not in self.applied_move_ids:
            self.applied_move_ids.add(record["id"])
            apply_move(self.grant_state, move)
        self.unconfirmed_moves.pop(record["id"], None)

    def _fold_snapshot(self, record: dict):
        self.snapshot_s = asyncio.get_running_loop().time()
        if not self.in_gap:
            return
        self.grant_state = GrantState(
            dict(record["claims"]),
            {(team, version): dict(parts) for team, version, parts in record["moved"]},
        )
        for offset, change in self.deferred_changes:
            if offset >= record["through"]:
                self._fold_change(change)
        self.deferred_changes.clear()
        self.in_gap = False

    async def claim(self, shard: Shard) -> bool:
        """Records a claim that fences off former owners of a shard.

        Returns whether the shard's part of each limit is now known from the log.
        """
        claim_key = (shard.name, shard.epoch)
        result = await self.recorder.write(
            {"k": "claim", "shard": shard.name, "epoch": shard.epoch}
        )
        if not isinstance(result, Written):
            return False
        try:
            await self.read_log()
        except LogError:
            return False
        if not self.in_gap:
            self.confirmed_claims.add(claim_key)
        return claim_key in self.confirmed_claims

    async def write_snapshot(self, older_than_s: float):
        """Writes a snapshot of the grant state before the log drops the records it is made from."""
        now_s = asyncio.get_running_loop().time()
        if self.in_gap or now_s - self.snapshot_s < older_than_s or not self.grant_state.claims:
            return
        self.snapshot_s = now_s
        moved = [
            [team, version, parts] for (team, version), parts in self.grant_state.moved.items()
        ]
        record = {
            "k": "book",
            "through": self.offset,
            "claims": self.grant_state.claims,
            "moved": moved,
        }
        await self.recorder.write(record)


def compute_grant(shard: Shard, ledger: GrantLedger, state: ConfigState, team: str) -> int:
    """Returns how many tasks and requests of a team may run in a shard at the same time."""
    version = find_limit_version(state, team)
    limit = state.teams[team].max_running
    base = split_limit(team, limit, list_shards(state)).get(shard.name, 0)
    if (shard.name, shard.epoch) in ledger.confirmed_claims:
        part = compute_part(ledger.grant_state, team, version, base, shard.name)
        part -= sum(
            move.units
            for move in ledger.unconfirmed_moves.values()
            if (move.team, move.version, move.source) == (team, version, shard.name)
        )
    else:
        part = compute_guaranteed_part(base)
    known = shard.tables.previous_grants.get(team)
    if known is not None and known[0] == version:
        return max(part, 0)
    if shard.settled < version and find_first_version(state, team) < version:
        return max(0, min(part, known[1] if known else 0))
    shard.tables.previous_grants[team] = (version, part)
    return max(part, 0)


def sync_teams(shard: Shard, ledger: GrantLedger):
    """Updates the weights and grants of all teams in a shard's tables."""
    state = shard.context.follower.state
    for team in state.teams.values():
        grant = compute_grant(shard, ledger, state, team.name)
        put_team(shard.cell, team, grant)
        known = shard.tables.previous_grants.get(team.name)
        if known is not None:
            shard.tables.previous_grants[team.name] = (known[0], grant)
    for name, row in shard.cell.teams.items():
        if name not in state.teams:
            row.grant = 0


def find_short_teams(shard: Shard) -> dict[str, int]:
    """Returns the teams whose running and waiting work exceeds a grant below the team's limit.

    Each is returned with the number of units by which its work exceeds the grant.
    """
    short = {}
    for name, row in shard.cell.teams.items():
        waiting = sum(backlog.size for backlog in row.backlogs.values())
        if waiting and row.running + waiting > row.grant and row.team.max_running > row.grant:
            short[name] = row.running + waiting - row.grant
    return short


def release_units(shard: Shard, ledger: GrantLedger, move_request: ttypes.MoveGrant) -> Move | None:
    """Lowers a shard's grant in favor of another shard; returns ``None`` if no unit is spare."""
    state = shard.context.follower.state
    row = shard.cell.teams.get(move_request.team)
    if row is None or move_request.team not in state.teams or not shard.is_owned():
        return None
    if (shard.name, shard.epoch) not in ledger.confirmed_claims:
        return None
    if (
        find_limit_version(state, move_request.team) != move_request.version
        or shard.settled < move_request.version
    ):
        return None
    base = split_limit(move_request.team, row.team.max_running, list_shards(state)).get(
        shard.name, 0
    )
    waiting = sum(backlog.size for backlog in row.backlogs.values())
    units = min(move_request.units, compute_spare(base, row.grant, row.running, waiting))
    if units <= 0:
        return None
    move = Move(
        move_request.team, move_request.version, shard.name, move_request.target, units, shard.epoch
    )
    row.grant -= units
    return move


async def answer_move(shard: Shard, ledger: GrantLedger, move_request: ttypes.MoveGrant) -> Outcome:
    """Answers another shard's request for units of a team's limit."""
    move = release_units(shard, ledger, move_request)
    if move is None:
        detail = f"team {move_request.team} has no units to spare in this shard"
        return NotRun(Fault(Reason.OVER_LIMIT, Step.ADMIT, shard.context.node, detail))
    name = secrets.token_hex(8)
    ledger.unconfirmed_moves[name] = move
    fields = [move.team, move.version, move.source, move.target, move.units, move.epoch]
    result = await ledger.recorder.write({"k": "move", "id": name, "move": fields})
    if isinstance(result, NotWritten):
        ledger.unconfirmed_moves.pop(name, None)
    try:
        await ledger.read_log()
    except LogError as error:
        eliot.log_message("grant:log_unreachable", detail=str(error))
    sync_teams(shard, ledger)
    if not isinstance(result, Written):
        detail = "the log did not confirm the move of units"
        return NotRun(Fault(Reason.LOG_DOWN, Step.RECORD, shard.context.node, detail))
    return Answered(200, str(move.units).encode())
