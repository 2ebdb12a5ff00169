"""Batch job API: submit a job, read results or an item, cancel a job."""

from typing import Final
from typing import Protocol

import msgspec

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.batches import intake as intake_lib
from eelgrassgate.batches import owner_api
from eelgrassgate.batches import records
from eelgrassgate.batches import results
from eelgrassgate.batches import submission
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import upstream
from eelgrassgate.store import base

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
# Sent as the retry delay while the store is unreachable.
RETRY_AFTER_S: Final = 0.5


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


class BatchDialect(Protocol):
    """Wire format of the batch job API."""

    def read_job_call(self, call: calls.Call) -> JobCall | None:
        """Parse a request about an existing job; None for other requests."""
        ...

    def read_items(self, body: bytes) -> tuple[calls.BatchItem, ...] | None:
        """Parse the items of a job; returns None if they are malformed."""
        ...

    def write_listing(self, listing: owner_api.Listing) -> bytes:
        """Encode a page of results."""
        ...


_JSON_HEADERS: Final = ((b"content-type", b"application/json"),)
_BINARY_HEADERS: Final = ((b"content-type", b"application/octet-stream"),)


class BatchCalls:
    """Handles requests to the batch job API."""

    def __init__(
        self,
        store: base.Store,
        intake: intake_lib.Intake,
        reader: results.Reader,
        dialect: calls.Dialect,
        batch_dialect: BatchDialect,
    ) -> None:
        """Initialize; see `create_batch_calls`."""
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
        items = self._batch_dialect.read_items(call.body)
        has_valid_ids = records.is_storable_id(call.id) and all(
            records.is_storable_item_id(item.id) for item in items or ()
        )
        if not items or not has_valid_ids:
            await responder.reply(BAD_REQUEST)
            return
        retry_delay_s = await self._intake.check(call.deadline)
        # After the wait, during which another copy of the job may be written.
        is_unconfirmed = self._intake.is_unconfirmed(call.id)
        if retry_delay_s is not None:
            logs.log_message(
                "refused",
                id=call.id,
                reason="store lost",
                status=GATEWAY_TIMEOUT if is_unconfirmed else UNAVAILABLE,
                retry_ms=deadlines.to_ms(retry_delay_s),
            )
            if is_unconfirmed:
                await responder.reply(GATEWAY_TIMEOUT)
            else:
                await self._reply_unavailable(responder, retry_delay_s)
            return
        self._intake.record_write(call.id)
        accepted = await submission.submit(
            self._store, call, route, workspace, items, config_version
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
            items=len(items),
            bytes=len(call.body),
            outcome=outcome.value,
        )
        await self._reply_outcome(responder, outcome, ACCEPTED)
        if accepted.open_revision:
            await self._reader.announce(accepted.job, accepted.open_revision)

    async def handle_job_call(
        self,
        job_call: JobCall,
        call: calls.Call,
        workspace: str,
        wait_s: float,
        responder: downstream.Responder,
    ) -> None:
        """Reply to a request about an existing job."""
        try:
            job = await self._reader.find_job(job_call.job, workspace)
            if job is None:
                await responder.reply(NOT_FOUND)
            elif isinstance(job_call, ReadResults):
                wait_until = deadlines.after(min(wait_s, MAX_WAIT_S))
                listing = await self._reader.read_results(
                    job, job_call.after, wait_until
                )
                body = self._batch_dialect.write_listing(listing)
                await responder.reply(OK, _JSON_HEADERS, body)
            elif isinstance(job_call, ReadItem):
                await self._reply_item(job, job_call.item, responder)
            else:
                outcome = await submission.cancel(self._store, call, job.id)
                logs.log_message(
                    "job cancel requested",
                    id=call.id,
                    job=job.id,
                    outcome=outcome,
                )
                await self._reply_outcome(responder, outcome, OK)
        except results.UnavailableError as error:
            logs.log_message(
                "job call failed", job=job_call.job, reason=str(error)
            )
            await self._reply_unavailable(responder)

    async def _reply_item(
        self, job: records.Job, item: str, responder: downstream.Responder
    ) -> None:
        found = await self._reader.find_item(job, item)
        if found is None:
            await responder.reply(NOT_FOUND)
        else:
            await responder.reply(OK, _BINARY_HEADERS, found)

    async def _reply_outcome(
        self,
        responder: downstream.Responder,
        outcome: submission.Outcome,
        done_status: int,
    ) -> None:
        if outcome is submission.Outcome.DONE:
            await responder.reply(done_status)
        elif outcome is submission.Outcome.CONFLICT:
            await responder.reply(CONFLICT)
        elif outcome is submission.Outcome.REJECTED:
            await responder.reply(CONTENT_TOO_LARGE)
        elif outcome is submission.Outcome.NOT_DONE:
            await self._reply_unavailable(responder)
        else:
            await responder.reply(GATEWAY_TIMEOUT)

    async def _reply_unavailable(
        self,
        responder: downstream.Responder,
        retry_delay_s: float = RETRY_AFTER_S,
    ) -> None:
        headers: upstream.Headers = self._dialect.write_refusal_headers(
            retry_delay_s
        )
        await responder.reply(UNAVAILABLE, headers)


def create_batch_calls(
    store: base.Store,
    intake: intake_lib.Intake,
    reader: results.Reader,
    dialect: calls.Dialect,
    batch_dialect: BatchDialect,
) -> BatchCalls:
    """Create a handler for the batch job API.

    Args:
        store: The store that holds jobs.
        intake: Decides whether the store can accept jobs.
        reader: Reads jobs and results.
        dialect: Wire format of requests and responses.
        batch_dialect: Wire format of the batch job API.
    """
    return BatchCalls(store, intake, reader, dialect, batch_dialect)
