"""Checks the fields of decoded messages of other parties, without converting what is malformed.

Every function raises ``ValueError`` with the name of the field if the value has another type or is
out of range. The message never contains the value, which may be of any size or depth. A field that
is absent or null has the default; without a default it is required.
"""

import math
from typing import Any

# Larger whole numbers lose digits in other JSON implementations.
MAX_WHOLE = 2**53 - 1
MAX_TEXT_LENGTH = 4096

REQUIRED: Any = object()


def check_object(value: object, name: str) -> dict:
    """Returns a value that must be a JSON object."""
    return _check_type(value, dict, name, "must be a JSON object")


def check_list(value: object, name: str) -> list:
    """Returns a value that must be a list."""
    return _check_type(value, list, name, "must be a list")


def check_text(value: object, name: str, max_length: int = MAX_TEXT_LENGTH) -> str:
    """Returns a value that must be a string of at most ``max_length`` characters."""
    text = _check_type(value, str, name, "must be a string")
    if len(text) > max_length:
        raise ValueError(f"{name}: must have at most {max_length} characters")
    return text


def check_number(
    value: object, name: str, low: float = 0.0, high: float = MAX_WHOLE
) -> int | float:
    """Returns a value that must be a finite number within the bounds, which belong to the range."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name}: must be a number")
    if not low <= value <= high or not math.isfinite(value):
        raise ValueError(f"{name}: must be a number from {low:g} to {high:g}")
    return value


def check_whole(value: object, name: str, low: int = 0, high: int = MAX_WHOLE) -> int:
    """Returns a value that must be a whole number within the bounds, as an ``int``."""
    number = check_number(value, name, low, high)
    if number != int(number):
        raise ValueError(f"{name}: must be a whole number")
    return int(number)


def read_object(raw: dict, name: str, default: Any = REQUIRED) -> dict:
    """Reads a field that holds a JSON object."""
    return _read(raw, name, default, check_object)


def read_list(raw: dict, name: str, default: Any = REQUIRED) -> list:
    """Reads a field that holds a list."""
    return _read(raw, name, default, check_list)


def read_text(raw: dict, name: str, default: Any = REQUIRED) -> str:
    """Reads a field that holds a string."""
    return _read(raw, name, default, check_text)


def read_number(
    raw: dict, name: str, default: Any = REQUIRED, low: float = 0.0, high: float = MAX_WHOLE
) -> int | float:
    """Reads a field that holds a number from ``low`` to ``high``."""
    return _read(raw, name, default, check_number, low, high)


def read_whole(
    raw: dict, name: str, default: Any = REQUIRED, low: int = 0, high: int = MAX_WHOLE
) -> int:
    """Reads a field that holds a whole number from ``low`` to ``high``."""
    return _read(raw, name, default, check_whole, low, high)


def read_flag(raw: dict, name: str) -> bool:
    """Reads a field that holds true or false; an absent one is false."""
    return _read(raw, name, False, _check_flag)


def _read(raw: dict, name: str, default: Any, check, *bounds):
    value = raw.get(name)
    if value is not None:
        return check(value, name, *bounds)
    if default is REQUIRED:
        raise ValueError(f"{name}: is required")
    return default


def _check_flag(value: object, name: str) -> bool:
    return _check_type(value, bool, name, "must be true or false")


def _check_type(value: object, expected: type, name: str, detail: str):
    if not isinstance(value, expected):
        raise ValueError(f"{name}: {detail}")
    return value
