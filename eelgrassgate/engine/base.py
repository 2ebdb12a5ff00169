"""The interface of an endpoint: a model engine or a plain service."""

from collections.abc import AsyncIterator
from typing import Protocol

import msgspec

from eelgrassgate import outcomes


class Call(msgspec.Struct, frozen=True):
    """One call to an endpoint; contains no caller's key.

    Attributes:
        attempt: The attempt's id; also identifies its stream to cancel or
            resume.
        method: The HTTP method.
        path: The path with its query.
        body: The request body.
        content_type: Media type of the body.
        is_stream: Whether the response is an event stream.
        deadline: Instant on the monotonic clock.
        fence: The owner's fencing token, 0 for none.
        resume_from: Number of tokens of `attempt` already received.
    """

    attempt: str
    method: str
    path: str
    body: bytes
    content_type: str
    is_stream: bool
    deadline: float
    fence: int = 0
    resume_from: int = 0


class Head(msgspec.Struct, frozen=True):
    """The status and media type of a response."""

    status: int
    content_type: str


class Data(msgspec.Struct, frozen=True):
    """A part of a response body.

    For an event stream it is the data of one event, without framing.
    """

    data: bytes


class End(msgspec.Struct, frozen=True):
    """The response is complete."""


class Failed(msgspec.Struct, frozen=True):
    """The response is incomplete or there is none.

    Attributes:
        refusal: The refusal for the caller, which states whether the call may
            have run.
        is_endpoint_fault: Whether it indicates a fault of the endpoint, rather
            than of the call.
    """

    refusal: outcomes.Refusal
    is_endpoint_fault: bool


Part = Head | Data | End | Failed


class Load(msgspec.Struct, frozen=True):
    """An engine's load report, which lags behind its actual load."""

    running: int
    waiting: int
    cache_used: float


class CacheEvents(msgspec.Struct, frozen=True):
    """Prefix blocks stored and evicted, from sequence number `first` on."""

    first: int
    stored: tuple[str, ...]
    evicted: tuple[str, ...]


class Endpoint(Protocol):
    """A model engine or a plain service."""

    def call(self, call: Call) -> AsyncIterator[Part]:
        """Yield the parts of the response; ends with `End` or `Failed`."""
        ...

    async def cancel(self, attempt: str) -> bool:
        """Cancel an attempt; return whether the endpoint confirmed it."""
        ...

    async def read_load(self) -> Load | None:
        """Return the load report, or None if there is none."""
        ...

    async def read_cache_events(self, since: int) -> CacheEvents | None:
        """Return cache events from `since` on, or None if there are none."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
