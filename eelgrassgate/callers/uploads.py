"""Parses multipart uploads incrementally, in bounded memory."""

from collections.abc import AsyncGenerator
from collections.abc import Iterator
from typing import Final

import anyio
from python_multipart import exceptions
from python_multipart import multipart
from starlette import requests

from eelgrassgate import deadlines

READ_TIMEOUT_S: Final = 30.0
MAX_FIELD_BYTES: Final = 1024
FILE_FIELD: Final = b"file"


class UploadError(Exception):
    """An upload is invalid; the message is sent to the caller."""


class _FormReader:
    """Collects the bytes of the file field while the form is parsed."""

    def __init__(self, boundary: bytes) -> None:
        self._field = b""
        self._header = b""
        self._value = b""
        self._blocks: list[bytes] = []
        self.has_file = False
        self.has_ended = False
        self.parser = multipart.MultipartParser(
            boundary,
            {
                "on_part_begin": self._on_part_begin,
                "on_header_field": self._on_header_field,
                "on_header_value": self._on_header_value,
                "on_header_end": self._on_header_end,
                "on_part_data": self._on_part_data,
                "on_end": self._on_end,
            },
        )

    def pop_blocks(self) -> Iterator[bytes]:
        """Yield and remove the file's bytes parsed so far."""
        blocks = self._blocks
        self._blocks = []
        yield from blocks

    def _on_part_begin(self) -> None:
        self._field = b""
        self._header = b""
        self._value = b""

    def _on_header_field(self, data: bytes, start: int, end: int) -> None:
        self._header += data[start:end]

    def _on_header_value(self, data: bytes, start: int, end: int) -> None:
        self._value += data[start:end]

    def _on_header_end(self) -> None:
        if self._header.lower() == b"content-disposition":
            _, options = multipart.parse_options_header(self._value)
            self._field = options.get(b"name", b"")
        self._header = b""
        self._value = b""

    def _on_part_data(self, data: bytes, start: int, end: int) -> None:
        if self._field == FILE_FIELD:
            self.has_file = True
            self._blocks.append(data[start:end])

    def _on_end(self) -> None:
        self.has_ended = True


async def read_file(
    request: requests.Request,
) -> AsyncGenerator[bytes, None]:
    """Yield the bytes of the field `file` as they arrive.

    Raises:
        UploadError: The body is not a complete multipart form with a file.
    """
    reader = _FormReader(_get_boundary(request))
    body = request.stream()
    while True:
        chunk = await _read_chunk(body)
        if chunk is None:
            break
        try:
            reader.parser.write(chunk)
        except exceptions.FormParserError as error:
            raise UploadError(f"the form is malformed: {error}") from error
        for block in reader.pop_blocks():
            yield block
    if not reader.has_ended:
        raise UploadError("the request body is incomplete")
    if not reader.has_file:
        raise UploadError("the form has no field `file`")


def _get_boundary(request: requests.Request) -> bytes:
    header = request.headers.get("content-type", "")
    kind, options = multipart.parse_options_header(header)
    boundary = options.get(b"boundary")
    if kind != b"multipart/form-data" or not boundary:
        raise UploadError("the body is not multipart/form-data")
    return boundary


async def _read_chunk(body: AsyncGenerator[bytes, None]) -> bytes | None:
    read_deadline = deadlines.after(READ_TIMEOUT_S)
    try:
        with anyio.fail_after(deadlines.compute_remaining(read_deadline)):
            return await anext(body, None)
    except (TimeoutError, requests.ClientDisconnect) as error:
        raise UploadError("the request body is incomplete") from error
