"""Simulates the continuous batching of a model engine, without HTTP.

Requests are admitted first in, first out, up to `Options.max_running`; the
others wait in the engine's queue. Each step generates one token for every
running request and takes longer the more of them there are.
"""

from collections import Counter
from collections import deque
from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Iterator
import math
import time
from typing import Final

import anyio
from anyio.streams import memory
import msgspec
import xxhash

from eelgrassgate.engine import prefix

CHARS_PER_TOKEN: Final = 4
MS_PER_S: Final = 1000.0
MAX_SUSPENDED: Final = 10_000
WORDS: Final = (
    *("hours", "floor", "coat", "elder", "tutor", "desk", "primer", "garden"),
    *("visit", "roster", "sand", "resin", "carpentry", "member", "parish"),
    *("crew", "quote", "slab", "cure", "morning", "sheet", "offer", "match"),
)


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the simulated engine.

    Attributes:
        models: The models that it serves.
        max_running: Maximum number of running requests; others are queued.
        step_ms: Base time of a step.
        step_ms_per_running: Time that each running request adds to a step.
        prefill_ms_per_token: Time that each uncached prompt token adds to
            the step that admits its request.
        cache_blocks: Capacity of the prefix cache in prompt blocks.
        default_tokens: Number of tokens for requests without a limit.
        event_lag_s: Delay of cache events.
        event_gap_every: One in this many cache events is lost; 0 for none.
        load_lag_s: Delay of the load report.
        checks_fence: Whether old fencing tokens are rejected.
        can_resume: Whether cancelled streams can be resumed.
        speed: Factor by which all steps and lags are shortened.
    """

    models: tuple[str, ...] = ("demo",)
    max_running: int = 8
    step_ms: float = 20.0
    step_ms_per_running: float = 0.2
    prefill_ms_per_token: float = 0.05
    cache_blocks: int = 512
    default_tokens: int = 16
    event_lag_s: float = 1.0
    event_gap_every: int = 50
    load_lag_s: float = 1.0
    checks_fence: bool = False
    can_resume: bool = True
    speed: float = 1.0


class GenerationRequest(msgspec.Struct, frozen=True):
    """A request to generate tokens.

    Attributes:
        attempt: The request's id.
        prompt: The prompt's text.
        max_tokens: Number of tokens of the complete response.
        resume_from: Number of tokens to skip when a stream is resumed.
    """

    attempt: str
    prompt: str
    max_tokens: int
    resume_from: int = 0


class CacheEvent(msgspec.Struct, frozen=True):
    """A block was stored in the prefix cache or evicted from it."""

    sequence: int
    at: float
    digest: str
    is_stored: bool


class Admission(msgspec.Struct, frozen=True):
    """A request was admitted at the time `at`."""

    at: float
    attempt: str


class LoadSample(msgspec.Struct, frozen=True):
    """The engine's load at the time `at`."""

    at: float
    running: int
    waiting: int
    cache_used: float


def count_tokens(text: str) -> int:
    """Return the number of tokens of `text`."""
    return math.ceil(len(text) / CHARS_PER_TOKEN)


def choose_word(prompt: str, index: int) -> str:
    """Return the token at `index` of the response to `prompt`."""
    return WORDS[
        xxhash.xxh3_64_intdigest(prompt.encode(), seed=index) % len(WORDS)
    ]


class PrefixCache:
    """An LRU cache of prompt blocks."""

    def __init__(self, options: Options, clock: Callable[[], float]) -> None:
        """Create an empty cache."""
        self._options = options
        self._clock = clock
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=10_000)
        self._sequence = 0
        self.hits = 0
        self.lookups = 0

    @property
    def used(self) -> float:
        """The fraction of the capacity in use."""
        return len(self._blocks) / self._options.cache_blocks

    def add_prompt(self, prompt: str) -> int:
        """Store `prompt`; return the number of its uncached tokens."""
        cached = 0
        is_prefix_cached = True
        for digest in prefix.compute_digests(prompt):
            self.lookups += 1
            is_prefix_cached = is_prefix_cached and digest in self._blocks
            cached += is_prefix_cached
            self._store(digest)
        self.hits += cached
        cached_chars = cached * prefix.BLOCK_CHARS
        return count_tokens(prompt[cached_chars:])

    def list_events(self, since: int) -> Iterator[CacheEvent]:
        """Yield visible events from `since` on, without the lost ones."""
        visible_until = (
            self._clock() - self._options.event_lag_s / self._options.speed
        )
        interval = self._options.event_gap_every
        for event in self._events:
            is_dropped = interval and event.sequence % interval == interval - 1
            if (
                event.sequence >= since
                and event.at <= visible_until
                and not is_dropped
            ):
                yield event

    def _store(self, digest: str) -> None:
        if digest in self._blocks:
            self._blocks.move_to_end(digest)
            return
        self._blocks[digest] = None
        self._record_event(digest, True)
        if len(self._blocks) > self._options.cache_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record_event(evicted, False)

    def _record_event(self, digest: str, is_stored: bool) -> None:
        self._events.append(
            CacheEvent(self._sequence, self._clock(), digest, is_stored)
        )
        self._sequence += 1


