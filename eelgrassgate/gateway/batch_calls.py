"""Callers' calls on batch jobs: hand in, read, read an item, end."""

from typing import Final
from typing import Protocol

import msgspec

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate.batches import records
from eelgrassgate.batches import results
from eelgrassgate.batches import serving
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
UNAVAILABLE: Final = 503
GATEWAY_TIMEOUT: Final = 504
# Longest that a reader is kept waiting for a result.
MOST_WAIT_S: Final = 1.0
# What callers are told while the store can't be reached from here.
RETRY_AFTER_S: Final = 0.5


class ReadResults(msgspec.Struct, frozen=True):
    """Read a job's results from position `after` on."""

    job: str
    after: int


class ReadItem(msgspec.Struct, frozen=True):
    """Read the body of one item."""

    job: str
    item: str


class EndJob(msgspec.Struct, frozen=True):
    """End a job."""

    job: str


JobCall = ReadResults | ReadItem | EndJob


class BatchDialect(Protocol):
    """How calls on batch jobs look on the wire."""

    def read_job_call(self, call: calls.Call) -> JobCall | None:
        """Return the call on an existing job that `call` is, if it is one."""
        ...

    def read_items(self, body: bytes) -> tuple[calls.BatchItem, ...] | None:
        """Read the items of a job; None if they can't be read."""
        ...

    def write_listing(self, listing: serving.Listing) -> bytes:
        """Write results."""
        ...


_JSON: Final = ((b"content-type", b"application/json"),)
_BYTES: Final = ((b"content-type", b"application/octet-stream"),)


class BatchCalls:
    """Answers calls on batch jobs."""

    def __init__(
        self,
        store: base.Store,
        reader: results.Reader,
        dialect: calls.Dialect,
        batch_dialect: BatchDialect,
    ) -> None:
        """Create; see `create_batch_calls`."""
        self._store = store
        self._reader = reader
        self._dialect = dialect
        self._batch_dialect = batch_dialect

    def read_job_call(self, call: calls.Call) -> JobCall | None:
        """Return the call on an existing job that `call` is, if it is one."""
        return self._batch_dialect.read_job_call(call)

    async def submit(
        self,
        call: calls.Call,
        route: catalog.Route,
        workspace: str,
        responder: downstream.Responder,
    ) -> None:
        """Accept a job; all of it is kept before the answer."""
        items = self._batch_dialect.read_items(call.body)
        if not items or not call.id or len(call.id) > records.MAX_ID_CHARS:
            await responder.reply(BAD_REQUEST)
            return
        accepted = await submission.submit(
            self._store, call, route, workspace, items
        )
        logs.log_message(
            "job submitted",
            id=call.id,
            items=len(items),
            bytes=len(call.body),
            outcome=accepted.outcome.value,
        )
        await self._reply(responder, accepted.outcome, ACCEPTED)
        if accepted.opened_at:
            await self._reader.announce(accepted.job, accepted.opened_at)

    async def answer(
        self,
        job_call: JobCall,
        call: calls.Call,
        workspace: str,
        wait_s: float,
        responder: downstream.Responder,
    ) -> None:
        """Answer a call on an existing job."""
        try:
            job = await self._reader.find(job_call.job, workspace)
            if job is None:
                await responder.reply(NOT_FOUND)
            elif isinstance(job_call, ReadResults):
                wait_until = deadlines.after(min(wait_s, MOST_WAIT_S))
                listing = await self._reader.read_results(
                    job, job_call.after, wait_until
                )
                body = self._batch_dialect.write_listing(listing)
                await responder.reply(OK, _JSON, body)
            elif isinstance(job_call, ReadItem):
                await self._answer_item(job, job_call.item, responder)
            else:
                outcome = await submission.end(self._store, call, job.id)
                logs.log_message(
                    "job end asked", id=call.id, job=job.id, outcome=outcome
                )
                await self._reply(responder, outcome, OK)
        except results.UnavailableError as error:
            logs.log_message(
                "job call failed", job=job_call.job, reason=str(error)
            )
            await self._refuse(responder)

    async def _answer_item(
        self, job: records.Job, item: str, responder: downstream.Responder
    ) -> None:
        found = await self._reader.find_item(job, item)
        if found is None:
            await responder.reply(NOT_FOUND)
        else:
            await responder.reply(OK, _BYTES, found)

    async def _reply(
        self,
        responder: downstream.Responder,
        outcome: submission.Outcome,
        done: int,
    ) -> None:
        if outcome is submission.Outcome.DONE:
            await responder.reply(done)
        elif outcome is submission.Outcome.CONFLICT:
            await responder.reply(CONFLICT)
        elif outcome is submission.Outcome.NOT_DONE:
            await self._refuse(responder)
        else:
            await responder.reply(GATEWAY_TIMEOUT)

    async def _refuse(self, responder: downstream.Responder) -> None:
        headers: upstream.Headers = self._dialect.write_refusal(RETRY_AFTER_S)
        await responder.reply(UNAVAILABLE, headers)


def create_batch_calls(
    store: base.Store,
    reader: results.Reader,
    dialect: calls.Dialect,
    batch_dialect: BatchDialect,
) -> BatchCalls:
    """Create the answers to calls on batch jobs.

    Args:
        store: Where jobs are kept.
        reader: Reads jobs and results.
        dialect: Names on the wire.
        batch_dialect: How calls on batch jobs look on the wire.
    """
    return BatchCalls(store, reader, dialect, batch_dialect)
