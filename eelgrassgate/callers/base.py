"""Interfaces that an entry implements for the public API."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns import result

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.config import fleet
from eelgrassgate.entry import dispatch

ResponseMessage = (
    messages.Head | messages.Data | messages.End | messages.Refused
)


class Principal(msgspec.Struct, frozen=True):
    """An authenticated caller.

    Attributes:
        workspace: The workspace that the caller's key belongs to.
        digest: The key's digest.
    """

    workspace: str
    digest: str


class FleetSource(Protocol):
    """Provides the current configuration."""

    @property
    def fleet(self) -> fleet.Fleet:
        """The current configuration."""
        ...


class Authenticator(Protocol):
    """Authenticates callers by API key."""

    def authenticate(
        self, key: str
    ) -> result.Result[Principal, outcomes.Refusal]:
        """Return the principal that `key` belongs to, or a refusal."""
        ...

    def is_valid(self, principal: Principal, /) -> bool:
        """Return whether the principal's key is still accepted."""
        ...

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` whenever keys may have become invalid."""
        ...


class Limiter(Protocol):
    """Enforces the workspaces' rate limits across the fleet."""

    async def admit(
        self, bucket: str, deadline: float, tokens: float = 1.0
    ) -> result.Result[None, outcomes.Refusal]:
        """Take tokens from a bucket, or return when to retry."""
        ...


class Dispatcher(Protocol):
    """Runs requests on endpoints."""

    def run(self, request: dispatch.Request) -> AsyncIterator[ResponseMessage]:
        """Yield the response; the last message is `End` or `Refused`."""
        ...


class Recorder(Protocol):
    """Collects counters and timers."""

    def count(self, name: str, workspace: str = "", amount: int = 1) -> None:
        """Add to a counter; `workspace` is empty if it has no such label."""
        ...

    def time(
        self,
        name: str,
        workspace: str,
        klass: outcomes.RequestClass,
        seconds: float,
    ) -> None:
        """Record a duration for a workspace and traffic class."""
        ...
