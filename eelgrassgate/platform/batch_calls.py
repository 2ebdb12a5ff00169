"""Requests and responses of batch jobs in the users' protocol."""

import base64
import binascii
from typing import Any
from typing import Final

import msgspec

from eelgrassgate import decoding
from eelgrassgate import logs
from eelgrassgate.batches import owner_api
from eelgrassgate.gateway import batch_calls
from eelgrassgate.gateway import calls
from eelgrassgate.platform import dialect

JOBS_PATH: Final = "/lots/"
ITEMS_PATH: Final = "/items/"
MAX_ITEMS: Final = 200


class _Item(msgspec.Struct, frozen=True):
    """A submitted item; `body` is base64-encoded."""

    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ""
    tokens: int = 0


class _Submission(msgspec.Struct, frozen=True):
    items: list[_Item]


_DECODER: Final = msgspec.json.Decoder(_Submission)


class PlatformBatchDialect:
    """An implementation of `batch_calls.BatchDialect`."""

    def read_job_call(self, call: calls.Call) -> batch_calls.JobCall | None:
        """Parse a call on an existing job; return None for any other call."""
        query = dialect.parse_query(call)
        if call.path.startswith(JOBS_PATH):
            job = call.path.removeprefix(JOBS_PATH)
            if call.method == b"GET":
                after = query.get("after", "").encode()
                return batch_calls.ReadResults(
                    job, dialect.parse_number(after, 0)
                )
            if call.method == b"DELETE":
                return batch_calls.CancelJob(job)
        elif call.path.startswith(ITEMS_PATH) and call.method == b"GET":
            job = call.path.removeprefix(ITEMS_PATH)
            return batch_calls.ReadItem(job, query.get("id", ""))
        return None

    def read_items(self, body: bytes) -> tuple[calls.BatchItem, ...] | None:
        """Decode the items of a job; return None if they are invalid."""
        try:
            found = decoding.decode(_DECODER, body).items
            if len(found) > MAX_ITEMS:
                return None
            return tuple(
                calls.BatchItem(
                    item.id,
                    item.path,
                    item.headers,
                    base64.b64decode(item.body, validate=True),
                    item.tokens,
                )
                for item in found
            )
        except (msgspec.MsgspecError, binascii.Error) as error:
            logs.log_message("job:invalid", reason=str(error))
            return None

    def write_listing(self, listing: owner_api.Listing) -> bytes:
        """Encode a page of results."""
        written: dict[str, Any] = {
            "total": listing.total,
            # The position from which the next read continues.
            "next-page-token": listing.following,
            "results": [
                {"id": item.id, "state": item.state, "text": item.text}
                for item in listing.results
            ],
        }
        return msgspec.json.encode(written)
