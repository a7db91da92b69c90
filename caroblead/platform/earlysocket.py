"""Opens the callers' port before the program is loaded.

Loading takes most of the time of a start. Calls that arrive meanwhile wait in the queue of the
socket and are answered as soon as the node runs; without a listener their connections would be
refused, also while all nodes of a site restart.
"""

import json
import socket
from pathlib import Path

BACKLOG = 512


def open_caller_socket(settings_path: str) -> socket.socket | None:
    """Returns a socket that listens at the callers' address of the settings.

    Returns ``None`` if there is no valid address or the port is in use. The settings are checked
    when the program is loaded, which then reports every error in them.
    """
    try:
        host, port = json.loads(Path(settings_path).read_text())["callers"].split(":")
        return socket.create_server((host, int(port)), backlog=BACKLOG)
    except (OSError, OverflowError, ValueError, KeyError, TypeError, AttributeError):
        return None
