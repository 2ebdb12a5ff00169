"""Decides who is let in, by the keys in force and how current they are."""

from collections.abc import Callable
from typing import Final

import anyio
from returns import result

from eelgrassgate import outcomes
from eelgrassgate.callers import base
from eelgrassgate.config import held
from eelgrassgate.config import replica as replica_lib
from eelgrassgate.keys import currency as currency_lib

LOOK_S: Final = 0.5
RETRY_S: Final = 5.0

Listener = Callable[[], None]


class Authority:
    """Lets callers in by the configuration that this instance holds."""

    def __init__(
        self,
        replica: replica_lib.Replica,
        currency: currency_lib.Currency,
    ) -> None:
        """Create an authority over the keys of `replica`."""
        self._replica = replica
        self._currency = currency
        self._listeners: list[Listener] = []
        replica.subscribe(self._note_update)

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` whenever passes may have lost their validity."""
        self._listeners.append(listener)

    def authenticate(
        self, key: str
    ) -> result.Result[base.Principal, outcomes.Refusal]:
        """Let the holder of `key` in, or say why not."""
        if not self._currency.decide().may_serve:
            return result.Failure(
                outcomes.refuse(
                    outcomes.Code.UNCONFIRMED,
                    "This instance cannot confirm its configuration.",
                    RETRY_S,
                )
            )
        holder = self._replica.keys.find(key)
        if holder is None:
            return result.Failure(
                outcomes.refuse(
                    outcomes.Code.INVALID_KEY, "The key is not valid."
                )
            )
        return result.Success(base.Principal(holder.workspace, holder.digest))

    def is_valid(self, held_pass: base.Principal) -> bool:
        """Tell whether a pass given earlier still holds.

        A pass without a workspace stands for the key alone.
        """
        holder = self._replica.keys.find_digest(held_pass.digest)
        if holder is None or not self._currency.decide().may_serve:
            return False
        # A key may have been given to another workspace meanwhile.
        return held_pass.workspace in ("", holder.workspace)

    async def run(self) -> None:
        """Tell listeners when the right to serve lapses, until cancelled."""
        while True:
            await anyio.sleep(LOOK_S)
            if not self._currency.decide().may_serve:
                self._tell()

    def _note_update(self, update: held.Update) -> None:
        if update.lost_digests:
            self._tell()

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()
