"""Decoding of the operators' configuration and requests, and of endpoints."""

import re
from typing import Annotated
from typing import Any
from typing import Final

import msgspec

from eelgrassgate import addresses
from eelgrassgate import deadlines
from eelgrassgate import decoding
from eelgrassgate import logs
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import discovery
from eelgrassgate.http1 import downstream
from eelgrassgate.store import base

# Keys that operators write.
OPERATORS_PREFIX: Final = "op/"
EVACUATION_PREFIX: Final = "op/evacuate/"
CONFIG_KEY: Final = "op/config"
ENDPOINT_PREFIX: Final = "servers/"
RETIREMENT_PREFIX: Final = "op/retire/"
RETIREMENT_STATUS_PREFIX: Final = "status/retire/"

MS_PER_S: Final = 1000.0

# Longest name of an instance whose retirement can be reported.
MAX_INSTANCE_BYTES: Final = base.MAX_KEY_BYTES - len(RETIREMENT_STATUS_PREFIX)
MAX_SLOTS: Final = 1_000_000
MAX_INT64: Final = 2**63 - 1
# The id of an endpoint is sent in a header.
_ENDPOINT_ID: Final = re.compile(rf"[^\x00-\x20\x7f]{{1,{base.MAX_KEY_BYTES}}}")
# No control characters, and no blank at either end (RFC 9110, 5.5).
_HEADER_VALUE: Final = (
    r"^(?:[^\x00-\x20\x7f](?:[^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?)?\Z"
)
_STATES: Final = frozenset({"ready", "draining"})
_Int64 = Annotated[int, msgspec.Meta(ge=-MAX_INT64, le=MAX_INT64)]

_KINDS: Final = {
    "safe": catalog.Kind.IDEMPOTENT,
    "unsafe": catalog.Kind.NON_IDEMPOTENT,
    "streaming": catalog.Kind.STREAM,
    "batch": catalog.Kind.BATCH,
}


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: decoding.Amount


class _Route(msgspec.Struct, frozen=True, rename="kebab"):
    """A route; `target_latency_ms` is an objective, not a timeout."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: decoding.Amount = 0.0
    target_latency_ms: decoding.Amount = 0.0
    max_attempts: _Int64 = 1
    priority: _Int64 = 0
    allow_anonymous: bool = False
    allow_resume: bool = False
    service: str | None = None
    traffic_split: list[_Split] = []
    completion_target_ms: decoding.Amount = 0.0
    retention_s: decoding.Amount = 0.0
    allowed_regions: Any = ()


class _Service(msgspec.Struct, frozen=True, rename="kebab"):
    name: str
    max_connections: _Int64 = 0
    engine: dict[str, Any] | None = None
    cold_start_s: decoding.Amount = 0.0
    cold_per_s: decoding.Amount = 0.0


class _Tenant(msgspec.Struct, frozen=True, rename="kebab"):
    # Sent in a header.
    name: Annotated[str, msgspec.Meta(pattern=_HEADER_VALUE)]
    api_keys: list[str] = []
    rate_per_s: decoding.Amount = 0.0
    burst: decoding.Amount = 0.0
    priority: _Int64 | None = None
    allowed_regions: Any = ()


class _Limits(msgspec.Struct, frozen=True, rename="kebab"):
    max_header_bytes: decoding.Count = 16_384
    max_body_bytes: decoding.Count = 4_194_304
    header_timeout_ms: decoding.Amount = 5_000.0
    idle_timeout_ms: decoding.Amount = 15_000.0


class _Config(msgspec.Struct, frozen=True):
    version: decoding.Count
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = _Limits()


class _Entry(msgspec.Struct, frozen=True, rename="kebab"):
    """The entry that an endpoint writes for itself.

    `state` is `ready` or `draining`; `born` is its start time.
    """

    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    born: _Int64
    sequence: _Int64
    cold_remaining_ms: float
    version: str


class _Retirement(msgspec.Struct, frozen=True, rename="kebab"):
    """A request to drain an instance within `duration_s`."""

    duration_s: float


class _Evacuation(msgspec.Struct, frozen=True):
    """An order to evacuate a zone, which the key names; has no fields yet."""


_EVACUATION_DECODER: Final = msgspec.json.Decoder(_Evacuation)
_CONFIG_DECODER: Final = msgspec.json.Decoder(_Config)
_ENTRY_DECODER: Final = msgspec.json.Decoder(_Entry)
_RETIREMENT_DECODER: Final = msgspec.json.Decoder(_Retirement)


def decode_config(value: bytes) -> catalog.Catalog | None:
    """Decode the configuration; log and return None if it is invalid."""
    try:
        config = decoding.decode(_CONFIG_DECODER, value)
    except msgspec.MsgspecError as error:
        logs.log_message("config:invalid", reason=str(error))
        return None
    workspace_by_key = {
        key: tenant.name for tenant in config.tenants for key in tenant.api_keys
    }
    limits = config.limits
    return catalog.Catalog(
        config.version,
        catalog.group_routes_by_host([_to_route(one) for one in config.routes]),
        {
            one.name: catalog.Service(
                one.name,
                one.max_connections,
                one.engine is not None,
                one.cold_start_s,
                one.cold_per_s,
            )
            for one in config.services
        },
        {
            one.name: catalog.Workspace(
                one.name,
                one.rate_per_s,
                one.burst,
                one.priority or 0,
                _read_regions(f"tenants/{one.name}", one.allowed_regions),
            )
            for one in config.tenants
        },
        workspace_by_key,
        downstream.Limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / MS_PER_S,
            limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def _to_route(route: _Route) -> catalog.Route:
    if route.traffic_split:
        targets = tuple(
            catalog.Target(one.service, one.weight)
            for one in route.traffic_split
        )
    else:
        targets = (catalog.Target(route.service or "", 1.0),)
    return catalog.Route(
        route.name,
        route.host,
        route.prefix,
        _KINDS.get(route.kind, catalog.Kind.NON_IDEMPOTENT),
        targets,
        route.timeout_ms / MS_PER_S,
        route.target_latency_ms / MS_PER_S,
        max(1, route.max_attempts),
        route.priority,
        route.allow_anonymous,
        route.allow_resume,
        route.completion_target_ms / MS_PER_S,
        route.retention_s,
        _read_regions(f"routes/{route.name}", route.allowed_regions),
    )


def _read_regions(location: str, value: Any) -> frozenset[str] | None:
    """Return the regions that requests may use; None for all.

    A malformed value allows no region, and the rest of the configuration
    applies: a mistake must not let requests leave their regions.
    """
    if isinstance(value, list | tuple) and all(
        isinstance(one, str) for one in value
    ):
        return frozenset(value) if value else None
    logs.log_message(
        "config:regions_invalid",
        location=location,
        reason="allowed-regions is no list of names; no region is allowed",
    )
    return frozenset()


def decode_endpoint(key: str, value: bytes) -> catalog.Endpoint | None:
    """Decode an endpoint's entry; return None if it is not usable."""
    endpoint_id = key.removeprefix(ENDPOINT_PREFIX)
    try:
        entry = decoding.decode(_ENTRY_DECODER, value)
    except msgspec.MsgspecError:
        return None
    if (
        entry.state not in _STATES
        or not _ENDPOINT_ID.fullmatch(endpoint_id)
        or not addresses.is_valid(entry.address)
    ):
        return None
    return catalog.Endpoint(
        endpoint_id,
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        entry.state == "draining",
        entry.born,
        max(0.0, entry.cold_remaining_ms) / MS_PER_S,
    )


