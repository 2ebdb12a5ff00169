"""The Files and Batches API: upload, create, show, cancel, results."""

from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
import contextlib
import re
from typing import Annotated
from typing import Any
from typing import Final
from typing import Protocol

import msgspec
from returns import result
from starlette import requests
from starlette import responses
from starlette import routing

from eelgrassgate import outcomes
from eelgrassgate.callers import access_control
from eelgrassgate.callers import base
from eelgrassgate.callers import bodies
from eelgrassgate.callers import completions
from eelgrassgate.callers import errors
from eelgrassgate.callers import services
from eelgrassgate.callers import uploads
from eelgrassgate.callers import views
from eelgrassgate.config import fleet
from eelgrassgate.jobs import files
from eelgrassgate.jobs import records
from eelgrassgate.jobs import results
from eelgrassgate.jobs import submission
from eelgrassgate.store import base as store_base

JSONL_TYPE: Final = "application/jsonl"
MAX_REQUEST_BYTES: Final = 65_536
MAX_PAGE_JOBS: Final = 100
_SECONDS_BY_UNIT: Final = {"s": 1, "m": 60, "h": 3600, "d": 86_400}
_WINDOW: Final = re.compile(r"([1-9][0-9]{0,5})([smhd])")


class BatchRequest(msgspec.Struct, frozen=True):
    """The body of a request to create a batch.

    Attributes:
        input_file_id: Id of the uploaded input file.
        endpoint: The API path that all items call.
        completion_window: Time until it is due, as `24h`, `90m` or `30s`.
        metadata: Key-value pairs that the caller attaches.
    """

    input_file_id: str
    endpoint: str
    completion_window: Annotated[
        str, msgspec.Meta(pattern=f"^{_WINDOW.pattern}$")
    ] = "24h"
    metadata: dict[str, str] | None = None


def parse_window_s(text: str) -> float:
    """Parse a completion window such as `24h`; return it in seconds."""
    found = _WINDOW.fullmatch(text)
    if found is None:
        raise ValueError(text)
    return int(found[1]) * _SECONDS_BY_UNIT[found[2]]


