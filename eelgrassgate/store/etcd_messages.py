"""Messages of etcd v3's published JSON gateway, as far as they are used.

Bytes are base64 and 64-bit integers are strings of digits; both sides leave
out fields that hold their default.
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


class _Part(msgspec.Struct, frozen=True, omit_defaults=True):
    """Base of all messages; unknown fields are passed over."""


class Header(_Part, frozen=True):
    """Part of every response."""

    revision: str = "0"


class KeyValue(_Part, frozen=True):
    """A key with its value."""

    key: bytes = b""
    value: bytes = b""
    mod_revision: str = "0"
    lease: str = "0"


class RangeRequest(_Part, frozen=True):
    """Reads the keys from `key` up to `range_end`, or just `key`."""

    key: bytes
    range_end: bytes = b""
    limit: str = "0"


class RangeResponse(_Part, frozen=True):
    """Keys in their order."""

    header: Header = Header()
    kvs: tuple[KeyValue, ...] = ()
    more: bool = False


class PutRequest(_Part, frozen=True):
    """Sets a key."""

    key: bytes
    value: bytes = b""
    lease: str = "0"


class DeleteRequest(_Part, frozen=True):
    """Deletes a key."""

    key: bytes


class Compare(_Part, frozen=True):
    """A condition on a key's revision of last change."""

    key: bytes
    target: str
    result: str
    mod_revision: str


class RequestOp(_Part, frozen=True):
    """One step of a transaction; one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None


class ResponseOp(_Part, frozen=True):
    """The answer to one step."""

    response_range: RangeResponse | None = None


class TxnRequest(_Part, frozen=True):
    """Runs `success` if all comparisons hold, else `failure`."""

    compare: tuple[Compare, ...] = ()
    success: tuple[RequestOp, ...] = ()
    failure: tuple[RequestOp, ...] = ()


class TxnResponse(_Part, frozen=True):
    """The answer to a transaction."""

    header: Header = Header()
    succeeded: bool = False
    responses: tuple[ResponseOp, ...] = ()


class GrantRequest(_Part, frozen=True):
    """Grants a lease; the time to live is in whole seconds."""

    ttl: str = msgspec.field(name="TTL")


class LeaseRequest(_Part, frozen=True):
    """Renews or revokes a lease."""

    id: str = msgspec.field(name="ID")


class LeaseResponse(_Part, frozen=True):
    """A lease; a renewed one with no time to live is not known."""

    id: str = msgspec.field(name="ID", default="0")
    ttl: str = msgspec.field(name="TTL", default="0")


class KeepAliveLine(_Part, frozen=True):
    """One line of the stream that answers a renewal."""

    result: LeaseResponse


class WatchCreateRequest(_Part, frozen=True):
    """Watches the keys from `key` up to `range_end`."""

    key: bytes
    range_end: bytes = b""
    start_revision: str = "0"
    progress_notify: bool = False


class WatchRequest(_Part, frozen=True):
    """Opens a watch."""

    create_request: WatchCreateRequest


class Event(_Part, frozen=True):
    """One change."""

    kv: KeyValue
    type: str = PUT


class WatchResponse(_Part, frozen=True):
    """A step of a watch; without events it tells of progress."""

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    compact_revision: str = "0"
    cancel_reason: str = ""
    events: tuple[Event, ...] = ()


class Error(_Part, frozen=True):
    """An error; `code` is a gRPC status."""

    code: int = 0
    message: str = ""


class WatchLine(_Part, frozen=True):
    """One line of a watch's stream."""

    result: WatchResponse | None = None
    error: Error | None = None


def compute_range_end(prefix: bytes) -> bytes:
    """Return the first key after all that start with `prefix`."""
    if not prefix:
        return b"\0"
    return prefix[:-1] + bytes((prefix[-1] + 1,))
