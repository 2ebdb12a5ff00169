"""Runs a plain completion as a stream, so that it can be resumed.

The agent keeps the tokens received across a preemption, and assembles the
plain response from them at the end.
"""

from typing import Any
from typing import Final

import msgspec

PATHS: Final = frozenset(("/v1/chat/completions", "/v1/completions"))
DONE: Final = b"[DONE]"
CONTENT_TYPE: Final = "application/json"


def create_stream_body(path: str, body: bytes) -> bytes | None:
    """Return a request body that asks for a stream, or None if impossible."""
    if path not in PATHS:
        return None
    try:
        request = msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.DecodeError:
        return None
    if request.get("stream") or request.get("n", 1) != 1 or "tools" in request:
        return None
    options = {"include_usage": True}
    return msgspec.json.encode(
        {**request, "stream": True, "stream_options": options}
    )


class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None


class _Choice(msgspec.Struct, frozen=True):
    delta: _Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class _Event(msgspec.Struct, frozen=True):
    id: str = ""
    object: str = ""
    created: int = 0
    model: str = ""
    choices: tuple[_Choice, ...] = ()
    usage: dict[str, Any] | None = None
    error: Any = None


class StreamAssembler:
    """Assembles a plain completion from the events of a stream."""

    def __init__(self) -> None:
        """Create an assembler without tokens."""
        self.tokens = 0
        self.has_error = False
        self._texts: list[str] = []
        self._first_event: _Event | None = None
        self._usage: dict[str, Any] | None = None
        self._finish_reason: str | None = None
        self._is_chat = False

    def add(self, data: bytes) -> None:
        """Add one event; an invalid one marks the response as failed."""
        if data == DONE:
            return
        try:
            event = msgspec.json.decode(data, type=_Event)
        except msgspec.DecodeError:
            self.has_error = True
            return
        self.has_error = self.has_error or event.error is not None
        self._first_event = self._first_event or event
        self._usage = event.usage or self._usage
        for choice in event.choices:
            self._add_choice(choice)

    def _add_choice(self, choice: _Choice) -> None:
        self._finish_reason = choice.finish_reason or self._finish_reason
        self._is_chat = self._is_chat or choice.delta is not None
        content = choice.delta.content if choice.delta else None
        text = content or choice.text or ""
        if text:
            self.tokens += 1
            self._texts.append(text)

    def build_body(self) -> bytes:
        """Return the body of the plain response."""
        text = "".join(self._texts)
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": self._finish_reason,
            "logprobs": None,
        }
        if self._is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        first = self._first_event or _Event()
        return msgspec.json.encode(
            {
                "id": first.id,
                "object": first.object.removesuffix(".chunk"),
                "created": first.created,
                "model": first.model,
                "choices": [choice],
                "usage": self._usage,
            }
        )
