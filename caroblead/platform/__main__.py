"""Starts the node program with little processor time, since every restart of a node pays for it.

Two costs of the imports are avoided: the HTTP library reads the certificates that it trusts, which
a node never needs because it makes no TLS connections, and the garbage collector looks through
objects that live as long as the process.

The settings are read and the callers' port is opened first, so that calls wait for the start and
aren't refused. Signals are noted before that: without that, any of them ends the process, and these
calls with it.
"""

import gc
import os

from .earlysignals import Signals

# Names the file from which OpenSSL reads the trusted certificates.
CERTIFICATES_VARIABLE = "SSL_CERT_FILE"


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
    signals = Signals()
    signals.note()
    # Imported only now, when no signal ends the process any more.
    from .earlysocket import SETTINGS_VARIABLE, load_settings_or_exit, open_caller_socket

    path = os.environ[SETTINGS_VARIABLE]
    settings = load_settings_or_exit(path)
    caller_socket = open_caller_socket(settings)
    load_program()(path, settings, caller_socket, signals)


if __name__ == "__main__":
    main()
