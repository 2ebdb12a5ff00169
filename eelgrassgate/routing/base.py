"""What a router is asked and answers."""

from typing import Protocol

import msgspec

from eelgrassgate import deadlines
from eelgrassgate import outcomes


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """What the choice of an agent depends on.

    Attributes:
        klass: Online or batch.
        model: The model, as `model` or `model:adapter`; empty for a service.
        service: The plain service; empty for a model.
        digests: Digests of the prompt's head by growing length, as of
            `engine.prefix.compute_digests`.
        bytes_there: Size of the request in bytes.
        bytes_back: Expected size of the answer in bytes.
        is_repeatable: Whether the call may run more than once.
        deadline: Instant on the router's clock.
    """

    klass: outcomes.RequestClass
    model: str = ""
    service: str = ""
    digests: tuple[str, ...] = ()
    bytes_there: int = 0
    bytes_back: int = 0
    is_repeatable: bool = True
    deadline: float = deadlines.NEVER


class Choice(msgspec.Struct, frozen=True):
    """The agent for one attempt; to be given to `Router.finish` once.

    Attributes:
        number: New for each choice.
        agent: The agent's instance name.
        is_crossing: Whether it lies in another region.
        is_trial: Whether the agent is tried after it was taken out.
    """

    number: int
    agent: str
    is_crossing: bool = False
    is_trial: bool = False


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """How an attempt ended.

    Attributes:
        is_whole: Whether the whole answer came.
        is_endpoint_ill: Whether it speaks against the endpoint. A refusal
            for load, a caller's mistake or a cancellation does not.
        first_part_s: Seconds until the first part, None if there was none.
        bytes_there: Bytes sent, None for as many as expected.
        bytes_back: Bytes received, None for as many as expected.
    """

    is_whole: bool
    is_endpoint_ill: bool = False
    first_part_s: float | None = None
    bytes_there: int | None = None
    bytes_back: int | None = None


class Counter(Protocol):
    """Takes counts; names are those of `metrics.names`."""

    def count(self, name: str, workspace: str = "", amount: int = 1) -> None:
        """Count events."""
        ...


class Uncounted:
    """A counter that keeps nothing."""

    def count(self, name: str, workspace: str = "", amount: int = 1) -> None:
        """Pass over events."""
