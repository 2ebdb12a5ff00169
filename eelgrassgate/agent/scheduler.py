"""Decides when attempts enter the endpoint and which are preempted."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Final

import anyio
from anyio import abc

from eelgrassgate import outcomes
from eelgrassgate.agent import attempts
from eelgrassgate.agent import execution
from eelgrassgate.agent import preemption
from eelgrassgate.agent import queue as queue_lib
from eelgrassgate.agent import window as window_lib
from eelgrassgate.engine import base

ONLINE: Final = outcomes.RequestClass.ONLINE
BATCH: Final = outcomes.RequestClass.BATCH

OnEnd = Callable[[attempts.Attempt, execution.Completed | base.Failed], None]


class Scheduler:
    """Tracks the waiting and running attempts of one endpoint."""

    def __init__(
        self,
        queue: queue_lib.Queue,
        window: window_lib.Window,
        executor: execution.Executor,
        clock: Callable[[], float],
        *,
        can_resume: bool,
        is_stale: Callable[[attempts.Attempt], bool],
        on_end: OnEnd,
        on_change: Callable[[], None],
    ) -> None:
        """Create an empty scheduler.

        Args:
            queue: The waiting attempts.
            window: The endpoint's concurrency limit.
            executor: Runs one attempt.
            clock: The monotonic clock.
            can_resume: Whether the endpoint resumes cancelled streams.
            is_stale: Returns whether a newer owner has replaced the attempt's.
            on_end: Called for each attempt that has ended.
            on_change: Called when waiting or running attempts have changed.
        """
        self.window = window
        self.preempted = 0
        self._queue = queue
        self._executor = executor
        self._clock = clock
        self._can_resume = can_resume
        self._is_stale = is_stale
        self._on_end = on_end
        self._on_change = on_change
        self._throttle = preemption.BatchThrottle(clock)
        self._waiting_by_id: dict[str, attempts.Attempt] = {}
        self._running_by_id: dict[str, attempts.Attempt] = {}
        self._woken = anyio.Event()

    def submit(self, attempt: attempts.Attempt) -> None:
        """Queue an attempt; a full queue may reject it at once."""
        self._waiting_by_id[attempt.id] = attempt
        if attempt.is_online:
            self._throttle.record_arrival()
        pushed = self._queue.push(attempt.klass, attempt.queue_item)
        if pushed.rejected:
            self._end_waiting(
                pushed.rejected.attempt_id, queue_lib.refuse_overflow()
            )
        self.wake()

    def cancel(
        self, attempt: attempts.Attempt, stop_reason: attempts.StopReason
    ) -> None:
        """Stop a waiting or running attempt for good."""
        if self._queue.remove(attempt.id):
            self._end_waiting(attempt.id, _refuse_stopped(attempt, stop_reason))
        elif attempt.id in self._running_by_id:
            attempt.stop_reason = stop_reason
            if attempt.scope:
                attempt.scope.cancel()
        self.wake()

    def count_waiting(self, klass: outcomes.RequestClass) -> int:
        """Return the number of waiting attempts of a class."""
        return self._queue.count(klass)

    def count_running(self, klass: outcomes.RequestClass) -> int:
        """Return the number of attempts of a class in the endpoint."""
        running = self._running_by_id.values()
        return sum(attempt.klass is klass for attempt in running)

    def list_waiting(self) -> tuple[attempts.Attempt, ...]:
        """Return the waiting attempts."""
        return tuple(self._waiting_by_id.values())

    def compute_wait_s(self) -> float:
        """Estimate how long a new online attempt waits for dispatch."""
        cost = sum(
            attempt.queue_item.cost
            for attempt in self.list_waiting()
            if attempt.is_online
        )
        return cost * self.window.token_interval_s / self.window.limit

    def is_idle(self) -> bool:
        """Return whether no attempt waits or runs."""
        return not self._waiting_by_id and not self._running_by_id

    def wake(self) -> None:
        """Make `run` check again which attempts to admit."""
        self._woken.set()

    async def run(self) -> None:
        """Admit attempts until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._woken = anyio.Event()
                self._drop_expired()
                self._admit_online(tasks)
                self._admit_batch(tasks)
                with anyio.CancelScope(deadline=self._compute_wake_time()):
                    await self._woken.wait()

    def _compute_wake_time(self) -> float:
        deadline = self._queue.get_next_deadline()
        if self._queue.count(BATCH) and self._throttle.is_throttled():
            return min(deadline, self._throttle.get_throttled_until())
        return deadline

    def _drop_expired(self) -> None:
        for item in self._queue.drop_expired(self._clock()):
            attempt = self._waiting_by_id[item.attempt_id]
            self._end_waiting(
                item.attempt_id,
                attempt.create_refusal(
                    outcomes.Code.DEADLINE_EXCEEDED,
                    "The deadline passed while the call was queued.",
                ),
            )

    def _admit_online(self, tasks: abc.TaskGroup) -> None:
        while self._queue.count(ONLINE):
            needed = self._count_active() + 1 - self.window.sustained
            if needed > 0:
                self._preempt(needed)
                self._preempt_without_first_token()
            if self._count_active() >= self.window.limit:
                return
            self._start(ONLINE, tasks)
            self._throttle.record_start(self.window.token_interval_s)

    def _admit_batch(self, tasks: abc.TaskGroup) -> None:
        """Admit one attempt per step of the endpoint, while there is room.

        Several prompts in the same step would delay first tokens of online
        attempts.
        """
        if self._queue.count(ONLINE):
            return
        while self._queue.count(BATCH) and not self._throttle.is_throttled():
            batch_limit = self.window.limit - self._compute_reserve()
            if len(self._running_by_id) >= batch_limit:
                return
            self._start(BATCH, tasks)
            self._throttle.record_start(self.window.token_interval_s)

    def _compute_reserve(self) -> int:
        """Return the places left free where preemption would discard tokens."""
        if self._can_resume:
            return 0
        lossless = sum(each.is_lossless for each in self._list_running_batch())
        return self._throttle.compute_reserve(self.window.limit, lossless)

    def _start(
        self, klass: outcomes.RequestClass, tasks: abc.TaskGroup
    ) -> None:
        item = self._queue.pop(klass)
        if item is None:
            return
        attempt = self._waiting_by_id[item.attempt_id]
        if self._is_stale(attempt):
            self._queue.finish(klass, item, 0.0)
            refusal = attempt.create_refusal(
                outcomes.Code.STALE_FENCE, "The job has a newer owner."
            )
            self._end_waiting(item.attempt_id, refusal)
            return
        del self._waiting_by_id[item.attempt_id]
        self._running_by_id[item.attempt_id] = attempt
        attempt.sent_at = self._clock()
        attempt.has_first_part = False
        self._on_change()
        tasks.start_soon(self._run, attempt)

    async def _run(self, attempt: attempts.Attempt) -> None:
        running = self._count_active()
        outcome = await self._executor.run(attempt, running)
        del self._running_by_id[attempt.id]
        self.wake()
        if not isinstance(outcome, execution.Stopped):
            self._end(attempt, outcome)
        elif attempt.stop_reason is attempts.StopReason.PREEMPT:
            self._requeue(attempt)
        else:
            refusal = _refuse_stopped(attempt, attempt.stop_reason)
            self._end(attempt, base.Failed(refusal, False))

    def _requeue(self, attempt: attempts.Attempt) -> None:
        attempt.stop_reason = None
        if not self._can_resume:
            attempt.restart()
        self._waiting_by_id[attempt.id] = attempt
        self._queue.push_front(
            attempt.klass, attempts.clear_cost(attempt.queue_item)
        )
        self._on_change()

    def _end(
        self,
        attempt: attempts.Attempt,
        outcome: execution.Completed | base.Failed,
    ) -> None:
        self._queue.finish(
            attempt.klass, attempt.queue_item, attempt.compute_cost()
        )
        self._on_end(attempt, outcome)

    def _end_waiting(self, attempt_id: str, refusal: outcomes.Refusal) -> None:
        attempt = self._waiting_by_id.pop(attempt_id)
        self._on_end(attempt, base.Failed(refusal, False))

    def _count_active(self) -> int:
        running = self._running_by_id.values()
        return sum(attempt.stop_reason is None for attempt in running)

    def _list_running_batch(self) -> Iterator[preemption.RunningBatch]:
        """Yield the batch attempts in the endpoint that are not stopping."""
        for attempt in self._running_by_id.values():
            if attempt.is_online or attempt.stop_reason:
                continue
            yield preemption.RunningBatch(
                attempt_id=attempt.id,
                has_first_token=attempt.has_first_part,
                tokens=attempt.tokens,
                due=attempt.queue_item.due,
                can_resume=self._can_resume and attempt.assembler is not None,
                is_repeatable=attempt.submit.is_repeatable,
            )

    def _preempt(self, needed: int) -> None:
        """Stop up to `needed` batch attempts."""
        for attempt_id in tuple(
            preemption.choose_victims(self._list_running_batch(), needed)
        ):
            self._preempt_attempt(self._running_by_id[attempt_id])

    def _preempt_without_first_token(self) -> None:
        """Stop batch attempts that may be queued inside the endpoint."""
        for each in tuple(self._list_running_batch()):
            if each.is_preemptible and not each.has_first_token:
                self._preempt_attempt(self._running_by_id[each.attempt_id])

    def _preempt_attempt(self, attempt: attempts.Attempt) -> None:
        attempt.stop_reason = attempts.StopReason.PREEMPT
        self.preempted += 1
        self._throttle.record_preemption()
        if attempt.scope:
            attempt.scope.cancel()


def _refuse_stopped(
    attempt: attempts.Attempt, stop_reason: attempts.StopReason | None
) -> outcomes.Refusal:
    if stop_reason is attempts.StopReason.SHUT_DOWN:
        code = outcomes.Code.SHUTTING_DOWN
        return attempt.create_refusal(code, "The agent is shutting down.")
    return attempt.create_refusal(
        outcomes.Code.CANCELLED, "The call was cancelled."
    )
