"""Keeps quarantined prompt parts and requests in the key-value service.

They outlive a restart of all processes at once. A process reads them once when
it starts; later ones arrive in the reports of its peers.
"""

import hashlib
import time
from typing import Final
import urllib.parse

import anyio
import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import decoding
from eelgrassgate import logs
from eelgrassgate.quarantine import quarantine as quarantine_lib
from eelgrassgate.store import base
from eelgrassgate.store import pages

PREFIX: Final = "eelgrassgate/quarantine/"
RETRY_DELAY_S: Final = 1.0


class Entry(msgspec.Struct, frozen=True):
    """A quarantined suspect and the wall-clock time in seconds of its end."""

    part: str
    until: float


_DECODER: Final = msgspec.json.Decoder(Entry)


class Storage:
    """Reads and writes the quarantined suspects."""

    def __init__(
        self, store: base.Store, quarantine: quarantine_lib.Quarantine
    ) -> None:
        """Initialize without reading; see `create_storage`."""
        self._store = store
        self._quarantine = quarantine
        # Suspects to write, with the end of their quarantine; 0 to delete them.
        self._unsaved_until_by_part: dict[str, float] = {}
        self._has_unsaved = anyio.Event()
        quarantine.subscribe(self._save)

    def _save(self, part: str, until: float) -> None:
        self._unsaved_until_by_part[part] = until
        self._has_unsaved.set()

    async def run(self) -> None:
        """Read once, then write changes until cancelled."""
        while not await self._read():
            await anyio.sleep(RETRY_DELAY_S)
        while True:
            await self._has_unsaved.wait()
            self._has_unsaved = anyio.Event()
            while self._unsaved_until_by_part:
                if not await self._write():
                    await anyio.sleep(RETRY_DELAY_S)

    async def _read(self) -> bool:
        """Adopt what is stored; return whether the store responded."""
        page = await pages.read_all(self._store, PREFIX)
        if isinstance(page, result.Failure):
            logs.log_message(
                "quarantine:read_failed", reason=page.failure().message
            )
            return False
        for record in page.unwrap().records:
            try:
                entry = decoding.decode(_DECODER, record.value)
            except msgspec.MsgspecError as error:
                logs.log_message("quarantine:invalid", reason=str(error))
                continue
            remaining_s = entry.until - time.time()
            self._quarantine.adopt(
                entry.part, deadlines.after(remaining_s), "store"
            )
        return True

    async def _write(self) -> bool:
        """Write one change; return whether the store responded."""
        part, until = next(iter(self._unsaved_until_by_part.items()))
        key = _format_key(part)
        change: base.Write | base.Delete = base.Delete(key)
        preconditions: tuple[base.Precondition, ...] = ()
        lease = 0
        if until:
            remaining_s = deadlines.compute_remaining(until)
            granted = await self._store.grant_lease(remaining_s)
            if isinstance(granted, result.Failure):
                return False
            lease = granted.unwrap().lease
            entry = Entry(part, time.time() + remaining_s)
            change = base.Write(key, msgspec.json.encode(entry), lease)
            # Another process may have written the part already.
            preconditions = (base.Precondition(key, 0),)
        committed = await self._store.commit(
            base.Transaction(preconditions, (change,))
        )
        if isinstance(committed, result.Failure):
            error = committed.failure()
            if not error.is_rejected:
                return False
            # It would hold up the other changes.
            logs.log_message(
                "quarantine:write_rejected", key=key, reason=error.message
            )
        elif lease and not _has_written(committed.unwrap(), lease):
            await self._store.revoke_lease(lease)
        if self._unsaved_until_by_part.get(part) == until:
            del self._unsaved_until_by_part[part]
        return True


def _has_written(commit: base.Commit, lease: int) -> bool:
    """Return whether an entry is stored under this process's lease.

    The answer may be that of a repeated call, which finds the entry of the
    first.
    """
    return commit.is_done or any(one.lease == lease for one in commit.found)


def _format_key(part: str) -> str:
    """Return the key of a suspect; a digest if its name is too long."""
    key = PREFIX + urllib.parse.quote(part, safe="")
    if len(key) <= base.MAX_KEY_BYTES:
        return key
    return PREFIX + hashlib.sha256(part.encode()).hexdigest()


def create_storage(
    store: base.Store, quarantine: quarantine_lib.Quarantine
) -> Storage:
    """Create the storage of a process's quarantine."""
    return Storage(store, quarantine)
