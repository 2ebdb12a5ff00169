"""The instance list as Kubernetes EndpointSlices.

The server is asked to end each watch after `WATCH_DURATION_S`. A watch that
receives nothing for longer, plus a grace period, fails.
"""

from collections.abc import AsyncIterator
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Final

import anyio
import httpx
import msgspec
from returns import result

from eelgrassgate import decoding
from eelgrassgate import http_clients
from eelgrassgate import response_limits
from eelgrassgate.instances import base
from eelgrassgate.instances import slices

# Bound on one event of a watch, which holds one slice.
MAX_EVENT_BYTES: Final = 16_777_216
# Bound on the list of all slices of a service.
MAX_LIST_BYTES: Final = 67_108_864
CALL_TIMEOUT_S: Final = 3.0
CONNECT_TIMEOUT_S: Final = 1.0
WATCH_DURATION_S: Final = 10
WATCH_GRACE_S: Final = 2.0
DEFAULT_NAMESPACE: Final = "default"
_LIST_DECODER: Final = msgspec.json.Decoder(slices.SliceList)
_EVENT_DECODER: Final = msgspec.json.Decoder(slices.Event)
_SLICE_DECODER: Final = msgspec.json.Decoder(slices.Slice)
_STATUS_DECODER: Final = msgspec.json.Decoder(slices.Status)


class _WatchError(Exception):
    """A watch received an error, such as an expired resource version."""


class EndpointSliceList:
    """An implementation of `base.InstanceList`."""

    def __init__(
        self, url: str, namespace: str, watch_duration_s: float
    ) -> None:
        """Create the HTTP client; see `create_endpointslice_list`."""
        self._path = slices.get_path(namespace)
        self._watch_duration_s = watch_duration_s
        is_encrypted = httpx.URL(url).scheme == "https"
        self._client = http_clients.create_client(
            url,
            timeout=httpx.Timeout(CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            limits=httpx.Limits(max_keepalive_connections=0),
            tls=httpx.create_ssl_context() if is_encrypted else None,
        )

    async def read(
        self, service: str
    ) -> result.Result[tuple[base.Instance, ...], base.ListError]:
        """Read all instances of `service`."""
        listed = await self._list(service)
        return listed.map(
            lambda found: collect_instances(service, found.items or ())
        )

    async def watch(
        self, service: str
    ) -> AsyncIterator[
        result.Result[tuple[base.Instance, ...], base.ListError]
    ]:
        """Yield the whole list of `service`, initially and at each change."""
        listed = await self._list(service)
        found = listed.value_or(None)
        if found is None:
            yield result.Failure(listed.failure())
            return
        slices_by_name = {
            item.metadata.name: item for item in found.items or ()
        }
        known = collect_instances(service, slices_by_name.values())
        yield result.Success(known)
        version = found.metadata.resource_version
        try:
            while True:
                async for event in self._stream_events(service, version):
                    version = _apply_event(event, slices_by_name) or version
                    current = collect_instances(
                        service, slices_by_name.values()
                    )
                    if current != known:
                        known = current
                        yield result.Success(known)
        except TimeoutError:
            yield result.Failure(base.ListError("the watch timed out"))
        except (
            httpx.HTTPError,
            msgspec.DecodeError,
            _WatchError,
        ) as error:
            yield result.Failure(base.ListError(_describe(error)))

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def _list(
        self, service: str
    ) -> result.Result[slices.SliceList, base.ListError]:
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                async with self._client.stream(
                    "GET", self._path, params=_build_params(service)
                ) as response:
                    response.raise_for_status()
                    body = await response_limits.read_body(
                        response, MAX_LIST_BYTES
                    )
            return result.Success(decoding.decode(_LIST_DECODER, body))
        except (TimeoutError, httpx.HTTPError, msgspec.DecodeError) as error:
            return result.Failure(base.ListError(_describe(error)))

    async def _stream_events(
        self, service: str, version: str
    ) -> AsyncIterator[slices.Event]:
        """Yield events after `version` until the server ends the watch."""
        params = _build_params(service) | {
            "watch": "1",
            "resourceVersion": version,
            "allowWatchBookmarks": "true",
            "timeoutSeconds": str(max(1, round(self._watch_duration_s))),
        }
        timeout_s = self._watch_duration_s + WATCH_GRACE_S
        async with self._client.stream(
            "GET",
            self._path,
            params=params,
            timeout=httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S),
        ) as response:
            response.raise_for_status()
            response_limits.limit_parts(response, max_bytes=MAX_EVENT_BYTES)
            lines = response.aiter_lines()
            while True:
                try:
                    with anyio.fail_after(timeout_s):
                        line = await anext(lines)
                except StopAsyncIteration:
                    return
                yield decoding.decode(_EVENT_DECODER, line.encode())


