"""HTTP client for the platform's log, VM list, lease and endpoint interfaces, based on aiohttp.

Requests carry few headers, because in a large fleet lease renewals make up most of the traffic that
a node sends.
"""

import asyncio
import json

import aiohttp

from ..core.outcome import LogError
from ..core.resource import Resources
from .interface import (
    EndpointAnswer,
    EndpointRequest,
    LeaseAnswer,
    LeaseCall,
    ListedVm,
    LogPage,
    RunState,
    StartTask,
    TaskUsage,
    VmError,
    VmTask,
)

# Carries the logical clock of the sender, in requests and in responses.
CLOCK_HEADER = "X-Clock"
NODE_HEADER = "X-Node"
PLATFORM_TIMEOUT_S = 2.0
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
CLIENT_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, asyncio.IncompleteReadError)


class HttpPlatform:
    """Implements the platform's four interfaces over one HTTP session.

    ``block_while_frozen`` is awaited before each request; it returns at once unless a failure test
    has frozen the program.
    """

    def __init__(self, node: str, clock, log_url: str, list_url: str, block_while_frozen=None):
        self.node = node
        self.clock = clock
        self.log_url = log_url
        self.list_url = list_url
        self.block_while_frozen = block_while_frozen
        connector = aiohttp.TCPConnector(
            limit=0, limit_per_host=0, keepalive_timeout=30, resolver=aiohttp.ThreadedResolver()
        )
        self.session = aiohttp.ClientSession(
            connector=connector, skip_auto_headers=SKIPPED_HEADERS, auto_decompress=False
        )
        self.cached_lists: dict[str, tuple[str, list[ListedVm]]] = {}

    async def close(self):
        """Closes the HTTP session and its connections."""
        await self.session.close()

    async def _send_request(self, method: str, url: str, timeout_s: float, headers=(), **options):
        if self.block_while_frozen is not None:
            await self.block_while_frozen()
        all_headers = {
            NODE_HEADER: self.node,
            CLOCK_HEADER: str(self.clock.advance()),
            **dict(headers),
        }
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        async with self.session.request(
            method, url, headers=all_headers, timeout=timeout, **options
        ) as response:
            body = await response.read()
            self.clock.observe(int(response.headers.get(CLOCK_HEADER, 0)))
            return response.status, body, response.headers

    async def append(self, stream: str, records: list[str]) -> int:
        """Appends records to a stream and returns the offset of the first one."""
        body = json.dumps({"records": records}, separators=(",", ":")).encode()
        try:
            status, answer, _ = await self._send_request(
                "POST", f"{self.log_url}/log/{stream}", PLATFORM_TIMEOUT_S, data=body
            )
        except aiohttp.ClientConnectorError as error:
            raise LogError(f"can't connect: {error}", False) from None
        except CLIENT_ERRORS as error:
            raise LogError(f"no response: {type(error).__name__}", True) from None
        if status == 200:
            return json.loads(answer)["offset"]
        raise LogError(f"log returned HTTP status {status}", status not in (429, 503))

    async def read(self, stream: str, start: int) -> LogPage:
        """Reads the records of a stream, starting at an offset."""
        url = f"{self.log_url}/log/{stream}?from={start}"
        try:
            status, answer, _ = await self._send_request("GET", url, PLATFORM_TIMEOUT_S)
        except CLIENT_ERRORS as error:
            raise LogError(f"no response: {type(error).__name__}", False) from None
        if status != 200:
            raise LogError(f"log returned HTTP status {status}", False)
        page = json.loads(answer)
        return LogPage(page["first"], page["start"], page["records"])

    async def list_vms(self, zone: str) -> list[ListedVm]:
        """Returns the VMs of an availability zone.

        The list is cached with its ETag, so the platform sends it again only after a change.
        """
        version, cached_vms = self.cached_lists.get(zone, ("", []))
        url = f"{self.list_url}/vms?zone={zone}"
        headers = {"If-None-Match": version} if version else {}
        try:
            status, answer, response_headers = await self._send_request(
                "GET", url, PLATFORM_TIMEOUT_S, headers
            )
        except CLIENT_ERRORS as error:
            raise VmError(f"no response from the VM list: {type(error).__name__}", False) from None
        if status == 304:
            return cached_vms
        if status != 200:
            raise VmError(f"VM list returned HTTP status {status}", False)
        vms = [_decode_vm(item) for item in json.loads(answer)["vms"]]
        self.cached_lists[zone] = (response_headers.get("ETag", ""), vms)
        return vms

    async def lease(self, vm: str, address: str, call: LeaseCall, timeout_s: float) -> LeaseAnswer:
        """Sends a lease call to a VM and returns its answer."""
        body = json.dumps(_encode_lease_call(call), separators=(",", ":")).encode()
        try:
            status, answer, _ = await self._send_request(
                "POST", f"{address}/lease", timeout_s, data=body
            )
        except aiohttp.ClientConnectorError as error:
            raise VmError(f"can't connect: {error}", False) from None
        except CLIENT_ERRORS as error:
            raise VmError(f"no response: {type(error).__name__}", True) from None
        if status != 200:
            raise VmError(f"{vm} returned HTTP status {status}", True)
        return _decode_lease_answer(json.loads(answer), call)

    async def run(
        self, address: str, queue: str, request: EndpointRequest, timeout_s: float
    ) -> EndpointAnswer:
        """Sends a request to the endpoint of a VM and returns its answer."""
        headers = {
            "X-Request": request.request,
            "X-Team": request.team,
            "X-Epoch": str(request.epoch),
            "X-Repeatable": "1" if request.repeatable else "0",
            "X-Action": request.action,
        }
        try:
            status, body, _ = await self._send_request(
                "POST", f"{address}/run/{queue}", timeout_s, headers, data=request.payload
            )
        except aiohttp.ClientConnectorError as error:
            raise VmError(f"can't connect: {error}", False) from None
        except CLIENT_ERRORS as error:
            raise VmError(f"no response: {type(error).__name__}", True) from None
        return EndpointAnswer(status in (409, 429, 503), status, body)


