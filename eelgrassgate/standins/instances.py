"""A simulated EndpointSlice API of the platform.

The endpoints of a slice share its port, so there is a slice for each region
and port.

To run it as a process: `python -m eelgrassgate.standins.instances --port 8001`.
`PUT /instances` sets the list of instances, as JSON.
"""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
from typing import Any
from typing import Final

import anyio
import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from eelgrassgate.instances import base
from eelgrassgate.instances import memory
from eelgrassgate.instances import slices
from eelgrassgate.standins import daemon

JSON_TYPE: Final = "application/json"
DEFAULT_PORT: Final = 8001
MAX_KEPT_VERSIONS: Final = 100
DEFAULT_WATCH_TIMEOUT_S: Final = 60.0
GONE_STATUS: Final = 410
UNAVAILABLE_STATUS: Final = 503

_SlicesByName = dict[str, slices.Slice]


class _Server:
    """Serves an in-memory instance list as slices."""

    def __init__(self, instance_list: memory.MemoryList) -> None:
        self._instance_list = instance_list
        self._version = 1
        self._snapshots_by_version: dict[tuple[str, int], _SlicesByName] = {}
        self._current_by_service: dict[str, _SlicesByName] = {}

    async def get(self, request: requests.Request) -> responses.Response:
        selector = request.query_params.get("labelSelector", "")
        service = selector.removeprefix(f"{slices.SERVICE_LABEL}=")
        found = (await self._instance_list.read(service)).value_or(None)
        if found is None:
            return responses.Response(status_code=UNAVAILABLE_STATUS)
        self._update(service, found)
        if request.query_params.get("watch"):
            return responses.StreamingResponse(
                self._stream(
                    service,
                    int(request.query_params["resourceVersion"]),
                    float(
                        request.query_params.get(
                            "timeoutSeconds", DEFAULT_WATCH_TIMEOUT_S
                        )
                    ),
                ),
                media_type=JSON_TYPE,
            )
        current = self._current_by_service[service]
        listed = slices.SliceList(
            metadata=slices.Metadata(resource_version=str(self._version)),
            items=tuple(current.values()),
        )
        return responses.Response(
            msgspec.json.encode(listed), media_type=JSON_TYPE
        )

    async def put(self, request: requests.Request) -> responses.Response:
        body = await request.body()
        try:
            self._instance_list.set(
                msgspec.json.decode(body, type=tuple[base.Instance, ...])
            )
        except msgspec.DecodeError as error:
            return responses.PlainTextResponse(str(error), 400)
        return responses.Response(status_code=204)

    async def _stream(
        self, service: str, version: int, timeout_s: float
    ) -> AsyncIterator[bytes]:
        previous = self._snapshots_by_version.get((service, version))
        if previous is None:
            status = slices.Status(code=GONE_STATUS, message="too old")
            yield _encode(slices.ERROR, status)
            return
        deadline = anyio.current_time() + timeout_s
        watch: Any = self._instance_list.watch(service)
        async with contextlib.aclosing(watch):
            while True:
                found = None
                with anyio.move_on_at(deadline):
                    found = (await anext(watch)).value_or(None)
                if found is None:
                    return
                self._update(service, found)
                current = self._current_by_service[service]
                for line in _diff(previous, current):
                    yield line
                previous = current

    def _update(self, service: str, found: tuple[base.Instance, ...]) -> None:
        """Update the slices; a change creates a new resource version."""
        previous = self._current_by_service.get(service)
        groups_by_name: dict[str, list[base.Instance]] = {}
        for instance in found:
            port = instance.address.rpartition(":")[2]
            name = f"{service}-{instance.region}-{port}"
            groups_by_name.setdefault(name, []).append(instance)
        new = {
            name: _create_slice(name, group)
            for name, group in groups_by_name.items()
        }
        if previous is None or not _is_equal(previous, new):
            self._version += 1
            self._current_by_service[service] = {
                name: _set_version(item, self._version)
                for name, item in new.items()
            }
        self._snapshots_by_version[service, self._version] = (
            self._current_by_service[service]
        )
        while len(self._snapshots_by_version) > MAX_KEPT_VERSIONS:
            del self._snapshots_by_version[
                next(iter(self._snapshots_by_version))
            ]


def _create_slice(name: str, group: list[base.Instance]) -> slices.Slice:
    first = group[0]
    return slices.Slice(
        metadata=slices.Metadata(
            name=name,
            labels={
                slices.SERVICE_LABEL: first.service,
                slices.REGION_LABEL: first.region,
            },
        ),
        endpoints=tuple(map(_create_endpoint, group)),
        ports=(
            slices.Port(
                name=slices.LINK_PORT,
                port=int(first.address.rpartition(":")[2]),
            ),
        ),
    )


def _create_endpoint(instance: base.Instance) -> slices.Endpoint:
    is_live = instance.state is base.State.LIVE
    return slices.Endpoint(
        addresses=(instance.address.rpartition(":")[0].strip("[]"),),
        conditions=slices.Conditions(
            ready=is_live, serving=True, terminating=not is_live
        ),
        target_ref=slices.TargetRef(name=instance.name),
        zone=instance.zone,
    )


def _set_version(item: slices.Slice, version: int) -> slices.Slice:
    metadata = msgspec.structs.replace(
        item.metadata, resource_version=str(version)
    )
    return msgspec.structs.replace(item, metadata=metadata)


def _is_equal(previous: _SlicesByName, new: _SlicesByName) -> bool:
    unversioned = {
        name: _set_version(item, 0) for name, item in previous.items()
    }
    return unversioned == {
        name: _set_version(item, 0) for name, item in new.items()
    }


def _diff(previous: _SlicesByName, current: _SlicesByName) -> Iterator[bytes]:
    """Yield the watch events between two snapshots."""
    for name, item in current.items():
        if name not in previous:
            yield _encode(slices.ADDED, item)
        elif item != previous[name]:
            yield _encode(slices.MODIFIED, item)
    for name, item in previous.items():
        if name not in current:
            yield _encode(slices.DELETED, item)


def _encode(kind: str, item: slices.Slice | slices.Status) -> bytes:
    raw = msgspec.Raw(msgspec.json.encode(item))
    return msgspec.json.encode(slices.Event(type=kind, object=raw)) + b"\n"


def create_app(instance_list: memory.MemoryList) -> applications.Starlette:
    """Create the ASGI application that serves a list."""
    server = _Server(instance_list)
    path = slices.get_path("{namespace}")
    return applications.Starlette(
        routes=[
            routing.Route(path, server.get, methods=["GET"]),
            routing.Route("/instances", server.put, methods=["PUT"]),
        ]
    )


if __name__ == "__main__":
    daemon.run(create_app(memory.create_memory_list()), DEFAULT_PORT)
