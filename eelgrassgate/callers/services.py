"""Requests to plain services, routed by path prefix."""

from returns import result
from starlette import requests
from starlette import responses

from eelgrassgate import outcomes
from eelgrassgate.callers import access_control
from eelgrassgate.callers import base
from eelgrassgate.callers import bodies
from eelgrassgate.callers import errors
from eelgrassgate.callers import http_responses
from eelgrassgate.callers import idempotency
from eelgrassgate.config import fleet
from eelgrassgate.entry import dispatch

ANONYMOUS = base.Principal(workspace="", digest="")
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))


def find_prefix(source: fleet.Fleet, path: str) -> str | None:
    """Return the longest route prefix that matches `path`."""
    prefixes = (
        prefix
        for prefix in source.routes
        if path == prefix or path.startswith(prefix.rstrip("/") + "/")
    )
    return max(prefixes, key=len, default=None)


class ServiceHandler:
    """Handles requests to plain services."""

    def __init__(
        self,
        source: base.FleetSource,
        access: access_control.AccessController,
        dispatcher: base.Dispatcher,
        meter: http_responses.Meter,
        idempotency_store: idempotency.IdempotencyStore,
    ) -> None:
        """Create the handler."""
        self._idempotency_store = idempotency_store
        self._source = source
        self._access = access
        self._dispatcher = dispatcher
        self._meter = meter

    async def handle(self, request: requests.Request) -> responses.Response:
        """Handle a request to a plain service."""
        prefix = find_prefix(self._source.fleet, request.url.path)
        if prefix is None:
            refusal = outcomes.refuse(
                outcomes.Code.NOT_FOUND, "The path does not exist."
            )
            return errors.create_response(refusal)
        route = self._source.fleet.routes[prefix]
        deadline = access_control.get_deadline(request, self._source.fleet)
        principal: base.Principal | outcomes.Refusal = ANONYMOUS
        if not route.is_open:
            principal = await self._access.admit(request, deadline)
        if isinstance(principal, outcomes.Refusal):
            return errors.create_response(principal)
        limit = self._source.fleet.limits.body_bytes
        body = await bodies.read(request, limit, deadline)
        if isinstance(body, result.Failure):
            return errors.create_response(body.failure())
        call = self._make_call(
            request, principal, prefix, route, body.unwrap(), deadline
        )
        key = request.headers.get(idempotency.HEADER, "")
        if key and principal.workspace and not call.is_repeatable:
            return await self._run_once(request, principal, call, key)
        return await self._run(request, principal, call)

    async def _run(
        self,
        request: requests.Request,
        principal: base.Principal,
        call: dispatch.Request,
    ) -> responses.Response:
        stream = self._meter.measure(
            principal, call.klass, self._dispatcher.run(call)
        )
        if principal is not ANONYMOUS:
            stream = self._access.stop_on_withdrawal(principal, stream)
        return await http_responses.collect(
            request, stream, is_repeatable=call.is_repeatable
        )

    async def _run_once(
        self,
        request: requests.Request,
        principal: base.Principal,
        call: dispatch.Request,
        key: str,
    ) -> responses.Response:
        """Run a call at most once for its idempotency key."""
        digest = idempotency.compute_digest(
            call.method, f"{call.service}{call.path}", call.body
        )
        decided = await self._idempotency_store.claim(
            principal.workspace, key, digest
        )
        if isinstance(decided, result.Failure):
            return errors.create_response(
                decided.failure(), is_repeatable=False
            )
        decision = decided.unwrap()
        if isinstance(decision, idempotency.StoredResponse):
            return responses.Response(
                decision.body,
                decision.status,
                media_type=decision.content_type,
            )
        response = await self._run(request, principal, call)
        await self._record(decision, response)
        return response

    async def _record(
        self, claim: idempotency.Claim, response: responses.Response
    ) -> None:
        ran = response.headers.get(errors.RAN_HEADER)
        if ran == outcomes.RunStatus.NOT_RUN.value:
            await self._idempotency_store.release(claim)
        elif (
            ran is None
            and response.status_code
            != http_responses.CLIENT_CLOSED_REQUEST_STATUS
        ):
            kind = response.headers.get("content-type", "")
            body = bytes(response.body)
            stored_response = idempotency.StoredResponse(
                response.status_code, kind, body
            )
            await self._idempotency_store.record_response(
                claim, stored_response
            )

    def _make_call(
        self,
        request: requests.Request,
        principal: base.Principal,
        prefix: str,
        route: fleet.Route,
        body: bytes,
        deadline: float,
    ) -> dispatch.Request:
        workspace = self._source.fleet.workspaces.get(principal.workspace)
        path = request.url.path.removeprefix(prefix.rstrip("/")) or "/"
        query = request.url.query
        return dispatch.Request(
            workspace=principal.workspace,
            klass=outcomes.RequestClass.ONLINE,
            model="",
            service=route.service,
            method=request.method,
            path=f"{path}?{query}" if query else path,
            body=body,
            content_type=request.headers.get("content-type", ""),
            is_stream=False,
            is_repeatable=route.is_repeatable or request.method in SAFE_METHODS,
            deadline=deadline,
            digest=principal.digest,
            cost=1.0,
            weight=workspace.weight if workspace else 1.0,
        )
