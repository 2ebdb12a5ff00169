"""The platform adapter: documents, settings file and protocol."""

import base64
import os
import pathlib
import tempfile
import time
import tomllib
from typing import Any
from typing import Final
import unittest

import anyio
import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate.gateway import batch_calls
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import discovery as discovery_lib
from eelgrassgate.gateway import settings
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import upstream
from eelgrassgate.platform import batch_calls as platform_batch_calls
from eelgrassgate.platform import boot
from eelgrassgate.platform import dialect
from eelgrassgate.platform import documents
from eelgrassgate.store import base
from eelgrassgate.store import faulty
from eelgrassgate.store import memory

ROOT: Final = pathlib.Path(__file__).parent.parent
TIMEOUT_S: Final = 6.0
CONFIG: Final[dict[str, Any]] = {
    "version": 7,
    "routes": [
        {
            "name": "short",
            "host": "Desk.example",
            "prefix": "/a/",
            "kind": "streaming",
            "timeout-ms": 5000,
            "target-latency-ms": 300,
            "priority": 0,
            "service": "engine",
            "max-attempts": 2,
            "allow-resume": True,
            "later-field": {"x": 1},
        },
        {
            "name": "long",
            "host": "desk.example",
            "prefix": "/a/b/",
            "kind": "batch",
            "max-attempts": 3,
            "completion-target-ms": 18000,
            "retention-s": 60,
            "traffic-split": [
                {"service": "engine", "weight": 90},
                {"service": "other", "weight": 10},
            ],
        },
    ],
    "services": [{"name": "engine", "max-connections": 300, "engine": {}}],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    "tenants": [
        {
            "name": "huka",
            "api-keys": ["k1", "k2"],
            "priority": 1,
            "rate-per-s": 48,
            "burst": 40,
        }
    ],
}
ENTRY: Final[dict[str, Any]] = {
    "service": "engine",
    "address": "10.0.0.9:80",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-remaining-ms": 0,
    "sequence": 4,
    "born": 1_800_000_000_000,
}
SETTINGS: Final = """
node-name = "front-1"
ip = "10.1.0.5"
zone = "z1"
region = "r1"
internal-ports = [7660, 7675]
later = 3
[zones]
z1 = "r1"
[listen]
front = "10.1.0.5:8405"
ready = "10.1.0.5:8406"
[bounds]
grace-s = 8
later-s = 1
[platform]
address = "10.200.1.7:8408"
"""


class ConfigTest(unittest.TestCase):
    def test_routes(self) -> None:
        found = documents.decode_config(msgspec.json.encode(CONFIG))
        assert found is not None
        for path, name in (
            ("/a/", "short"),
            ("/a/x", "short"),
            ("/a/b/c", "long"),
            ("/a/b", "short"),
            ("/b/", None),
        ):
            route = found.find_route("DESK.example", path)
            self.assertEqual(route and route.name, name, path)
        long = found.find_route("desk.example", "/a/b/x")
        assert long is not None
        self.assertEqual(long.kind, catalog.Kind.BATCH)
        self.assertEqual((long.completion_s, long.retention_s), (18.0, 60.0))
        self.assertEqual([one.weight for one in long.targets], [90, 10])
        self.assertEqual(found.workspace_by_key, {"k1": "huka", "k2": "huka"})
        self.assertEqual(found.limits.idle_timeout_s, 15.0)
        self.assertTrue(found.services_by_name["engine"].is_engine)

    def test_invalid_configurations_are_ignored(self) -> None:
        for value in (b"", b"{}", b'{"version": "7"}', b"\xff\x00"):
            self.assertIsNone(documents.decode_config(value))

    def test_endpoints(self) -> None:
        for name, change, is_endpoint in (
            ("valid", {}, True),
            ("draining", {"state": "draining"}, True),
            ("unknown field", {"later": 1}, True),
            ("unknown state", {"state": "resting"}, False),
            ("slots as a string", {"slots": "8"}, False),
            ("no slots", {"slots": 0}, False),
            ("fractional start time", {"born": 1.5}, False),
            ("no service", {"service": None}, False),
        ):
            with self.subTest(name):
                value = msgspec.json.encode({**ENTRY, **change})
                found = documents.decode_endpoint("servers/i-1", value)
                self.assertEqual(found is not None, is_endpoint)
        for field in ENTRY:
            partial = {key: one for key, one in ENTRY.items() if key != field}
            value = msgspec.json.encode(partial)
            self.assertIsNone(documents.decode_endpoint("servers/i-1", value))


