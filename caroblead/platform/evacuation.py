"""Decodes the keys with which the operators evacuate availability zones.

They are in the topic of the configuration: ``evacuate/ZONE``, with any value that is not empty. The
empty value removes the key and ends the evacuation.
"""

KEY_PREFIX = "evacuate/"


def decode_evacuated_zone(key: str) -> str | None:
    """Returns the zone that a key evacuates, or ``None`` for a key of another kind.

    For example, ``evacuate/north-1`` evacuates the zone ``north-1``.
    """
    return key.removeprefix(KEY_PREFIX) or None if key.startswith(KEY_PREFIX) else None
