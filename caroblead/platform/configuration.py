"""Decodes the configuration that the operators publish in the platform's log store."""

import orjson

from ..core.resource import Resources
from ..dispatch.interface import Configuration, TeamLimits
from ..jobs.data import AdviceTimes, JobQueue
from .fields import (
    check_object,
    check_text,
    read_flag,
    read_list,
    read_number,
    read_object,
    read_text,
    read_whole,
)

TOPIC = "keyed.op"
KEY = "config"
MAX_PRIORITY = 1_000_000


def decode_configuration(value: bytes) -> Configuration:
    """Decodes a configuration from JSON.

    Raises ``ValueError`` if any field that is used has another type or is out of range, so that a
    version is taken over as a whole or not at all.
    """
    raw = check_object(orjson.loads(value), "configuration")
    configuration = Configuration(version=read_whole(raw, "version", low=1))
    limits = read_object(raw, "limits", {})
    max_body_bytes = read_number(limits, "maxBodyBytes", configuration.max_body_bytes)
    configuration.max_body_bytes = int(max_body_bytes)
    for route in read_list(raw, "routes"):
        queue = _decode_queue(check_object(route, "routes"))
        configuration.queues[queue.name] = queue
    for tenant in read_list(raw, "tenants", ()):
        _add_team(configuration, check_object(tenant, "tenants"))
    return configuration


def _add_team(configuration: Configuration, tenant: dict):
    cap = read_object(tenant, "cap", {})
    quota = Resources(*(_read_limit(cap, name) for name in ("cpu", "memMb", "gpu")))
    team = TeamLimits(read_text(tenant, "name"), read_number(tenant, "weight", 1), quota)
    configuration.teams[team.name] = team
    for key in read_list(tenant, "apiKeys"):
        configuration.keys[check_text(key, "apiKeys")] = team.name


def _read_limit(cap: dict, name: str) -> int:
    """Reads a limit on amounts that are whole, of which operators may write fractions; 0 is none.

    For example, 24000.5 admits what 24000 does. A fraction below 1 becomes 1 and not 0, which would
    lift the limit.
    """
    limit = read_number(cap, name, 0)
    return max(1, int(limit)) if limit > 0 else 0


def _decode_queue(route: dict) -> JobQueue:
    return JobQueue(
        name=read_text(route, "name"),
        host=read_text(route, "host"),
        path=read_text(route, "pathPrefix"),
        service=read_text(route, "service"),
        priority=int(read_number(route, "priority", 0, -MAX_PRIORITY, MAX_PRIORITY)),
        max_attempts=int(read_number(route, "maxAttempts", 1)),
        stretch=read_number(route, "targetFactor", 1.0),
        latency_s=read_number(route, "targetLatencyMs", 1000) / 1000,
        timeout_s=read_number(route, "timeoutMs", 3000) / 1000,
        open_to_all=read_flag(route, "public"),
        advice=_decode_advice(read_object(route, "recommendation", {})),
    )


def _decode_advice(terms: dict) -> AdviceTimes | None:
    if not terms:
        return None
    names = ("decisionMs", "periodMs", "validityMs")
    return AdviceTimes(*(read_number(terms, name) / 1000 for name in names))
