"""Settings of one process, read from a JSON5 file.

The file holds only what differs between processes: addresses, zone, region
and the URLs of the platform. The fleet's configuration is in the store.
"""

from typing import Annotated
from typing import Literal
from typing import TypeVar

import msgspec
from returns import result

from eelgrassgate import documents
from eelgrassgate import findings

Address = Annotated[str, msgspec.Meta(pattern=r"^[^\s:]+:[0-9]{1,5}$")]


class _Section(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all settings; rejects unknown names."""


class Curve(_Section, frozen=True):
    """CURVE keys of a process, encoded as Z85.

    Attributes:
        public: This process's public key.
        secret: This process's secret key.
        peers: Public keys of the peers allowed on links, by instance name.
    """

    public: str
    secret: str
    peers: dict[str, str]


class Place(_Section, frozen=True):
    """The location of a process."""

    instance: str
    zone: str
    region: str


class Platform(_Section, frozen=True):
    """Base URLs of the platform's services."""

    store_url: str
    instances_url: str


class Statsd(_Section, frozen=True):
    """UDP address of the StatsD server."""

    host: str
    port: int = 8125


class Entry(_Section, frozen=True):
    """Settings of an entry.

    Attributes:
        place: Location of the process.
        platform: URLs of the platform's services.
        listen: Address of the public API, `host:port`.
        link_listen: Address for links from other entries.
        operators_listen: Address of the operators' API; disabled if None.
        curve: Keys for links; required outside loopback.
        statsd: The StatsD server.
        notice_s: How long an entry still accepts requests at shutdown while
            its readiness probe fails, so that the load balancer removes it.
    """

    place: Place
    platform: Platform
    listen: Address
    link_listen: Address
    operators_listen: Address | None = None
    curve: Curve | None = None
    statsd: Statsd | None = None
    notice_s: float = 2.0


class Agent(_Section, frozen=True):
    """Settings of an agent.

    Attributes:
        place: Location of the process.
        endpoint: The endpoint's id in the configuration.
        kind: `engine` for a model engine, `service` for a plain service.
        url: The endpoint's base URL.
        link_listen: Address for links from entries.
        models: The models that an engine serves.
        service: The plain service's name.
        checks_fence: Whether the endpoint rejects old fencing tokens.
        can_resume: Whether the engine resumes cancelled streams.
        window: Maximum number of concurrent calls to the endpoint.
        drain_s: Maximum time that a shutdown waits for calls in flight.
        curve: Keys for links; required outside loopback.
        statsd: The StatsD server.
    """

    place: Place
    endpoint: str
    kind: Literal["engine", "service"]
    url: str
    link_listen: Address
    models: tuple[str, ...] = ()
    service: str = ""
    checks_fence: bool = False
    can_resume: bool = False
    window: int = 64
    drain_s: float = 60.0
    curve: Curve | None = None
    statsd: Statsd | None = None


Settings = Entry | Agent

_T = TypeVar("_T", Entry, Agent)


def load_entry(path: str) -> result.Result[Entry, findings.Report]:
    """Read an entry's settings from the file at `path`."""
    return _load(path, Entry)


def load_agent(path: str) -> result.Result[Agent, findings.Report]:
    """Read an agent's settings from the file at `path`."""
    return _load(path, Agent)


def _load(path: str, kind: type[_T]) -> result.Result[_T, findings.Report]:
    report = findings.Report()
    document = documents.read(path, report)
    if report.has_findings():
        return result.Failure(report)
    for location, message in documents.SchemaValidator(kind).check(document):
        report.add(path, documents.render_path(location), message)
    if report.has_findings():
        return result.Failure(report)
    return result.Success(msgspec.convert(document, kind))
