"""Lets callers in by key and rate, and cuts those whose key is withdrawn."""

from collections.abc import AsyncIterator
from typing import Final

from returns import result
from starlette import requests

from eelgrassgate import deadlines
from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.callers import base
from eelgrassgate.config import fleet
from eelgrassgate.entry import exchanges

TIMEOUT_HEADER: Final = "x-request-timeout"
BEARER: Final = "Bearer "


def get_deadline(request: requests.Request, source: fleet.Fleet) -> float:
    """Return the deadline by the timeout header, in seconds, or default."""
    limit_s = source.limits.online_timeout_s
    try:
        asked_s = float(request.headers[TIMEOUT_HEADER])
    except (KeyError, ValueError):
        return deadlines.after(limit_s)
    return deadlines.after(min(max(asked_s, 0.0), limit_s))


def get_key(request: requests.Request) -> str:
    """Return the caller's bearer key, or an empty string."""
    header = request.headers.get("authorization", "")
    return header.removeprefix(BEARER) if header.startswith(BEARER) else ""


class AccessController:
    """Admits callers and follows those who are let in."""

    def __init__(
        self,
        authority: base.Authenticator,
        limiter: base.Limiter,
        recorder: base.Recorder,
    ) -> None:
        """Create a gate with no caller inside."""
        self._authority = authority
        self._limiter = limiter
        self._recorder = recorder

    def authenticate(
        self, request: requests.Request
    ) -> base.Principal | outcomes.Refusal:
        """Let a caller in by key alone."""
        authenticated = self._authority.authenticate(get_key(request))
        if isinstance(authenticated, result.Failure):
            refusal: outcomes.Refusal = authenticated.failure()
            self._count(refusal, "")
            return refusal
        return authenticated.unwrap()

    async def admit(
        self, request: requests.Request, deadline: float
    ) -> base.Principal | outcomes.Refusal:
        """Let a caller in by key and rate, before any body is read."""
        held = self.authenticate(request)
        if isinstance(held, outcomes.Refusal):
            return held
        admitted = await self._limiter.admit(held.workspace, deadline)
        if isinstance(admitted, result.Failure):
            refused: outcomes.Refusal = admitted.failure()
            self._count(refused, held.workspace)
            return refused
        return held

    async def guard(
        self, held: base.Principal, parts: AsyncIterator[base.Answer]
    ) -> AsyncIterator[base.Answer]:
        """Yield `parts` until the key is withdrawn, then a refusal.

        Those that wait for a part are cut by `exchanges.Exchanges.cut`.
        """
        async for part in parts:
            if not self._authority.is_valid(held):
                yield messages.Refused(attempt="", refusal=exchanges.WITHDRAWN)
                return
            yield part

    def _count(self, refusal: outcomes.Refusal, workspace: str) -> None:
        self._recorder.count(f"refused.{refusal.code.value}", workspace)
