"""Opens the callers' port before the program is loaded.

Loading takes most of the time of a start. Calls that arrive meanwhile wait in the queue of the
socket and are answered as soon as the node runs; without a listener their connections would be
refused, also while all nodes of a site restart. A program that will not run accepts no call.
"""

import socket

from ..node.setting import load_node_settings

BACKLOG = 512


def open_caller_socket(settings_path: str) -> socket.socket | None:
    """Returns a socket that listens at the callers' address of the settings.

    Returns ``None`` if the settings are invalid or the port can't be opened. The program reports
    every error once it is loaded.
    """
    checked = load_node_settings(settings_path)
    if checked.faults:
        return None
    host, port = checked.value.callers.split(":")
    try:
        return socket.create_server((host, int(port)), backlog=BACKLOG)
    except (OSError, OverflowError):
        return None
