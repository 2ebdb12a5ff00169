"""The configuration as records, grouped into chunks in the store.

A record is one workspace, key, model and so on. A hash of its id assigns it to
one of `CHUNK_COUNT` chunks. A change rewrites only the affected chunks and the
head, so any change fits into one transaction and the change of one key
transfers one chunk.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Final

import msgspec
import xxhash

from eelgrassgate import decoding
from eelgrassgate.config import fleet as fleet_lib

PREFIX: Final = "/eelgrassgate/config/"
HEAD_KEY: Final = PREFIX + "head"
CHUNK_PREFIX: Final = PREFIX + "chunk/"
CHUNK_COUNT: Final = 64
MAX_RECENT_EDITS: Final = 64

LIMITS_ID: Final = "limits/"
LINK_ID: Final = "link/"
GRANTS: Final = "grants"
WITHDRAWN: Final = "withdrawn"

_DIGEST_BITS: Final = 128


class Withdrawn(msgspec.Struct, frozen=True):
    """A tombstone that keeps a withdrawn key from being applied again.

    Attributes:
        name: The key's name when it was withdrawn.
        at: Wall-clock time, for information only.
    """

    name: str
    at: str = ""


_TYPES_BY_KIND: Final[dict[str, Any]] = {
    "workspaces": fleet_lib.Workspace,
    "keys": fleet_lib.Key,
    GRANTS: fleet_lib.Key,
    WITHDRAWN: Withdrawn,
    "models": fleet_lib.Model,
    "services": dict[str, str],
    "endpoints": fleet_lib.Endpoint,
    "routes": fleet_lib.Route,
    "limits": fleet_lib.Limits,
    "link": fleet_lib.Link,
}
_SINGLETON_KINDS: Final = ("limits", "link")
_FILE_KINDS: Final = tuple(
    kind for kind in _TYPES_BY_KIND if kind not in (GRANTS, WITHDRAWN)
)


class Entry(msgspec.Struct, frozen=True):
    """A record's JSON value and the revision of its last change."""

    value: msgspec.Raw
    revision: int


class Chunk(msgspec.Struct, frozen=True):
    """The records of one chunk, by id."""

    records: dict[str, Entry]


class Edit(msgspec.Struct, frozen=True):
    """One accepted edit.

    Attributes:
        edit: The id chosen by the edit's author, to detect the edit after a
            lost reply.
        revision: The revision that the edit created.
    """

    edit: str
    revision: int


class Head(msgspec.Struct, frozen=True):
    """Identifies one state of the configuration.

    Attributes:
        revision: The configuration's revision, incremented by each edit.
        files_revision: The revision of the latest edit made from files.
        digest: Digest of all records, hexadecimal.
        edits: The latest edits, oldest first.
    """

    revision: int = 0
    files_revision: int = 0
    digest: str = ""
    edits: tuple[Edit, ...] = ()


def split_id(record_id: str) -> tuple[str, str]:
    """Return a record's kind and name."""
    kind, _, name = record_id.partition("/")
    return kind, name


def get_chunk_key(record_id: str) -> str:
    """Return the store key of the chunk that contains `record_id`."""
    index = xxhash.xxh3_64_intdigest(record_id.encode()) % CHUNK_COUNT
    return f"{CHUNK_PREFIX}{index:02x}"


def digest_record(record_id: str, value: bytes, revision: int) -> int:
    """Return one record's summand of the digest of all records."""
    prefix = f"{record_id}\0{revision}\0".encode()
    return int(xxhash.xxh3_128_intdigest(prefix + value))


def format_digest(total: int) -> str:
    """Return a sum of record digests in the format of the head."""
    return f"{total % (1 << _DIGEST_BITS):032x}"


def sum_digests(entries_by_id: Mapping[str, Entry]) -> int:
    """Return the sum of all records' digests."""
    return sum(
        digest_record(record_id, bytes(entry.value), entry.revision)
        for record_id, entry in entries_by_id.items()
    )


def encode_value(value: Any) -> bytes:
    """Encode a record's value as JSON with sorted keys."""
    return msgspec.json.encode(value, order="sorted")


def decode_value(record_id: str, value: bytes) -> Any:
    """Decode a record's value to the type of its kind.

    Raises:
        msgspec.ValidationError: The value is invalid or its kind unknown.
    """
    kind, _ = split_id(record_id)
    try:
        kind_type = _TYPES_BY_KIND[kind]
    except KeyError:
        raise msgspec.ValidationError(f"unknown kind `{kind}`") from None
    return decoding.decode(msgspec.json.Decoder(kind_type), value)


def split_fleet(fleet: fleet_lib.Fleet) -> dict[str, bytes]:
    """Return the values of the records that files define, by id."""
    values_by_id: dict[str, bytes] = {}
    for kind in _FILE_KINDS:
        part = getattr(fleet, kind)
        if kind in _SINGLETON_KINDS:
            values_by_id[kind + "/"] = encode_value(part)
            continue
        for name, value in part.items():
            values_by_id[f"{kind}/{name}"] = encode_value(value)
    return values_by_id


def is_from_files(record_id: str) -> bool:
    """Return whether a record is of a kind that files define."""
    return split_id(record_id)[0] in _FILE_KINDS


def update_fleet(
    fleet: fleet_lib.Fleet, changes: Iterable[tuple[str, bytes | None]]
) -> fleet_lib.Fleet:
    """Return `fleet` with records set, or removed where the value is None.

    Raises:
        msgspec.ValidationError: A value is invalid; nothing is changed.
    """
    parts: dict[str, Any] = {}
    for record_id, value in changes:
        kind, name = split_id(record_id)
        decoded = None
        if value is not None:
            decoded = decode_value(record_id, value)
        if kind == WITHDRAWN:
            continue
        if kind in _SINGLETON_KINDS:
            parts[kind] = decoded or _TYPES_BY_KIND[kind]()
            continue
        field = "keys" if kind == GRANTS else kind
        if field not in parts:
            parts[field] = dict(getattr(fleet, field))
        if decoded is None:
            parts[field].pop(name, None)
        else:
            parts[field][name] = decoded
    return msgspec.structs.replace(fleet, **parts)
