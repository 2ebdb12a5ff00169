"""Converts refusals to error responses as client libraries expect."""

import math
from typing import Final

import msgspec
from starlette import responses

from eelgrassgate import outcomes

JSON_TYPE: Final = "application/json"
RAN_HEADER: Final = "x-request-ran"

_Code = outcomes.Code
_STATUS_BY_CODE: Final = {
    _Code.BAD_REQUEST: 400,
    _Code.INVALID_KEY: 401,
    _Code.KEY_WITHDRAWN: 401,
    _Code.NOT_FOUND: 404,
    _Code.UNKNOWN_MODEL: 404,
    _Code.CANCELLED: 409,
    _Code.CONFLICT: 409,
    _Code.BODY_TOO_LARGE: 413,
    _Code.RATE_LIMITED: 429,
    _Code.ENDPOINT_FAILED: 502,
    _Code.ENDPOINT_LOST: 502,
    _Code.OVERLOADED: 503,
    _Code.SHUTTING_DOWN: 503,
    _Code.STALE_FENCE: 503,
    _Code.STORE_UNAVAILABLE: 503,
    _Code.UNCONFIRMED: 503,
    _Code.DEADLINE_EXCEEDED: 504,
}
_TYPE_BY_STATUS: Final = {
    401: "authentication_error",
    404: "not_found_error",
    429: "rate_limit_error",
}
_MIN_SERVER_ERROR_STATUS: Final = 500


class ErrorDetail(msgspec.Struct, frozen=True):
    """The `error` object of an error response.

    Attributes:
        message: A sentence for people.
        type: The error type that client libraries know.
        param: The invalid field, if there is one.
        code: The machine-readable reason.
        ran: `not_run`, or `unknown` if the request may have run.
    """

    message: str
    type: str
    param: str | None
    code: str
    ran: str


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of an error response."""

    error: ErrorDetail


def get_status(refusal: outcomes.Refusal) -> int:
    """Return the HTTP status of a refusal."""
    return _STATUS_BY_CODE[refusal.code]


def encode(refusal: outcomes.Refusal) -> bytes:
    """Encode a refusal as an error body."""
    status = get_status(refusal)
    is_server_error = status >= _MIN_SERVER_ERROR_STATUS
    fallback = "server_error" if is_server_error else "invalid_request_error"
    detail = ErrorDetail(
        message=refusal.message,
        type=_TYPE_BY_STATUS.get(status, fallback),
        param=None,
        code=refusal.code.value,
        ran=refusal.ran.value,
    )
    return msgspec.json.encode(ErrorBody(detail))


def create_response(
    refusal: outcomes.Refusal, *, is_repeatable: bool = True
) -> responses.Response:
    """Return the error response for a refusal.

    Client libraries choose whether to retry by status alone, so
    `x-should-retry: false` is set where a retry could run a request twice or
    cannot succeed.
    """
    is_safe = refusal.ran is outcomes.RunStatus.NOT_RUN or is_repeatable
    headers = {RAN_HEADER: refusal.ran.value}
    if refusal.retry_after_s is not None:
        seconds = max(1, math.ceil(refusal.retry_after_s))
        headers["retry-after"] = str(seconds)
    elif not is_safe or refusal.code is outcomes.Code.CONFLICT:
        headers["x-should-retry"] = "false"
    return responses.Response(
        encode(refusal), get_status(refusal), headers, JSON_TYPE
    )