def _build_params(service: str) -> dict[str, str]:
    return {"labelSelector": f"{slices.SERVICE_LABEL}={service}"}


def _apply_event(
    event: slices.Event, slices_by_name: dict[str, slices.Slice]
) -> str:
    """Apply an event to `slices_by_name`; return its resource version.

    Raises:
        _WatchError: The event is an error.
    """
    if event.type == slices.ERROR:
        status = decoding.decode(_STATUS_DECODER, event.object)
        raise _WatchError(status.message or f"code {status.code}")
    item = decoding.decode(_SLICE_DECODER, event.object)
    if event.type == slices.DELETED:
        slices_by_name.pop(item.metadata.name, None)
    elif event.type != slices.BOOKMARK:
        slices_by_name[item.metadata.name] = item
    return item.metadata.resource_version


def collect_instances(
    service: str, items: Iterable[slices.Slice]
) -> tuple[base.Instance, ...]:
    """Return the instances in all slices, sorted by name.

    An endpoint may temporarily be in two slices; it counts as leaving if it is
    leaving in either.
    """
    instances_by_name: dict[str, base.Instance] = {}
    for item in items:
        for instance in _iterate_instances(service, item):
            known = instances_by_name.get(instance.name)
            if known is None or known.state is base.State.LIVE:
                instances_by_name[instance.name] = instance
    return tuple(instances_by_name[name] for name in sorted(instances_by_name))


def _iterate_instances(
    service: str, item: slices.Slice
) -> Iterator[base.Instance]:
    port = _find_port(item.ports or ())
    region = item.metadata.labels.get(slices.REGION_LABEL, "")
    for endpoint in item.endpoints or ():
        state = _get_state(endpoint.conditions)
        if state is None or port is None or not endpoint.addresses:
            continue
        host = endpoint.addresses[0]
        if ":" in host:
            host = f"[{host}]"
        address = f"{host}:{port}"
        target = endpoint.target_ref
        yield base.Instance(
            target.name if target and target.name else address,
            service,
            address,
            endpoint.zone or "",
            region,
            state,
        )


def _find_port(ports: tuple[slices.Port, ...]) -> int | None:
    """Return the port named `link`, or else the first port."""
    named = [port for port in ports if port.name == slices.LINK_PORT]
    return next((port.port for port in named or ports), None)


def _get_state(conditions: slices.Conditions) -> base.State | None:
    """Return the state; None for an instance that is not yet ready."""
    if conditions.terminating:
        return base.State.LEAVING
    if conditions.ready is not False:
        return base.State.LIVE
    return base.State.LEAVING if conditions.serving else None


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__


def create_endpointslice_list(
    url: str,
    namespace: str = DEFAULT_NAMESPACE,
    watch_duration_s: float = WATCH_DURATION_S,
) -> EndpointSliceList:
    """Create a list that reads the API server at `url`.

    Args:
        url: The API server's base URL.
        namespace: The namespace of the services.
        watch_duration_s: Maximum duration of one watch in seconds.
    """
    return EndpointSliceList(url, namespace, watch_duration_s)
