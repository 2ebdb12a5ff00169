"""Ends the serving of callers within the grace period of a shutdown.

New requests are served until the load balancer has noticed the shutdown. Those
that are read later, on connections that are still open, are refused, as they
may not end in time. Shortly before the end, each request without a response
gets a final one.
"""

from collections.abc import Iterator
import contextlib
from typing import Final

import anyio

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.http1 import downstream

# How long to keep accepting connections after readiness fails: the load
# balancer probes once a second and removes the gateway after two failures.
LOAD_BALANCER_NOTICE_S: Final = 2.5
# Part of the grace period kept for deregistration.
SHUTDOWN_MARGIN_S: Final = 0.5
# Time before that in which final responses are written.
RESPONSE_MARGIN_S: Final = 0.25


class Shutdown:
    """The shutdown of one process.

    Attributes:
        is_draining: Whether it has begun.
        is_refusing: Whether requests that are read from now on are refused.
        is_ending: Whether requests without a response get a final one now.
    """

    def __init__(self) -> None:
        """Initialize for a process that is not shutting down."""
        self.is_draining = False
        self.is_refusing = False
        self.is_ending = False
        self._responders_by_scope: dict[
            anyio.CancelScope, downstream.Responder
        ] = {}

    @contextlib.contextmanager
    def bound(
        self,
        responder: downstream.Responder,
        deadline: float = deadlines.NEVER,
    ) -> Iterator[anyio.CancelScope]:
        """Cancel the handling of a request when its final response is due.

        Args:
            responder: Sends the response; once it has begun, a shutdown does
                not cancel the handling.
            deadline: Monotonic time at which to cancel in any case.
        """
        with anyio.move_on_after(
            deadlines.compute_remaining(deadline)
        ) as scope:
            if self.is_ending:
                scope.cancel()
            self._responders_by_scope[scope] = responder
            try:
                yield scope
            finally:
                del self._responders_by_scope[scope]

    async def drain(
        self,
        listener: downstream.Listener,
        accept_scope: anyio.CancelScope,
        grace_s: float,
    ) -> int:
        """Serve what is in flight, then end it.

        Args:
            listener: Serves the callers.
            accept_scope: Cancels accepting connections.
            grace_s: Seconds until the process is killed.

        Returns:
            The number of requests that are still in flight.
        """
        ends_at = deadlines.after(grace_s - SHUTDOWN_MARGIN_S)
        self.is_draining = True
        logs.log_message("shutdown started", in_hand=listener.count_active())
        await anyio.sleep(min(LOAD_BALANCER_NOTICE_S, grace_s / 2.0))
        await listener.accept_pending()
        accept_scope.cancel()
        self.is_refusing = True
        logs.log_message("accepting ended", in_hand=listener.count_active())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._end_requests, ends_at - RESPONSE_MARGIN_S)
            in_flight = await listener.drain(ends_at)
            tasks.cancel_scope.cancel()
        return in_flight

    async def _end_requests(self, at: float) -> None:
        """Let each request without a response get a final one."""
        await anyio.sleep(deadlines.compute_remaining(at))
        self.is_ending = True
        waiting = [
            scope
            for scope, responder in self._responders_by_scope.items()
            if not responder.has_begun
        ]
        logs.log_message("requests ended", count=len(waiting))
        for scope in waiting:
            scope.cancel()


def create_shutdown() -> Shutdown:
    """Create the shutdown of a process that serves."""
    return Shutdown()
