"""Kubernetes EndpointSlice JSON, limited to the fields in use."""

from typing import Final

import msgspec

SERVICE_LABEL: Final = "kubernetes.io/service-name"
REGION_LABEL: Final = "topology.kubernetes.io/region"
LINK_PORT: Final = "link"

ADDED: Final = "ADDED"
MODIFIED: Final = "MODIFIED"
DELETED: Final = "DELETED"
BOOKMARK: Final = "BOOKMARK"
ERROR: Final = "ERROR"


class _Part(msgspec.Struct, frozen=True, rename="camel", kw_only=True):
    """Base of all parts; unknown fields are ignored."""


class Metadata(_Part, frozen=True):
    """The metadata of an object or list."""

    name: str = ""
    resource_version: str = ""
    labels: dict[str, str] = {}


class Conditions(_Part, frozen=True):
    """The conditions of an endpoint; None means unknown."""

    ready: bool | None = None
    serving: bool | None = None
    terminating: bool | None = None


class TargetRef(_Part, frozen=True):
    """The object that an endpoint refers to, such as a pod."""

    name: str = ""


class Endpoint(_Part, frozen=True):
    """One endpoint of a slice."""

    addresses: tuple[str, ...] = ()
    conditions: Conditions = Conditions()
    target_ref: TargetRef | None = None
    zone: str | None = None


class Port(_Part, frozen=True):
    """A port of every endpoint of a slice."""

    name: str | None = None
    port: int | None = None


class Slice(_Part, frozen=True):
    """A subset of the endpoints of a service."""

    metadata: Metadata
    endpoints: tuple[Endpoint, ...] | None = ()
    ports: tuple[Port, ...] | None = ()


class SliceList(_Part, frozen=True):
    """The selected slices at one resource version."""

    metadata: Metadata
    items: tuple[Slice, ...] | None = ()


class Event(_Part, frozen=True):
    """One watch event; `object` is a slice unless `type` is `ERROR`."""

    type: str
    object: msgspec.Raw


class Status(_Part, frozen=True):
    """The object of an error event."""

    code: int = 0
    message: str = ""


def get_path(namespace: str) -> str:
    """Return the API path of a namespace's slices."""
    return f"/apis/discovery.k8s.io/v1/namespaces/{namespace}/endpointslices"
