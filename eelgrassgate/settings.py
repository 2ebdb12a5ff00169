"""Settings of one process, read from a JSON file with comments.

What the fleet shares is in the store; a file holds only what differs from
process to process: addresses, zone, region, and where the platform is.
"""

from typing import Annotated
from typing import Literal
from typing import TypeVar

import msgspec
from returns import result

from eelgrassgate import documents
from eelgrassgate import findings

Address = Annotated[str, msgspec.Meta(pattern=r"^[^\s:]+:[0-9]{1,5}$")]


class _Part(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all settings; unknown names are errors."""


class Curve(_Part, frozen=True):
    """CURVE keys of a process, Z85 text.

    Attributes:
        public: This process's public key.
        secret: This process's secret key.
        peers: Public keys that may connect, and that are connected to, by
            instance name.
    """

    public: str
    secret: str
    peers: dict[str, str]


class Place(_Part, frozen=True):
    """Where a process runs."""

    instance: str
    zone: str
    region: str


class Platform(_Part, frozen=True):
    """Where the platform's services are, as base URLs."""

    store_url: str
    instances_url: str


class Statsd(_Part, frozen=True):
    """Where counters go, by UDP."""

    host: str
    port: int = 8125


class Entry(_Part, frozen=True):
    """Settings of an entry.

    Attributes:
        place: Where it runs.
        platform: Where the platform's services are.
        listen: Address for callers, `host:port`.
        link_listen: Address for links from other entries.
        operators_listen: Address for operators' tools; none if not given.
        curve: Keys for links; needed outside loopback.
        statsd: Where counters go.
        notice_s: How long a leaving entry still accepts callers after it
            has failed its readiness, so that the balancer can look.
    """

    place: Place
    platform: Platform
    listen: Address
    link_listen: Address
    operators_listen: Address | None = None
    curve: Curve | None = None
    statsd: Statsd | None = None
    notice_s: float = 2.0


class Agent(_Part, frozen=True):
    """Settings of an agent.

    Attributes:
        place: Where it runs.
        endpoint: The endpoint's id in the configuration.
        kind: A model engine or a plain service.
        url: The endpoint's base URL.
        link_listen: Address for links from entries.
        models: The models that an engine serves.
        service: The plain service's name.
        checks_fence: Whether the endpoint refuses old fencing numbers.
        can_resume: Whether the engine resumes cancelled streams.
        window: Most calls that it ever lets into the endpoint at once.
        drain_s: Longest that a shutdown waits for calls in hand.
        curve: Keys for links; needed outside loopback.
        statsd: Where counters go.
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
    for place, message in documents.SchemaValidator(kind).check(document):
        report.add(path, documents.render_path(place), message)
    if report.has_findings():
        return result.Failure(report)
    return result.Success(msgspec.convert(document, kind))
