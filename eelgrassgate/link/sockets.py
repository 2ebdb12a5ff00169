"""Creates ZeroMQ sockets with the options and keys that all links use."""

import ipaddress
from typing import Final

import zmq
import zmq.asyncio
import zmq.auth
import zmq.auth.asyncio

from eelgrassgate import settings

MAX_MESSAGE_BYTES: Final = 16_000_000
RECONNECT_MS: Final = 100
UNLIMITED: Final = 0


class InsecureLinkError(Exception):
    """A link can't be encrypted as required."""


def open_server(
    context: zmq.asyncio.Context, address: str, curve: settings.Curve | None
) -> tuple[zmq.asyncio.Socket, str]:
    """Bind a ROUTER socket at `host:port`; port 0 picks a free one.

    Returns:
        The socket and the address that it is bound to.

    Raises:
        InsecureLinkError: The host is not loopback and there are no keys.
    """
    _require_keys(address, curve)
    socket = context.socket(zmq.ROUTER)
    _set_options(socket)
    if curve:
        socket.curve_server = True
        socket.curve_secretkey = curve.secret.encode()
        socket.curve_publickey = curve.public.encode()
    try:
        socket.bind(f"tcp://{address}")
    except zmq.ZMQError as error:
        socket.close()
        raise OSError(error.errno, error.strerror) from error
    endpoint = socket.getsockopt_string(zmq.LAST_ENDPOINT)
    return socket, endpoint.removeprefix("tcp://")


def open_client(
    context: zmq.asyncio.Context,
    address: str,
    curve: settings.Curve | None,
    server: str,
) -> zmq.asyncio.Socket:
    """Connect a DEALER socket to the instance `server` at `host:port`.

    Raises:
        InsecureLinkError: The host is not loopback and there are no keys, or
            the public key of `server` is not known.
    """
    _require_keys(address, curve)
    socket = context.socket(zmq.DEALER)
    _set_options(socket)
    if curve:
        if server not in curve.peers:
            socket.close()
            raise InsecureLinkError(f"no public key for instance {server}")
        socket.curve_serverkey = curve.peers[server].encode()
        socket.curve_secretkey = curve.secret.encode()
        socket.curve_publickey = curve.public.encode()
    socket.connect(f"tcp://{address}")
    return socket


def start_authenticator(
    context: zmq.asyncio.Context, curve: settings.Curve
) -> zmq.auth.asyncio.AsyncioAuthenticator:
    """Admit only the keys of the peers in `curve` to servers of `context`."""
    authenticator = zmq.auth.asyncio.AsyncioAuthenticator(context)
    authenticator.start()
    allowed = frozenset(key.encode() for key in curve.peers.values())
    authenticator.configure_curve_callback(
        domain="*", credentials_provider=_AllowedKeys(allowed)
    )
    return authenticator


class _AllowedKeys:
    """Decides which public keys may connect."""

    def __init__(self, allowed: frozenset[bytes]) -> None:
        self._allowed = allowed

    def callback(self, domain: str, key: bytes) -> bool:
        return key in self._allowed


def _set_options(socket: zmq.asyncio.Socket) -> None:
    socket.linger = 0
    socket.sndhwm = UNLIMITED
    socket.rcvhwm = UNLIMITED
    socket.maxmsgsize = MAX_MESSAGE_BYTES
    socket.reconnect_ivl = RECONNECT_MS


def _require_keys(address: str, curve: settings.Curve | None) -> None:
    host = address.rpartition(":")[0].strip("[]")
    if curve is None and not ipaddress.ip_address(host).is_loopback:
        raise InsecureLinkError(f"{address} is not loopback: keys are required")
