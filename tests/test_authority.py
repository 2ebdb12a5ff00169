from typing import Final
import unittest

from returns import result

from eelgrassgate import deadlines
from eelgrassgate import settings
from eelgrassgate.callers import base
from eelgrassgate.config import edit
from eelgrassgate.config import fleet
from eelgrassgate.config import records
from eelgrassgate.config import replica as replica_lib
from eelgrassgate.config import snapshot as snapshot_lib
from eelgrassgate.entry import authority
from eelgrassgate.keys import currency
from eelgrassgate.keys import digest
from eelgrassgate.store import memory

KEY: Final = "eg-test"
DIGEST: Final = digest.compute_digest(KEY)
PLACE: Final = settings.Place(instance="e1", zone="z1", region="r1")
RATE: Final = fleet.Rate(per_second=1.0, burst=1.0)

# Name, the key's workspace now (None: withdrawn), pass, whether it holds.
PASSES: Final[tuple[tuple[str, str | None, base.Principal, bool], ...]] = (
    ("unchanged", "desk", base.Principal("desk", DIGEST), True),
    ("withdrawn", None, base.Principal("desk", DIGEST), False),
    ("given to another", "parish", base.Principal("desk", DIGEST), False),
    ("the key alone", "parish", base.Principal("", DIGEST), True),
    ("another key", "desk", base.Principal("desk", "0" * 64), False),
)


def make_fleet(workspace: str | None) -> fleet.Fleet:
    key = fleet.Key(digest=DIGEST, workspace=workspace or "")
    return fleet.Fleet(
        workspaces={
            name: fleet.Workspace(rate=RATE) for name in ("desk", "parish")
        },
        keys={"k": key} if workspace else {},
    )


async def make_authority(workspace: str | None) -> authority.Authority:
    store = memory.create_memory_store()
    changes = dict[str, bytes | None](
        records.split_fleet(make_fleet(workspace))
    )

    def plan(
        snapshot: snapshot_lib.Snapshot,
    ) -> result.Result[edit.Plan, edit.Refusal]:
        return result.Success(edit.Plan(changes, is_from_files=True))

    (await edit.edit(store, "test", plan)).unwrap()
    replica = replica_lib.create_replica(store, PLACE, tuple)
    found = (await snapshot_lib.read(store)).unwrap()
    replica.held.adopt_snapshot(found)
    replica.held.confirmed_at = deadlines.now()
    judge = currency.create_currency(replica, PLACE, tuple)
    return authority.Authority(replica, judge)


class AuthorityTest(unittest.IsolatedAsyncioTestCase):
    async def test_passes(self) -> None:
        for name, workspace, held, holds in PASSES:
            with self.subTest(name):
                found = await make_authority(workspace)
                self.assertEqual(found.is_valid(held), holds)
