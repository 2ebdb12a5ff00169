"""Records the requests that a simulated server receives, for tests."""

from collections import Counter
from collections import deque
from typing import Final

import msgspec
from starlette import requests

MAX_RECORDED: Final = 20_000


class Received(msgspec.Struct, frozen=True):
    """A received request with its headers."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: str


class Recorder:
    """Keeps the most recent requests and counts executions."""

    def __init__(self) -> None:
        """Create an empty recorder."""
        self.received: deque[Received] = deque(maxlen=MAX_RECORDED)
        self.executions_by_attempt: Counter[str] = Counter()
        self.executions_by_body: Counter[str] = Counter()

    async def receive(self, request: requests.Request) -> bytes:
        """Record a request; return its body."""
        body = await request.body()
        self.received.append(
            Received(
                request.method,
                str(request.url.path),
                tuple(request.headers.items()),
                body.decode(errors="replace"),
            )
        )
        return body

    def contains(self, text: str) -> bool:
        """Return whether any recorded request contains `text`."""
        return any(text in str(each) for each in self.received)

    def count_execution(self, attempt: str, body: str) -> None:
        """Count an execution of a request."""
        self.executions_by_attempt[attempt] += 1
        self.executions_by_body[body] += 1
