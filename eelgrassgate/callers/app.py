"""The application that callers reach."""

from typing import Protocol

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from eelgrassgate import outcomes
from eelgrassgate.callers import access_control
from eelgrassgate.callers import answers
from eelgrassgate.callers import base
from eelgrassgate.callers import completions
from eelgrassgate.callers import errors
from eelgrassgate.callers import idempotency
from eelgrassgate.callers import services
from eelgrassgate.store import base as store_base

ALL_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


class Readiness(Protocol):
    """Tells whether this instance should get new callers."""

    def is_ready(self) -> bool:
        """Tell whether new callers are served."""
        ...


class ModelCard(msgspec.Struct, frozen=True):
    """A model in the list of models."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "eelgrassgate"


class ModelList(msgspec.Struct, frozen=True):
    """The list of models."""

    data: tuple[ModelCard, ...]
    object: str = "list"


class Dependencies(msgspec.Struct, frozen=True):
    """What the application is put together from."""

    source: base.FleetSource
    access: access_control.AccessController
    dispatcher: base.Dispatcher
    recorder: base.Recorder
    readiness: Readiness
    store: store_base.Store
    routes: tuple[routing.BaseRoute, ...] = ()


def create_app(parts: Dependencies) -> applications.Starlette:
    """Create the application."""
    meter = answers.Meter(parts.recorder)
    common = (parts.source, parts.access, parts.dispatcher, meter)
    completing = completions.Completions(*common)
    serving = services.Services(*common, idempotency.Calls(parts.store))
    probes = _Probes(parts)
    routes = [
        *(
            routing.Route(path, completing.handle, methods=["POST"])
            for path in completions.PATHS
        ),
        routing.Route("/v1/models", probes.list_models),
        routing.Route("/healthz", probes.show_health),
        routing.Route("/readyz", probes.show_readiness),
        *parts.routes,
        routing.Route("/{path:path}", serving.handle, methods=ALL_METHODS),
    ]
    return applications.Starlette(routes=routes)


class _Probes:
    """Handles what needs no endpoint."""

    def __init__(self, parts: Dependencies) -> None:
        self._parts = parts

    async def list_models(
        self, request: requests.Request
    ) -> responses.Response:
        held = self._parts.access.authenticate(request)
        if isinstance(held, outcomes.Refusal):
            return errors.create_response(held)
        names = sorted(self._parts.source.fleet.models)
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
        if self._parts.readiness.is_ready():
            return responses.PlainTextResponse("ready\n")
        return responses.PlainTextResponse("not ready\n", status_code=503)
