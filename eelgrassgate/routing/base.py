"""The requests that a router receives, its choices and their outcomes."""

from typing import Protocol

import msgspec

from eelgrassgate import deadlines
from eelgrassgate import outcomes


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """The properties of a request that the choice of an agent depends on.

    Attributes:
        klass: Online or batch.
        model: The model, as `model` or `model:adapter`; empty for a service.
        service: The service; empty for a model.
        digests: Digests of the prompt's prefixes by increasing length, as
            returned by `engine.prefix.compute_digests`.
        request_bytes: Size of the request in bytes.
        response_bytes: Expected size of the response in bytes.
        is_repeatable: Whether the call may run more than once.
        deadline: Instant on the router's clock.
    """

    klass: outcomes.RequestClass
    model: str = ""
    service: str = ""
    digests: tuple[str, ...] = ()
    request_bytes: int = 0
    response_bytes: int = 0
    is_repeatable: bool = True
    deadline: float = deadlines.NEVER


class Choice(msgspec.Struct, frozen=True):
    """The agent for one attempt; to be passed to `Router.finish` once.

    Attributes:
        number: A unique number.
        agent: The agent's instance name.
        is_cross_region: Whether the agent is in another region.
        is_probe: Whether the attempt probes an ejected endpoint.
    """

    number: int
    agent: str
    is_cross_region: bool = False
    is_probe: bool = False


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of an attempt.

    Attributes:
        is_complete: Whether the complete response was received.
        is_endpoint_fault: Whether the endpoint is at fault. A refusal because
            of load, a client error or a cancellation does not count.
        first_part_s: Seconds until the first part of the response; None if
            there was none.
        request_bytes: Bytes sent; None for as many as expected.
        response_bytes: Bytes received; None for as many as expected.
    """

    is_complete: bool
    is_endpoint_fault: bool = False
    first_part_s: float | None = None
    request_bytes: int | None = None
    response_bytes: int | None = None


class Counter(Protocol):
    """Counts events under the names in `metrics.names`."""

    def count(self, name: str, workspace: str = "", amount: int = 1) -> None:
        """Add `amount` to a counter."""
        ...


class NullCounter:
    """A counter that discards everything."""

    def count(self, name: str, workspace: str = "", amount: int = 1) -> None:
        """Do nothing."""
