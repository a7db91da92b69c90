"""Guards against single records and entries that keep a reader of the log from all others."""

import asyncio
import base64
import json
import struct

import pytest
from aiohttp import web

from ..core.outcome import LogError
from ..dispatch.interface import LogLimits, RecordsRefusedError
from ..jobs.record import KeyedRecord
from .http import MAX_BODY_BYTES, CallFailedError, HttpClient, Reply
from .listener import Listener
from .log import PlatformLog, parse_records

GOOD = KeyedRecord("good", b"1")


def frame(content: bytes) -> bytes:
    return struct.pack(">I", len(content)) + content


def frame_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    return frame(bytes((len(key),)) + key + record.value)


@pytest.mark.parametrize(
    "odd", [b"", b"\x09short", b"\xff", b"\x02\xff\xfev", b"\x00", b"\x04good"]
)
def test_odd_record_is_passed_over_and_counted(odd):
    body = struct.pack(">QQ", 8, 0) + frame_record(GOOD) + frame(odd) + frame_record(GOOD)
    batch = parse_records(body, 5)
    assert [batch.records[0], batch.records[2]] == [GOOD, GOOD]
    assert (batch.next_offset, batch.end_offset) == (8, 8)


def test_record_whose_key_is_cut_short_drops_no_other_key():
    body = struct.pack(">QQ", 1, 0) + frame(b"\x09good")
    assert parse_records(body, 0).records == [KeyedRecord("", b"")]


class FakePages:
    """Answers the reads of the newest records with pages, the last one again and again."""

    def __init__(self, *pages):
        self.pages = list(pages)
        self.calls = 0

    async def call(self, method, url, timeout_s, body=None, headers=None):
        self.calls += 1
        page = self.pages.pop(0) if len(self.pages) > 1 else self.pages[0]
        return Reply(200, json.dumps(page).encode())


def make_item(key="good", value="MQ==", offset=0) -> dict:
    return {"key": key, "value": value, "offset": offset}


@pytest.mark.parametrize(
    "odd",
    [
        7,
        [],
        {},
        make_item(key=5),
        make_item(value="!"),
        make_item(value="MQ"),
        make_item(value=[]),
        make_item(offset=1e308),
        make_item(offset="x"),
        make_item(offset=None),
    ],
)
def test_odd_entry_of_a_page_is_left_out(odd):
    page = {"items": [odd, make_item()], "hasMore": False, "endOffset": 3}
    batch = asyncio.run(PlatformLog(FakePages(page), "127.0.0.1:1", "keyed.t").read_newest())
    assert (batch.records, batch.next_offset) == ([GOOD], 3)


def test_pages_that_do_not_go_on_end_in_an_error():
    page = {"items": [make_item()], "hasMore": True, "endOffset": 3}
    pages = FakePages(page)
    with pytest.raises(LogError):
        asyncio.run(PlatformLog(pages, "127.0.0.1:1", "keyed.t").read_newest())
    assert pages.calls == 2


def test_pages_that_go_on_are_all_read():
    value = base64.b64encode(b"1").decode()
    pages = FakePages(
        {"items": [make_item("a", value, 2)], "hasMore": True, "endOffset": 3},
        {"items": [make_item("b", value, 1)], "hasMore": False, "endOffset": 9},
    )
    batch = asyncio.run(PlatformLog(pages, "127.0.0.1:1", "keyed.t").read_newest())
    assert [record.key for record in batch.records] == ["b", "a"]
    assert batch.next_offset == 3


# A page whose last entry was odd ended every read, so that no node could start.
@pytest.mark.parametrize("odd", [{"value": "MQ=="}, {"key": 5}, "x", None])
def test_odd_last_entry_of_a_page_hides_none_of_the_next_pages(odd):
    pages = FakePages(
        {"items": [make_item("a"), make_item("b"), odd], "hasMore": True, "endOffset": 3},
        {"items": [odd, make_item("c", offset=1)], "hasMore": False, "endOffset": 3},
    )
    batch = asyncio.run(PlatformLog(pages, "127.0.0.1:1", "keyed.t").read_newest())
    assert sorted(record.key for record in batch.records) == ["a", "b", "c"]