def read_evacuated_zone(key: str) -> str | None:
    """Return the zone whose evacuation a key orders; None for other keys."""
    if not key.startswith(EVACUATION_PREFIX):
        return None
    zone = key.removeprefix(EVACUATION_PREFIX)
    return zone if zone and "/" not in zone else None


def check_evacuation(key: str, value: bytes) -> str:
    """Return what is wrong with an order to evacuate a zone; empty if nothing.

    The order holds whatever its value is, if its key names a zone.
    """
    if key.startswith(EVACUATION_PREFIX) and read_evacuated_zone(key) is None:
        return "the key names no zone"
    if read_evacuated_zone(key) is None:
        return ""
    try:
        decoding.decode(_EVACUATION_DECODER, value)
    except msgspec.MsgspecError as error:
        return str(error)
    return ""


def decode_retirement(key: str, value: bytes) -> discovery.Retirement | None:
    """Decode a request to drain an instance.

    Returns None for other keys, and logs and returns None if it is invalid.
    """
    if not key.startswith(RETIREMENT_PREFIX):
        return None
    name = key.removeprefix(RETIREMENT_PREFIX)
    if not 0 < len(name.encode()) <= MAX_INSTANCE_BYTES:
        logs.log_message("retirement:invalid", key=key, reason="invalid name")
        return None
    try:
        retirement = decoding.decode(_RETIREMENT_DECODER, value)
    except msgspec.MsgspecError as error:
        logs.log_message("retirement:invalid", key=key, reason=str(error))
        return None
    return discovery.Retirement(name, deadlines.after(retirement.duration_s))


def encode_retirement_status(
    instance: str, is_complete: bool
) -> tuple[str, bytes]:
    """Return the key and value that report the progress of a drain."""
    state = "completed" if is_complete else "running"
    value = msgspec.json.encode({"state": state})
    return f"{RETIREMENT_STATUS_PREFIX}{instance}", value


class PlatformDocuments:
    """An implementation of `discovery.Documents`."""

    retirements_prefix = RETIREMENT_PREFIX
    config_key = CONFIG_KEY
    operators_prefix = OPERATORS_PREFIX
    endpoints_prefix = ENDPOINT_PREFIX
    decode_config = staticmethod(decode_config)
    decode_endpoint = staticmethod(decode_endpoint)
    decode_retirement = staticmethod(decode_retirement)
    read_evacuated_zone = staticmethod(read_evacuated_zone)
    check_evacuation = staticmethod(check_evacuation)
    encode_retirement_status = staticmethod(encode_retirement_status)
