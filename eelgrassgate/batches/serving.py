"""Answers gateways about the jobs that this process owns.

Spares the store a call for each read; what is not known here for certain is
left to the store.
"""

from typing import Final
import urllib.parse

import anyio
import msgspec

from eelgrassgate import deadlines
from eelgrassgate.batches import owner as owner_lib
from eelgrassgate.batches import records
from eelgrassgate.http1 import downstream

PATH: Final = "/jobs/"
# The position from which results are asked for; a call without it asks for the
# job's record.
AFTER: Final = "after"
OK: Final = 200
NOT_FOUND: Final = 404
MS_PER_S: Final = 1000.0
# Most bytes of text in one answer.
ANSWER_BYTES: Final = 900_000


class Listing(msgspec.Struct, frozen=True):
    """Results of a job from a position on.

    Attributes:
        total: How many items the job has.
        following: The position after the last result here.
        results: The results.
    """

    total: int
    following: int
    results: tuple[records.Result, ...]


class Offer(msgspec.Struct, frozen=True):
    """A job that was accepted just now, and at which revision."""

    job: records.Job
    revision: int


def select(
    listed: list[records.Result], after: int
) -> tuple[records.Result, ...]:
    """Return results from a position on, at least one if there is any."""
    found: list[records.Result] = []
    size = 0
    for one in listed[after:]:
        size += len(one.text)
        if found and size > ANSWER_BYTES:
            break
        found.append(one)
    return tuple(found)


class Serving:
    """Answers reads of jobs and results, and takes note of new jobs."""

    def __init__(self, owner: owner_lib.Owner) -> None:
        """Create; see `create_serving`."""
        self._owner = owner

    async def handle(
        self,
        incoming: downstream.IncomingRequest,
        responder: downstream.Responder,
    ) -> None:
        """Answer one call of a gateway."""
        if incoming.method == b"POST":
            offered = msgspec.json.decode(incoming.body, type=Offer)
            self._owner.offer(offered.job, offered.revision)
            await responder.reply(OK)
            return
        path, _, query = incoming.target.decode("latin-1").partition("?")
        job = urllib.parse.unquote(path.removeprefix(PATH))
        fields = dict(urllib.parse.parse_qsl(query))
        if AFTER not in fields:
            record = self._owner.find_record(job)
            if record is None:
                await responder.reply(NOT_FOUND)
            else:
                await responder.reply(OK, (), msgspec.json.encode(record))
            return
        wait_s = int(fields.get("wait_ms", "0")) / MS_PER_S
        listing = await self._read(job, int(fields[AFTER]), wait_s)
        if listing is None:
            await responder.reply(NOT_FOUND)
        else:
            await responder.reply(OK, (), msgspec.msgpack.encode(listing))

    async def _read(
        self, job: str, after: int, wait_s: float
    ) -> Listing | None:
        """Return results, after a wait if there are none; None if not known."""
        wait_until = deadlines.after(wait_s)
        while True:
            owned = self._owner.find(job)
            if owned is None:
                return None
            is_over = deadlines.is_past(wait_until) or not owned.has_work_left()
            if len(owned.listed) > after or is_over:
                break
            with anyio.move_on_after(deadlines.compute_remaining(wait_until)):
                await owned.wait_listed()
        found = select(owned.listed, after)
        return Listing(owned.job.total, after + len(found), found)


def create_serving(owner: owner_lib.Owner) -> Serving:
    """Create the answers of an owner."""
    return Serving(owner)
