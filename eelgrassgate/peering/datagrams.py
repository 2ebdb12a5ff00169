"""A UDP socket that reads all waiting datagrams at once.

The load that this answers: each of 70 processes gets some 400 datagrams a
second, each of which would otherwise take a pass of the event loop.
"""

import socket
from typing import Final
from typing import Self

import anyio

from eelgrassgate import addresses
from eelgrassgate import binding

MAX_DATAGRAM_BYTES: Final = 65_536
# Bounds how long other tasks wait for one read.
MAX_BATCH: Final = 64
# Pause between reads, in which further datagrams arrive.
GATHERING_DELAY_S: Final = 0.01


class DatagramSocket:
    """A bound UDP socket; an async context manager that closes it."""

    def __init__(self, sock: socket.socket) -> None:
        """Wrap a non-blocking socket; see `create_datagram_socket`."""
        self._socket = sock
        self._error: OSError | None = None

    async def __aenter__(self) -> Self:
        """Return the socket."""
        return self

    async def __aexit__(self, *error: object) -> None:
        """Close the socket."""
        self._socket.close()

    def send(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram; it is lost if the buffer is full.

        Raises:
            OSError: The datagram can't be sent.
        """
        try:
            self._socket.sendto(data, (host, port))
        except BlockingIOError:
            # As a datagram that the network loses; the next one replaces it.
            return

    async def receive_batch(self) -> list[tuple[bytes, str]]:
        """Wait for datagrams and return them with their sender's `host:port`.

        Raises:
            OSError: An earlier datagram could not be delivered.
        """
        error, self._error = self._error, None
        if error is not None:
            raise error
        await anyio.sleep(GATHERING_DELAY_S)
        await anyio.wait_readable(self._socket)
        found: list[tuple[bytes, str]] = []
        while len(found) < MAX_BATCH:
            try:
                data, (host, port) = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError as new_error:
                # Raised by the next call, after what was found.
                self._error = new_error
                break
            found.append((data, f"{host}:{port}"))
        return found


async def open_datagram_socket(
    address: str, give_up_at: float
) -> DatagramSocket:
    """Create a socket bound to `host:port`; try again while that is taken.

    Args:
        address: The address.
        give_up_at: Monotonic time of the last attempt.

    Raises:
        binding.AddressUnavailableError: The last attempt failed.
    """
    own = addresses.parse(address)

    async def create() -> DatagramSocket:
        return create_datagram_socket(own.host, own.port)

    return await binding.open_socket(create, address, give_up_at)


def create_datagram_socket(host: str, port: int) -> DatagramSocket:
    """Create a socket bound to an IPv4 address.

    Args:
        host: The address.
        port: The port; 0 for any.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return DatagramSocket(sock)
