"""Free ports on the loopback interface for processes that start later."""

import random
import socket
from typing import Final

HOST: Final = "127.0.0.1"
# Below the ports that the system gives to outgoing connections, one of which
# could take a port before the process that it is meant for listens.
FIRST_PORT: Final = 10_000
LAST_PORT: Final = 29_999

_picked: set[int] = set()


def pick_port() -> int:
    """Return a port that is free now and that was not returned before."""
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port in _picked:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                # Another process uses it.
                continue
        _picked.add(port)
        return port
