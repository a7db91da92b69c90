"""Decodes the configuration that the operators publish in the platform's log store."""

import orjson

from ..core.resource import Resources
from ..dispatch.interface import Configuration, TeamLimits
from ..jobs.data import AdviceTimes, JobQueue

TOPIC = "keyed.op"
KEY = "config"


def decode_configuration(value: bytes) -> Configuration:
    """Decodes a configuration from JSON; raises ``ValueError`` if it is malformed."""
    try:
        return _decode(orjson.loads(value))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed configuration: {type(error).__name__}: {error}") from None


def _decode(raw: dict) -> Configuration:
    configuration = Configuration(version=int(raw["version"]))
    limits = raw.get("limits", {})
    configuration.max_body_bytes = limits.get("maxBodyBytes", configuration.max_body_bytes)
    for route in raw["routes"]:
        queue = _decode_queue(route)
        configuration.queues[queue.name] = queue
    for tenant in raw.get("tenants", ()):
        cap = tenant.get("cap", {})
        quota = Resources(cap.get("cpu", 0), cap.get("memMb", 0), cap.get("gpu", 0))
        team = TeamLimits(tenant["name"], tenant.get("weight", 1), quota)
        configuration.teams[team.name] = team
        for key in tenant["apiKeys"]:
            configuration.keys[key] = team.name
    return configuration


def _decode_queue(route: dict) -> JobQueue:
    terms = route.get("recommendation")
    advice = None
    if terms:
        advice = AdviceTimes(
            terms["decisionMs"] / 1000, terms["periodMs"] / 1000, terms["validityMs"] / 1000
        )
    return JobQueue(
        name=route["name"],
        host=route["host"],
        path=route["pathPrefix"],
        service=route["service"],
        priority=route.get("priority", 0),
        max_attempts=route.get("maxAttempts", 1),
        stretch=route.get("targetFactor", 1.0),
        latency_s=route.get("targetLatencyMs", 1000) / 1000,
        timeout_s=route.get("timeoutMs", 3000) / 1000,
        open_to_all=bool(route.get("public", False)),
        advice=advice,
    )
