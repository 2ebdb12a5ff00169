"""Messages of the etcd v3 gRPC gateway (JSON), limited to the fields in use.

Bytes are base64-encoded and 64-bit integers are decimal strings. Both sides
omit fields that hold their default.
"""

import msgspec

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
GRANT_PATH = "/v3/lease/grant"
KEEP_ALIVE_PATH = "/v3/lease/keepalive"
REVOKE_PATH = "/v3/lease/revoke"
WATCH_PATH = "/v3/watch"

MODIFIED = "MOD"
EQUAL = "EQUAL"
PUT = "PUT"
DELETE = "DELETE"


class _Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """Base of all messages; unknown fields are ignored."""


class Header(_Message, frozen=True):
    """The header of a response."""

    revision: str = "0"


class KeyValue(_Message, frozen=True):
    """A key-value pair."""

    key: bytes = b""
    value: bytes = b""
    mod_revision: str = "0"
    lease: str = "0"


class RangeRequest(_Message, frozen=True):
    """Reads the keys in [`key`, `range_end`), or only `key`."""

    key: bytes
    range_end: bytes = b""
    limit: str = "0"


class RangeResponse(_Message, frozen=True):
    """The keys of a range, sorted."""

    header: Header = Header()
    kvs: tuple[KeyValue, ...] = ()
    more: bool = False


class PutRequest(_Message, frozen=True):
    """Sets a key."""

    key: bytes
    value: bytes = b""
    lease: str = "0"


class DeleteRequest(_Message, frozen=True):
    """Deletes a key."""

    key: bytes


class Compare(_Message, frozen=True):
    """Compares the revision of a key's last change."""

    key: bytes
    target: str
    result: str
    mod_revision: str


class RequestOp(_Message, frozen=True):
    """One operation of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None


class ResponseOp(_Message, frozen=True):
    """The result of one operation."""

    response_range: RangeResponse | None = None


class TxnRequest(_Message, frozen=True):
    """Runs `success` if all comparisons hold, else `failure`."""

    compare: tuple[Compare, ...] = ()
    success: tuple[RequestOp, ...] = ()
    failure: tuple[RequestOp, ...] = ()


class TxnResponse(_Message, frozen=True):
    """The result of a transaction."""

    header: Header = Header()
    succeeded: bool = False
    responses: tuple[ResponseOp, ...] = ()


class GrantRequest(_Message, frozen=True):
    """Grants a lease; the time to live is in whole seconds."""

    ttl: str = msgspec.field(name="TTL")


class LeaseRequest(_Message, frozen=True):
    """Renews or revokes a lease."""

    id: str = msgspec.field(name="ID")


class LeaseResponse(_Message, frozen=True):
    """A lease; a renewal of an unknown lease returns a time to live of 0."""

    id: str = msgspec.field(name="ID", default="0")
    ttl: str = msgspec.field(name="TTL", default="0")


class KeepAliveLine(_Message, frozen=True):
    """One line of the response stream of a lease renewal."""

    result: LeaseResponse


class WatchCreateRequest(_Message, frozen=True):
    """Watches the keys in [`key`, `range_end`)."""

    key: bytes
    range_end: bytes = b""
    start_revision: str = "0"
    progress_notify: bool = False


class WatchRequest(_Message, frozen=True):
    """Opens a watch."""

    create_request: WatchCreateRequest


class Event(_Message, frozen=True):
    """One change."""

    kv: KeyValue
    type: str = PUT


class WatchResponse(_Message, frozen=True):
    """One message of a watch; without events it reports progress."""

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    compact_revision: str = "0"
    cancel_reason: str = ""
    events: tuple[Event, ...] = ()


class Error(_Message, frozen=True):
    """An error; `code` is a gRPC status code."""

    code: int = 0
    message: str = ""


class WatchLine(_Message, frozen=True):
    """One line of the response stream of a watch."""

    result: WatchResponse | None = None
    error: Error | None = None


def compute_range_end(prefix: bytes) -> bytes:
    """Return the end of the range of keys that start with `prefix`.

    For an empty prefix it is a zero byte, which etcd takes as no upper bound.
    """
    if not prefix:
        return b"\0"
    return prefix[:-1] + bytes((prefix[-1] + 1,))
