"""The state of one attempt in the agent."""

import enum
from typing import Final

import anyio
import msgspec

from eelgrassgate import deadlines
from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.agent import fair_queue
from eelgrassgate.agent import responses
from eelgrassgate.engine import assembly
from eelgrassgate.engine import base

EVENT_STREAM: Final = "text/event-stream"
BYTES_PER_TOKEN: Final = 4
ITEM_OVERHEAD_BYTES: Final = 1000


class StopReason(enum.Enum):
    """Why a running attempt is being stopped."""

    PREEMPT = "suspend"
    CANCEL = "cancel"
    SHUT_DOWN = "shut_down"


class Attempt:
    """An attempt from its submit message to its end.

    Attributes:
        submit: The submit message.
        queue_item: The attempt's entry in the queue.
        is_engine: Whether the endpoint is a model engine.
        size_bytes: Bytes of a batch response received so far.
        response: The response stream; replaced when a new owner attaches.
        fence: Fencing token of the newest owner that submitted the item.
        status: HTTP status of the response, 0 until it arrives.
        content_type: Media type of the response.
        parts: Body parts received of a batch response that is not assembled.
        streamed_body: Request body that turns a plain batch completion into
            a stream; None if the attempt does not run as a stream.
        assembler: Tokens received of a batch completion that runs as a
            stream.
        tokens: Tokens received, where an online part counts as one; includes
            those from before a preemption that can be resumed.
        total_tokens: Token usage reported by the endpoint.
        has_started: Whether the endpoint may have started to run it.
        sent_at: Instant of the latest dispatch.
        has_first_part: Whether a part has arrived since the latest dispatch.
        scope: Cancel scope of the running call.
        stop_reason: Why the attempt is being stopped, None if it is not.
    """

    def __init__(
        self,
        submit: messages.Submit,
        queue_item: fair_queue.QueueItem,
        stream: responses.ResponseStream,
        is_engine: bool,
    ) -> None:
        """Create a waiting attempt."""
        self.submit = submit
        self.queue_item = queue_item
        self.response = stream
        self.is_engine = is_engine
        self.size_bytes = 0
        self.fence = submit.fence
        self.status = 0
        self.content_type = ""
        self.parts: list[bytes] = []
        self.streamed_body: bytes | None = None
        self.assembler: assembly.StreamAssembler | None = None
        self.tokens = 0
        self.total_tokens: int | None = None
        self.has_started = False
        self.sent_at = 0.0
        self.has_first_part = False
        self.scope: anyio.CancelScope | None = None
        self.stop_reason: StopReason | None = None

    @property
    def id(self) -> str:
        """The attempt's id, also sent to the endpoint."""
        return self.submit.attempt

    @property
    def klass(self) -> outcomes.RequestClass:
        """The class: online or batch."""
        return self.submit.klass

    @property
    def is_online(self) -> bool:
        """Whether the attempt is of the online class."""
        return self.submit.klass is outcomes.RequestClass.ONLINE

    @property
    def is_event_stream(self) -> bool:
        """Whether the endpoint is asked for an event stream."""
        return self.submit.is_stream or self.streamed_body is not None

    @property
    def is_assembled(self) -> bool:
        """Whether the plain response is assembled from a stream."""
        is_stream = self.content_type.startswith(EVENT_STREAM)
        return self.assembler is not None and is_stream

    def build_call(self) -> base.Call:
        """Return the call for the endpoint; it resumes after received tokens.

        The call has no deadline, because the executor enforces it. The
        executor's deadline also covers waiting for a slow reader.
        """
        submit = self.submit
        return base.Call(
            attempt=submit.attempt,
            method=submit.method,
            path=submit.path,
            body=self.streamed_body or submit.body,
            content_type=submit.content_type,
            is_stream=self.is_event_stream,
            deadline=deadlines.NEVER,
            fence=self.fence,
            resume_from=self.tokens if self.assembler else 0,
        )

    def restart(self) -> None:
        """Discard received parts, so that the attempt runs from the start."""
        self.tokens = 0
        self.size_bytes = 0
        self.parts.clear()
        if self.streamed_body is not None:
            self.assembler = assembly.StreamAssembler()

    def compute_cost(self) -> float:
        """Return the cost in tokens, estimated if usage was not reported."""
        if self.total_tokens is not None:
            return float(self.total_tokens)
        if not self.has_started:
            return 0.0
        if not self.is_event_stream:
            return self.queue_item.cost
        prompt = len(self.submit.body) / BYTES_PER_TOKEN
        return min(self.queue_item.cost, prompt + self.tokens)

    def get_response_type(self) -> str:
        """Return the media type of a batch attempt's response."""
        if self.is_assembled:
            return assembly.CONTENT_TYPE
        return self.content_type

    def build_body(self) -> bytes:
        """Return the complete response body of a batch attempt."""
        if self.assembler and self.is_assembled:
            return self.assembler.build_body()
        return b"".join(self.parts)

    def create_refusal(
        self, code: outcomes.Code, message: str
    ) -> outcomes.Refusal:
        """Return a refusal that states whether the attempt may have run."""
        if self.has_started:
            return outcomes.refuse_unknown(code, message)
        return outcomes.refuse(code, message)


def create_attempt(
    submit: messages.Submit,
    stream: responses.ResponseStream,
    now: float,
    *,
    is_engine: bool,
) -> Attempt:
    """Create the attempt for a submit message received at instant `now`.

    Plain batch completions run as streams, so that they can be preempted and
    resumed.
    """
    queue_item = fair_queue.QueueItem(
        attempt_id=submit.attempt,
        workspace=submit.workspace,
        weight=submit.weight,
        cost=submit.cost,
        deadline=_compute_deadline(submit.remaining_ms, now),
        due=_compute_deadline(submit.due_ms, now),
        size_bytes=len(submit.body) + ITEM_OVERHEAD_BYTES,
        elsewhere=submit.elsewhere,
    )
    attempt = Attempt(submit, queue_item, stream, is_engine)
    if is_engine and not attempt.is_online and not submit.is_stream:
        streamed = assembly.create_stream_body(submit.path, submit.body)
        attempt.streamed_body = streamed
        attempt.restart()
    return attempt


def clear_cost(queue_item: fair_queue.QueueItem) -> fair_queue.QueueItem:
    """Return `queue_item` without its cost, which is already charged."""
    return msgspec.structs.replace(queue_item, cost=0.0, elsewhere=0.0)


def _compute_deadline(remaining_ms: int | None, now: float) -> float:
    if remaining_ms is None:
        return deadlines.NEVER
    return now + remaining_ms / deadlines.MS_PER_S
