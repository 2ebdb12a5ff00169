"""The ASGI application of the public API."""

from typing import Protocol

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from eelgrassgate import outcomes
from eelgrassgate.callers import access_control
from eelgrassgate.callers import base
from eelgrassgate.callers import completions
from eelgrassgate.callers import errors
from eelgrassgate.callers import http_responses
from eelgrassgate.callers import idempotency
from eelgrassgate.callers import services
from eelgrassgate.store import base as store_base

ALL_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


class Readiness(Protocol):
    """Reports whether the load balancer should send new requests."""

    def is_ready(self) -> bool:
        """Return whether this instance accepts new requests."""
        ...


class ModelCard(msgspec.Struct, frozen=True):
    """A model as `GET /v1/models` lists it."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "eelgrassgate"


class ModelList(msgspec.Struct, frozen=True):
    """The response of `GET /v1/models`."""

    data: tuple[ModelCard, ...]
    object: str = "list"


class Dependencies(msgspec.Struct, frozen=True):
    """Components that the application uses.

    Attributes:
        source: Provides the current configuration.
        access: Authenticates and rate-limits callers.
        dispatcher: Runs requests on endpoints.
        recorder: Collects metrics.
        readiness: Decides the response to the readiness probe.
        store: Keeps the idempotency records.
        routes: Further routes, matched before those of plain services.
    """

    source: base.FleetSource
    access: access_control.AccessController
    dispatcher: base.Dispatcher
    recorder: base.Recorder
    readiness: Readiness
    store: store_base.Store
    routes: tuple[routing.BaseRoute, ...] = ()


def create_app(dependencies: Dependencies) -> applications.Starlette:
    """Create the application."""
    meter = http_responses.Meter(dependencies.recorder)
    common = (
        dependencies.source,
        dependencies.access,
        dependencies.dispatcher,
        meter,
    )
    completions_handler = completions.CompletionHandler(*common)
    services_handler = services.ServiceHandler(
        *common, idempotency.IdempotencyStore(dependencies.store)
    )
    local = _LocalHandlers(dependencies)
    routes = [
        *(
            routing.Route(path, completions_handler.handle, methods=["POST"])
            for path in completions.PATHS
        ),
        routing.Route("/v1/models", local.list_models),
        routing.Route("/healthz", local.show_health),
        routing.Route("/readyz", local.show_readiness),
        *dependencies.routes,
        routing.Route(
            "/{path:path}", services_handler.handle, methods=ALL_METHODS
        ),
    ]
    return applications.Starlette(routes=routes)


class _LocalHandlers:
    """Handles requests that need no endpoint: models and probes."""

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies

    async def list_models(
        self, request: requests.Request
    ) -> responses.Response:
        principal = self._dependencies.access.authenticate(request)
        if isinstance(principal, outcomes.Refusal):
            return errors.create_response(principal)
        names = sorted(self._dependencies.source.fleet.models)
        cards = tuple(ModelCard(name) for name in names)
        return responses.Response(
            msgspec.json.encode(ModelList(cards)), media_type=errors.JSON_TYPE
        )

    async def show_health(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.PlainTextResponse("ok\n")

    async def show_readiness(
        self, request: requests.Request
    ) -> responses.Response:
        if self._dependencies.readiness.is_ready():
            return responses.PlainTextResponse("ready\n")
        return responses.PlainTextResponse("not ready\n", status_code=503)
