"""Callers that go on using open connections, and remember what they saw."""

import base64
import hashlib
import itertools
import random
from typing import Any
from typing import Final

import anyio
import httpx
import msgspec

from tests.soak import world as world_lib

OK: Final = 200
ACCEPTED: Final = 202
TIME_LIMIT_S: Final = 4.0
# A caller's connection attempt may take so long.
CONNECT_S: Final = 1.0
PAUSE_S: Final = 0.15
ITEMS: Final = 4
READ_EVERY_S: Final = 0.3
RESEND_S: Final = 0.3


class Attempt(msgspec.Struct):
    """One request as its caller saw it.

    Attributes:
        id: Its id.
        path: Where it went.
        body: What it sent.
        status: The status of the answer, 0 without one.
        answer: The body of the answer.
        is_whole: Whether the answer came to its end.
        signature: The endpoint's checksum in the head.
    """

    id: str
    path: str
    body: bytes
    status: int = 0
    answer: bytes = b""
    is_whole: bool = False
    signature: str = ""


class Job(msgspec.Struct):
    """One job as its caller saw it.

    Attributes:
        id: Its id.
        items: Ids of its items.
        statuses: Answers to its submissions.
        results: What was read, by position.
        contradictions: Positions that were read twice and differed.
    """

    id: str
    items: list[str]
    statuses: list[int] = []
    results: dict[int, dict[str, Any]] = {}
    contradictions: list[str] = []

    def is_accepted(self) -> bool:
        """Return whether the system promised to do it."""
        return ACCEPTED in self.statuses


def make_headers(key: str, request: str) -> dict[str, str]:
    """Return the headers that every call bears."""
    return {
        "host": world_lib.HOST,
        "authorization": f"Bearer {key}",
        "request-id": request,
        "time-remaining": str(int(TIME_LIMIT_S * 1000)),
    }


def sign(body: bytes) -> str:
    """Return the checksum that an endpoint gives for a request."""
    return hashlib.sha256(body).hexdigest()[:8]


class Callers:
    """All callers of one soak."""

    def __init__(self, world: world_lib.World, seed: int) -> None:
        """Create callers that have not called yet."""
        self._world = world
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._seed = seed
        self.attempts: list[Attempt] = []
        self.jobs: list[Job] = []
        self.is_calling = True

    def make_client(self) -> httpx.AsyncClient:
        """Return a client that keeps its connections open."""
        limits = httpx.Timeout(TIME_LIMIT_S, connect=CONNECT_S)
        return httpx.AsyncClient(timeout=limits, trust_env=False)

    def _make_id(self) -> str:
        return f"{self._seed:04x}{next(self._numbers):012x}"

    async def call(
        self,
        client: httpx.AsyncClient,
        address: str,
        path: str,
        key: str = world_lib.KEY,
    ) -> Attempt:
        """Call once and remember what came back."""
        name = self._make_id()
        attempt = Attempt(name, f"{path}{name}", name.encode())
        self.attempts.append(attempt)
        try:
            with anyio.fail_after(TIME_LIMIT_S):
                async with client.stream(
                    "POST",
                    f"http://{address}{attempt.path}",
                    headers=make_headers(key, name),
                    content=attempt.body,
                ) as answer:
                    attempt.status = answer.status_code
                    attempt.signature = answer.headers.get(
                        "response-signature", ""
                    )
                    async for part in answer.aiter_bytes():
                        attempt.answer += part
                    attempt.is_whole = True
        except (httpx.HTTPError, TimeoutError):
            # What the caller has by then is what counts.
            return attempt
        return attempt

    async def run_online(self, path: str) -> None:
        """Call in turn until told to stop."""
        async with self.make_client() as client:
            while self.is_calling:
                gateway = self._random.choice(self._world.get_gateways())
                await self.call(client, gateway.callers_address, path)
                await anyio.sleep(PAUSE_S)

    async def run_job(self) -> None:
        """Hand a job in, again at another gateway until it is accepted."""
        name = self._make_id()
        job = Job(name, [self._make_id() for _ in range(ITEMS)])
        self.jobs.append(job)
        body = msgspec.json.encode(
            {
                "items": [
                    {
                        "id": item,
                        "path": f"/batch/{item}",
                        "headers": {},
                        "body": base64.b64encode(item.encode()).decode(),
                        "tokens": 10,
                    }
                    for item in job.items
                ]
            }
        )
        gateways = itertools.cycle(self._world.get_gateways())
        for _ in range(4):
            status = await self._post(next(gateways), "/batch/x", name, body)
            job.statuses.append(status)
            if status == ACCEPTED:
                break
            await anyio.sleep(RESEND_S)
        while self.is_calling:
            await self.read_job(next(gateways), job)
            await anyio.sleep(READ_EVERY_S)

    async def _post(
        self, gateway: Any, path: str, name: str, body: bytes
    ) -> int:
        async with self.make_client() as client:
            try:
                answer = await client.post(
                    f"http://{gateway.callers_address}{path}",
                    headers=make_headers(world_lib.KEY, name),
                    content=body,
                )
            except httpx.HTTPError:
                return 0
            return answer.status_code

    async def read_job(self, gateway: Any, job: Job) -> int:
        """Read a job's results from the start; return the status."""
        position = 0
        async with self.make_client() as client:
            while True:
                try:
                    answer = await client.get(
                        f"http://{gateway.callers_address}/lots/{job.id}",
                        params={"after": position},
                        headers=make_headers(world_lib.KEY, self._make_id()),
                    )
                except httpx.HTTPError:
                    return 0
                if answer.status_code != OK:
                    return answer.status_code
                page = answer.json()
                for one in page["results"]:
                    known = job.results.setdefault(position, one)
                    if known != one:
                        job.contradictions.append(f"{position}: {one}")
                    position += 1
                if not page["results"]:
                    return OK
