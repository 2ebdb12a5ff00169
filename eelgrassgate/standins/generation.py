"""Continuous batching of a pretended model, without any HTTP.

Requests are admitted in the order in which they come, whoever sent them, up
to `Options.max_running`; the others wait inside. All running requests get one
token at each step, and a step takes longer the more of them run.
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

CHARACTERS_PER_TOKEN: Final = 4
MS_PER_S: Final = 1000.0
SUSPENDED_KEPT: Final = 10_000
WORDS: Final = (
    *("hours", "floor", "coat", "elder", "tutor", "desk", "primer", "garden"),
    *("visit", "roster", "sand", "resin", "carpentry", "member", "parish"),
    *("crew", "quote", "slab", "cure", "morning", "sheet", "offer", "match"),
)


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the pretended engine.

    Attributes:
        models: The models that it serves.
        max_running: Requests that run at once; more wait inside.
        step_ms: Time of a step, without what the running ones add.
        step_ms_per_running: What each running request adds to a step.
        prefill_ms_per_token: What each uncached prompt token adds to the
            step that admits its request.
        cache_blocks: Prompt blocks that the prefix cache holds.
        default_tokens: Tokens generated where a request names no limit.
        event_lag_s: Lateness of cache events.
        event_gap_every: Every so many cache events, one is lost; 0 for none.
        load_lag_s: Lateness of the load report.
        checks_fence: Whether orders with an old fencing number are refused.
        can_resume: Whether cancelled streams may be resumed.
        speed: Factor by which everything runs faster.
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


class Order(msgspec.Struct, frozen=True):
    """One request to generate.

    Attributes:
        attempt: The request's id.
        prompt: The prompt's text.
        max_tokens: How many tokens the whole answer has.
        resume_from: How many of them are not wanted any more.
    """

    attempt: str
    prompt: str
    max_tokens: int
    resume_from: int = 0


class Cached(msgspec.Struct, frozen=True):
    """A cache event: a block stored or evicted at an instant."""

    sequence: int
    at: float
    digest: str
    is_stored: bool


class Admission(msgspec.Struct, frozen=True):
    """An instant at which a request began to run."""

    at: float
    attempt: str


class Sample(msgspec.Struct, frozen=True):
    """The engine's load at an instant."""

    at: float
    running: int
    waiting: int
    cache_used: float


def count_tokens(text: str) -> int:
    """Return how many tokens `text` counts as."""
    return math.ceil(len(text) / CHARACTERS_PER_TOKEN)


def choose_word(prompt: str, index: int) -> str:
    """Return the token at `index` of the answer to `prompt`."""
    return WORDS[
        xxhash.xxh3_64_intdigest(prompt.encode(), seed=index) % len(WORDS)
    ]


class PrefixCache:
    """Holds the blocks of recent prompts in limited memory."""

    def __init__(self, options: Options, clock: Callable[[], float]) -> None:
        """Start empty."""
        self._options = options
        self._clock = clock
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[Cached] = deque(maxlen=10_000)
        self._sequence = 0
        self.hits = 0
        self.lookups = 0

    @property
    def used(self) -> float:
        """The part of the memory that is in use."""
        return len(self._blocks) / self._options.cache_blocks

    def take(self, prompt: str) -> int:
        """Store `prompt`; return how many of its tokens were not held."""
        held = 0
        is_head = True
        for digest in prefix.compute_digests(prompt):
            self.lookups += 1
            is_head = is_head and digest in self._blocks
            held += is_head
            self._store(digest)
        self.hits += held
        covered = held * prefix.BLOCK_CHARS
        return count_tokens(prompt[covered:])

    def list_events(self, since: int) -> Iterator[Cached]:
        """Yield events from `since` on, late and with gaps."""
        until = self._clock() - self._options.event_lag_s / self._options.speed
        every = self._options.event_gap_every
        for event in self._events:
            is_lost = every and event.sequence % every == every - 1
            if event.sequence >= since and event.at <= until and not is_lost:
                yield event

    def _store(self, digest: str) -> None:
        if digest in self._blocks:
            self._blocks.move_to_end(digest)
            return
        self._blocks[digest] = None
        self._log(digest, True)
        if len(self._blocks) > self._options.cache_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._log(evicted, False)

    def _log(self, digest: str, is_stored: bool) -> None:
        self._events.append(
            Cached(self._sequence, self._clock(), digest, is_stored)
        )
        self._sequence += 1


