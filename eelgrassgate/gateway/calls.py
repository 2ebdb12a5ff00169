"""Requests and responses of the gateway, independent of the wire format."""

from collections.abc import Mapping
import hashlib
from typing import Final
from typing import Protocol

import msgspec

from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import upstream
from eelgrassgate.quarantine import evidence

# 64 bits of a cryptographic hash: a caller can't craft a request that is taken
# for another one.
FINGERPRINT_BYTES: Final = 8


class Call(msgspec.Struct, frozen=True):
    """A caller's request.

    Attributes:
        id: The request id that the caller sent.
        method: The HTTP method.
        target: The request target: path and query.
        host: The requested host, without a port.
        path: The path without the query.
        key: The caller's API key; None if the request has none.
        headers: The headers to forward, without hop-by-hop headers, the API
            key and headers that the gateway sets itself.
        content: Holds the request body.
        deadline: Monotonic time by which to respond: the caller stops waiting,
            or the route's timeout passes.
        prompt_parts: Ids of the parts of the prompt that other requests may
            share, in order; the last part is the request's own and left out.
        fingerprint: Hash that identical requests share; see
            `compute_fingerprint`.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    key: str | None
    headers: upstream.Headers
    content: downstream.Body
    deadline: float
    prompt_parts: tuple[str, ...] = ()
    fingerprint: str = ""

    @property
    def body(self) -> bytes:
        """The request body; empty once it was released."""
        return self.content.data

    def list_suspects(self) -> tuple[str, ...]:
        """Return what may be blamed if an endpoint ends under the call."""
        return evidence.list_suspects(self.prompt_parts, self.fingerprint)


def compute_fingerprint(call: Call, workspace: str) -> str:
    """Return a hash that tells a request that is sent again from others.

    Attempts differ in their id, time and connection; what the workspace asks
    for is the same.
    """
    fields = (workspace, call.host, call.method, call.target, len(call.body))
    found = hashlib.blake2b(
        msgspec.msgpack.encode(fields), digest_size=FINGERPRINT_BYTES
    )
    # Not encoded with the other fields, which would copy it.
    found.update(call.body)
    return found.hexdigest()


class Attempt(msgspec.Struct, frozen=True):
    """One attempt to run a call at one endpoint.

    Attributes:
        endpoint: The endpoint's id; an endpoint rejects requests that are
            addressed to another id.
        workspace: The caller's workspace; empty on a route without
            authentication.
        deadline: Monotonic time after which the endpoint may stop working.
        resume_after: Id of the last stream event that the caller received,
            if the stream is to resume after it.
    """

    endpoint: str
    workspace: str
    deadline: float
    resume_after: str | None = None


class ResponseInfo(msgspec.Struct, frozen=True):
    """What the head of a response states about its request.

    Attributes:
        is_for_request: Whether the response belongs to this request rather
            than to an earlier one on the connection.
        has_not_run: Whether the endpoint did not execute the request.
        is_misdirected: Whether the address now belongs to another endpoint.
        is_signed: Whether the response carries the checksum of the endpoint's
            application.
        limit_per_s: Requests a second that the endpoint takes from all callers
            together; None if it names no limit.
        is_draining: Whether the endpoint drains: it takes no new requests.
    """

    is_for_request: bool
    has_not_run: bool
    is_misdirected: bool
    is_signed: bool
    limit_per_s: float | None = None
    is_draining: bool = False


class Dialect(Protocol):
    """Wire format of requests and responses."""

    def read_key(self, head: downstream.RequestHead) -> str | None:
        """Parse a caller's API key; None if the request has none."""
        ...

    def read_call(self, incoming: downstream.IncomingRequest) -> Call:
        """Parse a request."""
        ...

    def filter_item_headers(
        self, headers: upstream.Headers
    ) -> upstream.Headers:
        """Return the headers of a batch item that are forwarded."""
        ...

    def read_prompt_parts(self, headers: upstream.Headers) -> tuple[str, ...]:
        """Parse `Call.prompt_parts` from a request's headers."""
        ...

    def write_attempt(self, call: Call, attempt: Attempt) -> upstream.Request:
        """Build the request to send to an endpoint."""
        ...

    def read_response_info(
        self, head: upstream.Head, call_id: str
    ) -> ResponseInfo:
        """Parse what a response states about the request `call_id`."""
        ...

    def filter_response_headers(self, head: upstream.Head) -> upstream.Headers:
        """Return the response headers to forward to the caller."""
        ...

    def write_refusal_headers(
        self, retry_after_s: float | None
    ) -> upstream.Headers:
        """Build the headers of a refusal."""
        ...

    def read_wait_s(self, incoming: downstream.IncomingRequest) -> float:
        """Return for how many seconds a caller long-polls for a change."""
        ...


class BatchItem(msgspec.Struct, frozen=True):
    """One item of a batch job as submitted.

    Attributes:
        id: The item's id, sent to endpoints as the request id.
        path: The path to request.
        headers: Request headers by name.
        body: The request body.
        tokens: Prompt tokens plus the maximum number of output tokens.
    """

    id: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    tokens: int = 0
