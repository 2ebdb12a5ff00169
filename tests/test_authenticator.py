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
from eelgrassgate.entry import authenticator
from eelgrassgate.keys import digest
from eelgrassgate.keys import staleness
from eelgrassgate.store import memory

KEY: Final = "eg-test"
DIGEST: Final = digest.compute_digest(KEY)
PLACE: Final = settings.Place(instance="e1", zone="z1", region="r1")
RATE: Final = fleet.Rate(per_second=1.0, burst=1.0)

# Name, the key's workspace now (None: withdrawn), pass, whether it holds.
PRINCIPAL_CASES: Final[
    tuple[tuple[str, str | None, base.Principal, bool], ...]
] = (
    ("unchanged", "desk", base.Principal("desk", DIGEST), True),
    ("withdrawn", None, base.Principal("desk", DIGEST), False),
    (
        "assigned to another workspace",
        "parish",
        base.Principal("desk", DIGEST),
        False,
    ),
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


async def make_authenticator(
    workspace: str | None,
) -> authenticator.Authenticator:
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
    replica.state.apply_snapshot(found)
    replica.state.confirmed_at = deadlines.now()
    config_currency = staleness.create_staleness_checker(replica, PLACE, tuple)
    return authenticator.Authenticator(replica, config_currency)


class AuthenticatorTest(unittest.IsolatedAsyncioTestCase):
    async def test_principal_validity(self) -> None:
        for name, workspace, principal, is_valid in PRINCIPAL_CASES:
            with self.subTest(name):
                found = await make_authenticator(workspace)
                self.assertEqual(found.is_valid(principal), is_valid)
