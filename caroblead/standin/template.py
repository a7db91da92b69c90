"""Fills in the template of the deploy file's settings, as the platform does for each process.

For example, ``{"grace_s": {{bounds.graceS|json}}}`` becomes ``{"grace_s": 6}`` with the values
``{"bounds": {"graceS": 6}}``. A section ``{{#name}}...{{/name}}`` stays if there is such a value,
and ``{{^name}}...{{/name}}`` if there is none. Within a section, ``{{.}}`` is its value.
"""

import json
import re
from collections.abc import Mapping

TAG = re.compile(r"\{\{([#^]?)([\w.]+)(\|json)?\}\}")


def fill_template(text: str, values: object) -> str:
    """Returns a template with its placeholders and sections replaced.

    Raises ``ValueError`` if a section has no end.
    """
    parts, position = [], 0
    while match := TAG.search(text, position):
        parts.append(text[position : match.start()])
        kind, name, as_json = match.groups()
        value, position = _look_up(values, name), match.end()
        if kind:
            end = "{{/" + name + "}}"
            close = text.index(end, position)
            if bool(value) == (kind == "#"):
                parts.append(fill_template(text[position:close], value))
            position = close + len(end)
        else:
            parts.append(json.dumps(value) if as_json else _write_plainly(value))
    return "".join(parts) + text[position:]


def _look_up(values: object, path: str) -> object:
    if path == ".":
        return values
    for name in path.split("."):
        if isinstance(values, Mapping):
            values = values.get(name)
        elif isinstance(values, list) and name.isdecimal() and int(name) < len(values):
            values = values[int(name)]
        else:
            return None
    return values


def _write_plainly(value: object) -> str:
    if value is None:
        return ""
    return value if isinstance(value, str) else json.dumps(value)
