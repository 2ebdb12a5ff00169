"""Latency of small requests to a gateway beside other load.

Run by `python -m bench.small_requests IP PORT HOST KEY` in a process of its
own. Sends a request every 50 ms until its standard input ends, then prints a
line of JSON.
"""

import asyncio
import contextlib
import sys
import time
from typing import Final

import msgspec

INTERVAL_S: Final = 0.05
TIMEOUT_S: Final = 10.0
BODY: Final = bytes(2_000)
NO_ANSWER: Final = "none"


class Result(msgspec.Struct):
    """Statuses and latencies so far."""

    answers: dict[str, int] = {}
    latencies_ms: list[float] = []


async def _send_one(
    number: int, ip: str, port: int, head: str, result: Result
) -> None:
    started_at = time.monotonic()
    status = NO_ANSWER
    with contextlib.suppress(
        OSError, asyncio.IncompleteReadError, TimeoutError
    ):
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                request_id = f"s{number}-{time.monotonic_ns()}"
                writer.write(f"{head}Request-Id: {request_id}\r\n\r\n".encode())
                writer.write(BODY)
                line = await reader.readline()
                # The connection closes at the end of the response.
                await reader.read()
                if line:
                    status = line.decode("latin-1").split(" ")[1]
            finally:
                writer.close()
    result.answers[status] = result.answers.get(status, 0) + 1
    result.latencies_ms.append((time.monotonic() - started_at) * 1000.0)


async def _run(ip: str, port: int, host: str, key: str) -> None:
    head = (
        f"POST /small/a HTTP/1.1\r\nHost: {host}\r\n"
        f"Authorization: Bearer {key}\r\nConnection: close\r\n"
        f"Time-Remaining: {int(TIMEOUT_S * 1000)}\r\n"
        f"Content-Length: {len(BODY)}\r\n"
    )
    result = Result()
    stopping = asyncio.create_task(asyncio.to_thread(sys.stdin.read))
    async with asyncio.TaskGroup() as tasks:
        number = 0
        while not stopping.done():
            tasks.create_task(_send_one(number, ip, port, head, result))
            number += 1
            await asyncio.sleep(INTERVAL_S)
    print(msgspec.json.encode(result).decode(), flush=True)


if __name__ == "__main__":
    asyncio.run(_run(sys.argv[1], int(sys.argv[2]), sys.argv[3], sys.argv[4]))
