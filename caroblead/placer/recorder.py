"""Batched writing of records to the log, with lost answers resolved by reading back.

One append carries all records of a short interval, since the log accepts only a few hundred appends
a second from the whole fleet. When the answer to an append is lost, the recorder reads the stream
from the last offset that it knew before the append. A record found there was written, whatever the
answer would have been.
"""

import asyncio
import json
import secrets
from dataclasses import dataclass

import eliot

from ..core.outcome import LogError
from ..core.timer import await_and_log_errors
from ..fleet.interface import Log

RESOLVE_ATTEMPTS = 4
RESOLVE_INTERVAL_S = 0.25


@dataclass(slots=True, frozen=True)
class Written:
    """The record is in the log."""


@dataclass(slots=True, frozen=True)
class NotWritten:
    """The record is certainly not in the log."""

    detail: str


@dataclass(slots=True, frozen=True)
class MaybeWritten:
    """The record may be in the log, or may still get there."""

    detail: str


WriteResult = Written | NotWritten | MaybeWritten


class Recorder:
    """Batches records for one stream; a batch collects records for ``batch_s`` seconds."""

    def __init__(self, log: Log, stream: str, batch_s: float):
        self.log = log
        self.stream = stream
        self.batch_s = batch_s
        self.pending: list[tuple[str, asyncio.Future]] = []
        self.task: asyncio.Task | None = None
        self.next_offset = 0
        self.appends = 0

    def write(self, record: dict) -> asyncio.Future:
        """Adds a record to the next batch; the future's result is a :data:`WriteResult`.

        A random nonce is added to the record, by which it is recognized when it is read back.
        """
        future = asyncio.get_running_loop().create_future()
        text = json.dumps({**record, "nonce": secrets.token_hex(6)}, separators=(",", ":"))
        self.pending.append((text, future))
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(await_and_log_errors(self._run()))
        return future

    async def _run(self):
        while self.pending:
            await asyncio.sleep(self.batch_s)
            batch, self.pending = self.pending, []
            result = await self._append([text for text, _ in batch])
            for _, future in batch:
                if not future.done():
                    future.set_result(result)

    async def _append(self, texts: list[str]) -> WriteResult:
        self.appends += 1
        try:
            offset = await self.log.append(self.stream, texts)
            self.next_offset = max(self.next_offset, offset + len(texts))
            return Written()
        except LogError as error:
            if not error.sent:
                return NotWritten(str(error))
            return await self._resolve_append(texts, str(error))

    async def _resolve_append(self, texts: list[str], detail: str) -> WriteResult:
        """Reads from the last known offset to find out whether an unanswered append took effect."""
        for _ in range(RESOLVE_ATTEMPTS):
            try:
                page = await self.log.read(self.stream, self.next_offset)
                while page.records:
                    if texts[0] in page.records:
                        self.next_offset = page.start + page.records.index(texts[0]) + len(texts)
                        return Written()
                    self.next_offset = page.next
                    page = await self.log.read(self.stream, self.next_offset)
            except LogError as error:
                eliot.log_message("record:settle_failed", stream=self.stream, detail=str(error))
            await asyncio.sleep(RESOLVE_INTERVAL_S)
        return MaybeWritten(detail)

    def cancel(self):
        """Stops at once; pending records are not written."""
        if self.task is not None:
            self.task.cancel()
