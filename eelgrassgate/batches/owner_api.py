"""HTTP API by which gateways read jobs from the process that owns them.

Saves a store call for each read. If this process cannot be certain that its
results are current, it returns 404 and the gateway falls back to the store.
"""

import re
from typing import Final
import urllib.parse

import anyio
import msgspec

from eelgrassgate import deadlines
from eelgrassgate import decoding
from eelgrassgate import logs
from eelgrassgate import memory_budget
from eelgrassgate.batches import owner as owner_lib
from eelgrassgate.batches import owner_messages
from eelgrassgate.batches import records
from eelgrassgate.http1 import downstream

OK: Final = 200
BAD_REQUEST: Final = 400
NOT_FOUND: Final = 404
# Holder of the pages in the memory budget.
HOLDER: Final = "pages"
# Copies of a page that are held until it is sent.
PAGE_COPIES: Final = 2
# How long a page waits for memory; gateways wait 0.4 s before they read the
# store instead.
MEMORY_WAIT_S: Final = 0.2
_COUNT: Final = re.compile(r"[0-9]{1,15}")
_ANNOUNCEMENT_DECODER: Final = msgspec.json.Decoder(owner_messages.Announcement)


class OwnerApi:
    """Serves reads of jobs and results, and receives announced jobs."""

    def __init__(
        self, owner: owner_lib.Owner, budget: memory_budget.Budget
    ) -> None:
        """Create the API; see `create_owner_api`."""
        self._budget = budget
        self._owner = owner

    async def handle(
        self,
        incoming: downstream.IncomingRequest,
        responder: downstream.Responder,
    ) -> None:
        """Handle a request of a gateway."""
        if incoming.method == b"POST":
            await self._add_job(incoming.body, responder)
            return
        path, _, query = incoming.target.decode("latin-1").partition("?")
        job = urllib.parse.unquote(path.removeprefix(owner_messages.PATH))
        fields = dict(urllib.parse.parse_qsl(query))
        if owner_messages.AFTER not in fields:
            record = self._owner.find_record(job)
            if record is None:
                await responder.reply(NOT_FOUND)
            else:
                await responder.reply(OK, (), msgspec.json.encode(record))
            return
        after = _parse_count(fields[owner_messages.AFTER])
        wait_ms = _parse_count(fields.get(owner_messages.WAIT_MS, "0"))
        if after is None or wait_ms is None:
            await responder.reply(BAD_REQUEST)
            return
        listing = await self._read_results(
            job, after, wait_ms / owner_messages.MS_PER_S
        )
        if listing is None:
            await responder.reply(NOT_FOUND)
            return
        with self._budget.open(memory_budget.Kind.RESULT, HOLDER) as account:
            size = PAGE_COPIES * records.count_memory(listing.results)
            if await account.grow(size, deadlines.after(MEMORY_WAIT_S)):
                await responder.reply(OK, (), msgspec.msgpack.encode(listing))
            else:
                await responder.reply(NOT_FOUND)

    async def _add_job(
        self, body: bytes, responder: downstream.Responder
    ) -> None:
        try:
            announcement = decoding.decode(_ANNOUNCEMENT_DECODER, body)
        except msgspec.MsgspecError as error:
            logs.log_message("job:invalid", reason=str(error))
            await responder.reply(BAD_REQUEST)
            return
        self._owner.add_job(announcement.job, announcement.revision)
        await responder.reply(OK)

    async def _read_results(
        self, job: str, after: int, wait_s: float
    ) -> owner_messages.Listing | None:
        """Return results, waiting if there are none.

        Returns None if this process is not certain that they are current.
        """
        wait_until = deadlines.after(wait_s)
        while True:
            owned = self._owner.find_job(job)
            if owned is None:
                return None
            is_over = deadlines.is_past(wait_until) or not owned.is_open()
            if len(owned.committed) > after or is_over:
                break
            with anyio.move_on_after(deadlines.compute_remaining(wait_until)):
                await owned.wait_committed()
        found = owner_messages.select_page(owned.committed, after)
        return owner_messages.Listing(
            owned.job.total, after + len(found), found
        )


def _parse_count(text: str) -> int | None:
    """Parse a count; None if it is none."""
    return int(text) if _COUNT.fullmatch(text) else None


def create_owner_api(
    owner: owner_lib.Owner, budget: memory_budget.Budget
) -> OwnerApi:
    """Create the API of an owner.

    Args:
        owner: The owner.
        budget: The memory budget of the process.
    """
    return OwnerApi(owner, budget)
