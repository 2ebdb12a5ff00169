"""Refusals: why a request failed, and whether it may have run."""

import enum

import msgspec


class RunStatus(enum.Enum):
    """Whether a request without a complete response has run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RequestClass(enum.Enum):
    """The classes of requests that share the fleet."""

    ONLINE = "online"
    BATCH = "batch"


class Code(enum.Enum):
    """Machine-readable reasons for a refusal."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CANCELLED = "cancelled"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_LOST = "endpoint_lost"
    INVALID_KEY = "invalid_api_key"
    KEY_WITHDRAWN = "key_withdrawn"
    NOT_FOUND = "not_found"
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate_limit_exceeded"
    SHUTTING_DOWN = "shutting_down"
    STALE_FENCE = "stale_fence"
    STORE_UNAVAILABLE = "store_unavailable"
    UNKNOWN_MODEL = "model_not_found"
    UNCONFIRMED = "configuration_unconfirmed"
    CONFLICT = "conflict"


class Refusal(msgspec.Struct, frozen=True):
    """The error that ends a request without a complete response.

    Attributes:
        code: The machine-readable reason.
        message: A sentence for people.
        ran: Whether the request may have run.
        retry_after_s: Seconds after which a retry may succeed, if it may.
    """

    code: Code
    message: str
    ran: RunStatus
    retry_after_s: float | None = None


def refuse(
    code: Code, message: str, retry_after_s: float | None = None
) -> Refusal:
    """Return the refusal of a request that has not run."""
    return Refusal(code, message, RunStatus.NOT_RUN, retry_after_s)


def refuse_unknown(code: Code, message: str) -> Refusal:
    """Return the refusal of a request that may have run."""
    return Refusal(code, message, RunStatus.UNKNOWN)
