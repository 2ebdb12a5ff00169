"""The operators' HTTP API of an entry, on a separate address."""

from collections.abc import Callable
from typing import Final

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from eelgrassgate import messages
from eelgrassgate.instances import base as instances
from eelgrassgate.metrics import recorder

STATUS_PATH: Final = "/operators/status"
JSON_TYPE: Final = "application/json"


class Endpoint(msgspec.Struct, frozen=True):
    """The state of an endpoint and its agent as an entry sees it.

    Attributes:
        endpoint: The endpoint's id; empty until its agent has connected.
        agent: The agent's instance name.
        zone: The agent's zone.
        is_connected: Whether all connections to the agent are open.
        load: The agent's latest load report.
    """

    endpoint: str
    agent: str
    zone: str
    is_connected: bool
    load: messages.LoadReport | None = None


class Status(msgspec.Struct, frozen=True):
    """The state of an entry.

    Attributes:
        instance: The entry's instance name.
        zone: The entry's zone.
        revision: The configuration revision in force.
        confirmed_ago_ms: Time since the store confirmed it; None for never.
        is_ready: Whether the entry accepts new requests.
        endpoints: The endpoints of all agents on the instance list.
        figures: Histograms and counters, if they are recorded.
    """

    instance: str
    zone: str
    revision: int
    confirmed_ago_ms: int | None
    is_ready: bool
    endpoints: tuple[Endpoint, ...]
    figures: recorder.Snapshot | None = None


def describe_endpoint(
    agent: instances.Instance,
    info: messages.EndpointInfo | None,
    load: messages.LoadReport | None,
    is_connected: bool,
) -> Endpoint:
    """Return the state of an agent's endpoint."""
    endpoint = info.endpoint if info else ""
    return Endpoint(endpoint, agent.name, agent.zone, is_connected, load)


def create_app(read_status: Callable[[], Status]) -> applications.Starlette:
    """Create the ASGI application of the operators' API."""

    async def show(request: requests.Request) -> responses.Response:
        del request
        body = msgspec.json.encode(read_status())
        return responses.Response(body, media_type=JSON_TYPE)

    return applications.Starlette(routes=[routing.Route(STATUS_PATH, show)])