# How long after a cut a node that reaches the store must know all that the log has.
CONTACT_S = 3.0


class Silent:
    """A client whose calls get no answer; ``timeouts`` are how long each was waited for."""

    def __init__(self):
        self.timeouts = []

    async def call(self, method, url, timeout_s, body=None, headers=None):
        self.timeouts.append(timeout_s)
        raise CallFailedError("no response", True)


@pytest.mark.parametrize("link_mbps", [5.0, 100.0, 1000.0])
def test_read_that_gets_no_answer_ends_in_time_and_one_over_a_thin_link_is_waited_for(link_mbps):
    http = Silent()
    log = PlatformLog(http, "127.0.0.1:1", "keyed.t", link_mbps)
    for read in (log.read(0, 0.4), log.read_newest()):
        with pytest.raises(LogError):
            asyncio.run(read)
    transfers_s = [size * 8 / (link_mbps * 1e6) for size in (262_144, 1_400_000)]
    for timeout_s, transfer_s in zip(http.timeouts, transfers_s, strict=True):
        assert transfer_s + 0.4 < timeout_s < CONTACT_S + 2 * transfer_s


@pytest.mark.parametrize(("link_mbps", "call_bytes"), [(5.0, 262_144), (1000.0, 2_097_152)])
def test_append_over_a_thin_link_is_small_enough_for_heartbeats_and_waited_for(
    link_mbps, call_bytes
):
    http = Silent()
    log = PlatformLog(http, "127.0.0.1:1", "keyed.t", link_mbps)
    assert log.limits == LogLimits(262_144, call_bytes)
    small = PlatformLog(http, "127.0.0.1:1", "keyed.t", link_mbps, LogLimits(2000, 500))
    assert small.limits == LogLimits(500, 500)
    record = KeyedRecord("a", bytes(262_000))
    with pytest.raises(LogError):
        asyncio.run(log.append([record], None, 0.6))
    assert http.timeouts[0] > 0.6 + record.size * 8 / (link_mbps * 1e6)


def test_record_whose_key_is_too_long_for_the_store_is_refused_without_a_call():
    log = PlatformLog(None, "127.0.0.1:1", "keyed.t")
    with pytest.raises(RecordsRefusedError):
        asyncio.run(log.append([KeyedRecord("n/" + "x" * 254, b"1")], None, 0.6))


@pytest.mark.parametrize("status", [400, 413])
def test_answer_that_no_repetition_can_change_is_told_from_a_passing_one(status):
    class Refusing:
        async def call(self, method, url, timeout_s, body=None, headers=None):
            return Reply(status, b"{}")

    log = PlatformLog(Refusing(), "127.0.0.1:1", "keyed.t")
    with pytest.raises(RecordsRefusedError) as caught:
        asyncio.run(log.append([KeyedRecord("a", b"1")], None, 0.6))
    assert not caught.value.sent


def test_response_that_is_too_large_for_the_memory_is_given_up():
    async def main():
        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            size = int(request.path[1:])
            return web.Response(body=b"x" * size)

        listener, http = Listener(answer), HttpClient()
        await listener.start("127.0.0.1", 0)
        host, port = listener.address
        url = f"http://{host}:{port}/"
        try:
            reply = await http.call("GET", f"{url}{MAX_BODY_BYTES}", 5.0)
            assert len(reply.body) == MAX_BODY_BYTES
            with pytest.raises(CallFailedError) as caught:
                await http.call("GET", f"{url}{MAX_BODY_BYTES + 1}", 5.0)
            assert caught.value.sent
            assert (await http.call("GET", f"{url}0", 5.0)).body == b""
        finally:
            await http.close()
            await listener.close(0.1)

    asyncio.run(main())
