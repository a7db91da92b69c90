"""The settings of a node, written in JSON and validated before anything starts.

Unknown fields are ignored, so that an older node can run with the settings of a newer platform. The
checks are made with attrs, which the HTTP library loads anyway: every restart of a node pays for
what its program imports.
"""

import json
from pathlib import Path
from typing import Any

import attrs
from attrs import validators

from ..core.outcome import Checked, Fault, Reason, Step
from ..dispatch.features import Features

# The traffic that a leader sends and receives when it keeps one reference core busy.
LINK_MBPS_PER_CORE = 10.0
ADDRESS = r"[0-9.]+:[0-9]{1,5}"
OPTIONAL_ADDRESS = rf"({ADDRESS})?"


def _check_number(instance, attribute, value):
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError("must be a number")


def _define_text(pattern: str = r"(?s).+", default: Any = attrs.NOTHING):
    checks = [validators.instance_of(str), validators.matches_re(pattern)]
    return attrs.field(validator=checks, default=default)


def _define_switch():
    return attrs.field(validator=validators.instance_of(bool), default=False)


def _define_port(default: Any = attrs.NOTHING):
    checks = [validators.instance_of(int), validators.ge(0), validators.le(65535)]
    return attrs.field(validator=checks, default=default)


def _define_size(default: int):
    checks = [validators.instance_of(int), validators.gt(0)]
    return attrs.field(validator=checks, default=default)


def _define_number(default: float, above: float, at_most: float | None = None):
    checks = [_check_number, validators.gt(above)]
    if at_most is not None:
        checks.append(validators.le(at_most))
    return attrs.field(validator=checks, default=default)


@attrs.frozen(kw_only=True)
class NodeSettings:
    """The identity of a node, the addresses it listens on and those of the platform's services.

    Times whose names end in ``_s`` are in seconds. ``apply_ms`` is within how long a change of the
    configuration must be in force, ``revoke_ms`` how long a withdrawn key may still be accepted,
    ``lease_s`` how long a VM keeps running its tasks without contact to the leader, ``hold_max_ms``
    to what a VM shortens a longer lease, ``grace_s`` how long a planned stop may take. The node may
    use ``core_share`` of a core that is ``core_speed`` times as fast as a reference core, and a
    network link of ``link_mbps``. ``evacuation_ms`` is within how long no task may start any more
    in an availability zone that is evacuated, 0 where zones aren't evacuated. The log accepts
    records of ``record_bytes`` and appends of ``request_bytes``. With ``relay``, calls that the
    node can't serve are passed on to a peer. The other switches are for the optional decisions of
    :class:`caroblead.dispatch.features.Features`.
    """

    node: str = _define_text()
    zone: str = _define_text()
    host: str = _define_text()
    callers: str = _define_text(ADDRESS)
    readiness: str = _define_text(ADDRESS)
    peer_port: int = _define_port()
    metrics_port: int = _define_port(default=0)
    store: str = _define_text(ADDRESS)
    advisor: str = _define_text(OPTIONAL_ADDRESS, default="")
    strict_keys: bool = attrs.field(validator=validators.instance_of(bool), default=True)
    apply_ms: float = _define_number(2000, above=0)
    revoke_ms: float = _define_number(5000, above=500)
    grace_s: float = _define_number(6.0, above=0, at_most=3600)
    lease_s: float = _define_number(8.0, above=1, at_most=9.5)
    hold_max_ms: float = _define_number(10_000, above=0)
    core_share: float = _define_number(1.0, above=0)
    core_speed: float = _define_number(1.0, above=0)
    link_mbps: float = _define_number(1000.0, above=0)
    evacuation_ms: float = _define_number(0, above=-1)
    record_bytes: int = _define_size(262_144)
    request_bytes: int = _define_size(2_097_152)
    admission: bool = _define_switch()
    fair_share: bool = _define_switch()
    learned_durations: bool = _define_switch()
    backfill: bool = _define_switch()
    sized_advice: bool = _define_switch()
    kept_quota: bool = _define_switch()
    relay: bool = _define_switch()


def compute_strength(settings: NodeSettings) -> float:
    """Returns how much work the node can do as the leader, in reference cores."""
    cores = settings.core_share * settings.core_speed
    return min(cores, settings.link_mbps / LINK_MBPS_PER_CORE)


def make_features(settings: NodeSettings) -> Features:
    """Returns the optional decisions that the settings switch on."""
    return Features(
        evacuation_s=settings.evacuation_ms / 1000,
        admission=settings.admission,
        fair_share=settings.fair_share,
        learned_durations=settings.learned_durations,
        backfill=settings.backfill,
        sized_advice=settings.sized_advice,
        kept_quota=settings.kept_quota,
    )


def load_node_settings(path: str) -> Checked:
    """Reads the settings of a node and returns them, or every error found in them."""
    try:
        return check_node_settings(json.loads(Path(path).read_text()), path)
    except OSError as error:
        detail = f"can't be read: {error.strerror}"
    except ValueError as error:
        detail = f"not JSON: {error}"
    return Checked(None, [Fault(Reason.BAD_INPUT, Step.READ_INPUT, path, detail)])


def check_node_settings(raw: object, path: str) -> Checked:
    """Checks the decoded settings of a file field by field.

    For example, ``{"peer_port": -1}`` gives a fault for ``peer_port`` and one for each field that
    is missing.
    """
    if not isinstance(raw, dict):
        detail = "the settings must be a JSON object"
        return Checked(None, [Fault(Reason.BAD_INPUT, Step.READ_INPUT, path, detail)])
    fields = attrs.fields(NodeSettings)
    known = {field.name: raw[field.name] for field in fields if field.name in raw}
    details = {field.name: _check_field(field, known) for field in fields}
    faults = [
        Fault(Reason.BAD_INPUT, Step.READ_INPUT, path, detail, name)
        for name, detail in details.items()
        if detail
    ]
    return Checked(None if faults else NodeSettings(**known), faults)


def _check_field(field: attrs.Attribute, known: dict[str, object]) -> str:
    """Returns what is wrong with the value of a field, or an empty string."""
    if field.name not in known:
        return "is required" if field.default is attrs.NOTHING else ""
    try:
        field.validator(None, field, known[field.name])
    except (ValueError, TypeError) as error:
        return str(error.args[0])
    return ""


# The settings that may change while a node runs. The duration of a lease may not, because all nodes
# must agree on it, and neither may addresses, because they are in use.
CHANGEABLE = frozenset({"strict_keys", "apply_ms", "revoke_ms", "grace_s"})


@attrs.frozen
class MergedSettings:
    """The settings to continue with, the fields that changed and those that need a restart."""

    settings: NodeSettings
    changed: list[str]
    needs_restart: list[str]


def merge_settings(old: NodeSettings, new: NodeSettings) -> MergedSettings:
    """Applies those of the new settings that may change while a node runs."""
    names = [field.name for field in attrs.fields(NodeSettings)]
    differing = [name for name in names if getattr(old, name) != getattr(new, name)]
    changed = [name for name in differing if name in CHANGEABLE]
    kept = [name for name in differing if name not in CHANGEABLE]
    update = {name: getattr(new, name) for name in changed}
    return MergedSettings(attrs.evolve(old, **update), changed, kept)
