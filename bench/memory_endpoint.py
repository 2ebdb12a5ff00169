"""Endpoint of the loads of `bench.memory_load`.

Run by `python -m bench.memory_endpoint PORT`, in a process of its own, so that
large requests delay small ones only in the gateway.
"""

import asyncio
import contextlib
import sys
from typing import Final

from bench import ports

# How long the endpoint works on a large request.
WORK_S: Final = 2.0
ANSWER_BYTES: Final = 6_000_000
PIECE_BYTES: Final = 65_536
SMALL_BYTES: Final = 2_000
BACKLOG: Final = 1_000


async def _serve_endpoint(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer requests by their path; keeps nothing of their bodies."""
    with (
        contextlib.closing(writer),
        contextlib.suppress(OSError, asyncio.IncompleteReadError),
    ):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            fields = dict(
                line.lower().split(": ", 1)
                for line in head.split("\r\n")[1:]
                if ": " in line
            )
            left = int(fields.get("content-length", "0"))
            is_large_body = left > SMALL_BYTES
            while left:
                left -= len(await reader.read(min(left, PIECE_BYTES)))
            path = head.split(" ")[1]
            start = (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {fields['request-id']}\r\n"
                "Response-Signature: 1.1\r\n"
            ).encode()
            if path.startswith("/large/"):
                writer.write(
                    start + b"Content-Length: %d\r\n\r\n" % ANSWER_BYTES
                )
                for _ in range(ANSWER_BYTES // PIECE_BYTES):
                    writer.write(bytes(PIECE_BYTES))
                    await writer.drain()
                writer.write(bytes(ANSWER_BYTES % PIECE_BYTES))
                continue
            if is_large_body:
                await asyncio.sleep(WORK_S)
            event = b"id: 1\ndata: x\n\n"
            length = b"Content-Length: %d\r\n" % len(event)
            kind = b"Content-Type: text/event-stream\r\n\r\n"
            writer.write(start + length + kind + event)


async def _run(port: int) -> None:
    server = await asyncio.start_server(
        _serve_endpoint, ports.HOST, port, backlog=BACKLOG
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_run(int(sys.argv[1])))
