"""Tracks members, slot owners and open jobs with one watch."""

from typing import Final

import anyio
import msgspec
from returns import result

from eelgrassgate.jobs import keys
from eelgrassgate.jobs import records
from eelgrassgate.jobs import runtimes
from eelgrassgate.jobs import store_calls
from eelgrassgate.store import base

PAGE_RECORDS: Final = 1_000


class OpenEntry(msgspec.Struct, frozen=True):
    """An open job and the revision of its entry's last change."""

    job: records.OpenJob
    revision: int


class View:
    """Eventually consistent copy of the keys under `keys.LIVE_PREFIX`.

    Attributes:
        members_by_instance: Instances that can own slots.
        fences_by_slot: Fencing token of each slot that has an owner.
        open_by_slot: Open jobs by id, by slot.
        revision: Revision up to which the view is complete, 0 before the
            first load.
    """

    def __init__(self, store: base.Store, runtime: runtimes.Runtime) -> None:
        """Create an empty view; see `create_view`."""
        self._store = store
        self._runtime = runtime
        self._failures = 0
        self._changed = anyio.Event()
        self.members_by_instance: dict[str, records.Member] = {}
        self.fences_by_slot: dict[int, int] = {}
        self.open_by_slot: dict[int, dict[str, OpenEntry]] = {}
        self.revision = 0

    async def run(self) -> None:
        """Keep the view up to date until cancelled."""
        while True:
            if await self._load():
                await self._watch()
            self._failures += 1
            delay = store_calls.compute_backoff(self._failures)
            await self._runtime.sleep(self._runtime.add_jitter(delay))

    async def wait(self, seconds: float) -> None:
        """Wait for a change, at most `seconds`."""
        with anyio.move_on_after(seconds):
            await self._changed.wait()

    async def _load(self) -> bool:
        """Read all keys again; return False if the store failed."""
        found: list[base.Record] = []
        first = 0
        after = ""
        while True:
            answer = await self._store.read_range(
                keys.LIVE_PREFIX, after=after, limit=PAGE_RECORDS
            )
            if not isinstance(answer, result.Success):
                return False
            page = answer.unwrap()
            found.extend(page.records)
            # Pages may have different revisions; the watch starts at the first
            # page's, which is the oldest.
            first = first or page.revision
            if not page.has_more:
                break
            after = page.records[-1].key
        self.members_by_instance.clear()
        self.fences_by_slot.clear()
        self.open_by_slot.clear()
        for record in found:
            self._set(record.key, record.value, record.revision)
        self.revision = first
        self._notify()
        return True

    async def _watch(self) -> None:
        """Apply changes until the watch ends."""
        answers = self._store.watch(keys.LIVE_PREFIX, self.revision + 1)
        async for answer in answers:
            if not isinstance(answer, result.Success):
                return
            changes = answer.unwrap()
            if isinstance(changes, base.Compacted):
                return
            self._failures = 0
            for change in changes.changes:
                if change.value is None:
                    self._delete(change.key)
                else:
                    self._set(change.key, change.value, change.revision)
            self.revision = max(self.revision, changes.revision)
            if changes.changes:
                self._notify()
            # Yields to other tasks, so that they see this change before the
            # next one.
            await self._runtime.sleep(0)

    def _set(self, key: str, value: bytes, revision: int) -> None:
        if key.startswith(keys.MEMBERS_PREFIX):
            member = records.decode(value, records.Member)
            self.members_by_instance[member.instance] = member
        elif key.startswith(keys.OWNERS_PREFIX):
            self.fences_by_slot[int(key.removeprefix(keys.OWNERS_PREFIX))] = (
                revision
            )
        elif key.startswith(keys.OPEN_PREFIX):
            job = records.decode(value, records.OpenJob)
            jobs = self.open_by_slot.setdefault(keys.compute_slot(job.job), {})
            jobs[job.job] = OpenEntry(job, revision)

    def _delete(self, key: str) -> None:
        if key.startswith(keys.MEMBERS_PREFIX):
            name = key.removeprefix(keys.MEMBERS_PREFIX)
            self.members_by_instance.pop(name, None)
        elif key.startswith(keys.OWNERS_PREFIX):
            slot = int(key.removeprefix(keys.OWNERS_PREFIX))
            self.fences_by_slot.pop(slot, None)
        elif key.startswith(keys.OPEN_PREFIX):
            job = key.rpartition("/")[2]
            jobs = self.open_by_slot.get(keys.compute_slot(job), {})
            jobs.pop(job, None)

    def _notify(self) -> None:
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()


def create_view(store: base.Store, runtime: runtimes.Runtime) -> View:
    """Create a view of the store."""
    return View(store, runtime)