class SettingsTest(unittest.TestCase):
    def load(self, text: str) -> Any:
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "local.toml")
            pathlib.Path(path).write_text(text, "utf-8")
            return boot.load(path)

    def test_valid_settings(self) -> None:
        node = self.load(SETTINGS).unwrap()
        self.assertEqual(node.reports_address, "10.1.0.5:7660")
        self.assertEqual(node.relay_address, "10.1.0.5:7661")
        self.assertEqual(node.callers_address, "10.1.0.5:8405")
        self.assertEqual(node.grace_s, 8.0)

    def test_limits(self) -> None:
        limits = "[limits]\nmemory-mb = 300\nfile-descriptors = 4200\n"
        for text, memory_bytes, descriptors in (
            (f"{SETTINGS}\n{limits}", 300_000_000, 4_200),
            (
                SETTINGS,
                settings.DEFAULT_MEMORY_BYTES,
                settings.DEFAULT_FILE_DESCRIPTORS,
            ),
        ):
            with self.subTest(descriptors):
                node = self.load(text).unwrap()
                self.assertEqual(node.memory_bytes, memory_bytes)
                self.assertEqual(node.file_descriptors, descriptors)
        for limit in ("memory-mb = 0", "file-descriptors = -1"):
            with self.subTest(limit):
                loaded = self.load(f"{SETTINGS}\n[limits]\n{limit}\n")
                self.assertIsInstance(loaded, result.Failure)

    def test_all_findings_are_reported(self) -> None:
        broken = SETTINGS.replace('zone = "z1"\n', "").replace(
            "grace-s = 8", 'grace-s = "8"'
        )
        loaded = self.load(broken)
        assert isinstance(loaded, result.Failure)
        locations = [one.location for one in loaded.failure().get_findings()]
        self.assertEqual(sorted(locations), ["$.bounds.grace-s", "$.zone"])

    def test_missing_or_invalid_file(self) -> None:
        for text in ("= 1", None):
            loaded = boot.load("/nowhere") if text is None else self.load(text)
            self.assertIsInstance(loaded, result.Failure)

    def test_missing_bounds_have_defaults(self) -> None:
        for removed in (
            "[bounds]\ngrace-s = 8\nlater-s = 1\n",
            "grace-s = 8\n",
        ):
            with self.subTest(removed):
                node = self.load(SETTINGS.replace(removed, "")).unwrap()
                self.assertEqual(node.grace_s, boot.DEFAULT_GRACE_S)

    def test_odd_settings_are_reported_instead_of_raised(self) -> None:
        for name, text in (
            ("empty file", ""),
            ("cut file", SETTINGS[: len(SETTINGS) // 2]),
            ("no text", "\0"),
            ("deep nest", f"a = {'[' * 5_000}{']' * 5_000}"),
            ("many digits", f"a = {'1' * 5_000}"),
            ("section as a value", "bounds = 8\nplatform = []\n"),
            ("section as a list", SETTINGS.replace("[bounds]", "[[bounds]]")),
            *(
                (change, SETTINGS.replace(present, change))
                for present, change in (
                    ("grace-s = 8", "grace-s = nan"),
                    ("grace-s = 8", "grace-s = inf"),
                    ("grace-s = 8", "grace-s = -1"),
                    ("grace-s = 8", "grace-s = 1979-05-27"),
                    ("[7660, 7675]", "[7660]"),
                    ("[7660, 7675]", "[7660,7660]"),
                    ("[7660, 7675]", "[65535,65536]"),
                    ("[7660, 7675]", "[0,1]"),
                    ('ip = "10.1.0.5"', 'ip = "10.1.0"'),
                    ('"10.1.0.5:8405"', '"10.1.0.5"'),
                    ('"10.1.0.5:8405"', '"10.1.0.5:99999"'),
                    ('"10.200.1.7:8408"', '""'),
                    ("[bounds]", "[limits]\nmemory-mb = inf\n[bounds]"),
                    ("[bounds]", "[limits]\nmemory-mb = nan\n[bounds]"),
                )
            ),
        ):
            with self.subTest(name):
                self.assertNotEqual(text, SETTINGS)
                self.assertIsInstance(self.load(text), result.Failure)


class DialectTest(unittest.TestCase):
    def read(self, *headers: tuple[bytes, bytes]) -> calls.Call:
        return dialect.PlatformDialect().read_call(
            downstream.IncomingRequest(
                b"POST",
                b"/a/x?b=1",
                headers,
                downstream.Body(b"q"),
                deadlines.now(),
            )
        )

    def test_request(self) -> None:
        call = self.read(
            (b"host", b"desk.example:8080"),
            (b"request-id", b"r1"),
            (b"time-remaining", b"1500"),
            (b"authorization", b"bearer  k1 "),
        )
        self.assertEqual((call.host, call.path), ("desk.example", "/a/x"))
        self.assertEqual((call.id, call.key), ("r1", "k1"))
        self.assertAlmostEqual(
            deadlines.compute_remaining(call.deadline), 1.5, delta=0.2
        )

    def test_prompt_parts(self) -> None:
        for value, expected in (
            (b"5c1e:800,91bd:410,e440:250", ("5c1e", "91bd")),
            (b"5c1e:800, 91bd:410", ("5c1e",)),
            (b"e440:250", ()),
            (b"", ()),
        ):
            with self.subTest(value):
                call = self.read((b"prompt-prefix", value))
                self.assertEqual(call.prompt_parts, expected)
        self.assertEqual(self.read().prompt_parts, ())

    def test_limit_of_an_endpoint(self) -> None:
        for value, expected in (
            (b"2.25", 2.25),
            (b"0", 0.0),
            (b"", None),
            (b"-1", None),
            (b"nan", None),
            (b"inf", None),
            (b"many", None),
        ):
            with self.subTest(value):
                head = upstream.Head(200, ((b"server-limit", value),))
                info = dialect.PlatformDialect().read_response_info(head, "r")
                self.assertEqual(info.limit_per_s, expected)

    def test_response_of_a_draining_endpoint(self) -> None:
        for headers, expected in (
            ((), False),
            (((b"server-leaving", b"1"),), True),
            (((b"server-leaving", b" 1 "),), True),
            (((b"server-leaving", b"0"),), False),
            (((b"server-leaving", b""),), False),
            (((b"connection", b"close"),), False),
        ):
            for status in (200, 421, 500, 503):
                with self.subTest(headers, status=status):
                    info = dialect.PlatformDialect().read_response_info(
                        upstream.Head(status, headers), "r"
                    )
                    self.assertEqual(info.is_draining, expected)

    def test_invalid_headers(self) -> None:
        for value in (b"", b"x", b"-5", b"1.5"):
            call = self.read((b"time-remaining", value))
            self.assertGreater(deadlines.compute_remaining(call.deadline), 20.0)
        for value in (b"Basic k1", b"Bearer", b"Bearer "):
            self.assertIsNone(self.read((b"authorization", value)).key)

    def test_job_calls(self) -> None:
        for method, target, wanted in (
            (b"GET", b"/lots/j?after=3", batch_calls.ReadResults("j", 3)),
            (b"GET", b"/lots/j", batch_calls.ReadResults("j", 0)),
            (b"GET", b"/lots/j?after=x", batch_calls.ReadResults("j", 0)),
            (b"DELETE", b"/lots/j", batch_calls.CancelJob("j")),
            (b"GET", b"/items/j?id=i", batch_calls.ReadItem("j", "i")),
            (b"POST", b"/lots/j", None),
            (b"GET", b"/a/x", None),
        ):
            call = dialect.PlatformDialect().read_call(
                downstream.IncomingRequest(
                    method, target, (), downstream.Body(b""), 0.0
                )
            )
            found = platform_batch_calls.PlatformBatchDialect().read_job_call(
                call
            )
            self.assertEqual(found, wanted, target)

    def test_items(self) -> None:
        item = {"id": "i", "path": "/a/1", "body": "cQ==", "tokens": 4}
        found = read_items(msgspec.json.encode({"items": [item]}))
        assert found is not None
        self.assertEqual(found[0].body, base64.b64decode("cQ=="))
        for body in (
            b"",
            b"{}",
            msgspec.json.encode({"items": [{**item, "body": "*"}]}),
            msgspec.json.encode({"items": [item] * 201}),
        ):
            self.assertIsNone(read_items(body))


def read_items(body: bytes) -> list[calls.BatchItem] | None:
    """Return the items of a job; None if they are invalid."""
    items = platform_batch_calls.PlatformBatchDialect().read_items(body)
    try:
        return list(items)
    except batch_calls.InvalidItemsError:
        return None


async def put(store: base.Store, key: str, document: Any) -> None:
    change: base.Write | base.Delete = base.Delete(key)
    if document is not None:
        change = base.Write(key, msgspec.json.encode(document))
    await store.commit(base.Transaction((), (change,)))


class DiscoveryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = faulty.create_faulty_store(
            memory.create_memory_store(progress_interval_s=0.02)
        )
        self.discovery = discovery_lib.create_discovery(
            self.store, documents.PlatformDocuments()
        )

    async def wait(self, condition: Any) -> None:
        with anyio.fail_after(TIMEOUT_S):
            while not condition():
                await anyio.sleep(0.01)

    async def test_older_configuration_is_ignored(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.discovery.run)
            await put(self.store, "op/config", CONFIG)
            await self.wait(lambda: self.discovery.get_catalog().version == 7)
            await put(self.store, "op/config", {**CONFIG, "version": 6})
            await put(self.store, "op/config", {"version": "broken"})
            await anyio.sleep(0.3)
            self.assertEqual(self.discovery.get_catalog().version, 7)
            await put(self.store, "op/config", {**CONFIG, "version": 9})
            await self.wait(lambda: self.discovery.get_catalog().version == 9)
            tasks.cancel_scope.cancel()

    async def test_wait_until_loaded_is_bounded(self) -> None:
        started_at = time.monotonic()
        await self.discovery.wait_until_loaded()
        took_s = time.monotonic() - started_at
        self.assertGreaterEqual(took_s, 0.9 * discovery_lib.MAX_LOAD_WAIT_S)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.discovery.run)
            await put(self.store, "servers/i-1", ENTRY)
            await put(self.store, "op/config", CONFIG)
            await self.wait(self.discovery.is_loaded)
            started_at = time.monotonic()
            await self.discovery.wait_until_loaded()
            self.assertLess(time.monotonic() - started_at, 0.1)
            tasks.cancel_scope.cancel()

    async def test_deleted_endpoint_is_removed_immediately(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.discovery.run)
            await put(self.store, "servers/i-1", ENTRY)
            await self.wait(lambda: "i-1" in self.discovery.endpoints_by_id)
            # Wait until the grace period after connecting has passed.
            await anyio.sleep(discovery_lib.ENTRY_EXPIRY_GRACE_S)
            await put(self.store, "servers/i-1", None)
            with anyio.fail_after(2.0):
                while "i-1" in self.discovery.endpoints_by_id:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    async def test_entry_that_expired_in_an_outage_is_kept(
        self,
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.discovery.run)
            for name in ("i-1", "i-2"):
                await put(self.store, f"servers/{name}", ENTRY)
            await self.wait(lambda: len(self.discovery.endpoints_by_id) == 2)
            self.store.faults.is_down = True
            await anyio.sleep(0.5)
            self.store.faults.is_down = False
            for name in ("i-1", "i-2"):
                await put(self.store, f"servers/{name}", None)
            await anyio.sleep(1.0)
            self.assertEqual(len(self.discovery.endpoints_by_id), 2)
            await put(self.store, "servers/i-1", ENTRY)
            await self.wait(
                lambda: list(self.discovery.endpoints_by_id) == ["i-1"]
            )
            tasks.cancel_scope.cancel()


class DeployTest(unittest.TestCase):
    def test_deploy_file_matches_the_roles(self) -> None:
        text = (ROOT / "deploy" / "system.toml").read_text("utf-8")
        deploy = tomllib.loads(text)
        roles = {
            one["run"].split()[-1]: one["serves"]
            for one in deploy["roles"].values()
        }
        self.assertEqual(roles, {"gateway": ["front"], "batch": ["store"]})
        self.assertIn("--require-hashes", deploy["build"])

    def test_protocol_names_stay_in_the_adapter(self) -> None:
        words = ("Time-Remaining", "time-remaining", "kv-txn", "op/config")
        for path in (ROOT / "eelgrassgate").rglob("*.py"):
            parent = path.parent.name
            if parent in {"platform", "standins"}:
                continue
            text = path.read_text("utf-8")
            found = [word for word in words if word in text]
            self.assertEqual(found, [], path)
