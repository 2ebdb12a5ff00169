"""Parses and validates the lines of an uploaded file, in bounded memory."""

from collections.abc import AsyncIterator
from collections.abc import Iterator
from typing import Final

import msgspec
import xxhash

from eelgrassgate import outcomes
from eelgrassgate.jobs import packing
from eelgrassgate.jobs import records

MAX_CUSTOM_ID_CHARS: Final = 512
BYTE_ORDER_MARK: Final = b"\xef\xbb\xbf"
METHODS: Final = frozenset({"GET", "POST", "PUT", "PATCH", "DELETE"})


class BadLineError(Exception):
    """A line is invalid, or the file exceeds a limit.

    Attributes:
        refusal: The refusal for the caller; its message names the line.
    """

    def __init__(self, code: outcomes.Code, message: str) -> None:
        """Create the refusal from a code and a message."""
        super().__init__(message)
        self.refusal = outcomes.refuse(code, message)


class _Line(msgspec.Struct, frozen=True):
    """Schema of a line; unknown fields are ignored."""

    custom_id: str
    method: str
    url: str
    body: msgspec.Raw


_DECODER: Final = msgspec.json.Decoder(_Line)


def _make_error(line: int, message: str) -> BadLineError:
    return BadLineError(outcomes.Code.BAD_REQUEST, f"line {line}: {message}")


class LineReader:
    """Reads items from the bytes of a file as they arrive."""

    def __init__(self, max_bytes: int, max_items: int) -> None:
        """Create a reader with bounds on bytes and items."""
        self._max_bytes = max_bytes
        self._max_items = max_items
        self._digest = xxhash.xxh3_128()
        self._custom_ids: set[int] = set()
        self._line = 0
        self.bytes = 0
        self.items = 0

    def compute_digest(self) -> str:
        """Return the digest of the bytes read so far."""
        return self._digest.hexdigest()

    async def read(
        self, chunks: AsyncIterator[bytes]
    ) -> AsyncIterator[records.Item]:
        """Yield items.

        Raises:
            BadLineError: A line is invalid or a duplicate, or a limit is
                exceeded.
        """
        remainder = b""
        async for chunk in chunks:
            self._count(chunk)
            *lines, remainder = (remainder + chunk).split(b"\n")
            if len(remainder) > packing.MAX_LINE_BYTES:
                raise self._make_too_long_error(self._line + len(lines) + 1)
            for item in self._check_all(lines):
                yield item
        for item in self._check_all([remainder]):
            yield item

    def _count(self, chunk: bytes) -> None:
        self._digest.update(chunk)
        self.bytes += len(chunk)
        if self.bytes > self._max_bytes:
            raise BadLineError(
                outcomes.Code.BODY_TOO_LARGE,
                f"line {self._line + 1}: the file is larger than "
                f"{self._max_bytes} bytes",
            )

    def _check_all(self, lines: list[bytes]) -> Iterator[records.Item]:
        for line in lines:
            self._line += 1
            if self._line == 1:
                line = line.removeprefix(BYTE_ORDER_MARK)
            if line.strip():
                yield self._check(line)

    def _check(self, line: bytes) -> records.Item:
        if len(line) > packing.MAX_LINE_BYTES:
            raise self._make_too_long_error(self._line)
        try:
            parsed = _DECODER.decode(line)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise _make_error(self._line, str(error)) from error
        message = self._validate(parsed)
        if message:
            raise _make_error(self._line, message)
        self.items += 1
        return records.Item(
            parsed.custom_id, parsed.method, parsed.url, bytes(parsed.body)
        )

    def _validate(self, line: _Line) -> str:
        """Return why a line that matches the schema is invalid, else ""."""
        if self.items >= self._max_items:
            return f"the file holds more than {self._max_items} items"
        if not 0 < len(line.custom_id) <= MAX_CUSTOM_ID_CHARS:
            return f"custom_id must have 1 to {MAX_CUSTOM_ID_CHARS} characters"
        if line.method not in METHODS:
            return f"method {line.method[:20]!r} is not supported"
        if not line.url.startswith("/"):
            return "url must be a path that starts with a slash"
        if not bytes(line.body).startswith(b"{"):
            return "body must be an object"
        digest = xxhash.xxh3_64_intdigest(line.custom_id.encode())
        if digest in self._custom_ids:
            return f"custom_id {line.custom_id[:80]!r} is a duplicate"
        self._custom_ids.add(digest)
        return ""

    def _make_too_long_error(self, line: int) -> BadLineError:
        return BadLineError(
            outcomes.Code.BODY_TOO_LARGE,
            f"line {line}: longer than {packing.MAX_LINE_BYTES} bytes",
        )
