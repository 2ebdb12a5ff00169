"""Keys of jobs and files in the store.

All keys that owners watch are under `LIVE_PREFIX`, so that one watch covers
members, slot owners and open jobs.
"""

from typing import Final

import xxhash

SLOT_COUNT: Final = 64
LIVE_PREFIX: Final = "jobs/live/"
MEMBERS_PREFIX: Final = LIVE_PREFIX + "member/"
OWNERS_PREFIX: Final = LIVE_PREFIX + "slot/"
OPEN_PREFIX: Final = LIVE_PREFIX + "open/"
RECORDS_PREFIX: Final = "jobs/record/"
EXPIRIES_PREFIX: Final = "jobs/expiry/"


def compute_slot(job: str) -> int:
    """Return the slot of a job; the slot's owner runs the job."""
    return xxhash.xxh64_intdigest(job.encode()) % SLOT_COUNT


def format_member(instance: str) -> str:
    """Return the key that registers an instance as able to own slots."""
    return f"{MEMBERS_PREFIX}{instance}"


def format_owner(slot: int) -> str:
    """Return the key of a slot's owner; its revision is the fencing token."""
    return f"{OWNERS_PREFIX}{slot:03d}"


def format_open(job: str) -> str:
    """Return the key that exists while a job is open."""
    return f"{OPEN_PREFIX}{compute_slot(job):03d}/{job}"


def format_records(workspace: str) -> str:
    """Return the prefix of a workspace's jobs."""
    return f"{RECORDS_PREFIX}{workspace}/"


def format_record(workspace: str, job: str) -> str:
    """Return the key of a job's record."""
    return f"{RECORDS_PREFIX}{workspace}/{job}"


def format_ledger(workspace: str, job: str) -> str:
    """Return the key of a job's ledger."""
    return f"jobs/ledger/{workspace}/{job}"


def format_results(workspace: str, job: str) -> str:
    """Return the prefix of a job's result chunks."""
    return f"jobs/result/{workspace}/{job}/"


def format_result(workspace: str, job: str, chunk: int) -> str:
    """Return the key of one result chunk."""
    return f"{format_results(workspace, job)}{chunk:06d}"


def format_deduplication(workspace: str, digest: str) -> str:
    """Return the key of a job's deduplication record."""
    return f"jobs/same/{workspace}/{digest}"


def format_file(workspace: str, file: str) -> str:
    """Return the key of a file's record."""
    return f"jobs/file/{workspace}/{file}"


def format_inputs(workspace: str, file: str) -> str:
    """Return the prefix of a file's chunks."""
    return f"jobs/input/{workspace}/{file}/"


def format_input(workspace: str, file: str, chunk: int) -> str:
    """Return the key of one chunk of a file."""
    return f"{format_inputs(workspace, file)}{chunk:06d}"


def format_expiry(
    expires_at: float, kind: str, workspace: str, id_: str
) -> str:
    """Return the key of an expiry entry; keys sort by expiry time."""
    return f"{EXPIRIES_PREFIX}{int(expires_at):012d}/{kind}/{workspace}/{id_}"
