"""Reads the settings and opens the callers' port before the program is loaded.

Loading takes most of the time of a start. Calls that arrive meanwhile wait in the queue of the
socket and are answered as soon as the node runs; without a listener their connections would be
refused, also while all nodes of a site restart. A program that will not run accepts no call.
"""

import socket
import sys

from ..core.outcome import describe_problem
from ..node.setting import NodeSettings, load_node_settings

# The environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "CAROBLEAD_SETTINGS"
BACKLOG = 512
EXIT_USAGE = 2


def load_settings_or_exit(path: str) -> NodeSettings:
    """Reads the settings; prints every error to stderr and exits with status 2 if there are any."""
    checked = load_node_settings(path)
    for fault in checked.faults:
        print(describe_problem(fault), file=sys.stderr)
    if checked.faults:
        sys.exit(EXIT_USAGE)
    return checked.value


def open_caller_socket(settings: NodeSettings) -> socket.socket | None:
    """Returns a socket that listens for callers, or ``None`` if the port can't be opened."""
    host, port = settings.callers.split(":")
    try:
        return socket.create_server((host, int(port)), backlog=BACKLOG)
    except (OSError, OverflowError):
        return None
