"""HTTP connections to an endpoint, and how their errors are reported."""

from collections import Counter
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import functools
import socket
import ssl
from typing import Final
from typing import TypeVar

import anyio
import anyio.lowlevel
import httpx

from eelgrassgate import deadlines
from eelgrassgate import http_clients
from eelgrassgate import outcomes
from eelgrassgate.engine import base

CONNECT_TIMEOUT_S: Final = 2.0
WRITE_TIMEOUT_S: Final = 10.0
MAX_CONNECTIONS: Final = 1024
TCP_KEEPALIVE_IDLE_S: Final = 3
TCP_KEEPALIVE_INTERVAL_S: Final = 1
TCP_KEEPALIVE_PROBES: Final = 3
TCP_USER_TIMEOUT_MS: Final = 6000

_SOCKET_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
_NOT_SENT: Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)

_T = TypeVar("_T")


class BadCallError(Exception):
    """The call can't be encoded as an HTTP request."""


class DeadlineError(Exception):
    """The deadline passed while waiting for the response."""


def create_client(
    url: str, *, read_timeout_s: float | None
) -> httpx.AsyncClient:
    """Create an HTTP client that opens a connection for each call.

    A kept connection may hold bytes beyond the end of a response, such as a
    second copy of it, which would be taken for the response to the next call.

    Args:
        url: The endpoint's base URL.
        read_timeout_s: Longest wait for the next bytes; None to wait until the
            deadline.
    """
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS, max_keepalive_connections=0
    )
    timeout = httpx.Timeout(
        connect=CONNECT_TIMEOUT_S,
        write=WRITE_TIMEOUT_S,
        pool=CONNECT_TIMEOUT_S,
        read=read_timeout_s,
    )
    is_encrypted = url.startswith("https:")
    return http_clients.create_client(
        url,
        timeout=timeout,
        limits=limits,
        tls=_create_ssl_context() if is_encrypted else None,
        socket_options=_SOCKET_OPTIONS,
    )


@functools.cache
def _create_ssl_context() -> ssl.SSLContext:
    return ssl.create_default_context()


class ClientPool:
    """A client that is replaced after a connection error.

    Calls in flight finish on the client on which they started.
    """

    def __init__(self, create: Callable[[], httpx.AsyncClient]) -> None:
        """Create the first client."""
        self._create = create
        self._client = create()
        self._calls_by_client: Counter[httpx.AsyncClient] = Counter()

    @contextlib.asynccontextmanager
    async def use(self) -> AsyncIterator[httpx.AsyncClient]:
        """Yield the current client for one call."""
        client = self._client
        self._calls_by_client[client] += 1
        try:
            yield client
        finally:
            self._calls_by_client[client] -= 1
            if client is not self._client:
                await self._close_unused(client)

    def replace(self, failed: httpx.AsyncClient) -> None:
        """Replace `failed`: its other connections may be broken as well."""
        if failed is self._client:
            self._client = self._create()

    async def close(self) -> None:
        """Close all connections."""
        clients = {self._client, *self._calls_by_client}
        for client in clients:
            await client.aclose()

    async def _close_unused(self, client: httpx.AsyncClient) -> None:
        if not self._calls_by_client[client]:
            del self._calls_by_client[client]
            with anyio.CancelScope(shield=True):
                await client.aclose()


async def iterate_until(
    iterator: AsyncIterator[_T], deadline: float
) -> AsyncIterator[_T]:
    """Yield from `iterator` until `deadline`.

    Raises:
        DeadlineError: The deadline passed.
    """
    if deadline == deadlines.NEVER:
        async for item in iterator:
            yield item
            await anyio.lowlevel.checkpoint()
        return
    while True:
        with anyio.CancelScope(deadline=deadline) as scope:
            try:
                item = await anext(iterator)
            except StopAsyncIteration:
                return
        if scope.cancelled_caught:
            raise DeadlineError
        yield item
        await anyio.lowlevel.checkpoint()


async def send(
    client: httpx.AsyncClient, call: base.Call, *, has_read_timeout: bool
) -> httpx.Response:
    """Send a call and return the response once its headers have arrived.

    Args:
        client: The HTTP client.
        call: The call.
        has_read_timeout: Whether the client's read timeout applies.

    Raises:
        BadCallError: The call can't be encoded as an HTTP request.
        DeadlineError: The deadline passed.
        httpx.HTTPError: The connection failed.
    """
    request = _build_request(client, call)
    if not has_read_timeout:
        request.extensions["timeout"]["read"] = None
    with anyio.CancelScope(deadline=call.deadline):
        return await client.send(request, stream=True)
    raise DeadlineError


def _build_request(client: httpx.AsyncClient, call: base.Call) -> httpx.Request:
    """Encode a call; its path can't select a host other than the endpoint."""
    root = client.base_url.raw_path.rstrip(b"/")
    try:
        path = root + b"/" + call.path.lstrip("/").encode("ascii")
        return client.build_request(
            call.method,
            client.base_url.copy_with(raw_path=path),
            content=call.body,
            headers=build_headers(call),
        )
    except (httpx.InvalidURL, UnicodeError) as error:
        raise BadCallError(str(error)) from error


async def read_body(
    response: httpx.Response, deadline: float
) -> AsyncGenerator[base.Part, None]:
    """Yield a plain body in chunks, then `End`.

    Raises:
        DeadlineError: The deadline passed.
        httpx.HTTPError: The connection failed.
    """
    chunks = response.aiter_bytes()
    async for chunk in iterate_until(chunks, deadline):
        yield base.Data(chunk)
    yield base.End()


def convert_error(
    error: httpx.HTTPError, has_response_started: bool
) -> base.Failed:
    """Return the failure for a connection error.

    Args:
        error: The error.
        has_response_started: Whether a part of the response was received.
    """
    if isinstance(error, httpx.LocalProtocolError):
        return fail_bad_call(str(error))
    if isinstance(error, _NOT_SENT):
        refusal = outcomes.refuse(
            outcomes.Code.ENDPOINT_FAILED, "The endpoint can't be reached."
        )
        return base.Failed(refusal, True)
    phase = "during" if has_response_started else "before"
    refusal = outcomes.refuse_unknown(
        outcomes.Code.ENDPOINT_LOST,
        f"The connection to the endpoint was lost {phase} the response.",
    )
    return base.Failed(refusal, True)


def fail_bad_call(message: str) -> base.Failed:
    """Return the failure of a call that can't be encoded."""
    return base.Failed(
        outcomes.refuse(outcomes.Code.BAD_REQUEST, message), False
    )


def fail_expired(was_sent: bool) -> base.Failed:
    """Return the failure of a call whose deadline passed.

    Args:
        was_sent: Whether the call was sent before its deadline passed.
    """
    message = "The deadline passed."
    code = outcomes.Code.DEADLINE_EXCEEDED
    if was_sent:
        return base.Failed(outcomes.refuse_unknown(code, message), False)
    return base.Failed(outcomes.refuse(code, message), False)


def build_headers(call: base.Call) -> dict[str, str]:
    """Return the request headers; none is copied from the caller."""
    headers = {"x-request-id": call.attempt}
    if call.content_type:
        headers["content-type"] = call.content_type
    if call.fence:
        headers["x-fence"] = str(call.fence)
    if call.resume_from:
        headers["x-resume-from"] = str(call.resume_from)
    return headers


def is_expired(call: base.Call) -> bool:
    """Return whether the call's deadline has passed."""
    return deadlines.is_past(call.deadline)
