"""Batch job API: submit a job, read results or an item, cancel a job."""

from collections.abc import Iterator
import contextlib
from typing import Final
from typing import Protocol

import anyio
from anyio import lowlevel
import msgspec

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate import memory_budget
from eelgrassgate.batches import admission as admission_lib
from eelgrassgate.batches import intake as intake_lib
from eelgrassgate.batches import job_regions
from eelgrassgate.batches import owner_messages
from eelgrassgate.batches import records
from eelgrassgate.batches import results
from eelgrassgate.batches import stored_items
from eelgrassgate.batches import submission
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import upstream
from eelgrassgate.store import base
from eelgrassgate.store import relay_regions

OK: Final = 200
ACCEPTED: Final = 202
BAD_REQUEST: Final = 400
NOT_FOUND: Final = 404
CONFLICT: Final = 409
CONTENT_TOO_LARGE: Final = 413
UNAVAILABLE: Final = 503
GATEWAY_TIMEOUT: Final = 504
# Upper bound for long polling of results.
MAX_WAIT_S: Final = 1.0
# Sent as the retry delay while the store is unreachable or memory is short.
RETRY_AFTER_S: Final = 0.5
# Bytes of items that are encoded before other requests get their turn; about a
# millisecond.
STEP_BYTES: Final = 262_144


class ReadResults(msgspec.Struct, frozen=True):
    """Request for a job's results starting at position `after`."""

    job: str
    after: int


class ReadItem(msgspec.Struct, frozen=True):
    """Request for the body of one item."""

    job: str
    item: str


class CancelJob(msgspec.Struct, frozen=True):
    """Request to cancel a job."""

    job: str


JobCall = ReadResults | ReadItem | CancelJob


class InvalidItemsError(Exception):
    """The items of a submitted job are malformed."""


class BatchDialect(Protocol):
    """Wire format of the batch job API."""

    def read_job_call(self, call: calls.Call) -> JobCall | None:
        """Parse a request about an existing job; None for other requests."""
        ...

    def read_items(self, body: bytes) -> Iterator[calls.BatchItem]:
        """Parse the items of a job, each when it is asked for.

        Raises:
            InvalidItemsError: They are malformed.
        """
        ...

    def write_listing(self, listing: owner_messages.Listing) -> bytes:
        """Encode a page of results."""
        ...


_JSON_HEADERS: Final = ((b"content-type", b"application/json"),)
_BINARY_HEADERS: Final = ((b"content-type", b"application/octet-stream"),)


class _Answer(msgspec.Struct, frozen=True):
    """A response without a body.

    Attributes:
        status: The status.
        headers: The headers.
        accepted: The job if it has been accepted.
    """

    status: int
    headers: upstream.Headers = ()
    accepted: submission.SubmitResult | None = None


