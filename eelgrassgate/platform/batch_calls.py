"""Requests and responses of batch jobs in the users' protocol."""

from collections.abc import Iterator
from typing import Any
from typing import Final

import msgspec

from eelgrassgate import decoding
from eelgrassgate.batches import owner_messages
from eelgrassgate.gateway import batch_calls
from eelgrassgate.gateway import calls
from eelgrassgate.platform import dialect

JOBS_PATH: Final = "/lots/"
ITEMS_PATH: Final = "/items/"
MAX_ITEMS: Final = 200


class _Item(msgspec.Struct, frozen=True):
    """A submitted item; `body` is base64-encoded in JSON."""

    id: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""
    tokens: int = 0


# Keeps up to `MAX_ITEMS` items as they were sent, and is invalid with more.
# Unlike a list, it is bounded before it is complete.
_Items: Final = msgspec.defstruct(
    "_Items",
    [
        (f"item_{number}", msgspec.Raw | msgspec.UnsetType, msgspec.UNSET)
        for number in range(MAX_ITEMS)
    ],
    array_like=True,
    forbid_unknown_fields=True,
    frozen=True,
)
_Submission: Final = msgspec.defstruct(
    "_Submission", [("items", _Items)], frozen=True
)

_DECODER: Final = msgspec.json.Decoder[Any](_Submission)
_ITEM_DECODER: Final = msgspec.json.Decoder(_Item)


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

    def read_items(self, body: bytes) -> Iterator[calls.BatchItem]:
        """Decode the items of a job, each when it is asked for.

        Raises:
            batch_calls.InvalidItemsError: They are invalid.
        """
        try:
            items = decoding.decode(_DECODER, body).items
            for raw in msgspec.structs.astuple(items):
                if raw is msgspec.UNSET:
                    return
                item = decoding.decode(_ITEM_DECODER, raw)
                yield calls.BatchItem(
                    item.id, item.path, item.headers, item.body, item.tokens
                )
        except msgspec.MsgspecError as error:
            raise batch_calls.InvalidItemsError(str(error)) from error

    def write_listing(self, listing: owner_messages.Listing) -> bytes:
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