class _Sequence:
    """One request inside the engine."""

    def __init__(self, order: Order) -> None:
        self.order = order
        self.emitted = order.resume_from
        self.send: memory.MemoryObjectSendStream[str]
        self.receive: memory.MemoryObjectReceiveStream[str]
        self.send, self.receive = anyio.create_memory_object_stream[str](
            math.inf
        )

    def emit(self) -> bool:
        """Send one token; return whether the answer is whole."""
        word = choose_word(self.order.prompt, self.emitted)
        self.emitted += 1
        self.send.send_nowait(word + " ")
        return self.emitted >= self.order.max_tokens


class Core:
    """The pretended engine."""

    def __init__(
        self, options: Options, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Start idle."""
        self.options = options
        self.cache = PrefixCache(options, clock)
        self.executions_by_attempt: Counter[str] = Counter()
        self.tokens = 0
        self.admissions: deque[Admission] = deque(maxlen=20_000)
        self._clock = clock
        self._waiting: deque[_Sequence] = deque()
        self._running: dict[str, _Sequence] = {}
        self._suspended: OrderedDict[str, None] = OrderedDict()
        self._work = anyio.Event()
        self._samples: deque[Sample] = deque(maxlen=1000)
        self._prefill_tokens = 0

    def start(self, order: Order) -> memory.MemoryObjectReceiveStream[str]:
        """Take a request; return the stream of its tokens."""
        sequence = _Sequence(order)
        self._waiting.append(sequence)
        self._work.set()
        return sequence.receive

    def is_resumable(self, attempt: str) -> bool:
        """Tell whether `attempt` was cancelled here and may be resumed."""
        return self.options.can_resume and attempt in self._suspended

    def cancel(self, attempt: str) -> bool:
        """Stop a request; return whether it was here."""
        found = self._running.pop(attempt, None)
        for sequence in self._waiting:
            if sequence.order.attempt == attempt:
                found = sequence
        if found is None:
            return False
        if found in self._waiting:
            self._waiting.remove(found)
        found.send.close()
        self._suspended[attempt] = None
        if len(self._suspended) > SUSPENDED_KEPT:
            self._suspended.popitem(last=False)
        return True

    def list_running(self) -> tuple[str, ...]:
        """Return the ids of the requests that run."""
        return tuple(self._running)

    def sample(self) -> Sample:
        """Return the load as it is now."""
        return Sample(
            self._clock(),
            len(self._running),
            len(self._waiting),
            self.cache.used,
        )

    def read_load(self) -> Sample:
        """Return the load as it was, late by the lag."""
        until = self._clock() - self.options.load_lag_s / self.options.speed
        known = Sample(0.0, 0, 0, 0.0)
        for sample in self._samples:
            if sample.at > until:
                return known
            known = sample
        return known

    async def run(self) -> None:
        """Step for ever."""
        while True:
            self._admit()
            self._samples.append(self.sample())
            if not self._running:
                self._work = anyio.Event()
                await self._work.wait()
                continue
            await anyio.sleep(self._compute_step_s())
            self._step()

    def _admit(self) -> None:
        self._prefill_tokens = 0
        while self._waiting and len(self._running) < self.options.max_running:
            sequence = self._waiting.popleft()
            order = sequence.order
            is_kept = self._suspended.pop(order.attempt, "absent") is None
            if not (is_kept and order.resume_from):
                self._prefill_tokens += self.cache.take(order.prompt)
            self._running[order.attempt] = sequence
            if not order.resume_from:
                self.executions_by_attempt[order.attempt] += 1
            self.admissions.append(Admission(self._clock(), order.attempt))

    def _compute_step_s(self) -> float:
        step_ms = (
            self.options.step_ms
            + self.options.step_ms_per_running * len(self._running)
            + self.options.prefill_ms_per_token * self._prefill_tokens
        )
        return step_ms / MS_PER_S / self.options.speed

    def _step(self) -> None:
        for attempt, sequence in tuple(self._running.items()):
            self.tokens += 1
            if sequence.emit():
                del self._running[attempt]
                sequence.send.close()
