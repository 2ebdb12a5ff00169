"""Reads request bodies with limits on size and time."""

from typing import Final

import anyio
from returns import result
from starlette import requests

from eelgrassgate import deadlines
from eelgrassgate import outcomes

READ_TIMEOUT_S: Final = 30.0


async def read(
    request: requests.Request, limit_bytes: int, deadline: float
) -> result.Result[bytes, outcomes.Refusal]:
    """Read the whole body, at most `limit_bytes`, before `deadline`."""
    if _get_declared_size(request) > limit_bytes:
        return result.Failure(_refuse_too_large(limit_bytes))
    parts: list[bytes] = []
    size = 0
    read_deadline = min(deadline, deadlines.after(READ_TIMEOUT_S))
    try:
        with anyio.fail_after(deadlines.compute_remaining(read_deadline)):
            async for part in request.stream():
                size += len(part)
                if size > limit_bytes:
                    return result.Failure(_refuse_too_large(limit_bytes))
                parts.append(part)
    except TimeoutError:
        return result.Failure(_refuse_incomplete())
    except requests.ClientDisconnect:
        return result.Failure(_refuse_incomplete())
    return result.Success(b"".join(parts))


def _get_declared_size(request: requests.Request) -> int:
    declared = request.headers.get("content-length", "0")
    return int(declared) if declared.isdecimal() else 0


def _refuse_too_large(limit_bytes: int) -> outcomes.Refusal:
    return outcomes.refuse(
        outcomes.Code.BODY_TOO_LARGE,
        f"The body is larger than {limit_bytes} bytes.",
    )


def _refuse_incomplete() -> outcomes.Refusal:
    return outcomes.refuse(
        outcomes.Code.BAD_REQUEST, "The request body is incomplete."
    )
