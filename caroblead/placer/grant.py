"""The parts of the teams' limits that a placer's shards hold, and their movement toward demand.

See :mod:`caroblead.policy.escrow` for the rules. A raised part waits until every shard's owner is
known to apply the ticket that raised it, which the digests tell; a lowered part holds at once.
"""

import asyncio
import json
import secrets

import eliot

from ..config.state import ConfigState, find_first_version, find_limit_version, list_shards
from ..core.outcome import Answered, Fault, NotRun, Outcome, Reason, Step
from ..fleet.interface import Log, LogError
from ..policy.cell import put_team
from ..policy.escrow import (
    Claim,
    GrantBook,
    Move,
    compute_certain_part,
    compute_part,
    compute_spare,
    fold_claim,
    fold_move,
    split_limit,
)
from ..wire.gen import ttypes
from .recorder import NotWritten, Recorder, Written
from .shard import Shard

STREAM = "grants"


class GrantLedger:
    """The moves of parts that stand in the log, as one placer has read them."""

    def __init__(self, log: Log, batch_s: float):
        self.log = log
        self.book = GrantBook()
        self.recorder = Recorder(log, STREAM, batch_s)
        self.offset = 0
        self.in_gap = False
        self.set_aside: list[tuple[int, dict]] = []
        self.seen_ids: set[str] = set()
        self.pending_out: dict[str, Move] = {}
        self.current: set[tuple[str, int]] = set()
        self.reading = asyncio.Lock()
        self.snapshot_s = 0.0

    async def read_log(self):
        """Folds what has not been read yet, or raises :class:`LogError`."""
        async with self.reading:
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
            self.set_aside.append((offset, record))
        else:
            self._fold_change(record)

    def _fold_change(self, record: dict):
        if record["k"] == "claim":
            fold_claim(self.book, Claim(record["shard"], record["epoch"]))
            return
        move = Move(*record["move"])
        if record["id"] not in self.seen_ids:
            self.seen_ids.add(record["id"])
            fold_move(self.book, move)
        self.pending_out.pop(record["id"], None)

    def _fold_snapshot(self, record: dict):
        self.snapshot_s = asyncio.get_running_loop().time()
        if not self.in_gap:
            return
        self.book = GrantBook(
            dict(record["claims"]),
            {(team, version): dict(parts) for team, version, parts in record["moved"]},
        )
        for offset, change in self.set_aside:
            if offset >= record["through"]:
                self._fold_change(change)
        self.set_aside.clear()
        self.in_gap = False

    async def claim(self, shard: Shard) -> bool:
        """Shuts out former owners of a shard; returns whether its part is now known."""
        place = (shard.name, shard.epoch)
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
            self.current.add(place)
        return place in self.current

    async def refresh(self, older_than_s: float):
        """Writes the whole book again before its records expire."""
        now_s = asyncio.get_running_loop().time()
        if self.in_gap or now_s - self.snapshot_s < older_than_s or not self.book.claims:
            return
        self.snapshot_s = now_s
        moved = [[team, version, parts] for (team, version), parts in self.book.moved.items()]
        record = {"k": "book", "through": self.offset, "claims": self.book.claims, "moved": moved}
        await self.recorder.write(record)


def compute_grant(shard: Shard, ledger: GrantLedger, state: ConfigState, team: str) -> int:
    """Returns how much of a team may run in a shard at a time."""
    version = find_limit_version(state, team)
    limit = state.teams[team].max_running
    base = split_limit(team, limit, list_shards(state)).get(shard.name, 0)
    if (shard.name, shard.epoch) in ledger.current:
        part = compute_part(ledger.book, team, version, base, shard.name)
        part -= sum(
            move.units
            for move in ledger.pending_out.values()
            if (move.team, move.version, move.source) == (team, version, shard.name)
        )
    else:
        part = compute_certain_part(base)
    known = shard.tables.previous_grants.get(team)
    if known is not None and known[0] == version:
        return max(part, 0)
    if shard.settled < version and find_first_version(state, team) < version:
        return max(0, min(part, known[1] if known else 0))
    shard.tables.previous_grants[team] = (version, part)
    return max(part, 0)


def sync_teams(shard: Shard, ledger: GrantLedger):
    """Brings the weights and parts of all teams in a shard's tables up to date."""
    state = shard.around.follower.state
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
    """Returns the teams that wait only because their part is used up, and for how much."""
    short = {}
    for name, row in shard.cell.teams.items():
        waiting = sum(lane.size for lane in row.lanes.values())
        if waiting and row.running + waiting > row.grant and row.team.max_running > row.grant:
            short[name] = row.running + waiting - row.grant
    return short


def give_part(shard: Shard, ledger: GrantLedger, ask: ttypes.MoveGrant) -> Move | None:
    """Lowers a shard's part for another shard; nothing when there is none to spare."""
    state = shard.around.follower.state
    row = shard.cell.teams.get(ask.team)
    if row is None or ask.team not in state.teams or not shard.is_owned():
        return None
    if (shard.name, shard.epoch) not in ledger.current:
        return None
    if find_limit_version(state, ask.team) != ask.version or shard.settled < ask.version:
        return None
    base = split_limit(ask.team, row.team.max_running, list_shards(state)).get(shard.name, 0)
    waiting = sum(lane.size for lane in row.lanes.values())
    units = min(ask.units, compute_spare(base, row.grant, row.running, waiting))
    if units <= 0:
        return None
    move = Move(ask.team, ask.version, shard.name, ask.target, units, shard.epoch)
    row.grant -= units
    return move


async def answer_move(shard: Shard, ledger: GrantLedger, ask: ttypes.MoveGrant) -> Outcome:
    """Answers another shard's request for a part of a team's limit."""
    move = give_part(shard, ledger, ask)
    if move is None:
        detail = f"nothing of {ask.team} to spare"
        return NotRun(Fault(Reason.OVER_LIMIT, Step.ADMIT, shard.around.node, detail))
    name = secrets.token_hex(8)
    ledger.pending_out[name] = move
    fields = [move.team, move.version, move.source, move.target, move.units, move.epoch]
    result = await ledger.recorder.write({"k": "move", "id": name, "move": fields})
    if isinstance(result, NotWritten):
        ledger.pending_out.pop(name, None)
    try:
        await ledger.read_log()
    except LogError as error:
        eliot.log_message("grant:log_unreachable", detail=str(error))
    sync_teams(shard, ledger)
    if not isinstance(result, Written):
        detail = "the move was not recorded"
        return NotRun(Fault(Reason.LOG_DOWN, Step.RECORD, shard.around.node, detail))
    return Answered(200, str(move.units).encode())
