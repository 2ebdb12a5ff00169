"""Authenticates callers by the keys of the current configuration."""

from collections.abc import Callable
from typing import Final

import anyio
from returns import result

from eelgrassgate import outcomes
from eelgrassgate.callers import base
from eelgrassgate.config import replica as replica_lib
from eelgrassgate.config import state
from eelgrassgate.keys import staleness as staleness_lib

CHECK_INTERVAL_S: Final = 0.5
RETRY_AFTER_S: Final = 5.0

Listener = Callable[[], None]


class Authenticator:
    """Authenticates callers while the configuration is recent enough."""

    def __init__(
        self,
        replica: replica_lib.Replica,
        staleness_checker: staleness_lib.StalenessChecker,
    ) -> None:
        """Create an authenticator for the keys of `replica`."""
        self._replica = replica
        self._staleness_checker = staleness_checker
        self._listeners: list[Listener] = []
        replica.subscribe(self._handle_update)

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` whenever principals may have become invalid."""
        self._listeners.append(listener)

    def authenticate(
        self, key: str
    ) -> result.Result[base.Principal, outcomes.Refusal]:
        """Return the principal that holds `key`, or a refusal."""
        if not self._staleness_checker.decide().can_serve:
            return result.Failure(
                outcomes.refuse(
                    outcomes.Code.UNCONFIRMED,
                    "This instance cannot confirm its configuration.",
                    RETRY_AFTER_S,
                )
            )
        active_key = self._replica.keys.find(key)
        if active_key is None:
            return result.Failure(
                outcomes.refuse(
                    outcomes.Code.INVALID_KEY, "The key is not valid."
                )
            )
        return result.Success(
            base.Principal(active_key.workspace, active_key.digest)
        )

    def is_valid(self, principal: base.Principal) -> bool:
        """Return whether an earlier authentication is still valid.

        A principal without a workspace represents the key alone.
        """
        active_key = self._replica.keys.find_digest(principal.digest)
        if active_key is None or not self._staleness_checker.decide().can_serve:
            return False
        # The key may have been assigned to another workspace since.
        return principal.workspace in ("", active_key.workspace)

    async def run(self) -> None:
        """Notify listeners while this instance may not serve.

        Runs until cancelled.
        """
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if not self._staleness_checker.decide().can_serve:
                self._notify_listeners()

    def _handle_update(self, update: state.Update) -> None:
        if update.removed_digests:
            self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
