"""A stand-in for the platform's store: its topics, and the calls of PROTOCOL.md that nodes make.

The operator and the minions write through the methods; nodes may not write to their topics.
"""

import asyncio
import base64
import struct
import time

from aiohttp import web

ANSWER_S = 0.004
ENTRY_EXPIRY_S = 4.5
MAX_ITEMS = 500
OUTSIDERS_TOPICS = ("keyed.op", "keyed.servers")


class Topic:
    """Partition 0 of a topic: all records, the newest of each key, and the producers."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()

    def append(self, records):
        offset = len(self.records)
        for record in records:
            size = record[0]
            key, value = record[1 : 1 + size].decode(), record[1 + size :]
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
            self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return {"offset": offset, "endOffset": len(self.records)}

    def append_as(self, records, producer, epoch, sequence):
        """Appends in the sequence of a producer; returns a status and the body of the answer."""
        state = self.producers.setdefault(producer, {"epoch": -1, "last": None, "answers": {}})
        if epoch < state["epoch"]:
            return 409, {"reason": "fenced"}
        if epoch > state["epoch"]:
            state.update(epoch=epoch, last=None, answers={})
        if sequence in state["answers"]:
            return 200, state["answers"][sequence]
        if state["last"] is not None and sequence != state["last"] + 1:
            return 409, {"reason": "seq", "expected": state["last"] + 1}
        state["last"] = sequence
        state["answers"][sequence] = self.append(records)
        state["answers"].pop(sequence - 5, None)
        return 200, state["answers"][sequence]


class Store:
    """All topics, served to nodes at one or more addresses."""

    def __init__(self):
        self.topics = {}
        self.entries = {}

    def get(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes a record as the operator or a minion; an empty value drops the key."""
        self.get(topic).append([bytes((len(key),)) + key.encode() + value])

    async def register(self, request):
        name, body = request.match_info["id"], await request.read()
        self.entries[name] = time.monotonic()
        self.put("keyed.servers", name, body)
        return web.Response()

    async def expire(self):
        """Removes the entries of minions that have been silent."""
        while True:
            await asyncio.sleep(0.1)
            for name, at_s in list(self.entries.items()):
                if time.monotonic() - at_s > ENTRY_EXPIRY_S:
                    del self.entries[name]
                    self.put("keyed.servers", name, b"")

    async def log_append(self, request):
        query, body = request.query, await request.read()
        await asyncio.sleep(ANSWER_S)
        if query["topic"] in OUTSIDERS_TOPICS:
            return web.Response(status=403)
        records, position = [], 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        topic = self.get(query["topic"])
        if "producer" not in query:
            return web.json_response(topic.append(records))
        status, answer = topic.append_as(
            records, query["producer"], int(query["epoch"]), int(query["sequence"])
        )
        return web.json_response(answer, status=status)

    async def log_read(self, request):
        query = request.query
        topic, start = self.get(query["topic"]), int(query["fromRevision"])
        await asyncio.sleep(ANSWER_S)
        wait_ms = int(query.get("waitMs", 0))
        if start >= len(topic.records) and wait_ms:
            changed = topic.changed
            try:
                await asyncio.wait_for(changed.wait(), wait_ms / 1000)
            except TimeoutError:
                pass
        parts, size = [struct.pack(">QQ", len(topic.records), 0)], 0
        for record in topic.records[start:]:
            size += 4 + len(record)
            if size > int(query.get("maxSizeKb", 1024)) * 1024:
                break
            parts.append(struct.pack(">I", len(record)) + record)
        return web.Response(body=b"".join(parts))

    async def log_newest(self, request):
        topic, after = self.get(request.query["topic"]), request.query.get("after", "")
        await asyncio.sleep(ANSWER_S)
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:MAX_ITEMS]
        ]
        return web.json_response(
            {"items": items, "hasMore": len(keys) > len(items), "endOffset": len(topic.records)}
        )

    async def serve(self, hosts, port):
        """Serves nodes, and the heartbeats of minions, at some addresses."""
        server = web.Application(client_max_size=8 * 1024 * 1024)
        server.router.add_post("/api/log-append", self.log_append)
        server.router.add_get("/api/log-read", self.log_read)
        server.router.add_get("/api/log-newest", self.log_newest)
        server.router.add_put("/register/{id}", self.register)
        runner = web.AppRunner(server, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        for host in hosts:
            await web.TCPSite(runner, host, port, backlog=512).start()
        return runner
