"""A caller's request as the gateway sees it, whatever names its wire uses."""

from collections.abc import Mapping
from typing import Protocol

import msgspec

from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import upstream


class Call(msgspec.Struct, frozen=True):
    """One request of a caller.

    Attributes:
        id: The caller's id of this attempt.
        method: The method, unchanged.
        target: Path and query, unchanged.
        host: The host that the caller named, without a port.
        path: The path alone.
        key: The caller's key; None if it showed none.
        headers: What is passed on; nothing of one connection, no key, and
            nothing that the gateway sets itself.
        body: The body, unchanged.
        deadline: Instant at which the caller stops waiting.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    key: str | None
    headers: upstream.Headers
    body: bytes
    deadline: float


class Attempt(msgspec.Struct, frozen=True):
    """One sending of a call to one endpoint.

    Attributes:
        endpoint: The endpoint's id, which refuses to stand in for another.
        workspace: Whose request it is; empty on a route open to all.
        deadline: Instant at which the endpoint may stop work.
        resume_after: The last stream event that the caller has, if it goes on
            from there.
    """

    endpoint: str
    workspace: str
    deadline: float
    resume_after: str | None = None


class ResponseInfo(msgspec.Struct, frozen=True):
    """What a response's head says of its request.

    Attributes:
        is_for_request: Whether it answers this request, not an earlier one.
        has_not_run: Whether the endpoint says that it did not run.
        is_misdirected: Whether another endpoint has the address by now.
        is_signed: Whether the endpoint's application made it.
    """

    is_for_request: bool
    has_not_run: bool
    is_misdirected: bool
    is_signed: bool


class Dialect(Protocol):
    """The names that requests and responses use on the wire."""

    def read_call(self, incoming: downstream.IncomingRequest) -> Call:
        """Read a request."""
        ...

    def write_attempt(self, call: Call, attempt: Attempt) -> upstream.Request:
        """Write the request for one endpoint."""
        ...

    def read_response_info(
        self, head: upstream.Head, call_id: str
    ) -> ResponseInfo:
        """Read what a response says of the request `call_id`."""
        ...

    def filter_response_headers(self, head: upstream.Head) -> upstream.Headers:
        """Return the headers of a response that the caller gets."""
        ...

    def write_refusal_headers(
        self, retry_after_s: float | None
    ) -> upstream.Headers:
        """Return the headers of a refusal."""
        ...

    def read_wait_s(self, incoming: downstream.IncomingRequest) -> float:
        """Return how long in seconds a caller would wait for a change."""
        ...


class BatchItem(msgspec.Struct, frozen=True):
    """One item of a batch job as it was handed in.

    Attributes:
        id: The item's id; its request id at endpoints.
        path: The path that it calls.
        headers: Header names and values that it sends.
        body: The body.
        tokens: Prompt tokens and most output tokens together.
    """

    id: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    tokens: int = 0
