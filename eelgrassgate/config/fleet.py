"""The schema of the fleet's configuration.

The base file and a site's overlay are merged into one `Fleet`. The members of
collections are identified by their key.
"""

from typing import Annotated
from typing import Literal

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class _Part(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all parts; unknown fields are errors."""


class Rate(_Part, frozen=True):
    """A fleet-wide rate limit in requests per second, with a burst size."""

    per_second: Positive
    burst: Positive


class Workspace(_Part, frozen=True):
    """A customer.

    Attributes:
        rate: Rate limit of its online requests.
        weight: Weight of its share in the fair queuing at endpoints.
        batch_rate: Rate limit of its batch items; by default they have no rate
            limit and only get the workspace's share.
    """

    rate: Rate
    weight: Positive = 1.0
    batch_rate: Rate | None = None


class Model(_Part, frozen=True):
    """A model that callers can request.

    Attributes:
        max_tokens: Maximum number of tokens of one response.
        adapters: Adapters that can be requested as `model:adapter`.
    """

    max_tokens: Count = 4096
    adapters: tuple[str, ...] = ()


class Endpoint(_Part, frozen=True):
    """A backend with an agent as its sidecar.

    Attributes:
        kind: A model engine or a plain service.
        models: The models that an engine serves.
        service: The service that a plain service's endpoint belongs to.
        checks_fence: Whether it rejects stale fencing tokens.
        can_resume: Whether it can resume cancelled streams.
        window: Maximum concurrency; the agent adapts the limit below it.
    """

    kind: Literal["engine", "service"]
    models: tuple[str, ...] = ()
    service: str = ""
    checks_fence: bool = False
    can_resume: bool = False
    window: Count = 64


class Route(_Part, frozen=True):
    """A path prefix that is routed to a plain service.

    Attributes:
        service: The service.
        is_repeatable: Whether its calls may run more than once (retries).
        is_open: Whether callers need no API key.
    """

    service: str
    is_repeatable: bool = False
    is_open: bool = False


class Key(_Part, frozen=True):
    """A caller's API key, stored as a digest only.

    Attributes:
        digest: SHA-256 of the key, hexadecimal.
        workspace: The workspace that the key belongs to.
        granted_at: Wall-clock time of the grant, for information only.
    """

    digest: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
    workspace: str
    granted_at: str = ""


class Limits(_Part, frozen=True):
    """Limits on requests, jobs and serving.

    Attributes:
        body_bytes: Maximum body size of an online request.
        file_bytes: Maximum size of an uploaded file.
        job_items: Maximum number of items in one job.
        item_tries: Maximum number of attempts of one item.
        online_timeout_s: Timeout of a request that does not set one.
        drain_s: Maximum time that a shutdown waits for requests in flight.
        unconfirmed_serving_s: How long an instance continues to serve while it
            reaches neither the store nor some of its peers. During that time
            it may still accept a key that was withdrawn elsewhere.
        outage_serving_s: How long instances continue to serve while none of
            them reaches the store.
        result_retention_s: How long the results of a job can be read.
    """

    body_bytes: Count = 4_000_000
    file_bytes: Count = 200_000_000
    job_items: Count = 100_000
    item_tries: Count = 4
    online_timeout_s: Positive = 600.0
    drain_s: Positive = 60.0
    unconfirmed_serving_s: Positive = 20.0
    outage_serving_s: Positive = 86_400.0
    result_retention_s: Positive = 604_800.0


class Link(_Part, frozen=True):
    """The link between regions.

    Attributes:
        bits_per_second: Its bandwidth in each direction.
        control_part: Fraction of it that is reserved for control messages.
        batch_part: Maximum fraction of it for batch traffic.
    """

    bits_per_second: Positive = 15_000_000.0
    control_part: Positive = 0.1
    batch_part: Positive = 0.5


class Fleet(_Part, frozen=True):
    """The whole configuration of a site."""

    workspaces: dict[str, Workspace] = {}
    keys: dict[str, Key] = {}
    models: dict[str, Model] = {}
    services: dict[str, dict[str, str]] = {}
    endpoints: dict[str, Endpoint] = {}
    routes: dict[str, Route] = {}
    limits: Limits = Limits()
    link: Link = Link()
