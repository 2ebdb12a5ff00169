"""Names of requests, responses and headers on the users' wire."""

from typing import Final
import urllib.parse

from eelgrassgate import deadlines
from eelgrassgate.gateway import calls
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import upstream

REQUEST_ID: Final = b"request-id"
# Milliseconds that the caller will wait, or that an endpoint may work.
TIME_REMAINING: Final = b"time-remaining"
# The endpoint's id that the request is meant for.
EXPECT_INSTANCE: Final = b"expect-instance"
# The workspace's name; set by the gateway alone.
TENANT: Final = b"tenant"
AUTHORIZATION: Final = b"authorization"
# Present on a refusal of an endpoint that has not run the request.
NOT_EXECUTED: Final = b"not-executed"
# The application's checksum of its response.
SIGNATURE: Final = b"response-signature"
LAST_EVENT_ID: Final = b"last-event-id"
RETRY_AFTER: Final = b"retry-after"
# Milliseconds that a reader would wait for a result.
WAIT_TIME: Final = b"wait-time"

BEARER: Final = "bearer "
MISDIRECTED: Final = 421
MS_PER_S: Final = 1000.0
# Waiting time of a caller that names none.
DEFAULT_REMAINING_MS: Final = 30_000

# Headers that concern one connection only (RFC 9110, 7.6.1).
HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
_SET_BY_GATEWAY: Final = frozenset(
    {
        TIME_REMAINING,
        EXPECT_INSTANCE,
        TENANT,
        AUTHORIZATION,
        b"content-length",
    }
)


class PlatformDialect:
    """An implementation of `calls.Dialect`."""

    def read_call(self, incoming: downstream.IncomingRequest) -> calls.Call:
        """Read a request."""
        target = incoming.target.decode("latin-1")
        host = (incoming.get(b"host") or b"").decode("latin-1")
        remaining = _read_number(
            incoming.get(TIME_REMAINING), DEFAULT_REMAINING_MS
        )
        return calls.Call(
            (incoming.get(REQUEST_ID) or b"").decode("latin-1"),
            incoming.method,
            incoming.target,
            host.rpartition(":")[0] if ":" in host else host,
            target.partition("?")[0],
            _read_key(incoming.get(AUTHORIZATION)),
            _pass(incoming.headers, _SET_BY_GATEWAY),
            incoming.body,
            incoming.received + remaining / MS_PER_S,
        )

    def write_attempt(
        self, call: calls.Call, attempt: calls.Attempt
    ) -> upstream.Request:
        """Write the request for one endpoint."""
        left_ms = int(deadlines.compute_remaining(attempt.deadline) * MS_PER_S)
        headers = list(call.headers)
        if attempt.resume_after is not None:
            headers = [one for one in headers if one[0] != LAST_EVENT_ID]
            headers.append((LAST_EVENT_ID, attempt.resume_after.encode()))
        headers.append((TIME_REMAINING, b"%d" % max(1, left_ms)))
        headers.append((EXPECT_INSTANCE, attempt.endpoint.encode()))
        if attempt.workspace:
            headers.append((TENANT, attempt.workspace.encode()))
        if call.body or call.method not in {b"GET", b"HEAD", b"DELETE"}:
            headers.append((b"content-length", b"%d" % len(call.body)))
        return upstream.Request(
            call.method, call.target, tuple(headers), call.body
        )

    def read_response_info(
        self, head: upstream.Head, call_id: str
    ) -> calls.ResponseInfo:
        """Read what a response says of the request `call_id`."""
        answered = head.get(REQUEST_ID)
        is_misdirected = head.status == MISDIRECTED
        return calls.ResponseInfo(
            answered is None or answered.decode("latin-1") == call_id,
            is_misdirected or head.get(NOT_EXECUTED) is not None,
            is_misdirected,
            head.get(SIGNATURE) is not None,
        )

    def filter_response_headers(self, head: upstream.Head) -> upstream.Headers:
        """Return the headers of a response that the caller gets."""
        return _pass(head.headers, frozenset({b"content-length"}))

    def write_refusal_headers(
        self, retry_after_s: float | None
    ) -> upstream.Headers:
        """Return the headers of a refusal; the wait may be a fraction."""
        if retry_after_s is None:
            return ()
        return ((RETRY_AFTER, f"{retry_after_s:.3f}".encode()),)

    def read_wait_s(self, incoming: downstream.IncomingRequest) -> float:
        """Return how long in seconds a caller would wait for a change."""
        return _read_number(incoming.get(WAIT_TIME), 0) / MS_PER_S


def _pass(
    headers: upstream.Headers, dropped: frozenset[bytes]
) -> upstream.Headers:
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in dropped and name not in named
    )


def _read_number(value: bytes | None, default: int) -> int:
    if value is None or not value.strip().isdigit():
        return default
    return int(value)


def _read_key(value: bytes | None) -> str | None:
    text = (value or b"").decode("latin-1").strip()
    if not text.lower().startswith(BEARER):
        return None
    return text[len(BEARER) :].strip() or None


def read_query(call: calls.Call) -> dict[str, str]:
    """Return the query of a call's target; the last of a name counts."""
    query = call.target.decode("latin-1").partition("?")[2]
    return dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
