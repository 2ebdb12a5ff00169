"""Authenticates and rate-limits callers; stops those with withdrawn keys."""

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

WITHDRAWN_NOT_RUN: Final = outcomes.refuse(
    outcomes.Code.KEY_WITHDRAWN, "The key has been withdrawn."
)


def get_deadline(request: requests.Request, source: fleet.Fleet) -> float:
    """Return the deadline from the timeout header, else the default."""
    limit_s = source.limits.online_timeout_s
    try:
        timeout_s = float(request.headers[TIMEOUT_HEADER])
    except (KeyError, ValueError):
        return deadlines.after(limit_s)
    return deadlines.after(min(max(timeout_s, 0.0), limit_s))


def get_key(request: requests.Request) -> str:
    """Return the bearer key of the request, or an empty string."""
    header = request.headers.get("authorization", "")
    return header.removeprefix(BEARER) if header.startswith(BEARER) else ""


class AccessController:
    """Admits requests and checks admitted ones until they end."""

    def __init__(
        self,
        authenticator: base.Authenticator,
        limiter: base.Limiter,
        recorder: base.Recorder,
    ) -> None:
        """Create the controller."""
        self._authenticator = authenticator
        self._limiter = limiter
        self._recorder = recorder

    def authenticate(
        self, request: requests.Request
    ) -> base.Principal | outcomes.Refusal:
        """Authenticate a request by its key."""
        authenticated = self._authenticator.authenticate(get_key(request))
        if isinstance(authenticated, result.Failure):
            refusal: outcomes.Refusal = authenticated.failure()
            self._count(refusal, "")
            return refusal
        return authenticated.unwrap()

    async def admit(
        self, request: requests.Request, deadline: float
    ) -> base.Principal | outcomes.Refusal:
        """Check key and rate limit before the body is read."""
        principal = self.authenticate(request)
        if isinstance(principal, outcomes.Refusal):
            return principal
        admitted = await self._limiter.admit(principal.workspace, deadline)
        if isinstance(admitted, result.Failure):
            refused: outcomes.Refusal = admitted.failure()
            self._count(refused, principal.workspace)
            return refused
        return principal

    async def stop_on_withdrawal(
        self,
        principal: base.Principal,
        stream: AsyncIterator[base.ResponseMessage],
    ) -> AsyncIterator[base.ResponseMessage]:
        """Yield the messages of `stream`; refuse once the key is withdrawn.

        The key is checked before the start, as the body may have taken long to
        arrive, and when a message arrives. The entry aborts requests that are
        waiting for one.
        """
        if not self._authenticator.is_valid(principal):
            self._count(WITHDRAWN_NOT_RUN, principal.workspace)
            yield messages.Refused(attempt="", refusal=WITHDRAWN_NOT_RUN)
            return
        async for message in stream:
            if not self._authenticator.is_valid(principal):
                yield messages.Refused(attempt="", refusal=exchanges.WITHDRAWN)
                return
            yield message

    def _count(self, refusal: outcomes.Refusal, workspace: str) -> None:
        self._recorder.count(f"refused.{refusal.code.value}", workspace)
