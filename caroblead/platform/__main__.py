"""Starts the node program with little processor time, since every restart of a node pays for it.

Two costs of the imports are avoided: the HTTP library reads the certificates that it trusts, which
a node never needs because it makes no TLS connections, and the garbage collector looks through
objects that live as long as the process.

The callers' port is opened first, so that calls wait for the start and aren't refused. A stop that
is requested meanwhile waits for the start too, since these calls must be answered.

A request to reload the settings that arrives before they are first read is ignored. Signals are
noted first of all: without that, any of them ends the process.
"""

import gc
import os

from .stoprequest import StopRequest

# Names the file from which OpenSSL reads the trusted certificates.
CERTIFICATES_VARIABLE = "SSL_CERT_FILE"
SETTINGS_VARIABLE = "CAROBLEAD_SETTINGS"


def load_program():
    """Imports the node program and returns the function that runs it."""
    os.environ[CERTIFICATES_VARIABLE] = os.devnull
    gc.disable()
    # Imported only now, when the two settings above are in effect.
    from .serve import run

    gc.freeze()
    gc.enable()
    return run


def main():
    """Opens the callers' port, loads the program and runs it."""
    stop = StopRequest()
    stop.note_signals()
    # Imported only now, when no signal ends the process any more.
    from .earlysocket import open_caller_socket

    caller_socket = open_caller_socket(os.environ.get(SETTINGS_VARIABLE, ""))
    load_program()(caller_socket, stop)


if __name__ == "__main__":
    main()
