"""Interface of the platform's list of instances."""

from collections.abc import AsyncIterator
import enum
from typing import Protocol

import msgspec
from returns import result


class State(enum.Enum):
    """The state of an instance in the list, which may lag behind."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """An instance of the system.

    Attributes:
        name: The instance's name, unique in the fleet.
        service: The service it belongs to: `entry` or `agent`.
        address: The address for links, as `host:port`.
        zone: The availability zone.
        region: The region of the zone.
        state: Live or leaving.
    """

    name: str
    service: str
    address: str
    zone: str
    region: str
    state: State = State.LIVE


class ListError(msgspec.Struct, frozen=True):
    """The list could not be read; the latest known one stays in force."""

    message: str


class InstanceList(Protocol):
    """The platform's list of instances."""

    async def read(
        self, service: str
    ) -> result.Result[tuple[Instance, ...], ListError]:
        """Read all instances of `service`."""
        ...

    def watch(
        self, service: str
    ) -> AsyncIterator[result.Result[tuple[Instance, ...], ListError]]:
        """Yield the whole list of `service`, initially and at each change.

        The iterator ends after a failure.
        """
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
