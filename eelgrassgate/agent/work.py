"""One attempt in the agent's hands."""

import enum
from typing import Final

import anyio
import msgspec

from eelgrassgate import deadlines
from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate.agent import outbox
from eelgrassgate.agent import shares
from eelgrassgate.engine import assembly
from eelgrassgate.engine import base

EVENTS: Final = "text/event-stream"
BYTES_PER_TOKEN: Final = 4
OVERHEAD_BYTES: Final = 1000


class Stop(enum.Enum):
    """Why a running attempt is being stopped."""

    SUSPEND = "suspend"
    CANCEL = "cancel"
    SHUT_DOWN = "shut_down"


class Work:
    """An attempt from its submit to its end.

    Attributes:
        submit: What was asked.
        item: What the queue knows of it.
        is_engine: Whether the endpoint is a model engine.
        size_bytes: Memory that a batch answer holds so far.
        outbox: The way back; changes when a new owner attaches.
        fence: The fencing number of the newest owner that asked for it.
        status: The answer's status, 0 before.
        content_type: The answer's media type.
        parts: A batch answer's plain body so far.
        assembly: A batch answer's tokens so far, if it runs as a stream.
        tokens: Parts received from the endpoint, kept ones included.
        total_tokens: Work as told by the endpoint at the end.
        has_run: Whether the endpoint may have begun on it.
        sent_at: Instant of the latest dispatch.
        has_first: Whether a part has come since the latest dispatch.
        scope: Cancels the running call.
        stop: Why it is being stopped, if it is.
    """

    def __init__(
        self,
        submit: messages.Submit,
        item: shares.Item,
        out: outbox.Outbox,
        is_engine: bool,
    ) -> None:
        """Start waiting."""
        self.submit = submit
        self.item = item
        self.outbox = out
        self.is_engine = is_engine
        self.size_bytes = 0
        self.fence = submit.fence
        self.status = 0
        self.content_type = ""
        self.parts: list[bytes] = []
        self.streamed_body: bytes | None = None
        self.assembly: assembly.Assembly | None = None
        self.tokens = 0
        self.total_tokens: int | None = None
        self.has_run = False
        self.sent_at = 0.0
        self.has_first = False
        self.scope: anyio.CancelScope | None = None
        self.stop: Stop | None = None

    @property
    def attempt(self) -> str:
        """The attempt's id, by which the endpoint knows it."""
        return self.submit.attempt

    @property
    def klass(self) -> outcomes.RequestClass:
        """Online or batch."""
        return self.submit.klass

    @property
    def is_online(self) -> bool:
        """Whether a caller waits for it."""
        return self.submit.klass is outcomes.RequestClass.ONLINE

    @property
    def is_event_stream(self) -> bool:
        """Whether it runs as a stream at the endpoint."""
        return self.submit.is_stream or self.streamed_body is not None

    @property
    def is_assembled(self) -> bool:
        """Whether a plain answer is put together from a stream."""
        is_stream = self.content_type.startswith(EVENTS)
        return self.assembly is not None and is_stream

    def write_call(self) -> base.Call:
        """Return the call to the endpoint, resumed if tokens are in hand.

        The executor holds the deadline, also while a slow reader is awaited.
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
            resume_from=self.tokens if self.assembly else 0,
        )

    def restart(self) -> None:
        """Throw away what has come, to run again from the start."""
        self.tokens = 0
        self.size_bytes = 0
        self.parts.clear()
        if self.streamed_body is not None:
            self.assembly = assembly.Assembly()

    def compute_cost(self) -> float:
        """Return the work that it took, in tokens, as well as is known."""
        if self.total_tokens is not None:
            return float(self.total_tokens)
        if not self.has_run:
            return 0.0
        if not self.is_event_stream:
            return self.item.cost
        prompt = len(self.submit.body) / BYTES_PER_TOKEN
        return min(self.item.cost, prompt + self.tokens)

    def write_type(self) -> str:
        """Return the media type of a batch attempt's whole answer."""
        if self.is_assembled:
            return assembly.CONTENT_TYPE
        return self.content_type

    def write_body(self) -> bytes:
        """Return a batch attempt's whole answer."""
        if self.assembly and self.is_assembled:
            return self.assembly.write_body()
        return b"".join(self.parts)

    def explain(self, code: outcomes.Code, message: str) -> outcomes.Refusal:
        """Return a refusal that is true about whether it ran."""
        if self.has_run:
            return outcomes.refuse_unknown(code, message)
        return outcomes.refuse(code, message)


def create_work(
    submit: messages.Submit, out: outbox.Outbox, now: float, *, is_engine: bool
) -> Work:
    """Create the work for a submit received at the instant `now`.

    Plain batch completions run as streams, so that they can be suspended.
    """
    item = shares.Item(
        attempt=submit.attempt,
        workspace=submit.workspace,
        weight=submit.weight,
        cost=submit.cost,
        deadline=_decode(submit.remaining_ms, now),
        due=_decode(submit.due_ms, now),
        size_bytes=len(submit.body) + OVERHEAD_BYTES,
        elsewhere=submit.elsewhere,
    )
    work = Work(submit, item, out, is_engine)
    if is_engine and not work.is_online and not submit.is_stream:
        streamed = assembly.write_streamed(submit.path, submit.body)
        work.streamed_body = streamed
        work.restart()
    return work


def free(item: shares.Item) -> shares.Item:
    """Return `item` without cost, since that has been charged."""
    return msgspec.structs.replace(item, cost=0.0, elsewhere=0.0)


def _decode(remaining_ms: int | None, now: float) -> float:
    if remaining_ms is None:
        return deadlines.NEVER
    return now + remaining_ms / deadlines.MS_PER_S