class BatchHandler:
    """Handles requests for files and batches."""

    def __init__(
        self,
        source: base.FleetSource,
        access: access_control.AccessController,
        store: store_base.Store,
    ) -> None:
        """Create the handler."""
        self._source = source
        self._access = access
        self._store = store

    def list_routes(self) -> tuple[routing.Route, ...]:
        """Return the routes of this handler."""
        return (
            self._route("/v1/files", "POST", self.create_file),
            self._route("/v1/files/{id}", "GET", self.get_file),
            self._route("/v1/files/{id}/content", "GET", self.get_file_content),
            self._route("/v1/batches", "POST", self.create_batch),
            self._route("/v1/batches", "GET", self.list_batches),
            self._route("/v1/batches/{id}", "GET", self.get_batch),
            self._route("/v1/batches/{id}/cancel", "POST", self.cancel_batch),
        )

    def _route(
        self, path: str, method: str, handler: "_Handler"
    ) -> routing.Route:
        async def handle(request: requests.Request) -> responses.Response:
            principal = self._access.authenticate(request)
            if isinstance(principal, outcomes.Refusal):
                return errors.create_response(principal)
            return await handler(request, principal.workspace)

        return routing.Route(path, handle, methods=[method])

    async def create_file(
        self, request: requests.Request, workspace: str
    ) -> responses.Response:
        """Store an uploaded file."""
        limits = self._source.fleet.limits
        try:
            async with contextlib.aclosing(
                uploads.read_file(request)
            ) as blocks:
                received = await files.receive_file(
                    self._store, workspace, blocks, limits
                )
        except uploads.UploadError as error:
            return errors.create_response(
                outcomes.refuse(outcomes.Code.BAD_REQUEST, f"{error}.")
            )
        if isinstance(received, result.Failure):
            return errors.create_response(received.failure())
        return _respond(views.build_file(received.unwrap()))

    async def get_file(
        self, request: requests.Request, workspace: str
    ) -> responses.Response:
        """Return the metadata of an input, output or error file."""
        file = request.path_params["id"]
        found = await self._find_file(workspace, file)
        if isinstance(found, result.Failure):
            return errors.create_response(found.failure())
        source = found.unwrap()
        if isinstance(source, records.JobView):
            return _respond(views.build_result_file(file, source))
        return _respond(views.build_file(source))

    async def get_file_content(
        self, request: requests.Request, workspace: str
    ) -> responses.Response:
        """Stream the lines of an input, output or error file."""
        file = request.path_params["id"]
        found = await self._find_file(workspace, file)
        if isinstance(found, result.Failure):
            return errors.create_response(found.failure())
        source = found.unwrap()
        if not isinstance(source, records.JobView):
            return await _stream(files.read_file(self._store, source))
        if views.is_error_file(file):
            lines = results.stream_errors(self._store, source.record)
        else:
            lines = results.stream_results(self._store, source.record)
        return await _stream(lines)

    async def create_batch(
        self, request: requests.Request, workspace: str
    ) -> responses.Response:
        """Create a batch; a repeated request returns the existing one."""
        deadline = access_control.get_deadline(request, self._source.fleet)
        body = await bodies.read(request, MAX_REQUEST_BYTES, deadline)
        if isinstance(body, result.Failure):
            return errors.create_response(body.failure())
        try:
            batch_request = msgspec.json.decode(
                body.unwrap(), type=BatchRequest
            )
        except msgspec.DecodeError as error:
            return errors.create_response(
                outcomes.refuse(outcomes.Code.BAD_REQUEST, f"{error}.")
            )
        key = request.headers.get("idempotency-key", "")
        job_request = self._make_job_request(batch_request, workspace, key)
        limits = self._source.fleet.limits
        created = await submission.create_job(self._store, job_request, limits)
        if isinstance(created, result.Failure):
            return errors.create_response(created.failure())
        return await self._respond_with_batch(workspace, created.unwrap().job)

    async def list_batches(
        self, request: requests.Request, workspace: str
    ) -> responses.Response:
        """List a workspace's batches."""
        limit_text = request.query_params.get("limit", "20")
        limit = int(limit_text) if limit_text.isdecimal() else MAX_PAGE_JOBS
        limit = min(max(limit, 1), MAX_PAGE_JOBS)
        page: list[views.Batch] = []
        async for found in submission.list_jobs(
            self._store,
            workspace,
            after=request.query_params.get("after", ""),
            limit=limit + 1,
        ):
            if isinstance(found, result.Failure):
                return errors.create_response(found.failure())
            page.append(views.build_batch(found.unwrap()))
        return _respond(views.build_batch_list(page, limit))

    async def get_batch(
        self, request: requests.Request, workspace: str
    ) -> responses.Response:
        """Return a batch."""
        return await self._respond_with_batch(
            workspace, request.path_params["id"]
        )

    async def cancel_batch(
        self, request: requests.Request, workspace: str
    ) -> responses.Response:
        """Cancel a batch; after success no further item of it starts."""
        cancelled = await submission.cancel_job(
            self._store, workspace, request.path_params["id"]
        )
        if isinstance(cancelled, result.Failure):
            return errors.create_response(cancelled.failure())
        return _respond(views.build_batch(cancelled.unwrap()))

    async def _respond_with_batch(
        self, workspace: str, job: str
    ) -> responses.Response:
        found = await submission.show_job(self._store, workspace, job)
        if isinstance(found, result.Failure):
            return errors.create_response(found.failure())
        return _respond(views.build_batch(found.unwrap()))

    async def _find_file(
        self, workspace: str, file: str
    ) -> result.Result[records.FileRecord | records.JobView, outcomes.Refusal]:
        """Return an uploaded file, or the job of an output or error file."""
        found: result.Result[Any, outcomes.Refusal]
        job = views.parse_job_id(file)
        if job:
            found = await submission.show_job(self._store, workspace, job)
        else:
            found = await files.find_file(self._store, workspace, file)
        return found

    def _make_job_request(
        self, batch_request: BatchRequest, workspace: str, key: str
    ) -> submission.JobRequest:
        return submission.JobRequest(
            workspace=workspace,
            file=batch_request.input_file_id,
            endpoint=batch_request.endpoint,
            window_s=parse_window_s(batch_request.completion_window),
            is_repeatable=_is_repeatable(
                self._source.fleet, batch_request.endpoint
            ),
            idempotency_key=key,
            metadata=batch_request.metadata or {},
        )


class _Handler(Protocol):
    """Handles a request that was authenticated for a workspace."""

    async def __call__(
        self, request: requests.Request, workspace: str, /
    ) -> responses.Response: ...


def _is_repeatable(source: fleet.Fleet, path: str) -> bool:
    prefix = services.find_prefix(source, path)
    if prefix is None:
        return path in completions.PATHS
    return source.routes[prefix].is_repeatable


def _respond(value: Any) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(value), media_type=errors.JSON_TYPE
    )


async def _stream(blocks: AsyncIterator[bytes]) -> responses.Response:
    """Stream blocks; a failure to read the first one returns an error."""
    try:
        first = await anext(blocks, b"")
    except files.ReadError as error:
        return errors.create_response(
            outcomes.refuse(outcomes.Code.STORE_UNAVAILABLE, f"{error}.", 1.0)
        )
    return responses.StreamingResponse(
        _chain(first, blocks), media_type=JSONL_TYPE
    )


async def _chain(
    first: bytes, blocks: AsyncIterator[bytes]
) -> AsyncGenerator[bytes, None]:
    yield first
    async for block in blocks:
        yield block
