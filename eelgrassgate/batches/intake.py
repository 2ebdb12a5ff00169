"""Decides whether the store can accept a job now.

The load that this answers: while the store is away, callers go on submitting
jobs. They have a few seconds, so a refusal at once gives them another chance,
and waiting for the store would use up their time.
"""

from collections.abc import Callable
import random
from typing import Final

import anyio

from eelgrassgate import deadlines
from eelgrassgate.store import base
from eelgrassgate.store import contact as contact_lib

# A key that is never written; an answer to its read shows that the store is
# back.
PROBE_KEY: Final = "eelgrassgate/probe"
# The store answers within 0.07 s, from another region too.
PROBE_TIMEOUT_S: Final = 0.1
PROBE_INTERVAL_S: Final = 0.1
# Bounds of the retry delay. Callers come back earlier if it is longer than a
# third of the few seconds that they have.
MIN_RETRY_DELAY_S: Final = 0.5
MAX_RETRY_DELAY_S: Final = 1.0
MAX_RETRY_FRACTION: Final = 1.0 / 3.0
# Delays are spread over this part of their length.
RETRY_SPREAD: Final = 0.25
# How long a write without a known outcome is remembered; longer than any write
# is delayed on its way.
UNCONFIRMED_S: Final = 60.0


class Intake:
    """Finds out whether jobs can be written to the store.

    While the store is lost, one read at a time for all callers checks whether
    it is back. A job whose earlier write may still take effect must not be
    refused as not accepted.
    """

    def __init__(
        self,
        store: base.Store,
        contact: contact_lib.Contact,
        draw: Callable[[], float],
    ) -> None:
        """Initialize; see `create_intake`."""
        self._store = store
        self._contact = contact
        self._draw = draw
        self._probe_ended: anyio.Event | None = None
        self._next_probe_at = 0.0
        self._unconfirmed_until_by_job: dict[str, float] = {}

    def is_unconfirmed(self, job: str) -> bool:
        """Return whether an earlier write of a job may still take effect."""
        until = self._unconfirmed_until_by_job.get(job)
        return until is not None and not deadlines.is_past(until)

    def record_write(self, job: str) -> None:
        """Record that a job is about to be written."""
        self._unconfirmed_until_by_job = {
            name: until
            for name, until in self._unconfirmed_until_by_job.items()
            if not deadlines.is_past(until)
        }
        self._unconfirmed_until_by_job[job] = deadlines.after(UNCONFIRMED_S)

    def record_outcome(self, job: str) -> None:
        """Record that the outcome of all writes of a job is known."""
        self._unconfirmed_until_by_job.pop(job, None)

    async def check(self, deadline: float) -> float | None:
        """Return None if the store answers, else the retry delay in seconds.

        Args:
            deadline: Monotonic time until which the caller waits.
        """
        if self._contact.is_lost():
            await self._probe()
        if not self._contact.is_lost():
            return None
        return choose_retry_delay(
            self._contact.get_silence_s(),
            deadlines.compute_remaining(deadline),
            self._draw(),
        )

    async def _probe(self) -> None:
        """Read from the store, or wait for a read that is under way."""
        if self._probe_ended is not None:
            await self._probe_ended.wait()
            return
        if not deadlines.is_past(self._next_probe_at):
            return
        self._probe_ended = anyio.Event()
        try:
            with anyio.move_on_after(PROBE_TIMEOUT_S):
                # The contact records the answer.
                await self._store.read(PROBE_KEY)
        finally:
            self._next_probe_at = deadlines.after(PROBE_INTERVAL_S)
            self._probe_ended.set()
            self._probe_ended = None


def choose_retry_delay(
    silence_s: float, remaining_s: float, draw: float
) -> float:
    """Return when a refused caller should come back, in seconds.

    An outage is expected to last as long again as it has lasted so far.

    Args:
        silence_s: For how long the store has been silent.
        remaining_s: How long the caller still waits.
        draw: Random number from 0 to 1, which spreads the callers.
    """
    delay_s = min(
        max(MIN_RETRY_DELAY_S, silence_s),
        MAX_RETRY_DELAY_S,
        MAX_RETRY_FRACTION * remaining_s,
    )
    return delay_s * (1.0 - RETRY_SPREAD * draw)


def create_intake(
    store: base.Store,
    contact: contact_lib.Contact,
    draw: Callable[[], float] = random.random,
) -> Intake:
    """Create the decision for one process.

    Args:
        store: The store.
        contact: Whether the store answers; updated by the calls of `store`.
        draw: Returns a random number from 0 to 1.
    """
    return Intake(store, contact, draw)