class _Sequence:
    """A queued or running request."""

    def __init__(self, request: GenerationRequest) -> None:
        self.request = request
        self.emitted = request.resume_from
        self.send: memory.MemoryObjectSendStream[str]
        self.receive: memory.MemoryObjectReceiveStream[str]
        self.send, self.receive = anyio.create_memory_object_stream[str](
            math.inf
        )

    def emit(self) -> bool:
        """Send one token; return whether the response is complete."""
        word = choose_word(self.request.prompt, self.emitted)
        self.emitted += 1
        self.send.send_nowait(word + " ")
        return self.emitted >= self.request.max_tokens


class SimulatedEngine:
    """A model engine with continuous batching."""

    def __init__(
        self, options: Options, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Create an idle engine."""
        self.options = options
        self.cache = PrefixCache(options, clock)
        self.executions_by_attempt: Counter[str] = Counter()
        self.tokens = 0
        self.admissions: deque[Admission] = deque(maxlen=20_000)
        self._clock = clock
        self._waiting: deque[_Sequence] = deque()
        self._running: dict[str, _Sequence] = {}
        self._suspended: OrderedDict[str, None] = OrderedDict()
        self._work_available = anyio.Event()
        self._samples: deque[LoadSample] = deque(maxlen=1000)
        self._prefill_tokens = 0

    def start(
        self, request: GenerationRequest
    ) -> memory.MemoryObjectReceiveStream[str]:
        """Queue a request; return the stream of its tokens."""
        sequence = _Sequence(request)
        self._waiting.append(sequence)
        self._work_available.set()
        return sequence.receive

    def is_resumable(self, attempt: str) -> bool:
        """Return whether `attempt` was cancelled and can be resumed."""
        return self.options.can_resume and attempt in self._suspended

    def cancel(self, attempt: str) -> bool:
        """Cancel a request; return whether it was queued or running."""
        found = self._running.pop(attempt, None)
        for sequence in self._waiting:
            if sequence.request.attempt == attempt:
                found = sequence
        if found is None:
            return False
        if found in self._waiting:
            self._waiting.remove(found)
        found.send.close()
        self._suspended[attempt] = None
        if len(self._suspended) > MAX_SUSPENDED:
            self._suspended.popitem(last=False)
        return True

    def abandon(self, request: GenerationRequest) -> None:
        """Cancel a request whose caller has left, unless it was resumed.

        A resumed request has the same attempt id but its own caller.
        """
        sequences = (self._running.get(request.attempt), *self._waiting)
        if any(one is not None and one.request is request for one in sequences):
            self.cancel(request.attempt)

    def list_running(self) -> tuple[str, ...]:
        """Return the ids of the running requests."""
        return tuple(self._running)

    def sample(self) -> LoadSample:
        """Return the current load."""
        return LoadSample(
            self._clock(),
            len(self._running),
            len(self._waiting),
            self.cache.used,
        )

    def read_load(self) -> LoadSample:
        """Return the latest load that is older than the lag."""
        visible_until = (
            self._clock() - self.options.load_lag_s / self.options.speed
        )
        latest = LoadSample(0.0, 0, 0, 0.0)
        for sample in self._samples:
            if sample.at > visible_until:
                return latest
            latest = sample
        return latest

    async def run(self) -> None:
        """Admit requests and generate tokens until cancelled."""
        while True:
            self._admit()
            self._samples.append(self.sample())
            if not self._running:
                self._work_available = anyio.Event()
                await self._work_available.wait()
                continue
            await anyio.sleep(self._compute_step_time_s())
            self._generate_tokens()

    def _admit(self) -> None:
        self._prefill_tokens = 0
        while self._waiting and len(self._running) < self.options.max_running:
            sequence = self._waiting.popleft()
            request = sequence.request
            has_state = self._suspended.pop(request.attempt, "absent") is None
            if not (has_state and request.resume_from):
                self._prefill_tokens += self.cache.add_prompt(request.prompt)
            self._running[request.attempt] = sequence
            if not request.resume_from:
                self.executions_by_attempt[request.attempt] += 1
            self.admissions.append(Admission(self._clock(), request.attempt))

    def _compute_step_time_s(self) -> float:
        step_ms = (
            self.options.step_ms
            + self.options.step_ms_per_running * len(self._running)
            + self.options.prefill_ms_per_token * self._prefill_tokens
        )
        return step_ms / MS_PER_S / self.options.speed

    def _generate_tokens(self) -> None:
        for attempt, sequence in tuple(self._running.items()):
            self.tokens += 1
            if sequence.emit():
                del self._running[attempt]
                sequence.send.close()
