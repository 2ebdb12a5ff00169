"""Callers that reuse open connections and record the responses."""

import base64
import hashlib
import itertools
import random
from typing import Any
from typing import Final

import anyio
import httpx
import msgspec

from tests.soak import environment as environment_lib

OK_STATUS: Final = 200
ACCEPTED_STATUS: Final = 202
REQUEST_TIMEOUT_S: Final = 4.0
CONNECT_TIMEOUT_S: Final = 1.0
REQUEST_INTERVAL_S: Final = 0.15
ITEMS_PER_JOB: Final = 4
POLL_INTERVAL_S: Final = 0.3
RETRY_DELAY_S: Final = 0.3


class Request(msgspec.Struct):
    """An online request and its response, as the caller saw them.

    Attributes:
        id: The request id.
        path: Path of the request.
        body: Body of the request.
        status: Status of the response; 0 if there was none.
        response: Body of the response, as far as it arrived.
        is_complete: Whether the response arrived to its end.
        signature: The endpoint's checksum from the response headers.
    """

    id: str
    path: str
    body: bytes
    status: int = 0
    response: bytes = b""
    is_complete: bool = False
    signature: str = ""


class Job(msgspec.Struct):
    """A batch job and its results, as the caller saw them.

    Attributes:
        id: The job id.
        items: Ids of its items.
        statuses: Status of the response to each submission; 0 if there was
            none.
        results: Results by position.
        mismatches: Results that differed from an earlier read of the same
            position.
    """

    id: str
    items: list[str]
    statuses: list[int] = []
    results: dict[int, dict[str, Any]] = {}
    mismatches: list[str] = []

    def is_accepted(self) -> bool:
        """Return whether a submission was accepted."""
        return ACCEPTED_STATUS in self.statuses


def build_headers(key: str, request_id: str) -> dict[str, str]:
    """Return the headers of every request."""
    return {
        "host": environment_lib.HOST,
        "authorization": f"Bearer {key}",
        "request-id": request_id,
        "time-remaining": str(int(REQUEST_TIMEOUT_S * 1000)),
    }


def compute_signature(body: bytes) -> str:
    """Return the checksum that an endpoint computes for a request body."""
    return hashlib.sha256(body).hexdigest()[:8]


class Callers:
    """All callers of one scenario, with their requests and jobs."""

    def __init__(
        self, environment: environment_lib.Environment, seed: int
    ) -> None:
        """Create callers that have sent nothing yet."""
        self._environment = environment
        self._random = random.Random(seed)
        self._counter = itertools.count()
        self._seed = seed
        self.requests: list[Request] = []
        self.jobs: list[Job] = []
        self.is_sending = True

    def create_client(self) -> httpx.AsyncClient:
        """Return a client that keeps its connections open."""
        timeout = httpx.Timeout(REQUEST_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        return httpx.AsyncClient(timeout=timeout, trust_env=False)

    def _make_id(self) -> str:
        return f"{self._seed:04x}{next(self._counter):012x}"

    async def send_request(
        self,
        client: httpx.AsyncClient,
        address: str,
        path: str,
        key: str = environment_lib.KEY,
    ) -> Request:
        """Send one request and record the response."""
        request_id = self._make_id()
        request = Request(
            request_id, f"{path}{request_id}", request_id.encode()
        )
        self.requests.append(request)
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                async with client.stream(
                    "POST",
                    f"http://{address}{request.path}",
                    headers=build_headers(key, request_id),
                    content=request.body,
                ) as response:
                    request.status = response.status_code
                    request.signature = response.headers.get(
                        "response-signature", ""
                    )
                    async for part in response.aiter_bytes():
                        request.response += part
                    request.is_complete = True
        except (httpx.HTTPError, TimeoutError):
            # The record keeps the part of the response that arrived.
            return request
        return request

    async def run_online(self, path: str) -> None:
        """Send one request after another until `is_sending` is false."""
        async with self.create_client() as client:
            while self.is_sending:
                gateway = self._random.choice(self._environment.get_gateways())
                await self.send_request(client, gateway.callers_address, path)
                await anyio.sleep(REQUEST_INTERVAL_S)

    async def run_job(self) -> None:
        """Submit a job, then read its results until `is_sending` is false.

        A submission that is not accepted is repeated at the next gateway.
        """
        request_id = self._make_id()
        job = Job(request_id, [self._make_id() for _ in range(ITEMS_PER_JOB)])
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
        gateways = itertools.cycle(self._environment.get_gateways())
        for _ in range(4):
            status = await self._post(
                next(gateways), "/batch/x", request_id, body
            )
            job.statuses.append(status)
            if status == ACCEPTED_STATUS:
                break
            await anyio.sleep(RETRY_DELAY_S)
        while self.is_sending:
            await self.read_job(next(gateways), job)
            await anyio.sleep(POLL_INTERVAL_S)

    async def _post(
        self, gateway: Any, path: str, request_id: str, body: bytes
    ) -> int:
        async with self.create_client() as client:
            try:
                response = await client.post(
                    f"http://{gateway.callers_address}{path}",
                    headers=build_headers(environment_lib.KEY, request_id),
                    content=body,
                )
            except httpx.HTTPError:
                return 0
            return response.status_code

    async def read_job(self, gateway: Any, job: Job) -> int:
        """Read all results of a job; return the last status, 0 without one."""
        position = 0
        async with self.create_client() as client:
            while True:
                try:
                    response = await client.get(
                        f"http://{gateway.callers_address}/lots/{job.id}",
                        params={"after": position},
                        headers=build_headers(
                            environment_lib.KEY, self._make_id()
                        ),
                    )
                except httpx.HTTPError:
                    return 0
                if response.status_code != OK_STATUS:
                    return response.status_code
                page = response.json()
                for one in page["results"]:
                    first = job.results.setdefault(position, one)
                    if first != one:
                        job.mismatches.append(f"{position}: {one}")
                    position += 1
                if not page["results"]:
                    return OK_STATUS
