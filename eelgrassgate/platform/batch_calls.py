"""How calls on batch jobs look on the users' wire."""

import base64
import binascii
from typing import Any
from typing import Final

import msgspec

from eelgrassgate import logs
from eelgrassgate.batches import serving
from eelgrassgate.gateway import batch_calls
from eelgrassgate.gateway import calls
from eelgrassgate.platform import dialect

JOBS_PATH: Final = "/lots/"
ITEMS_PATH: Final = "/items/"
MOST_ITEMS: Final = 200


class _Item(msgspec.Struct, frozen=True):
    """An item as it is handed in; `body` is base64 text."""

    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ""
    tokens: int = 0


class _Submission(msgspec.Struct, frozen=True):
    items: list[_Item]


class PlatformBatchDialect:
    """An implementation of `batch_calls.BatchDialect`."""

    def read_job_call(self, call: calls.Call) -> batch_calls.JobCall | None:
        """Return the call on an existing job that `call` is, if it is one."""
        query = dialect.read_query(call)
        if call.path.startswith(JOBS_PATH):
            job = call.path.removeprefix(JOBS_PATH)
            if call.method == b"GET":
                after = query.get("after", "0")
                return batch_calls.ReadResults(
                    job, int(after) if after.isdigit() else 0
                )
            if call.method == b"DELETE":
                return batch_calls.EndJob(job)
        elif call.path.startswith(ITEMS_PATH) and call.method == b"GET":
            job = call.path.removeprefix(ITEMS_PATH)
            return batch_calls.ReadItem(job, query.get("id", ""))
        return None

    def read_items(self, body: bytes) -> tuple[calls.BatchItem, ...] | None:
        """Read the items of a job; None if they can't be read."""
        try:
            found = msgspec.json.decode(body, type=_Submission).items
            if len(found) > MOST_ITEMS:
                return None
            return tuple(
                calls.BatchItem(
                    one.id,
                    one.path,
                    one.headers,
                    base64.b64decode(one.body, validate=True),
                    one.tokens,
                )
                for one in found
            )
        except (msgspec.MsgspecError, binascii.Error) as error:
            logs.log_message("job:unreadable", reason=str(error))
            return None

    def write_listing(self, listing: serving.Listing) -> bytes:
        """Write results."""
        written: dict[str, Any] = {
            "total": listing.total,
            # The position that the next read starts from.
            "next-page-token": listing.following,
            "results": [
                {"id": one.id, "state": one.state, "text": one.text}
                for one in listing.results
            ],
        }
        return msgspec.json.encode(written)
