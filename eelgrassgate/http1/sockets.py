"""TCP options that show a connection which has gone silent."""

import select
import socket
from typing import Any
from typing import Final

import anyio
from anyio import abc

# A silent peer is found after idle + count * interval = 3 s, below the 4 s
# after which the platform counts an instance as reachable again.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_COUNT: Final = 2
# Sent bytes that nobody acknowledges; ten round trips between regions and a
# few retransmissions.
UNACKNOWLEDGED_MS: Final = 2_500

OPTIONS: Final = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
)


def set_options(stream: abc.SocketStream) -> None:
    """Set `OPTIONS` on a connection."""
    raw: Any = stream.extra(abc.SocketAttribute.raw_socket)
    for level, name, value in OPTIONS:
        raw.setsockopt(level, name, value)


async def connect(address: str, timeout_s: float) -> abc.SocketStream:
    """Connect to `host:port`.

    Raises:
        OSError: The connection was refused or not made in time.
    """
    host, _, port = address.rpartition(":")
    with anyio.move_on_after(timeout_s):
        stream = await anyio.connect_tcp(host, int(port))
        set_options(stream)
        return stream
    raise TimeoutError(f"no connection to {address} within {timeout_s} s")


def has_input(stream: abc.SocketStream) -> bool:
    """Tell whether bytes or an end wait to be read.

    On an idle connection either means that it can't be used again.
    """
    raw: Any = stream.extra(abc.SocketAttribute.raw_socket)
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))


async def abort(stream: abc.AsyncResource) -> None:
    """Close a connection at once, whatever it still had to send."""
    with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(stream)
