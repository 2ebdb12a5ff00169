"""TCP connections with options that detect unresponsive peers."""

import contextlib
import errno
import fcntl
import select
import socket
import struct
import termios
from typing import Any
from typing import Final

import anyio
from anyio import abc

from eelgrassgate import addresses
from eelgrassgate.http1 import streams

# An unresponsive peer is detected after idle + count * interval = 3 s, less
# than the 4 s after which the platform considers an instance reachable again.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_COUNT: Final = 2
# Timeout for unacknowledged data; allows for ten round trips between regions
# and a few retransmissions.
USER_TIMEOUT_MS: Final = 2_500

# `struct linger`: enabled, with a timeout of 0, so that closing resets.
NO_LINGER: Final = struct.pack("ii", 1, 0)

INT: Final = struct.Struct("i")
# Bounds what the kernel keeps of a connection that isn't read, and what is read
# at once when it is; uvloop reads all that has arrived. The kernel doubles the
# value; about half of that is the window, enough for 2 MB/s between regions.
RECEIVE_BUFFER_BYTES: Final = 131_072

TCP_OPTIONS: Final = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def set_options(stream: abc.SocketStream) -> None:
    """Set `TCP_OPTIONS` and bound the receive buffer of a connection.

    Raises:
        OSError: The connection was closed meanwhile.
    """
    for level, name, value in TCP_OPTIONS:
        _set_option(stream, level, name, value)
    bound_receive_buffer(stream)


def bound_receive_buffer(opened: anyio.TypedAttributeProvider) -> None:
    """Bound the receive buffer of a connection.

    Connections inherit that of their listener.
    """
    with contextlib.suppress(OSError):
        # Without it, the connection only takes more memory.
        _set_option(
            opened, socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )


def _set_option(
    opened: anyio.TypedAttributeProvider,
    level: int,
    name: int,
    value: int | bytes,
) -> None:
    try:
        raw: Any = opened.extra(abc.SocketAttribute.raw_socket)
        raw.setsockopt(level, name, value)
    except (AttributeError, ValueError) as error:
        # uvloop has dropped the socket.
        raise ConnectionResetError("connection was closed") from error


def accept(listening: Any) -> socket.socket:
    """Accept a connection that waits.

    Raises:
        BlockingIOError: None waits.
        OSError: The process is out of descriptors, or the client has left.
    """
    accepted: socket.socket = listening.accept()[0]
    accepted.setblocking(False)
    return accepted


async def wrap(accepted: socket.socket) -> streams.Stream:
    """Return the stream of an accepted connection, which isn't read yet.

    Raises:
        OSError: The client has left.
    """
    try:
        return await streams.wrap(accepted)
    except (OSError, ValueError) as error:
        accepted.close()
        raise ConnectionResetError("connection was closed") from error


async def connect(address: str, timeout_s: float) -> abc.SocketStream:
    """Connect to `host:port`.

    Raises:
        OSError: The connection was refused or timed out, or there is no such
            address.
    """
    try:
        target = addresses.parse(address)
    except addresses.InvalidAddressError as error:
        raise OSError(errno.EINVAL, str(error)) from error
    with anyio.move_on_after(timeout_s):
        stream = await streams.connect(target.host, target.port)
        set_options(stream)
        return stream
    raise TimeoutError(f"connecting to {address} timed out after {timeout_s} s")


async def is_refused(address: str, timeout_s: float) -> bool:
    """Return whether nothing listens at `host:port` although its host is up."""
    try:
        stream = await connect(address, timeout_s)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    await abort(stream)
    return False


def is_readable(opened: anyio.TypedAttributeProvider) -> bool:
    """Return whether data, an end of stream or a connection is ready.

    The first two make an idle connection unusable; a listener has connections
    to accept.
    """
    if isinstance(opened, streams.Stream) and opened.has_received():
        return True
    raw: Any = opened.extra(abc.SocketAttribute.raw_socket)
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_peer_closed(opened: anyio.TypedAttributeProvider) -> bool:
    """Return whether the peer has ended the connection; needs no read."""
    try:
        raw: Any = opened.extra(abc.SocketAttribute.raw_socket)
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))
    except (AttributeError, ValueError, OSError):
        return True


def count_unacknowledged(stream: streams.Stream) -> int:
    """Return how many sent bytes the peer has no room for; 0 once closed.

    Bytes that the peer's system has received, but its program has not read,
    don't count.
    """
    try:
        return _count_queued(stream.fileno(), termios.TIOCOUTQ)
    except (AttributeError, ValueError, OSError):
        return 0


def count_unread(opened: anyio.TypedAttributeProvider) -> int:
    """Return how many received bytes have not been read; 0 once closed."""
    try:
        raw: Any = opened.extra(abc.SocketAttribute.raw_socket)
        return _count_queued(raw.fileno(), termios.FIONREAD)
    except (AttributeError, ValueError, OSError):
        return 0


def _count_queued(descriptor: int, request: int) -> int:
    count = fcntl.ioctl(descriptor, request, bytes(INT.size))
    return int(INT.unpack(count)[0])


async def reset(stream: abc.SocketStream) -> None:
    """Close a connection with a reset instead of an end of stream."""
    with contextlib.suppress(OSError):
        _set_option(stream, socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    await abort(stream)


async def abort(stream: abc.AsyncResource) -> None:
    """Close a connection immediately and discard unsent data."""
    with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(stream)
