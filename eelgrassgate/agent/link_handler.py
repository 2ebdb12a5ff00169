"""Handles the messages that entries send to the agent."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from anyio import abc

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.agent import attempts
from eelgrassgate.agent import execution
from eelgrassgate.agent import fences as fences_lib
from eelgrassgate.agent import reporting
from eelgrassgate.agent import responses
from eelgrassgate.agent import results as results_lib
from eelgrassgate.agent import scheduler as scheduler_lib
from eelgrassgate.engine import base as endpoints
from eelgrassgate.link import base
from eelgrassgate.metrics import names
from eelgrassgate.metrics import recorder as metrics

MAX_INQUIRY_BODY_BYTES: Final = 4_000_000
MAX_RECENT_ATTEMPTS: Final = 8192
RETRY_AFTER_S: Final = 1.0


class LinkHandler:
    """Handles all connections of the agent; a `link.base.Handler`."""

    def __init__(
        self,
        tasks: abc.TaskGroup,
        scheduler: scheduler_lib.Scheduler,
        reporter: reporting.Reporter,
        fences: fences_lib.Fences,
        results: results_lib.ResultStore,
        recorder: metrics.Recorder,
        clock: Callable[[], float],
        *,
        is_engine: bool,
    ) -> None:
        """Create a handler with no connection."""
        self.is_leaving = False
        self._tasks = tasks
        self._scheduler = scheduler
        self._reporter = reporter
        self._fences = fences
        self._results = results
        self._recorder = recorder
        self._clock = clock
        self._is_engine = is_engine
        self._attempts_by_id: dict[str, attempts.Attempt] = {}
        self._attempts_by_item: dict[str, attempts.Attempt] = {}
        self._streams_by_attempt: dict[str, responses.ResponseStream] = {}
        self._recent: OrderedDict[str, None] = OrderedDict()

    def connect(self, peer: base.Peer) -> None:
        """Handle a new connection."""
        self._reporter.add(peer)

    def receive(self, peer: base.Peer, message: messages.AnyMessage) -> None:
        """Handle one message; types that an agent does not use are ignored."""
        match message:
            case messages.Submit():
                self._submit(peer, message)
            case messages.Credit():
                stream = self._streams_by_attempt.get(message.attempt)
                if stream:
                    stream.add_credit(message.parts)
            case messages.Cancel():
                self._cancel(message.attempt)
            case messages.Settled():
                self._results.discard_committed(message.items)
            case messages.Inquire():
                peer.send(self._answer_inquiry(message))
            case _:
                return

    def disconnect(self, peer: base.Peer) -> None:
        """Handle the loss of a connection.

        Its online attempts are cancelled, because nobody waits for them any
        more. Batch items continue, and the job's next owner gets their results.
        """
        self._reporter.remove(peer)
        lost = [
            each
            for each in self._streams_by_attempt.values()
            if each.peer is peer
        ]
        for stream in lost:
            stream.close()
            attempt = self._attempts_by_id.get(stream.attempt_id)
            if attempt and attempt.is_online:
                self._scheduler.cancel(attempt, attempts.StopReason.CANCEL)

    def leave(self) -> None:
        """Refuse new work, and the batch attempts that still wait."""
        self.is_leaving = True
        self._reporter.announce_leave()
        for attempt in self._scheduler.list_waiting():
            if not attempt.is_online:
                self._scheduler.cancel(attempt, attempts.StopReason.SHUT_DOWN)

    def stop(self) -> None:
        """Stop all remaining attempts."""
        for attempt in tuple(self._attempts_by_id.values()):
            self._scheduler.cancel(attempt, attempts.StopReason.SHUT_DOWN)

    def is_idle(self) -> bool:
        """Return whether no attempt is left and every response was sent."""
        return not self._attempts_by_id and not self._streams_by_attempt

    def has_results(self) -> bool:
        """Return whether uncommitted results are stored."""
        return len(self._results) > 0

    def finish(
        self,
        attempt: attempts.Attempt,
        outcome: execution.Completed | endpoints.Failed,
    ) -> None:
        """Handle the end of an attempt."""
        for attempt_id in (attempt.id, attempt.response.attempt_id):
            self._attempts_by_id.pop(attempt_id, None)
        self._reporter.mark_changed()
        if isinstance(outcome, endpoints.Failed):
            self._count_refusal(attempt.submit, outcome.refusal)
        if attempt.is_online:
            self._finish_online(attempt.response, outcome)
            return
        result = _create_result(attempt, outcome)
        if attempt.submit.item:
            self._attempts_by_item.pop(attempt.submit.item, None)
        if attempt.submit.item and not result.has_not_run:
            self._results.add(result)
        is_fault = (
            isinstance(outcome, endpoints.Failed) and outcome.is_endpoint_fault
        )
        self._tasks.start_soon(
            self._deliver, attempt.response, result, is_fault
        )

    def _submit(self, peer: base.Peer, submit: messages.Submit) -> None:
        if submit.attempt in self._recent:
            return
        self._recent[submit.attempt] = None
        if len(self._recent) > MAX_RECENT_ATTEMPTS:
            self._recent.popitem(last=False)
        stream = responses.ResponseStream(peer, submit.attempt, submit.credit)
        if not self._fences.admit(submit.owner, submit.fence):
            stream.send_refusal(_refuse_stale())
            return
        if submit.item and self._attach(submit, stream):
            return
        refusal = self._check_admission(submit)
        if refusal:
            self._count_refusal(submit, refusal)
            stream.send_refusal(refusal)
            return
        self._recorder.count("attempts")
        self._results.discard(submit.item)
        attempt = attempts.create_attempt(
            submit, stream, self._clock(), is_engine=self._is_engine
        )
        self._register(attempt, stream)
        if submit.item:
            self._attempts_by_item[submit.item] = attempt
        self._scheduler.submit(attempt)

    def _count_refusal(
        self, submit: messages.Submit, refusal: outcomes.Refusal
    ) -> None:
        name = f"{names.REFUSED}.{refusal.code.value}"
        self._recorder.count(name, submit.workspace)

    def _check_admission(
        self, submit: messages.Submit
    ) -> outcomes.Refusal | None:
        if self.is_leaving:
            return outcomes.refuse(
                outcomes.Code.SHUTTING_DOWN, "The agent is shutting down."
            )
        if submit.item and self._results.is_full():
            return outcomes.refuse(
                outcomes.Code.OVERLOADED,
                "Too many results are waiting to be committed.",
                RETRY_AFTER_S,
            )
        return None

    def _register(
        self, attempt: attempts.Attempt, stream: responses.ResponseStream
    ) -> None:
        self._attempts_by_id[stream.attempt_id] = attempt
        self._streams_by_attempt[stream.attempt_id] = stream
        self._reporter.mark_changed()

    def _attach(
        self, submit: messages.Submit, stream: responses.ResponseStream
    ) -> bool:
        """Connect a known item to a new stream, as after a change of owner.

        Returns:
            Whether the item is running or has a result to deliver.
        """
        attempt = self._attempts_by_item.get(submit.item)
        if attempt:
            self._attempts_by_id.pop(attempt.response.attempt_id, None)
            self._streams_by_attempt.pop(attempt.response.attempt_id, None)
            attempt.response.close()
            attempt.response = stream
            attempt.fence = max(attempt.fence, submit.fence)
            self._register(attempt, stream)
            self._attempts_by_id[attempt.id] = attempt
            return True
        result = self._results.get(submit.item)
        if result is None or _can_rerun(submit, result):
            return False
        self._streams_by_attempt[stream.attempt_id] = stream
        self._tasks.start_soon(self._deliver, stream, result, False)
        return True

    def _cancel(self, attempt_id: str) -> None:
        attempt = self._attempts_by_id.get(attempt_id)
        if attempt:
            self._scheduler.cancel(attempt, attempts.StopReason.CANCEL)

    def _finish_online(
        self,
        stream: responses.ResponseStream,
        outcome: execution.Completed | endpoints.Failed,
    ) -> None:
        self._streams_by_attempt.pop(stream.attempt_id, None)
        if isinstance(outcome, endpoints.Failed):
            stream.send_refusal(outcome.refusal, outcome.is_endpoint_fault)
        else:
            stream.send_end()

    async def _deliver(
        self,
        stream: responses.ResponseStream,
        result: results_lib.Result,
        is_fault: bool,
    ) -> None:
        """Send a batch item's result, as far as credit allows."""
        if result.refusal:
            stream.send_refusal(result.refusal, is_fault)
        else:
            stream.send_head(result.status, result.content_type)
            await stream.send_body(result.body)
            stream.send_end()
        self._streams_by_attempt.pop(stream.attempt_id, None)

    def _answer_inquiry(self, inquire: messages.Inquire) -> messages.Known:
        is_current = self._fences.admit(inquire.owner, inquire.fence)
        items = tuple(self._list_items(inquire.job)) if is_current else ()
        return messages.Known(
            owner=inquire.owner,
            fence=inquire.fence,
            job=inquire.job,
            items=items,
            is_stale=not is_current,
        )

    def _list_items(self, job: str) -> list[messages.ItemState]:
        """Return the state of a job's items.

        Results beyond the size limit are reported as running. The owner then
        submits those items and receives their results.
        """
        prefix = f"{job}/"
        states = [
            messages.ItemState(item=item, attempt=attempt.id, is_running=True)
            for item, attempt in self._attempts_by_item.items()
            if item.startswith(prefix)
        ]
        remaining_bytes = MAX_INQUIRY_BODY_BYTES
        for result in self._results.list_by_job(job):
            remaining_bytes -= len(result.body)
            states.append(
                _describe_result(result, is_body_included=remaining_bytes >= 0)
            )
        return states


def _describe_result(
    result: results_lib.Result, *, is_body_included: bool
) -> messages.ItemState:
    if not is_body_included:
        return messages.ItemState(
            item=result.item, attempt=result.attempt_id, is_running=True
        )
    return messages.ItemState(
        item=result.item,
        attempt=result.attempt_id,
        is_running=False,
        status=result.status,
        body=result.body,
        refusal=result.refusal,
    )


def _can_rerun(submit: messages.Submit, result: results_lib.Result) -> bool:
    """Return whether an item that ended in a refusal may run again."""
    if result.refusal is None:
        return False
    return result.has_not_run or submit.is_repeatable


def _create_result(
    attempt: attempts.Attempt, outcome: execution.Completed | endpoints.Failed
) -> results_lib.Result:
    item = attempt.submit.item
    if isinstance(outcome, endpoints.Failed):
        return results_lib.Result(item, attempt.id, refusal=outcome.refusal)
    return results_lib.Result(
        item,
        attempt.id,
        attempt.status,
        attempt.get_response_type(),
        attempt.build_body(),
    )


def _refuse_stale() -> outcomes.Refusal:
    return outcomes.refuse(
        outcomes.Code.STALE_FENCE, "The job has a newer owner."
    )
