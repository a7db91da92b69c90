"""A stand-in for one minion, as PROTOCOL.md describes it, controlled by invocation.

It runs as a process of its own, so that a test crashes it with SIGKILL and starts it again. Its
history goes to a file, one JSON object a line, with times of the machine's steady clock.
"""

import argparse
import asyncio
import json
import time

import aiohttp
from aiohttp import web

HEARTBEAT_S = 1.5
STOP_S = 0.1
LEASE_CHECK_S = 0.02


def read_work(spec):
    """Returns what a spec says of its task's work; one that says nothing is done soon."""
    try:
        return {"workMs": 500, **json.loads(spec)}
    except (ValueError, TypeError):
        return {"workMs": 500}


class Minion:
    """What runs, what has ended, the lease, and the highest fencing token that was seen."""

    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.began_s = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0
        self.running = {}
        self.closed = {}
        self.finished = []
        self.next_end = 1
        self.changed = asyncio.Event()
        self.history = open(options.history, "a", buffering=1)
        self.note("up", born=self.born)

    def note(self, kind, **fields):
        entry = {"s": time.monotonic(), "minion": self.options.id, "kind": kind, **fields}
        self.history.write(json.dumps(entry) + "\n")

    def clock_ms(self):
        return int((time.monotonic() - self.began_s) * 1000)

    def extend(self, deadline_ms):
        """Takes a deadline over; a lease is never longer than the limit, and never shortened."""
        latest = self.clock_ms() + self.options.hold_max_ms
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, latest))

    def answer(self, status, **fields):
        return web.json_response({"clockMs": self.clock_ms(), "born": self.born, **fields}, status=status)

    def refuse(self, reason):
        return self.answer(409, reason=reason)

    async def read(self, request):
        """Returns the message of a call, or the refusal of one for another boot or token."""
        message = await request.json()
        if request.headers.get("Expect-Instance", self.options.id) != self.options.id:
            return None, web.Response(status=421)
        fence = message.get("fencingToken", 0)
        if fence < self.fence:
            return None, self.refuse("fence")
        self.fence = fence
        return message, None

    async def start(self, request):
        message, refusal = await self.read(request)
        if refusal is not None:
            return refusal
        task, run = message["task"], message["runId"]
        present = self.running.get(task)
        if present is not None and present["run"] == run:
            self.extend(message["deadlineMs"])
            return self.answer(200)
        if run <= self.closed.get(task, 0) or present is not None:
            self.extend(message["deadlineMs"])
            return self.refuse("old")
        if message["deadlineMs"] <= self.clock_ms():
            return self.refuse("late")
        self.extend(message["deadlineMs"])
        self.running[task] = {
            "run": run,
            "began_s": time.monotonic(),
            "work": read_work(message["spec"]),
            "stopping": False,
        }
        self.note("start", task=task, run=run)
        return self.answer(200)

    async def stop(self, request):
        message, refusal = await self.read(request)
        if refusal is not None:
            return refusal
        task, run = message["task"], message["runId"]
        self.closed[task] = max(self.closed.get(task, 0), run)
        present = self.running.get(task)
        if present is not None and present["run"] <= run and not present["stopping"]:
            present["stopping"] = True
            self.note("stop ordered", task=task, run=present["run"])
            asyncio.get_running_loop().call_later(STOP_S, self.end, task, present["run"], "stopped")
        return self.answer(200)

    async def pace(self, request):
        message, refusal = await self.read(request)
        return refusal or self.answer(200)

    async def hold(self, request):
        message, refusal = await self.read(request)
        if refusal is not None:
            return refusal
        if "deadlineMs" in message:
            self.extend(message["deadlineMs"])
        seen = message["lastSeen"]
        for row in self.finished:
            if row[0] <= seen:
                self.note("noted", task=row[1], run=row[2], how=row[3])
        self.finished = [row for row in self.finished if row[0] > seen]
        if not self.finished and message.get("waitMs"):
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), message["waitMs"] / 1000)
            except TimeoutError:
                pass
        running = [
            [task, item["run"], "", self.percent(item), 0] for task, item in self.running.items()
        ]
        return self.answer(200, running=running, finished=self.finished[:500])

    def percent(self, item):
        """Returns how much of its work a task has done, as a whole number, like that of the page."""
        worked_ms = (time.monotonic() - item["began_s"]) * 1000
        return min(99, int(100 * worked_ms / item["work"]["workMs"]))

    def end(self, task, run, how):
        item = self.running.get(task)
        if item is None or item["run"] != run:
            return
        del self.running[task]
        self.closed[task] = max(self.closed.get(task, 0), run)
        self.finished.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self.note(how, task=task, run=run)
        self.changed.set()
        self.changed = asyncio.Event()

    async def work(self):
        """Ends what has done its work, and all when the lease has expired."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now_s = time.monotonic()
            for task, item in list(self.running.items()):
                if self.clock_ms() > self.deadline_ms:
                    self.end(task, item["run"], "lapsed")
                elif (now_s - item["began_s"]) * 1000 >= item["work"]["workMs"]:
                    self.end(task, item["run"], "done")

    async def register(self):
        """Writes the minion's entry into the store every heartbeat."""
        options, sequence = self.options, 0
        entry = {
            "service": options.service,
            "address": f"{options.host}:{options.port}",
            "zone": options.zone,
            "version": "1",
            "slots": 8,
            "state": "available",
            "coldRemainingMs": 0,
            "capacity": {"cpu": options.cpu, "memMb": options.mem_mb, "gpu": options.gpu},
            "labels": options.labels.split(","),
            "born": self.born,
        }
        async with aiohttp.ClientSession() as session:
            while True:
                sequence += 1
                url = f"http://{options.store}/register/{options.id}"
                try:
                    async with session.put(url, json={**entry, "sequence": sequence}) as reply:
                        await reply.read()
                except (aiohttp.ClientError, OSError):
                    pass
                await asyncio.sleep(HEARTBEAT_S)


async def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "host", "store", "service", "zone", "labels", "history"):
        parser.add_argument(f"--{name}", required=True)
    for name in ("port", "cpu", "mem-mb", "gpu", "hold-max-ms"):
        parser.add_argument(f"--{name}", type=int, required=True)
    minion = Minion(parser.parse_args())
    server = web.Application()
    server.router.add_post("/api/run-start", minion.start)
    server.router.add_post("/api/run-stop", minion.stop)
    server.router.add_post("/api/hold", minion.hold)
    server.router.add_post("/api/pace", minion.pace)
    server.router.add_get("/healthz", lambda request: web.Response())
    runner = web.AppRunner(server, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, minion.options.host, minion.options.port).start()
    await asyncio.gather(minion.work(), minion.register())


asyncio.run(main())
