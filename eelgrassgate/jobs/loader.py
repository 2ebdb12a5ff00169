"""Loads jobs for their owner, retrying for as long as the store is down."""

from returns import result

from eelgrassgate.jobs import active_jobs
from eelgrassgate.jobs import keys
from eelgrassgate.jobs import records
from eelgrassgate.jobs import runtimes
from eelgrassgate.jobs import slots
from eelgrassgate.jobs import store_calls
from eelgrassgate.store import base


async def load_active_job(
    store: base.Store,
    runtime: runtimes.Runtime,
    slot: slots.Slot,
    job: records.OpenJob,
) -> active_jobs.ActiveJob | None:
    """Load a job and its ledger; None if it has ended or was deleted."""
    key = keys.format_record(job.workspace, job.job)
    found = await _read_with_retries(store, runtime, key)
    if found is None:
        return None
    record = records.decode(found.value, records.Job)
    if record.state in records.ENDED:
        return None
    ledger = keys.format_ledger(job.workspace, job.job)
    stored = await _read_with_retries(store, runtime, ledger)
    return active_jobs.ActiveJob(
        slot,
        record,
        found.revision,
        records.decode(stored.value, records.LedgerRecord) if stored else None,
        stored.revision if stored else 0,
    )


async def load_file(
    store: base.Store, runtime: runtimes.Runtime, job: records.Job
) -> records.FileRecord | None:
    """Load the record of a job's input file; None if it was deleted."""
    key = keys.format_file(job.workspace, job.file)
    found = await _read_with_retries(store, runtime, key)
    if found is None:
        return None
    return records.decode(found.value, records.FileRecord)


async def _read_with_retries(
    store: base.Store, runtime: runtimes.Runtime, key: str
) -> base.Record | None:
    while True:
        answer = await store_calls.read(store, runtime, key)
        if isinstance(answer, result.Success):
            found: base.Record | None = answer.unwrap()
            return found
        await runtime.sleep(runtime.add_jitter(store_calls.MAX_BACKOFF_S))
