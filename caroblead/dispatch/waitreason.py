"""The reasons for which a step that is due waits."""

import enum


class WaitReason(enum.StrEnum):
    """Why a step waits; a later reason is only found where no earlier one holds.

    The first ones concern all steps, because the leader starts nothing at all. A request for advice
    that is ``QUEUED`` waits for a node, and one that is ``ASKED`` for its answer.
    """

    NO_CONFIGURATION = "no_configuration"
    LOG_SLOW = "log_slow"
    REGISTRY_OLD = "registry_old"
    ZONES_UNREAD = "zones_unread"
    ORDERS_LIMITED = "orders_limited"
    BACKOFF = "backoff"
    NOT_RECORDABLE = "not_recordable"
    ERROR = "error"
    FORMER_RUNS = "former_runs"
    NO_VM = "no_vm"
    QUOTA = "quota"
    ASKED = "advice_asked"
    QUEUED = "advice_queued"
    CRASHES = "crashes"
    RESERVED = "reserved"
    ROOM = "room"
