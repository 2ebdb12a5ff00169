"""Digests of prompt prefixes, for cache affinity.

A prompt is split into blocks of characters. Each block's digest covers the
block and everything before it, so equal digests mean equal prefixes.
"""

from collections.abc import Iterator
from typing import Any
from typing import Final

import msgspec
import xxhash

BLOCK_CHARS: Final = 64
MAX_BLOCKS: Final = 64


def compute_digests(prompt: str) -> Iterator[str]:
    """Yield the digest of each complete block of `prompt`, in order."""
    state = xxhash.xxh3_64()
    block_count = min(len(prompt) // BLOCK_CHARS, MAX_BLOCKS)
    for index in range(block_count):
        start = index * BLOCK_CHARS
        state.update(prompt[start : start + BLOCK_CHARS].encode())
        yield state.hexdigest()


def read_prompt(body: dict[str, Any]) -> str:
    """Return the prompt text of a completion or chat request."""
    if "messages" not in body:
        return _encode(body.get("prompt", ""))
    messages = body["messages"]
    if not isinstance(messages, list):
        return ""
    return "".join(_format_message(each) for each in messages)


def _format_message(message: Any) -> str:
    if not isinstance(message, dict):
        return ""
    return f"{message.get('role', '')}: {_encode(message.get('content', ''))}\n"


def _encode(content: Any) -> str:
    if isinstance(content, str):
        return content
    return msgspec.json.encode(content).decode()
