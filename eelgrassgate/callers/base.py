"""What the callers' interface needs from the entry that it runs in."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns import result

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.config import fleet
from eelgrassgate.entry import dispatch

Answer = messages.Head | messages.Data | messages.End | messages.Refused


class Principal(msgspec.Struct, frozen=True):
    """A caller let in.

    Attributes:
        workspace: The workspace that the caller's key belongs to.
        digest: The key's digest.
    """

    workspace: str
    digest: str


class FleetSource(Protocol):
    """The configuration in force."""

    @property
    def fleet(self) -> fleet.Fleet:
        """The configuration in force now."""
        ...


class Authenticator(Protocol):
    """Decides who is let in."""

    def authenticate(
        self, key: str
    ) -> result.Result[Principal, outcomes.Refusal]:
        """Let the holder of `key` in, or say why not."""
        ...

    def is_valid(self, held_pass: Principal, /) -> bool:
        """Tell whether a pass given earlier still holds."""
        ...

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` whenever passes may have lost their validity."""
        ...


class Limiter(Protocol):
    """Keeps workspaces to their rates across the fleet."""

    async def admit(
        self, bucket: str, deadline: float, tokens: float = 1.0
    ) -> result.Result[None, outcomes.Refusal]:
        """Take tokens from a bucket, or say when to come back."""
        ...


class Dispatcher(Protocol):
    """Runs requests on endpoints."""

    def run(self, request: dispatch.Request) -> AsyncIterator[Answer]:
        """Yield the answer; always ends with `End` or `Refused`."""
        ...


class Recorder(Protocol):
    """Takes what is counted and timed."""

    def count(self, name: str, workspace: str = "", amount: int = 1) -> None:
        """Count events; `workspace` is empty for those without one."""
        ...

    def time(
        self,
        name: str,
        workspace: str,
        klass: outcomes.Class,
        seconds: float,
    ) -> None:
        """Record a time of a workspace and class."""
        ...
