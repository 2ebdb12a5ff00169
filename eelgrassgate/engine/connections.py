"""HTTP connections to an endpoint, and the truth about their failures."""

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
import httpx

from eelgrassgate import deadlines
from eelgrassgate import outcomes
from eelgrassgate.engine import base

CONNECT_TIMEOUT_S: Final = 2.0
WRITE_TIMEOUT_S: Final = 10.0
IDLE_KEPT_S: Final = 2.0
MAX_CONNECTIONS: Final = 1024
PROBE_IDLE_S: Final = 3
PROBE_INTERVAL_S: Final = 1
PROBE_COUNT: Final = 3
UNSENT_TIMEOUT_MS: Final = 6000

_KEEPALIVE: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNSENT_TIMEOUT_MS),
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
    """The call can't be written as a request."""


class DeadlineError(Exception):
    """The call's deadline passed while its answer was awaited."""


def create_client(
    url: str, *, silence_s: float | None, is_pooled: bool
) -> httpx.AsyncClient:
    """Create a client.

    Args:
        url: The endpoint's base URL.
        silence_s: Longest wait for the next bytes; None to wait for the
            deadline alone.
        is_pooled: Whether idle connections are used again.
    """
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_CONNECTIONS if is_pooled else 0,
        keepalive_expiry=IDLE_KEPT_S,
    )
    transport = httpx.AsyncHTTPTransport(
        verify=_create_trust(url.startswith("https:")),
        limits=limits,
        socket_options=_KEEPALIVE,
        trust_env=False,
    )
    timeout = httpx.Timeout(
        connect=CONNECT_TIMEOUT_S,
        write=WRITE_TIMEOUT_S,
        pool=CONNECT_TIMEOUT_S,
        read=silence_s,
    )
    return httpx.AsyncClient(
        base_url=url, transport=transport, timeout=timeout, trust_env=False
    )


@functools.cache
def _create_trust(is_needed: bool) -> ssl.SSLContext:
    """Load the authorities only where needed; that takes long."""
    if is_needed:
        return ssl.create_default_context()
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


class Pool:
    """Pooled connections that can be left behind when one was lost.

    Calls in hand end on the connections on which they began.
    """

    def __init__(self, create: Callable[[], httpx.AsyncClient]) -> None:
        """Create the first client."""
        self._create = create
        self._client = create()
        self._calls_by_client: Counter[httpx.AsyncClient] = Counter()

    @contextlib.asynccontextmanager
    async def use(self) -> AsyncIterator[httpx.AsyncClient]:
        """Give the present client for one call."""
        client = self._client
        self._calls_by_client[client] += 1
        try:
            yield client
        finally:
            self._calls_by_client[client] -= 1
            if client is not self._client:
                await self._close_unused(client)

    def recycle(self, lost: httpx.AsyncClient) -> None:
        """Leave `lost`: its other connections may be lost as well."""
        if lost is self._client:
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
    """Yield from `iterator`, but wait no longer than `deadline`.

    Raises:
        DeadlineError: The deadline passed.
    """
    if deadline == deadlines.NEVER:
        async for item in iterator:
            yield item
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


async def send(
    client: httpx.AsyncClient, call: base.Call, *, has_silence: bool
) -> httpx.Response:
    """Send a call and wait for its answer's head.

    Args:
        client: The connections.
        call: The call.
        has_silence: Whether the client's limit on silence holds.

    Raises:
        BadCallError: The call can't be written as a request.
        DeadlineError: The deadline passed.
        httpx.HTTPError: The connection failed.
    """
    request = _build_request(client, call)
    if not has_silence:
        request.extensions["timeout"]["read"] = None
    with anyio.CancelScope(deadline=call.deadline):
        return await client.send(request, stream=True)
    raise DeadlineError


def _build_request(client: httpx.AsyncClient, call: base.Call) -> httpx.Request:
    """Write a call; its path never names another host than the endpoint's."""
    root = client.base_url.raw_path.rstrip(b"/")
    try:
        path = root + b"/" + call.path.lstrip("/").encode("ascii")
        return client.build_request(
            call.method,
            client.base_url.copy_with(raw_path=path),
            content=call.body,
            headers=write_headers(call),
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


def explain(error: httpx.HTTPError, has_answered: bool) -> base.Failed:
    """Say truthfully what a failed call means."""
    if isinstance(error, httpx.LocalProtocolError):
        return refuse_bad(str(error))
    if isinstance(error, _NOT_SENT):
        refusal = outcomes.refuse(
            outcomes.Code.ENDPOINT_FAILED, "The endpoint can't be reached."
        )
        return base.Failed(refusal, True)
    where = "during" if has_answered else "before"
    refusal = outcomes.refuse_unknown(
        outcomes.Code.ENDPOINT_LOST,
        f"The connection to the endpoint was lost {where} the answer.",
    )
    return base.Failed(refusal, True)


def refuse_bad(message: str) -> base.Failed:
    """Say that a call can't be written as a request."""
    return base.Failed(
        outcomes.refuse(outcomes.Code.BAD_REQUEST, message), False
    )


def expire(was_sent: bool) -> base.Failed:
    """Say that the deadline passed before or after the call was sent."""
    message = "The deadline passed."
    code = outcomes.Code.DEADLINE_EXCEEDED
    if was_sent:
        return base.Failed(outcomes.refuse_unknown(code, message), False)
    return base.Failed(outcomes.refuse(code, message), False)


def write_headers(call: base.Call) -> dict[str, str]:
    """Return the headers of a call; none comes from the caller."""
    headers = {"x-request-id": call.attempt}
    if call.content_type:
        headers["content-type"] = call.content_type
    if call.fence:
        headers["x-fence"] = str(call.fence)
    if call.resume_from:
        headers["x-resume-from"] = str(call.resume_from)
    return headers


def is_expired(call: base.Call) -> bool:
    """Tell whether a call's deadline has passed."""
    return deadlines.is_past(call.deadline)
