"""The settings of the programs, read from JSON and validated before a program starts.

One file may describe a whole site; each program is told which node of the site it runs as, for
example with ``caroblead-gate --settings examples/anatolia.json --node a1-1``.
"""

import json
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..core.outcome import Checked, Fault, Reason, Step
from .ticket import list_faults


class SettingsModel(BaseModel):
    """Base of the models of the settings; unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeSettings(SettingsModel):
    """An entry VM: its availability zone, its address and the ports of its gate and placer."""

    node: str = Field(min_length=1)
    zone: str = Field(min_length=1)
    host: str = "127.0.0.1"
    http_port: int = Field(ge=0, le=65535)
    gate_port: int = Field(ge=0, le=65535)
    placer_port: int = Field(ge=0, le=65535)


class Limits(SettingsModel):
    """Times in seconds and sizes in bytes that an operator may change; all have working defaults.

    - ``lease_s``: how long the lease of a VM is valid without renewal
    - ``renew_s``: interval between two renewals of a lease
    - ``grace_s``: how long a VM keeps its tasks running after its lease has lapsed
    - ``heartbeat_s``: interval between two digests to nodes of the same zone
    - ``suspect_after_s``: age of the last digest at which a node of the same zone is suspected; the
      limit is longer for other zones
    - ``ticket_poll_s``: interval at which the log is polled for tickets
    - ``list_poll_s``: interval at which the VM list is polled
    - ``tick_s``: how long work that is not urgent is collected before it is placed
    - ``record_batch_s``: how long records are collected before one append
    - ``record_refresh_s``: age at which records are written again, before the log's retention
      removes them
    - ``max_body_bytes``: largest body of a call to a gate
    - ``drain_s``: how long a planned stop waits for requests in flight
    - ``endpoint_timeout_s``: timeout of a request to an endpoint
    """

    lease_s: float = Field(default=4.0, gt=0.2, le=60)
    renew_s: float = Field(default=1.6, gt=0.05, le=30)
    grace_s: float = Field(default=8.0, gt=0, le=120)
    heartbeat_s: float = Field(default=1.0, gt=0.05, le=30)
    suspect_after_s: float = Field(default=3.0, gt=0.1, le=60)
    ticket_poll_s: float = Field(default=5.0, gt=0.1, le=60)
    list_poll_s: float = Field(default=2.0, gt=0.1, le=60)
    tick_s: float = Field(default=0.02, gt=0, le=1)
    record_batch_s: float = Field(default=0.05, gt=0, le=5)
    record_refresh_s: float = Field(default=1200.0, gt=1)
    max_body_bytes: int = Field(default=1_048_576, ge=1024, le=67_108_864)
    drain_s: float = Field(default=60.0, gt=0, le=3600)
    endpoint_timeout_s: float = Field(default=60.0, gt=0.1, le=3600)


class PlatformSettings(SettingsModel):
    """The URLs of the platform's log and VM list, and the SHA-256 digest of the operators' key."""

    log_url: str = "http://127.0.0.1:7000"
    list_url: str = "http://127.0.0.1:7000"
    operator_key_digest: str = Field(default="", pattern=r"^([0-9a-f]{64})?$")


class SiteSettings(SettingsModel):
    """The settings of a site: the platform, the limits, the entry VMs and the platform stand-in."""

    platform: PlatformSettings = PlatformSettings()
    limits: Limits = Limits()
    nodes: list[NodeSettings] = Field(min_length=1, max_length=100)
    events_directory: str = ""
    standin: "StandinSettings | None" = None


class StandinZone(SettingsModel):
    """A zone of the platform stand-in: its region, its number of VMs and of VMs in each rack."""

    zone: str
    region: str
    vms: int = Field(ge=0, le=1000)
    rack_size: int = Field(default=6, ge=1)


class StandinSettings(SettingsModel):
    """The settings of the platform stand-in: address, size of its VMs, lag and limits.

    - ``cores``, ``memory_mb``, ``accelerators``, ``slots``, ``connections``: capacity of each VM,
      the memory in MiB
    - ``list_lag_s``: by how much the VM list lags behind
    - ``appends_per_s``: limit on appends to the log, above which they are refused
    - ``retention_s``: how long the log retains records
    - ``service_ms``: mean time that an endpoint takes for a request
    - ``first_ticket``: ticket that is published at the start
    - ``demo_keys``: the key of each team, for the demo
    """

    host: str = "127.0.0.1"
    port: int = Field(default=7000, ge=0, le=65535)
    zones: list[StandinZone] = []
    cores: int = Field(default=16, ge=1)
    memory_mb: int = Field(default=65536, ge=1)
    accelerators: int = Field(default=0, ge=0)
    slots: int = Field(default=8, ge=0)
    connections: int = Field(default=64, ge=1)
    list_lag_s: float = Field(default=2.0, ge=0)
    appends_per_s: float = Field(default=400.0, gt=0)
    retention_s: float = Field(default=3600.0, gt=0)
    service_ms: float = Field(default=20.0, ge=0)
    first_ticket: dict | None = None
    demo_keys: dict[str, str] = {}


def load_settings(path: str) -> Checked:
    """Reads a settings file and returns it with every error, each with field and valid range."""
    try:
        raw = json.loads(Path(path).read_text())
    except OSError as error:
        return Checked(None, [_make_fault(path, f"can't be read: {error.strerror}")])
    except ValueError as error:
        return Checked(None, [_make_fault(path, f"not JSON: {error}")])
    try:
        settings = SiteSettings.model_validate(raw)
    except ValidationError as error:
        return Checked(None, list_faults(error, path, Step.READ_INPUT))
    return Checked(settings, check_settings(settings, path))


def _make_fault(path: str, detail: str, field: str = "") -> Fault:
    return Fault(Reason.BAD_INPUT, Step.READ_INPUT, path, detail, field)


def check_settings(settings: SiteSettings, path: str) -> list[Fault]:
    """Returns the errors that depend on more than one field."""
    faults = []
    names = [node.node for node in settings.nodes]
    for name in sorted({name for name in names if names.count(name) > 1}):
        faults.append(_make_fault(path, f"node {name!r} is listed more than once", "nodes"))
    limits = settings.limits
    if limits.renew_s * 2 > limits.lease_s:
        faults.append(_make_fault(path, "must be at most half of lease_s", "limits.renew_s"))
    if limits.heartbeat_s >= limits.suspect_after_s:
        faults.append(_make_fault(path, "must be less than suspect_after_s", "limits.heartbeat_s"))
    return faults


def find_node(settings: SiteSettings, name: str) -> NodeSettings | None:
    """Returns the settings of the node with this name, or ``None``."""
    return next((node for node in settings.nodes if node.node == name), None)
