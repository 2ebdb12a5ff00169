"""Plain services under route prefixes of their own."""

from returns import result
from starlette import requests
from starlette import responses

from eelgrassgate import outcomes
from eelgrassgate.callers import access_control
from eelgrassgate.callers import answers
from eelgrassgate.callers import base
from eelgrassgate.callers import bodies
from eelgrassgate.callers import errors
from eelgrassgate.callers import idempotency
from eelgrassgate.config import fleet
from eelgrassgate.entry import dispatch

OPEN_PASS = base.Principal(workspace="", digest="")
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))


def find_prefix(source: fleet.Fleet, path: str) -> str | None:
    """Return the longest route prefix that `path` lies under."""
    prefixes = (
        prefix
        for prefix in source.routes
        if path == prefix or path.startswith(prefix.rstrip("/") + "/")
    )
    return max(prefixes, key=len, default=None)


class Services:
    """Handles requests to plain services."""

    def __init__(
        self,
        source: base.FleetSource,
        access: access_control.AccessController,
        dispatcher: base.Dispatcher,
        meter: answers.Meter,
        calls: idempotency.Calls,
    ) -> None:
        """Create the handler."""
        self._calls = calls
        self._source = source
        self._gate = access
        self._dispatcher = dispatcher
        self._meter = meter

    async def handle(self, request: requests.Request) -> responses.Response:
        """Answer one request to a plain service."""
        prefix = find_prefix(self._source.fleet, request.url.path)
        if prefix is None:
            refusal = outcomes.refuse(
                outcomes.Code.NOT_FOUND, "There is no such path."
            )
            return errors.create_response(refusal)
        route = self._source.fleet.routes[prefix]
        deadline = access_control.get_deadline(request, self._source.fleet)
        held: base.Principal | outcomes.Refusal = OPEN_PASS
        if not route.is_open:
            held = await self._gate.admit(request, deadline)
        if isinstance(held, outcomes.Refusal):
            return errors.create_response(held)
        limit = self._source.fleet.limits.body_bytes
        body = await bodies.read(request, limit, deadline)
        if isinstance(body, result.Failure):
            return errors.create_response(body.failure())
        call = self._make_call(
            request, held, prefix, route, body.unwrap(), deadline
        )
        key = request.headers.get(idempotency.HEADER, "")
        if key and held.workspace and not call.is_repeatable:
            return await self._run_once(request, held, call, key)
        return await self._run(request, held, call)

    async def _run(
        self,
        request: requests.Request,
        held: base.Principal,
        call: dispatch.Request,
    ) -> responses.Response:
        parts = self._meter.measure(
            held, call.klass, self._dispatcher.run(call)
        )
        if held is not OPEN_PASS:
            parts = self._gate.guard(held, parts)
        return await answers.collect(
            request, parts, is_repeatable=call.is_repeatable
        )

    async def _run_once(
        self,
        request: requests.Request,
        held: base.Principal,
        call: dispatch.Request,
        key: str,
    ) -> responses.Response:
        """Run a call of which others with the same key may come again."""
        digest = idempotency.compute_digest(
            call.method, f"{call.service}{call.path}", call.body
        )
        decided = await self._calls.begin(held.workspace, key, digest)
        if isinstance(decided, result.Failure):
            return errors.create_response(
                decided.failure(), is_repeatable=False
            )
        decision = decided.unwrap()
        if isinstance(decision, idempotency.Replay):
            return responses.Response(
                decision.body,
                decision.status,
                media_type=decision.content_type,
            )
        response = await self._run(request, held, call)
        await self._record(decision, response)
        return response

    async def _record(
        self, begun: idempotency.Begun, response: responses.Response
    ) -> None:
        ran = response.headers.get(errors.RAN_HEADER)
        if ran == outcomes.Ran.NOT_RUN.value:
            await self._calls.forget(begun)
        elif ran is None and response.status_code != answers.LEFT_STATUS:
            kind = response.headers.get("content-type", "")
            body = bytes(response.body)
            replay = idempotency.Replay(response.status_code, kind, body)
            await self._calls.finish(begun, replay)

    def _make_call(
        self,
        request: requests.Request,
        held: base.Principal,
        prefix: str,
        route: fleet.Route,
        body: bytes,
        deadline: float,
    ) -> dispatch.Request:
        workspace = self._source.fleet.workspaces.get(held.workspace)
        path = request.url.path.removeprefix(prefix.rstrip("/")) or "/"
        query = request.url.query
        return dispatch.Request(
            workspace=held.workspace,
            klass=outcomes.Class.ONLINE,
            model="",
            service=route.service,
            method=request.method,
            path=f"{path}?{query}" if query else path,
            body=body,
            content_type=request.headers.get("content-type", ""),
            is_stream=False,
            is_repeatable=route.is_repeatable or request.method in SAFE_METHODS,
            deadline=deadline,
            digest=held.digest,
            cost=1.0,
            weight=workspace.weight if workspace else 1.0,
        )
