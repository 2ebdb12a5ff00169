"""A stand-in of a worker: a model engine or a plain service."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import time

from harness import http
from harness import store as store_lib

Handler = Callable[["Worker", http.Request, asyncio.StreamWriter], Awaitable]
BORN = 1_800_000_000_000


class Worker:
    """A worker that registers in the store and answers by `handle`.

    Attributes:
        id: The worker's id.
        arrived: Requests that arrived, with their time.
        ran: Ids of the requests that it began to work on, with their time.
    """

    def __init__(
        self,
        store: store_lib.Store,
        name: str,
        service: str,
        zone: str,
        handle: Handler,
    ) -> None:
        """Create a worker that is not started."""
        self.id = name
        self.service = service
        self.zone = zone
        self.arrived: list[tuple[float, http.Request]] = []
        self.ran: list[tuple[float, str]] = []
        self._store = store
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port and register."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2**24
        )
        self.register("ready")

    def register(self, state: str, sequence: int = 1) -> None:
        """Write this worker's entry."""
        assert self._server is not None
        port = self._server.sockets[0].getsockname()[1]
        self._store.put(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": f"127.0.0.1:{port}",
                "zone": self.zone,
                "version": "1",
                "slots": 8,
                "state": state,
                "cold-remaining-ms": 0,
                "sequence": sequence,
                "born": BORN,
            },
        )

    def unregister(self) -> None:
        """Remove this worker's entry."""
        self._store.delete(f"servers/{self.id}")

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def record_run(self, request: http.Request) -> None:
        """Record that this worker begins to work on a request."""
        self.ran.append((time.monotonic(), request.get("request-id") or ""))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await http.read_request(reader)
                self.arrived.append((time.monotonic(), request))
                expected = request.get("expect-instance")
                if expected not in (None, self.id):
                    writer.write(refuse(request, 421))
                else:
                    await self._handle(self, request, writer)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


def sign(body: bytes) -> str:
    """Return a digest of a body."""
    return hashlib.sha256(body).hexdigest()[:8]


def refuse(request: http.Request, status: int = 503) -> bytes:
    """Return a response that states that the request did not run."""
    headers = {
        "Request-Id": request.get("request-id") or "",
        "Not-Executed": "1",
    }
    return http.write_response(status, headers)


def answer(request: http.Request, body: bytes) -> bytes:
    """Return a complete response."""
    headers = {
        "Request-Id": request.get("request-id") or "",
        "Response-Signature": sign(body),
    }
    return http.write_response(200, headers, body)


async def stream(
    request: http.Request,
    writer: asyncio.StreamWriter,
    pieces: list[str],
    pause_s: float,
) -> None:
    """Send a stream of events, from `Last-Event-Id` on."""
    lines = [
        "HTTP/1.1 200 OK",
        f"Request-Id: {request.get('request-id')}",
        "Content-Type: text/event-stream",
        f"Response-Signature: {sign(request.body)}",
        "Transfer-Encoding: chunked",
    ]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    first = int(request.get("last-event-id") or 0)
    for number in range(first + 1, len(pieces) + 1):
        await asyncio.sleep(pause_s)
        event = f"id: {number}\ndata: {pieces[number - 1]}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
