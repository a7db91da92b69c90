"""The settings of a node, written in JSON and checked before anything starts.

Unknown fields are passed over, so that a newer platform can serve an older node.
"""

import json
from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..config.ticket import list_faults
from ..core.outcome import Checked, Fault, Reason, Step

# What a leader that keeps a plain core busy sends and receives.
LINK_MBPS_PER_CORE = 10.0
ADDRESS = r"^[0-9.]+:[0-9]{1,5}$"


class Part(BaseModel):
    """What all parts of a node's settings have in common."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class NodeSettings(Part):
    """Who the node is, where it listens and where the platform answers.

    Times whose names end in ``_s`` are in seconds. ``revoke_ms`` is how long a withdrawn key may
    still work, ``lease_s`` how long a VM goes on without its leader, ``grace_s`` how long a planned
    stop may take. The machine gives ``core_share`` of a core that is ``core_speed`` times as fast
    as a plain one, and a network link of ``link_mbps``.
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
    """Returns how much work the node can do as the leader, in plain cores."""
    cores = settings.core_share * settings.core_speed
    return min(cores, settings.link_mbps / LINK_MBPS_PER_CORE)


def load_node_settings(path: str) -> Checked:
    """Reads the settings of a node and returns them with every error found."""
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


# What may change while a node runs. All nodes must agree on the length of a lease, and addresses
# are in use.
CHANGEABLE = frozenset({"strict_keys", "revoke_ms", "grace_s"})


@dataclass(slots=True, frozen=True)
class MergedSettings:
    """The settings to go on with, the fields that changed, and those that need a restart."""

    settings: NodeSettings
    changed: list[str]
    needs_restart: list[str]


def merge_settings(old: NodeSettings, new: NodeSettings) -> MergedSettings:
    """Takes over from new settings what may change while a node runs."""
    fields = NodeSettings.model_fields
    differing = [name for name in fields if getattr(old, name) != getattr(new, name)]
    changed = [name for name in differing if name in CHANGEABLE]
    kept = [name for name in differing if name not in CHANGEABLE]
    update = {name: getattr(new, name) for name in changed}
    return MergedSettings(old.model_copy(update=update), changed, kept)