def _decode_vm(item: dict) -> ListedVm:
    capacity = Resources(item["millicores"], item["memory_mb"], item["accelerators"], item["slots"])
    return ListedVm(
        item["name"],
        item["zone"],
        item["rack"],
        item["address"],
        item["state"] == "leaving",
        capacity,
        item["connections"],
    )


def _encode_resources(need: Resources) -> list[int]:
    return [need.millicores, need.memory_mb, need.accelerators, need.slots]


def _encode_lease_call(call: LeaseCall) -> dict:
    message = {
        "holder": call.holder,
        "epoch": call.epoch,
        "ttl_ms": int(call.ttl_s * 1000),
        "seen": call.seen_version,
    }
    if call.start:
        message["start"] = _group_starts(call.start)
    for name in ("stop", "forget", "checkpoint", "throttle"):
        if getattr(call, name):
            message[name] = getattr(call, name)
    if call.release:
        message["release"] = True
    if call.read_only:
        message["look"] = True
    return message


def _group_starts(starts: list[StartTask]) -> list[dict]:
    """Groups the equal tasks of a job, so that their description is sent only once.

    Tasks are equal if they have the same label and need the same resources.
    """
    groups: dict[tuple[str, Resources], dict] = {}
    for item in starts:
        group = groups.setdefault(
            (item.label, item.need),
            {
                "tasks": [],
                "need": _encode_resources(item.need),
                "label": item.label,
                "run_ms": int(item.run_time_s * 1000),
                "repeatable": item.repeatable,
                "team": item.team,
            },
        )
        group["tasks"].append(item.task)
    return list(groups.values())


def _decode_lease_answer(answer: dict, call: LeaseCall) -> LeaseAnswer:
    complete = "all" in answer
    items = answer["all"] if complete else answer.get("changed", ())
    tasks = [
        VmTask(
            item["task"],
            RunState(item["state"]),
            item.get("label", ""),
            Resources(*item.get("need", ())),
            *item["used"],
        )
        for item in items
    ]
    return LeaseAnswer(
        answer["granted"],
        answer.get("holder", call.holder),
        answer.get("epoch", call.epoch),
        answer.get("left_ms", 0) / 1000,
        answer["version"],
        tasks,
        complete,
        [TaskUsage(*item) for item in answer.get("pressed", ())],
    )
