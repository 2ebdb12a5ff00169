"""Interfaces of the connections between this project's processes."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from eelgrassgate import messages


class ConfigStatus(msgspec.Struct, frozen=True):
    """The configuration state that each heartbeat carries.

    Attributes:
        config_revision: The newest revision that the sender holds.
        config_age_ms: Time since the store confirmed it; None for never.
    """

    config_revision: int = 0
    config_age_ms: int | None = None


ReadConfigStatus = Callable[[], ConfigStatus]


class Peer(Protocol):
    """One open connection to another process."""

    @property
    def hello(self) -> messages.Hello:
        """The hello message that the peer sent."""
        ...

    def send(self, message: messages.AnyMessage) -> bool:
        """Queue a message; return False if the connection is closed."""
        ...


class Handler(Protocol):
    """Handles connection events; called on the event loop.

    No method may block. The link acknowledges heartbeats itself before it
    passes them to `receive`.
    """

    def connect(self, peer: Peer) -> None:
        """Handle a new connection."""
        ...

    def receive(self, peer: Peer, message: messages.AnyMessage) -> None:
        """Handle one message."""
        ...

    def disconnect(self, peer: Peer) -> None:
        """Handle the loss of a connection, detected within seconds."""
        ...
