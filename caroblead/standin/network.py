"""Loopback networks of their own for sites of several processes.

Ports of the one usual loopback address may be given to any outgoing connection at any time. So a
site takes addresses that nothing else on the machine uses, and its ports are the same everywhere.
"""

import os
import random
import socket

# The port whose being free shows that no other site uses a network.
PROBE_PORT = 8182


def choose_network() -> str:
    """Returns the beginning of unused addresses, such as ``127.7.9``."""
    generator = random.Random(os.urandom(8))
    while True:
        network = f"127.{generator.randint(2, 254)}.{generator.randint(1, 254)}"
        try:
            with socket.create_server((f"{network}.101", PROBE_PORT)):
                return network
        except OSError:
            continue
