"""Decides when which attempt enters the endpoint, and which gives way."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Final

import anyio
from anyio import abc

from eelgrassgate import outcomes
from eelgrassgate.agent import execution
from eelgrassgate.agent import queue as queues
from eelgrassgate.agent import window as windows
from eelgrassgate.agent import work as works
from eelgrassgate.agent import yielding
from eelgrassgate.engine import base

ONLINE: Final = outcomes.RequestClass.ONLINE
BATCH: Final = outcomes.RequestClass.BATCH

OnEnd = Callable[[works.Work, execution.Whole | base.Failed], None]


class Scheduler:
    """Keeps what waits and what runs at one endpoint."""

    def __init__(
        self,
        queue: queues.Queue,
        window: windows.Window,
        executor: execution.Executor,
        clock: Callable[[], float],
        *,
        can_resume: bool,
        is_stale: Callable[[works.Work], bool],
        on_end: OnEnd,
        on_change: Callable[[], None],
    ) -> None:
        """Start empty.

        Args:
            queue: Where attempts wait.
            window: The endpoint's working limit.
            executor: Runs one attempt.
            clock: The monotonic clock.
            can_resume: Whether the endpoint resumes cancelled streams.
            is_stale: Tells whether a newer owner has replaced the attempt's.
            on_end: Is told of each attempt that has ended.
            on_change: Is told when what waits or runs has changed.
        """
        self.window = window
        self.yielded = 0
        self._queue = queue
        self._executor = executor
        self._clock = clock
        self._can_resume = can_resume
        self._is_stale = is_stale
        self._on_end = on_end
        self._on_change = on_change
        self._pace = yielding.Pace(clock)
        self._waiting_by_attempt: dict[str, works.Work] = {}
        self._running_by_attempt: dict[str, works.Work] = {}
        self._wake = anyio.Event()

    def submit(self, work: works.Work) -> None:
        """Take an attempt; it may be turned away at once."""
        self._waiting_by_attempt[work.attempt] = work
        if work.is_online:
            self._pace.note_arrival()
        pushed = self._queue.push(work.klass, work.item)
        if pushed.turned_away:
            self._end_waiting(pushed.turned_away.attempt, queues.refuse_full())
        self.wake()

    def cancel(self, work: works.Work, stop: works.Stop) -> None:
        """Stop an attempt for good, wherever it is."""
        if self._queue.remove(work.attempt):
            self._end_waiting(work.attempt, _explain_stop(work, stop))
        elif work.attempt in self._running_by_attempt:
            work.stop = stop
            if work.scope:
                work.scope.cancel()
        self.wake()

    def count_waiting(self, klass: outcomes.RequestClass) -> int:
        """Return how many attempts of a class wait."""
        return self._queue.count(klass)

    def count_running(self, klass: outcomes.RequestClass) -> int:
        """Return how many attempts of a class are in the endpoint."""
        running = self._running_by_attempt.values()
        return sum(work.klass is klass for work in running)

    def list_waiting(self) -> tuple[works.Work, ...]:
        """Return the attempts that wait."""
        return tuple(self._waiting_by_attempt.values())

    def compute_wait_s(self) -> float:
        """Estimate how long a new online attempt waits for its turn."""
        cost = sum(w.item.cost for w in self.list_waiting() if w.is_online)
        return cost * self.window.gap_s / self.window.limit

    def is_idle(self) -> bool:
        """Tell whether nothing waits or runs."""
        return not self._waiting_by_attempt and not self._running_by_attempt

    def wake(self) -> None:
        """Look again at what may run."""
        self._wake.set()

    async def run(self) -> None:
        """Admit attempts until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._wake = anyio.Event()
                self._drop_expired()
                self._admit_online(tasks)
                self._admit_batch(tasks)
                with anyio.CancelScope(deadline=self._compute_alarm()):
                    await self._wake.wait()

    def _compute_alarm(self) -> float:
        deadline = self._queue.get_next_deadline()
        if self._queue.count(BATCH) and self._pace.is_holding():
            return min(deadline, self._pace.get_release())
        return deadline

    def _drop_expired(self) -> None:
        for item in self._queue.drop_expired(self._clock()):
            work = self._waiting_by_attempt[item.attempt]
            self._end_waiting(
                item.attempt,
                work.explain(
                    outcomes.Code.DEADLINE_EXCEEDED,
                    "The deadline passed while the call waited.",
                ),
            )

    def _admit_online(self, tasks: abc.TaskGroup) -> None:
        while self._queue.count(ONLINE):
            needed = self._count_staying() + 1 - self.window.proven
            if needed > 0:
                self._suspend(needed)
                self._suspend_unproven()
            if self._count_staying() >= self.window.limit:
                return
            self._start(ONLINE, tasks)
            self._pace.note_start(self.window.gap_s)

    def _admit_batch(self, tasks: abc.TaskGroup) -> None:
        """Admit one attempt for each step of the endpoint, if there is room.

        Prompts that enter in the same step would delay online's first tokens.
        """
        if self._queue.count(ONLINE):
            return
        while self._queue.count(BATCH) and not self._pace.is_holding():
            room = self.window.limit - self._compute_reserve()
            if len(self._running_by_attempt) >= room:
                return
            self._start(BATCH, tasks)
            self._pace.note_start(self.window.gap_s)

    def _compute_reserve(self) -> int:
        """Return the places left free where giving way would cost work."""
        if self._can_resume:
            return 0
        cheap = sum(each.is_cheap for each in self._list_batch())
        return self._pace.compute_reserve(self.window.limit, cheap)

    def _start(
        self, klass: outcomes.RequestClass, tasks: abc.TaskGroup
    ) -> None:
        item = self._queue.pop(klass)
        if item is None:
            return
        work = self._waiting_by_attempt[item.attempt]
        if self._is_stale(work):
            self._queue.finish(klass, item, 0.0)
            refusal = work.explain(
                outcomes.Code.STALE_FENCE, "A newer owner holds the work."
            )
            self._end_waiting(item.attempt, refusal)
            return
        del self._waiting_by_attempt[item.attempt]
        self._running_by_attempt[item.attempt] = work
        work.sent_at = self._clock()
        work.has_first = False
        self._on_change()
        tasks.start_soon(self._run, work)

    async def _run(self, work: works.Work) -> None:
        running = self._count_staying()
        ended = await self._executor.run(work, running)
        del self._running_by_attempt[work.attempt]
        self.wake()
        if not isinstance(ended, execution.Stopped):
            self._end(work, ended)
        elif work.stop is works.Stop.SUSPEND:
            self._put_back(work)
        else:
            refusal = _explain_stop(work, work.stop)
            self._end(work, base.Failed(refusal, False))

    def _put_back(self, work: works.Work) -> None:
        work.stop = None
        if not self._can_resume:
            work.restart()
        self._waiting_by_attempt[work.attempt] = work
        self._queue.push_front(work.klass, works.free(work.item))
        self._on_change()

    def _end(
        self, work: works.Work, ended: execution.Whole | base.Failed
    ) -> None:
        self._queue.finish(work.klass, work.item, work.compute_cost())
        self._on_end(work, ended)

    def _end_waiting(self, attempt: str, refusal: outcomes.Refusal) -> None:
        work = self._waiting_by_attempt.pop(attempt)
        self._on_end(work, base.Failed(refusal, False))

    def _count_staying(self) -> int:
        running = self._running_by_attempt.values()
        return sum(work.stop is None for work in running)

    def _list_batch(self) -> Iterator[yielding.Running]:
        """Yield the batch attempts in the endpoint that are not stopping."""
        for work in self._running_by_attempt.values():
            if work.is_online or work.stop:
                continue
            yield yielding.Running(
                attempt=work.attempt,
                has_first=work.has_first,
                tokens=work.tokens,
                due=work.item.due,
                can_resume=self._can_resume and work.assembly is not None,
                is_repeatable=work.submit.is_repeatable,
            )

    def _suspend(self, needed: int) -> None:
        """Stop up to `needed` batch attempts."""
        for attempt in tuple(yielding.choose(self._list_batch(), needed)):
            self._suspend_one(self._running_by_attempt[attempt])

    def _suspend_unproven(self) -> None:
        """Stop batch attempts that may wait inside the endpoint."""
        for each in tuple(self._list_batch()):
            if each.may_yield and not each.has_first:
                self._suspend_one(self._running_by_attempt[each.attempt])

    def _suspend_one(self, work: works.Work) -> None:
        work.stop = works.Stop.SUSPEND
        self.yielded += 1
        self._pace.note_yield()
        if work.scope:
            work.scope.cancel()


def _explain_stop(
    work: works.Work, stop: works.Stop | None
) -> outcomes.Refusal:
    if stop is works.Stop.SHUT_DOWN:
        code = outcomes.Code.SHUTTING_DOWN
        return work.explain(code, "The agent is shutting down.")
    return work.explain(outcomes.Code.CANCELLED, "The call was cancelled.")
