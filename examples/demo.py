"""Demo of online requests and a batch on one site, with a failing endpoint.

Starts a small site of real processes, streams members' requests while a match
list runs as a batch, kills one endpoint meanwhile, and counts the results.
"""

import json
import math
import pathlib
import signal
import sys
import time
from typing import Any
from typing import Final

import anyio
import httpx
import httpx_sse
import msgspec
import tqdm

from bench import sites

DATA: Final = pathlib.Path(__file__).parent / "data"
DESK_REQUESTS: Final = DATA / "desk-requests.jsonl"
MATCH_LIST: Final = DATA / "match-list.jsonl"
KILLED_ENDPOINT: Final = "engine-1"
KILL_AFTER_REQUESTS: Final = 40
REQUEST_INTERVAL_S: Final = 0.08
BATCH_TIMEOUT_S: Final = 60.0
POLL_INTERVAL_S: Final = 0.2
CHAT: Final = "/v1/chat/completions"
FINAL_STATUSES: Final = ("completed", "failed", "cancelled")
FIRST_ERROR_STATUS: Final = 400


class RequestOutcome(msgspec.Struct, frozen=True):
    """Outcome of one online request."""

    is_ok: bool
    first_token_s: float


class Report(msgspec.Struct, frozen=True):
    """The report of the demo; percentiles are of the time to first token."""

    online_sent: int
    online_ok: int
    batch_items: int
    batch_completed: int
    duplicates: int
    missing: int
    online_p50_ms: float
    online_p99_ms: float

    def is_successful(self) -> bool:
        """Return whether all is complete, with nothing missing or repeated."""
        is_online_complete = self.online_sent == self.online_ok
        return is_online_complete and not (self.duplicates or self.missing)


class OnlineClient:
    """Sends members' requests at a constant rate."""

    def __init__(self, site: sites.Site, progress: "tqdm.tqdm[Any]") -> None:
        """Create a client of a site that advances a progress bar."""
        self._site = site
        self._progress = progress
        self.outcomes: list[RequestOutcome] = []

    async def run(self) -> None:
        """Send requests to the entries in turn, and kill an endpoint."""
        urls = list(self._site.urls_by_entry.values())
        lines = DESK_REQUESTS.read_text(encoding="utf-8").splitlines()
        async with (
            httpx.AsyncClient(timeout=60.0) as client,
            anyio.create_task_group() as tasks,
        ):
            for number, line in enumerate(lines):
                if number == KILL_AFTER_REQUESTS:
                    self._site.kill_endpoint(KILLED_ENDPOINT)
                url = urls[number % len(urls)]
                tasks.start_soon(self._send_request, client, url, line)
                await anyio.sleep(REQUEST_INTERVAL_S)

    async def _send_request(
        self, client: httpx.AsyncClient, url: str, line: str
    ) -> None:
        key = self._site.keys_by_workspace["desk"]
        started_at = time.monotonic()
        first_token_s = math.inf
        is_complete = False
        async with httpx_sse.aconnect_sse(
            client,
            "POST",
            url + CHAT,
            content=line,
            headers={"authorization": f"Bearer {key}"},
        ) as source:
            if source.response.status_code < FIRST_ERROR_STATUS:
                async for event in source.aiter_sse():
                    first_token_s = min(
                        first_token_s, time.monotonic() - started_at
                    )
                    is_complete = event.data == "[DONE]"
        self.outcomes.append(RequestOutcome(is_complete, first_token_s))
        self._progress.update()


class BatchClient:
    """Runs the match list as a batch and reads its results."""

    def __init__(self, site: sites.Site, progress: "tqdm.tqdm[Any]") -> None:
        """Create a client of a site that advances a progress bar."""
        self._url = next(iter(site.urls_by_entry.values()))
        key = site.keys_by_workspace["parish"]
        self._headers = {"authorization": f"Bearer {key}"}
        self._progress = progress
        self.results: list[str] = []

    async def run(self) -> None:
        """Create the batch, wait until it ends and read its results."""
        async with httpx.AsyncClient(
            base_url=self._url, headers=self._headers, timeout=30.0
        ) as client:
            batch = await self._create_batch(client)
            batch = await self._wait(client, batch["id"])
            for field in ("output_file_id", "error_file_id"):
                if batch[field]:
                    await self._read(client, batch[field])

    async def _create_batch(self, client: httpx.AsyncClient) -> dict[str, Any]:
        response = await client.post(
            "/v1/files",
            data={"purpose": "batch"},
            files={"file": MATCH_LIST.read_bytes()},
        )
        response.raise_for_status()
        batch_request = {
            "input_file_id": response.json()["id"],
            "endpoint": CHAT,
            "completion_window": "1h",
        }
        response = await client.post("/v1/batches", json=batch_request)
        response.raise_for_status()
        return _read_object(response)

    async def _wait(
        self, client: httpx.AsyncClient, batch: str
    ) -> dict[str, Any]:
        processed = 0
        with anyio.fail_after(BATCH_TIMEOUT_S):
            while True:
                response = await client.get(f"/v1/batches/{batch}")
                response.raise_for_status()
                batch_view = _read_object(response)
                counts = batch_view["request_counts"]
                done = counts["completed"] + counts["failed"]
                self._progress.update(done - processed)
                processed = done
                if batch_view["status"] in FINAL_STATUSES:
                    return batch_view
                await anyio.sleep(POLL_INTERVAL_S)

    async def _read(self, client: httpx.AsyncClient, file: str) -> None:
        response = await client.get(f"/v1/files/{file}/content")
        response.raise_for_status()
        for line in response.text.splitlines():
            result = json.loads(line)
            if result["error"] is None:
                self.results.append(result["custom_id"])


def _read_object(response: httpx.Response) -> dict[str, Any]:
    value: dict[str, Any] = response.json()
    return value


def compute_percentile(values: list[float], fraction: float) -> float:
    """Return the smallest value that `fraction` of all values don't exceed."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]


def create_report(
    online_client: OnlineClient, batch_client: BatchClient
) -> Report:
    """Compare the requests and items sent with the results received."""
    expected = [
        json.loads(line)["custom_id"]
        for line in MATCH_LIST.read_text(encoding="utf-8").splitlines()
    ]
    first_token_s = [
        outcome.first_token_s for outcome in online_client.outcomes
    ]
    received = set(batch_client.results)
    return Report(
        online_sent=len(online_client.outcomes),
        online_ok=sum(outcome.is_ok for outcome in online_client.outcomes),
        batch_items=len(expected),
        batch_completed=len(received & set(expected)),
        duplicates=len(batch_client.results) - len(received),
        missing=len(set(expected) - received),
        online_p50_ms=round(compute_percentile(first_token_s, 0.5) * 1000, 1),
        online_p99_ms=round(compute_percentile(first_token_s, 0.99) * 1000, 1),
    )


async def run() -> Report:
    """Run the demo."""
    total = sum(
        len(path.read_text(encoding="utf-8").splitlines())
        for path in (DESK_REQUESTS, MATCH_LIST)
    )
    async with sites.run_site(sites.Options()) as site:
        with tqdm.tqdm(total=total, disable=None, unit="item") as progress:
            online_client = OnlineClient(site, progress)
            batch_client = BatchClient(site, progress)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(batch_client.run)
                tasks.start_soon(online_client.run)
        return create_report(online_client, batch_client)


def main() -> int:
    """Run the demo and print its report; return the exit code."""
    report = anyio.run(run)
    sys.stdout.write(msgspec.json.encode(report).decode() + "\n")
    return 0 if report.is_successful() else 1


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    sys.exit(main())