class BatchCalls:
    """Handles requests to the batch job API."""

    def __init__(
        self,
        store: base.Store,
        intake: intake_lib.Intake,
        reader: results.Reader,
        dialect: calls.Dialect,
        batch_dialect: BatchDialect,
        admission: admission_lib.Admission,
        regions: job_regions.JobRegions,
    ) -> None:
        """Initialize; see `create_batch_calls`."""
        self._regions = regions
        self._admission = admission
        # Held while a large job is encoded, so that other requests are served
        # between its steps.
        self._encoding = anyio.Lock()
        self._store = store
        self._intake = intake
        self._reader = reader
        self._dialect = dialect
        self._batch_dialect = batch_dialect

    def read_job_call(self, call: calls.Call) -> JobCall | None:
        """Parse a request about an existing job; None for other requests."""
        return self._batch_dialect.read_job_call(call)

    async def submit(
        self,
        call: calls.Call,
        route: catalog.Route,
        workspace: str,
        config_version: int,
        responder: downstream.Responder,
    ) -> None:
        """Accept a job; replies once all of it is in the store."""
        size = admission_lib.measure_submission(call.body)
        async with self._admission.admit(
            workspace, size, call.deadline
        ) as is_admitted:
            if is_admitted:
                answer = await self._write(
                    call, route, workspace, config_version, size
                )
            else:
                answer = self._refuse(call, "memory", RETRY_AFTER_S)
        await responder.reply(answer.status, answer.headers)
        if answer.accepted is not None and answer.accepted.open_revision:
            await self._reader.announce(
                answer.accepted.job, answer.accepted.open_revision
            )

    async def _write(
        self,
        call: calls.Call,
        route: catalog.Route,
        workspace: str,
        config_version: int,
        size: int,
    ) -> _Answer:
        """Write a job to the store."""
        splitter = await self._encode_items(call, size)
        if splitter is None:
            return _Answer(BAD_REQUEST)
        retry_delay_s = await self._intake.check(call.deadline)
        # After the wait, during which another copy of the job may be written.
        is_unconfirmed = self._intake.is_unconfirmed(call.id)
        if retry_delay_s is not None:
            return self._refuse(call, "store lost", retry_delay_s)
        self._intake.record_write(call.id)
        holders = self._regions.find_submission_regions(route, workspace)
        with relay_regions.restrict(holders):
            accepted = await submission.submit(
                self._store,
                call,
                route,
                workspace,
                splitter,
                config_version,
                self._regions.own_region,
            )
        outcome = accepted.outcome
        if outcome is submission.Outcome.NOT_DONE and is_unconfirmed:
            # An earlier write may still take effect.
            outcome = submission.Outcome.UNKNOWN
        if outcome is not submission.Outcome.UNKNOWN:
            self._intake.record_outcome(call.id)
        logs.log_message(
            "job submitted",
            id=call.id,
            items=splitter.total,
            bytes=len(call.body),
            outcome=outcome.value,
        )
        return self._answer_outcome(outcome, ACCEPTED, accepted)

    async def _encode_items(
        self, call: calls.Call, size: int
    ) -> stored_items.Splitter | None:
        """Encode a job's items; None if the job is invalid.

        Other requests get their turn after each step of a large job.
        """
        splitter = stored_items.create_splitter()
        if not records.is_storable_id(call.id):
            return None
        async with (
            self._encoding
            if admission_lib.is_large(size)
            else contextlib.nullcontext()
        ):
            step_end = STEP_BYTES
            try:
                for item in self._batch_dialect.read_items(call.body):
                    if not records.is_storable_item_id(item.id):
                        return None
                    splitter.add(item)
                    if splitter.size >= step_end:
                        step_end = splitter.size + STEP_BYTES
                        await lowlevel.checkpoint()
            except InvalidItemsError as error:
                logs.log_message("job:invalid", reason=str(error))
                return None
        return splitter if splitter.total else None

    async def handle_job_call(
        self,
        job_call: JobCall,
        call: calls.Call,
        workspace: str,
        wait_s: float,
        responder: downstream.Responder,
    ) -> None:
        """Reply to a request about an existing job."""
        with self._admission.budget.open(
            memory_budget.Kind.RESULT, workspace
        ) as account:
            await self._handle_job_call(
                job_call,
                call,
                workspace,
                wait_s,
                responder,
                results.CallMemory(
                    account, call.deadline - submission.RESPONSE_MARGIN_S
                ),
            )

    async def _handle_job_call(
        self,
        job_call: JobCall,
        call: calls.Call,
        workspace: str,
        wait_s: float,
        responder: downstream.Responder,
        memory: results.CallMemory,
    ) -> None:
        try:
            job = await self._reader.find_job(job_call.job, workspace)
            if job is None:
                await responder.reply(NOT_FOUND)
            elif isinstance(job_call, ReadResults):
                wait_until = deadlines.after(min(wait_s, MAX_WAIT_S))
                listing = await self._reader.read_results(
                    job, job_call.after, wait_until, memory
                )
                body = self._batch_dialect.write_listing(listing)
                await responder.reply(OK, _JSON_HEADERS, body)
            elif isinstance(job_call, ReadItem):
                await self._reply_item(job, job_call.item, responder, memory)
            else:
                outcome = await submission.cancel(self._store, call, job.id)
                logs.log_message(
                    "job cancel requested",
                    id=call.id,
                    job=job.id,
                    outcome=outcome,
                )
                answer = self._answer_outcome(outcome, OK)
                await responder.reply(answer.status, answer.headers)
        except results.UnavailableError as error:
            logs.log_message(
                "job call failed", job=job_call.job, reason=str(error)
            )
            answer = self._answer_unavailable()
            await responder.reply(answer.status, answer.headers)

    async def _reply_item(
        self,
        job: records.Job,
        item: str,
        responder: downstream.Responder,
        memory: results.CallMemory,
    ) -> None:
        found = await self._reader.find_item(job, item, memory)
        if found is None:
            await responder.reply(NOT_FOUND)
        else:
            await responder.reply(OK, _BINARY_HEADERS, found)

    def _answer_outcome(
        self,
        outcome: submission.Outcome,
        done_status: int,
        accepted: submission.SubmitResult | None = None,
    ) -> _Answer:
        if outcome is submission.Outcome.DONE:
            return _Answer(done_status, (), accepted)
        if outcome is submission.Outcome.CONFLICT:
            return _Answer(CONFLICT)
        if outcome is submission.Outcome.REJECTED:
            return _Answer(CONTENT_TOO_LARGE)
        if outcome is submission.Outcome.NOT_DONE:
            return self._answer_unavailable()
        return _Answer(GATEWAY_TIMEOUT)

    def _refuse(
        self, call: calls.Call, reason: str, retry_delay_s: float
    ) -> _Answer:
        """Refuse a job that this request has not written.

        An earlier write of the same job may still take effect.
        """
        is_unconfirmed = self._intake.is_unconfirmed(call.id)
        status = GATEWAY_TIMEOUT if is_unconfirmed else UNAVAILABLE
        logs.log_message(
            "refused",
            id=call.id,
            reason=reason,
            status=status,
            bytes=len(call.body),
            retry_ms=deadlines.to_ms(retry_delay_s),
        )
        if is_unconfirmed:
            return _Answer(GATEWAY_TIMEOUT)
        return self._answer_unavailable(retry_delay_s)

    def _answer_unavailable(
        self, retry_delay_s: float = RETRY_AFTER_S
    ) -> _Answer:
        headers: upstream.Headers = self._dialect.write_refusal_headers(
            retry_delay_s
        )
        return _Answer(UNAVAILABLE, headers)


def create_batch_calls(
    store: base.Store,
    intake: intake_lib.Intake,
    reader: results.Reader,
    dialect: calls.Dialect,
    batch_dialect: BatchDialect,
    admission: admission_lib.Admission,
    regions: job_regions.JobRegions,
) -> BatchCalls:
    """Create a handler for the batch job API.

    Args:
        store: The store that holds jobs.
        intake: Decides whether the store can accept jobs.
        reader: Reads jobs and results.
        dialect: Wire format of requests and responses.
        batch_dialect: Wire format of the batch job API.
        admission: Decides when there is memory to accept a job.
        regions: Where a job's items may be.
    """
    return BatchCalls(
        store, intake, reader, dialect, batch_dialect, admission, regions
    )
