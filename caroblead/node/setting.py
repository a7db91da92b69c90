"""The settings of a node, written in JSON and validated before anything starts.

Unknown fields are ignored, so that an older node can run with the settings of a newer platform.
"""

import json
from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..config.ticket import list_faults
from ..core.outcome import Checked, Fault, Reason, Step

# The traffic that a leader sends and receives when it keeps one reference core busy.
LINK_MBPS_PER_CORE = 10.0
ADDRESS = r"^[0-9.]+:[0-9]{1,5}$"


class SettingsModel(BaseModel):
    """Base model of the settings: immutable, and unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class NodeSettings(SettingsModel):
    """The identity of a node, the addresses it listens on and those of the platform's services.

    Times whose names end in ``_s`` are in seconds. ``revoke_ms`` is how long a withdrawn key may
    still be accepted, ``lease_s`` how long a VM keeps running its tasks without contact to the
    leader, ``grace_s`` how long a planned stop may take. The node may use ``core_share`` of a core
    that is ``core_speed`` times as fast as a reference core, and a network link of ``link_mbps``.
    """

    node: str = Field(min_length=1)
    zone: str = Field(min_length=1)
    host: str = Field(min_length=1)
    callers: str = Field(pattern=ADDRESS)
    readiness: str = Field(pattern=ADDRESS)
    peer_port: int = Field(ge=0, le=65535)
    metrics_port: int = Field(default=0, ge=0, le=65535)
    store: str = Field(pattern=ADDRESS)
    advisor: str = Field(default="", pattern=r"^([0-9.]+:[0-9]{1,5})?$")
    strict_keys: bool = True
    revoke_ms: float = Field(default=5000, gt=500)
    grace_s: float = Field(default=6.0, gt=0, le=3600)
    lease_s: float = Field(default=8.0, gt=1, le=9.5)
    core_share: float = Field(default=1.0, gt=0)
    core_speed: float = Field(default=1.0, gt=0)
    link_mbps: float = Field(default=1000.0, gt=0)


def compute_strength(settings: NodeSettings) -> float:
    """Returns how much work the node can do as the leader, in reference cores."""
    cores = settings.core_share * settings.core_speed
    return min(cores, settings.link_mbps / LINK_MBPS_PER_CORE)


def load_node_settings(path: str) -> Checked:
    """Reads the settings of a node and returns them, or every error found in them."""
    try:
        raw = json.loads(Path(path).read_text())
        return Checked(NodeSettings.model_validate(raw))
    except OSError as error:
        fault = Fault(Reason.BAD_INPUT, Step.READ_INPUT, path, f"can't be read: {error.strerror}")
    except ValidationError as error:
        return Checked(None, list_faults(error, path, Step.READ_INPUT))
    except ValueError as error:
        fault = Fault(Reason.BAD_INPUT, Step.READ_INPUT, path, f"not JSON: {error}")
    return Checked(None, [fault])


# The settings that may change while a node runs. The duration of a lease may not, because all nodes
# must agree on it, and neither may addresses, because they are in use.
CHANGEABLE = frozenset({"strict_keys", "revoke_ms", "grace_s"})


@dataclass(slots=True, frozen=True)
class MergedSettings:
    """The settings to continue with, the fields that changed and those that need a restart."""

    settings: NodeSettings
    changed: list[str]
    needs_restart: list[str]


def merge_settings(old: NodeSettings, new: NodeSettings) -> MergedSettings:
    """Applies those of the new settings that may change while a node runs."""
    fields = NodeSettings.model_fields
    differing = [name for name in fields if getattr(old, name) != getattr(new, name)]
    changed = [name for name in differing if name in CHANGEABLE]
    kept = [name for name in differing if name not in CHANGEABLE]
    update = {name: getattr(new, name) for name in changed}
    return MergedSettings(old.model_copy(update=update), changed, kept)
