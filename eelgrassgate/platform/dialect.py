"""Requests, responses and headers of the users' protocol."""

import math
from typing import Final
import urllib.parse

from eelgrassgate import deadlines
from eelgrassgate import decoding
from eelgrassgate import logs
from eelgrassgate.gateway import calls
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import upstream

HOST: Final = b"host"
REQUEST_ID: Final = b"request-id"
# Milliseconds that the caller still waits, or that the endpoint may still run.
TIME_REMAINING: Final = b"time-remaining"
# Id of the endpoint that the request is addressed to.
EXPECT_INSTANCE: Final = b"expect-instance"
# Name of the workspace; set by the gateway only.
TENANT: Final = b"tenant"
AUTHORIZATION: Final = b"authorization"
# Set by an endpoint that refused a request without running it.
NOT_EXECUTED: Final = b"not-executed"
# The application's checksum of the response.
SIGNATURE: Final = b"response-signature"
# Requests a second that the endpoint takes from all callers together, for as
# long as its responses have the header.
SERVER_LIMIT: Final = b"server-limit"
# Set to 1 in all responses of an endpoint that drains.
SERVER_LEAVING: Final = b"server-leaving"
LAST_EVENT_ID: Final = b"last-event-id"
RETRY_AFTER: Final = b"retry-after"
# Milliseconds that a caller waits for a new result of a job (long polling).
WAIT_TIME: Final = b"wait-time"

# Parts of the prompt in order, as `ID:TOKENS` separated by commas.
PROMPT_PREFIX: Final = b"prompt-prefix"

BEARER: Final = "bearer "
MISDIRECTED_STATUS: Final = 421
MS_PER_S: Final = 1000.0
# Remaining time of a request without the header.
DEFAULT_REMAINING_MS: Final = 30_000
# Longer than any number of the protocol.
MAX_DIGITS: Final = 15

# Headers of a single connection (RFC 9110, 7.6.1).
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
# An item is a request of the system, which also resumes its output.
_SET_FOR_ITEMS: Final = _SET_BY_GATEWAY | {HOST, REQUEST_ID, LAST_EVENT_ID}
# Without these, a request can't be sent, or its response not be told apart.
_KEPT: Final = frozenset({HOST, REQUEST_ID})


class PlatformDialect:
    """An implementation of `calls.Dialect`."""

    def read_call(self, incoming: downstream.IncomingRequest) -> calls.Call:
        """Parse a request."""
        target = incoming.target.decode("latin-1")
        host = (incoming.get(HOST) or b"").decode("latin-1")
        remaining = parse_number(
            incoming.get(TIME_REMAINING), DEFAULT_REMAINING_MS
        )
        return calls.Call(
            (incoming.get(REQUEST_ID) or b"").decode("latin-1"),
            incoming.method,
            incoming.target,
            host.rpartition(":")[0] if ":" in host else host,
            target.partition("?")[0],
            self.read_key(incoming),
            _filter_headers(incoming.headers, _SET_BY_GATEWAY),
            incoming.content,
            incoming.received_at + remaining / MS_PER_S,
            self.read_prompt_parts(incoming.headers),
        )

    def filter_item_headers(
        self, headers: upstream.Headers
    ) -> upstream.Headers:
        """Return the headers of a batch item that are forwarded."""
        return _filter_headers(headers, _SET_FOR_ITEMS)

    def read_key(self, head: downstream.RequestHead) -> str | None:
        """Parse a caller's API key; None if the request has none."""
        return _parse_api_key(head.get(AUTHORIZATION))

    def read_prompt_parts(self, headers: upstream.Headers) -> tuple[str, ...]:
        """Parse the ids of the shared parts: all but the last."""
        for name, value in headers:
            if name == PROMPT_PREFIX:
                parts = value.decode("latin-1").split(",")[:-1]
                return tuple(part.partition(":")[0].strip() for part in parts)
        return ()

    def write_attempt(
        self, call: calls.Call, attempt: calls.Attempt
    ) -> upstream.Request:
        """Build the request of one attempt."""
        remaining_ms = int(
            deadlines.compute_remaining(attempt.deadline) * MS_PER_S
        )
        headers = list(call.headers)
        if attempt.resume_after is not None:
            headers = [one for one in headers if one[0] != LAST_EVENT_ID]
            # As in the event; see `events.Splitter`.
            last_id = attempt.resume_after.encode("utf-8", "surrogateescape")
            headers.append((LAST_EVENT_ID, last_id))
        headers.append((TIME_REMAINING, b"%d" % max(1, remaining_ms)))
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
        """Parse what a response head reports on the request `call_id`."""
        response_id = head.get(REQUEST_ID)
        is_misdirected = head.status == MISDIRECTED_STATUS
        return calls.ResponseInfo(
            response_id is None or response_id.decode("latin-1") == call_id,
            is_misdirected or head.get(NOT_EXECUTED) is not None,
            is_misdirected,
            head.get(SIGNATURE) is not None,
            _parse_limit(head.get(SERVER_LIMIT)),
            (head.get(SERVER_LEAVING) or b"").strip() == b"1",
        )

    def filter_response_headers(self, head: upstream.Head) -> upstream.Headers:
        """Return the response headers to forward to the caller."""
        return _filter_headers(head.headers, frozenset({b"content-length"}))

    def write_refusal_headers(
        self, retry_after_s: float | None
    ) -> upstream.Headers:
        """Return a refusal's headers; `retry-after` is a decimal in seconds."""
        if retry_after_s is None:
            return ()
        return ((RETRY_AFTER, f"{retry_after_s:.3f}".encode()),)

    def read_wait_s(self, incoming: downstream.IncomingRequest) -> float:
        """Return how many seconds a caller waits for a new result."""
        return parse_number(incoming.get(WAIT_TIME), 0) / MS_PER_S


def _filter_headers(
    headers: upstream.Headers, dropped: frozenset[bytes]
) -> upstream.Headers:
    """Return the headers of a message that are not those of its connection.

    Args:
        headers: Headers with names in lower case.
        dropped: Names of others that don't go on.
    """
    connection_headers = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    } - _KEPT
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP
        and name not in dropped
        and name not in connection_headers
    )


def parse_number(value: bytes | None, default: int) -> int:
    """Parse a whole number; a value that is none counts as absent."""
    text = (value or b"").strip()
    if not text.isdigit() or len(text) > MAX_DIGITS:
        return default
    return int(text)


def _parse_limit(value: bytes | None) -> float | None:
    """Parse a rate; a value that is no rate counts as absent."""
    if value is None:
        return None
    try:
        limit_per_s = float(value)
    except ValueError:
        limit_per_s = math.nan
    if not 0.0 <= limit_per_s <= decoding.MAX_AMOUNT:
        logs.log_message("endpoint:limit_invalid", value=repr(value))
        return None
    return limit_per_s


def _parse_api_key(value: bytes | None) -> str | None:
    text = (value or b"").decode("latin-1").strip()
    if not text.lower().startswith(BEARER):
        return None
    return text[len(BEARER) :].strip() or None


def parse_query(call: calls.Call) -> dict[str, str]:
    """Parse a call's query string; the last value of a name wins."""
    query = call.target.decode("latin-1").partition("?")[2]
    return dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
