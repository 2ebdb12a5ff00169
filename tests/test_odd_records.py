"""Entries and messages of other writers, which may hold anything."""

from collections.abc import Callable
import json
import math
from typing import Any
from typing import Final
import unittest
from unittest import mock

import anyio
from anyio import abc
import msgspec
from returns import result
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from eelgrassgate import addresses
from eelgrassgate import deadlines
from eelgrassgate import decoding
from eelgrassgate import logs
from eelgrassgate import messages
from eelgrassgate.batches import owner_api
from eelgrassgate.batches import owner_messages
from eelgrassgate.batches import records
from eelgrassgate.batches import results
from eelgrassgate.batches import stored_items
from eelgrassgate.batches import submission
from eelgrassgate.config import records as config_records
from eelgrassgate.gateway import batch_calls
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import discovery as discovery_lib
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import events
from eelgrassgate.http1 import sockets
from eelgrassgate.http1 import upstream
from eelgrassgate.instances import endpointslice
from eelgrassgate.jobs import records as job_records
from eelgrassgate.membership import roster
from eelgrassgate.peering import failures
from eelgrassgate.peering import loads
from eelgrassgate.peering import registry
from eelgrassgate.peering import relay
from eelgrassgate.peering import reports
from eelgrassgate.platform import batch_calls as platform_batch_calls
from eelgrassgate.platform import dialect
from eelgrassgate.platform import documents
from eelgrassgate.platform import kv
from eelgrassgate.quarantine import evidence
from eelgrassgate.quarantine import quarantine as quarantine_lib
from eelgrassgate.quarantine import storage
from eelgrassgate.standins import endpoint
from eelgrassgate.store import base
from eelgrassgate.store import memory
from eelgrassgate.store import mirror
from tests import loopback
from tests import site as site_lib
from tests import test_batch_daemon
from tests import test_batches
from tests import test_peering
from tests import test_platform

TIMEOUT_S: Final = 6.0
DEEP_ARRAY: Final = b"[" * 200_000 + b"]" * 200_000
DEEP_OBJECT: Final = b'{"a":' * 100_000 + b"1" + b"}" * 100_000
DEEP_MSGPACK: Final = b"\x91" * 60_000 + b"\x01"


def add_member(document: Any, value: bytes) -> bytes:
    """Return a JSON object with an unknown member."""
    return msgspec.json.encode(document)[:-1] + b',"unknown":' + value + b"}"


async def write(store: base.Store, key: str, value: bytes) -> None:
    await store.commit(base.Transaction((), (base.Write(key, value),)))


ODD_ADDRESSES: Final = (
    "",
    ":",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:99999",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:x",
    "127.0.0.1:\u0661",
    "127.0.0.1:80 ",
    "127.0.0.1:80\n",
    "127.0.0\x00.1:80",
    ":80",
    "a..b:80",
    "a" * 64 + ".example:80",
    "a." * 2000 + "b:80",
    "\u2603.example:80",
    "[127.0.0.1]:80",
    "fe80::1%a\x00b:80",
    "::1::1:80",
)


class AddressTest(unittest.IsolatedAsyncioTestCase):
    def test_usual_addresses(self) -> None:
        for text, host, port in (
            ("10.0.0.1:80", "10.0.0.1", 80),
            ("localhost:65535", "localhost", 65_535),
            ("a-1.b_2.example:1", "a-1.b_2.example", 1),
            ("::1:80", "::1", 80),
        ):
            address = addresses.Address(host, port)
            self.assertEqual(addresses.parse(text), address)

    async def test_nothing_is_sent_to_odd_addresses(self) -> None:
        pool = upstream.create_pool(0.2)
        for text in ODD_ADDRESSES:
            with self.subTest(text[:40]):
                with self.assertRaises(upstream.ExchangeError) as caught:
                    async with pool.use(text):
                        self.fail("connected")
                self.assertFalse(caught.exception.was_sent)
                self.assertFalse(await sockets.is_refused(text, 0.2))

    async def test_sound_endpoint_answers_beside_an_odd_address(self) -> None:
        for text in ODD_ADDRESSES:
            with self.subTest(text[:40]):
                async with site_lib.open_site() as site:
                    odd, sound = site.endpoints
                    site.loads.set_peer_counts("other", {sound.name: 4}, {})
                    site.placement.set_endpoints(
                        {
                            one.name: catalog.Endpoint(
                                one.name, "engine", address, "z1", 8
                            )
                            for one, address in (
                                (odd, text),
                                (sound, sound.address),
                            )
                        }
                    )
                    response = await site_lib.call(site.address, "/once/a")
                    self.assertEqual(response.status, 200)
                    self.assertTrue(site.placement.is_in_backoff(odd.name))


class KvAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_odd_answers_of_the_store_are_failures(self) -> None:
        body = b""

        async def answer(request: requests.Request) -> responses.Response:
            await request.body()
            return responses.Response(body)

        item = {"key": "a", "revision": 1, "store-revision": 1}
        bodies = [b"", b"\xff", DEEP_ARRAY]
        for value in ("*", "YQ", "\u2603", 1):
            odd = {**item, "value": value}
            document = {**odd, "items": [odd], "events": [odd]}
            bodies.append(json.dumps(document).encode())
        app = applications.Starlette(
            routes=[routing.Route("/{path:path}", answer)]
        )
        async with loopback.serve(app) as url:
            store = kv.create_kv_store(url.removeprefix("http://"))
            for body in bodies:
                watch: Any = store.watch("a", 1)
                for answered in (
                    await store.read("a"),
                    await store.read_range("a"),
                    await anext(watch),
                ):
                    with self.subTest(body[:60]):
                        self.assertIsInstance(answered, result.Failure)
                await watch.aclose()
            for number in (b"-1", b"1e3", b"9" * 400):
                body = b'{"ttl-ms":' + number + b"}"
                self.assertIsInstance(
                    await store.grant_lease(1.0), result.Failure
                )
            await store.close()


class ConfigTest(unittest.TestCase):
    def test_configurations_out_of_bounds_are_ignored(self) -> None:
        config = test_platform.CONFIG
        route, tenant = config["routes"][0], config["tenants"][0]

        def make_split(*weights: float) -> dict[str, Any]:
            split = [{"service": "s", "weight": one} for one in weights]
            return {"routes": [{**route, "traffic-split": split}]}

        for name, change in (
            ("negative weights", make_split(1.0, -1.0)),
            ("weights whose sum is infinite", make_split(1e308, 1e308)),
            ("large version", {"version": 2**80}),
            ("negative version", {"version": -1}),
            ("timeout", {"routes": [{**route, "timeout-ms": 1e308}]}),
            ("retention", {"routes": [{**route, "retention-s": 1e308}]}),
            ("attempts", {"routes": [{**route, "max-attempts": 10**400}]}),
            ("rate", {"tenants": [{**tenant, "rate-per-s": -1.0}]}),
            ("line feed", {"tenants": [{**tenant, "name": "a\nb"}]}),
            ("line feed at the end", {"tenants": [{**tenant, "name": "a\n"}]}),
            ("blank at the end", {"tenants": [{**tenant, "name": "a "}]}),
            ("idle timeout", {"limits": {"idle-timeout-ms": -1.0}}),
        ):
            with self.subTest(name):
                value = json.dumps({**config, **change}).encode()
                self.assertIsNone(documents.decode_config(value))

    def test_usual_names_and_numbers_are_read(self) -> None:
        config = test_platform.CONFIG
        tenant = config["tenants"][0]
        for name in ("", "a", "a b", "caf\u00e9", "\u2603"):
            with self.subTest(name):
                changed = {"tenants": [{**tenant, "name": name, "burst": 0}]}
                value = json.dumps({**config, **changed}).encode()
                found = documents.decode_config(value)
                assert found is not None
                self.assertIn(name, found.workspaces_by_name)


class RetirementTest(unittest.IsolatedAsyncioTestCase):
    def test_odd_retirements_are_ignored(self) -> None:
        sound = b'{"duration-s": 9}'
        for key, value in (
            ("op/retire/", sound),
            ("op/retire/" + "a" * 190, sound),
            ("op/retire/" + "\u2603" * 63, sound),
            ("op/retire/a", b'{"duration-s": 1e400}'),
            ("op/retire/a", b'{"duration-s": NaN}'),
            ("op/retire/a", b'{"duration-s": "9"}'),
        ):
            with self.subTest(key[:20], value=value):
                self.assertIsNone(documents.decode_retirement(key, value))

    async def test_odd_name_keeps_no_other_retirement_from_its_report(
        self,
    ) -> None:
        store = test_batch_daemon.make_store()
        commit = store.commit

        async def reject_long_keys(transaction: base.Transaction) -> Any:
            if any(len(one.key) > 200 for one in transaction.changes):
                fault = base.Fault.NOT_DONE
                return result.Failure(base.StoreError(fault, "status 400"))
            return await commit(transaction)

        sound = msgspec.json.encode({"duration-s": 3.0})
        # Instances are reported one by one, in no order.
        names = [f"none-{number}" for number in range(8)]
        for name in ("a" * 190, *names):
            await write(store, f"op/retire/{name}", sound)
        store.commit = reject_long_keys
        async with test_batch_daemon.open_batches(store, "a"):
            with anyio.fail_after(TIMEOUT_S):
                for name in names:
                    while not await test_batch_daemon.read_state(store, name):
                        await anyio.sleep(0.02)


class QuarantineEntryTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_quarantine_lasts_longer_than_its_bound(self) -> None:
        parts = (b"5c1e:800", b"91bd:410")
        bound_s = quarantine_lib.QUARANTINE_S
        for until in (1e12, 1e308):
            with self.subTest(until):
                store = memory.create_memory_store()
                entry = storage.Entry("5c1e", until)
                key = f"{storage.PREFIX}5c1e"
                await write(store, key, msgspec.json.encode(entry))
                async with site_lib.open_site() as site:
                    kept = storage.create_storage(store, site.quarantine)
                    self.assertTrue(await kept._read())
                    remaining_s = site.quarantine.compute_remaining("5c1e")
                    self.assertLessEqual(remaining_s, bound_s)
                    response = await site_lib.call(
                        site.address,
                        "/plain/a",
                        headers={"Prompt-Prefix": b",".join(parts).decode()},
                    )
                    self.assertEqual(response.status, 503)


class KeepAliveTest(unittest.IsolatedAsyncioTestCase):
    async def test_timeout_of_many_digits_spoils_no_response(self) -> None:
        for digits in (b"9" * 400, b"9" * 5000):
            answer = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=%s\r\n" % digits
            answer += b"Content-Length: 2\r\n\r\nok"

            async def serve(stream: Any, answer: bytes = answer) -> None:
                await stream.receive()
                await stream.send(answer)

            async with (
                await anyio.create_tcp_listener(
                    local_host="127.0.0.1"
                ) as listener,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(listener.serve, serve)
                port = listener.extra(abc.SocketAttribute.local_port)
                request = upstream.Request(
                    b"GET", b"/", ((b"host", b"a"),), b""
                )
                pool = upstream.create_pool(0.5)
                with self.subTest(count=len(digits)):
                    async with pool.use(f"127.0.0.1:{port}") as connection:
                        await connection.start(request, lambda head: True)
                        self.assertEqual(await connection.read_body(), b"ok")
                await pool.close()
                tasks.cancel_scope.cancel()


class InvalidRequestTest(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_is_sent_of_a_request_that_http_can_not_express(
        self,
    ) -> None:
        host = (b"host", b"a")
        async with site_lib.open_site() as site:
            for name, target, headers in (
                ("line feed in a value", b"/a", (host, (b"x", b"a\nb"))),
                ("blank before a value", b"/a", (host, (b"x", b" a"))),
                ("name of a header", b"/a", (host, (b"x y", b"a"))),
                ("blank in the target", b"/a b", (host,)),
                ("two hosts", b"/a", (host, host)),
                ("body without a length", b"/a", (host,)),
            ):
                with self.subTest(name):
                    body = b"q" if name.startswith("body") else b""
                    request = upstream.Request(b"POST", target, headers, body)
                    with self.assertRaises(upstream.ExchangeError) as caught:
                        async with site.pool.use(
                            site.endpoints[0].address
                        ) as connection:
                            await connection.start(request, lambda head: True)
                    self.assertFalse(caught.exception.was_sent)
            self.assertEqual(site.count_runs(), 0)
            self.assertEqual(site.pool.opened, 6)


class ResumptionTest(unittest.TestCase):
    def test_event_id_of_any_bytes_is_sent_back(self) -> None:
        speech = dialect.PlatformDialect()
        call = speech.read_call(
            downstream.IncomingRequest(
                b"GET", b"/", (), downstream.Body(b""), 0.0
            )
        )
        for last_id in (b"7", "\u2603".encode(), b"\xff7"):
            with self.subTest(last_id):
                (event,) = events.Splitter().feed(b"id: %s\n\n" % last_id)
                request = speech.write_attempt(
                    call, calls.Attempt("e", "", 0.0, event.id)
                )
                self.assertIn((b"last-event-id", last_id), request.headers)


class CallerNumberTest(unittest.IsolatedAsyncioTestCase):
    async def test_numbers_of_any_size_are_served(self) -> None:
        async with site_lib.open_site() as site:
            for digits in ("9" * 400, "9" * 5000, "0" * 5000 + "5000"):
                with self.subTest(digits[:10], count=len(digits)):
                    response = await site_lib.call(
                        site.address,
                        "/plain/a",
                        headers={"Time-Remaining": digits},
                    )
                    self.assertEqual(response.status, 200)
            self.assertEqual(site.count_runs(), 3)

    def test_positions_of_any_text_are_read(self) -> None:
        for text, after in (
            ("%C2%B2", 0),
            ("-1", 0),
            ("", 0),
            ("12", 12),
            ("9" * 5000, 0),
        ):
            call = dialect.PlatformDialect().read_call(
                downstream.IncomingRequest(
                    b"GET",
                    f"/lots/j?after={text}".encode(),
                    (),
                    downstream.Body(b""),
                    0.0,
                )
            )
            found = platform_batch_calls.PlatformBatchDialect().read_job_call(
                call
            )
            self.assertEqual(found, batch_calls.ReadResults("j", after))


class ItemTest(unittest.IsolatedAsyncioTestCase):
    async def test_items_that_http_can_not_express_stop_no_other(self) -> None:
        odd = {
            "\u2603": {},
            "line\nfeed": {},
            "value": {"X": "\u2603"},
            "line feed in a value": {"X": "a\nb"},
            "prompt parts": {"Prompt-Prefix": "\u2603:1,b:1"},
        }
        items = [calls.BatchItem(key, "/batch/1", odd[key], b"") for key in odd]
        items.append(calls.BatchItem("path", "/batch/\u2603", {}, b""))
        # Would be a second one.
        host = {"Host": "other.example"}
        items.append(calls.BatchItem("host", "/batch/1", host, b""))
        async with test_batches.open_harness() as harness:
            await test_batches.submit(
                harness.store,
                items=(*items, *test_batches.make_items(1)),
            )
            found = await harness.read_all()
            in_backoff = [
                one.name
                for one in harness.endpoints
                if harness.placement.is_in_backoff(one.name)
            ]
            runs = [run for one in harness.endpoints for run in one.runs]
        for item in ("i0", "host"):
            self.assertEqual(found.pop(item).state, records.COMPLETED)
        hosts = {
            tuple(
                value
                for name, value in run.incoming.headers
                if name.lower() == b"host"
            )
            for run in runs
        }
        self.assertEqual(hosts, {(site_lib.HOST.encode(),)})
        states = {key: one.state for key, one in found.items()}
        self.assertEqual(
            states, dict.fromkeys([*odd, "path"], records.DEAD_LETTER)
        )
        self.assertEqual(in_backoff, [])

    async def test_odd_records_of_jobs_stop_no_other_job(self) -> None:
        opened = records.OPEN_JOBS
        job = records.Job("j", "w", "h", "/batch/", 1, 1, 1.0, 9.0)
        cases: dict[str, bytes] = {
            f"{opened}j": msgspec.json.encode(job),
            f"{opened}empty": b"",
            f"{opened}deep": DEEP_ARRAY,
            f"{opened}other": msgspec.json.encode(job),
            f"{records.HEADS}j": b"[]",
            f"{records.CLAIMS}empty": b"\xff",
            f"{records.CLAIMS}{test_batches.JOB}": b"b x",
            f"{records.CANCELLATIONS}\x00": b"\xff",
        }
        for field in ("total", "parts", "due", "kept_until"):
            odd = {**msgspec.to_builtins(job), "id": field, field: 10**300}
            cases[f"{opened}{field}"] = json.dumps(odd).encode()
        async with test_batches.open_harness() as harness:
            for key, value in cases.items():
                await write(harness.store, key, value)
            await test_batches.submit(harness.store, 1)
            found = await harness.read_all()
            opened_names = set(harness.owner._jobs_by_id)
        self.assertEqual(found["i0"].state, records.COMPLETED)
        self.assertLessEqual(opened_names, {"j", test_batches.JOB})

    async def test_reads_of_odd_values_are_unavailable(self) -> None:
        for prefix, suffix in (
            (records.JOBS, ""),
            (records.HEADS, ""),
            (records.ITEMS, "/0"),
            (records.RESULTS, "/0"),
        ):
            async with test_batches.open_harness() as harness:
                await test_batches.submit(harness.store, 1)
                await harness.read_all()
                key = f"{prefix}{test_batches.JOB}{suffix}"
                for value in (b"", b"\xff", DEEP_ARRAY, DEEP_MSGPACK):
                    await write(harness.store, key, value)
                    reader = test_batches.make_reader(harness.store)
                    with (
                        self.subTest(prefix, value=value[:4]),
                        self.assertRaises(results.UnavailableError),
                    ):
                        job = await reader.find_job(
                            test_batches.JOB, site_lib.WORKSPACE
                        )
                        assert job is not None
                        await reader.read_results(job, 0, 0.0)
                        await reader.find_item(job, "i0")
                if prefix == records.JOBS:
                    outcome = await test_batches.submit(harness.store, 1)
                    self.assertIs(outcome, submission.Outcome.UNKNOWN)

    async def test_odd_calls_of_peers_do_not_end_the_process(self) -> None:
        (port,) = loopback.find_free_ports(1)
        server = relay.create_relay("127.0.0.1:9", site_lib.make_budget())
        pool = upstream.create_pool(0.2)
        address = f"127.0.0.1:{port}"
        host = (b"host", b"a")

        async def call(target: bytes, body: bytes = b"") -> int:
            length = (b"content-length", b"%d" % len(body))
            method = b"POST" if body else b"GET"
            request = upstream.Request(method, target, (host, length), body)
            async with pool.use(address) as connection:
                await connection.start(request, lambda head: True)
                await connection.read_body()
                return connection.head.status

        async with (
            test_batches.open_harness() as harness,
            anyio.create_task_group() as tasks,
        ):
            await test_batches.submit(harness.store, 1)
            await harness.read_all()
            server.job_handler = owner_api.create_owner_api(
                harness.owner, site_lib.make_budget()
            ).handle
            tasks.start_soon(server.run, address)
            await anyio.wait_all_tasks_blocked()
            path = f"{owner_messages.PATH}{test_batches.JOB}".encode()
            for number in (b"x", b"-1", b"%C2%B2", b"9" * 400, b"9" * 5000):
                for query in (b"after=%s", b"after=0&wait_ms=%s"):
                    status = await call(path + b"?" + query % number)
                    self.assertEqual(status, 400)
            for body in (b"{", DEEP_ARRAY, add_member({"a": 1}, DEEP_OBJECT)):
                self.assertEqual(await call(path, body), 400)
            self.assertEqual(await call(path + b"?after=0"), 200)
            tasks.cancel_scope.cancel()

    async def test_events_that_are_no_text_are_not_taken_for_output(
        self,
    ) -> None:
        write_event = endpoint.write_event
        for odd in (
            b"id: 1\ndata: \xff\n\n",
            b"id: \xff\ndata: a\n\n",
            b"id: 1\x00\ndata: a\n\n",
            b"id:  1\ndata: a\n\n",
        ):
            left = [odd]

            def write_odd_once(number: int, left: list[bytes] = left) -> bytes:
                return left.pop() if left else write_event(number)

            with (
                self.subTest(odd),
                mock.patch.object(endpoint, "write_event", write_odd_once),
            ):
                async with test_batches.open_harness() as harness:
                    await test_batches.submit(harness.store, 1)
                    found = await harness.read_all()
                self.assertEqual(found["i0"].text, test_batches.TEXT)


class ReportTest(unittest.IsolatedAsyncioTestCase):
    def test_reports_with_odd_numbers_are_ignored(self) -> None:
        floats = (math.nan, math.inf, -math.inf, -1.0, 1e300)
        counts = (-1, 2**64 - 1)
        status = reports.ConfigStatus
        exposure = evidence.Exposure("p", 0, 1, 0.0, False)

        def make_end(value: float) -> quarantine_lib.EndReport:
            return quarantine_lib.EndReport("e", value, (exposure,))

        fields: dict[str, list[Any]] = {
            "uptime_s": list(floats),
            "online_by_endpoint": [{"e": one} for one in counts],
            "batch_by_endpoint": [{"e": one} for one in counts],
            "admitted_by_workspace": [{"w": one} for one in floats],
            "failures_by_endpoint": [
                {"e": pair}
                for one in (*floats, -3.0)
                for pair in ((one, 1.0), (1.0, one))
            ],
            "config": [
                *(status(one, 1, 0.0) for one in counts),
                *(status(1, one, 0.0) for one in counts),
                *(status(1, 1, one) for one in floats),
            ],
            "quarantine": [
                one
                for value in floats
                for one in (
                    quarantine_lib.Report((make_end(value),)),
                    quarantine_lib.Report((), {"p": value}),
                    quarantine_lib.Report((), {}, {"p": value}),
                )
            ],
            "limits_by_endpoint": [
                *({"e": (one, 1.0)} for one in counts),
                *({"e": (1, one)} for one in floats),
            ],
        }
        exchange, _ = test_peering.make_reports(
            "a", test_peering.make_member("a")
        )
        for field, values in fields.items():
            for value in values:
                report = test_peering.make_report("b", **{field: value})
                with self.subTest(field, value=value):
                    exchange._handle_datagram(
                        msgspec.msgpack.encode(report), "127.0.0.1:1"
                    )
                    self.assertFalse(exchange.is_alive("b"))

    def test_largest_version_of_a_limit_is_not_adopted(self) -> None:
        limits = site_lib.make_endpoint_limits()
        limits.retain_endpoints(["e"])
        largest = decoding.MAX_COUNT
        limits.handle_report(
            test_peering.make_report(
                "b", limits_by_endpoint={"e": (largest, 1.0)}
            )
        )
        limits.record_response("e", 2.0, deadlines.now())
        self.assertEqual(limits.list_limits(), {"e": (1, 2.0)})

    def test_late_datagram_of_a_lost_peer_does_not_stop_reports(self) -> None:
        members = [
            test_peering.make_member(name, port=port)
            for port, name in enumerate("abc", 1)
        ]
        exchange, _ = test_peering.make_reports("a", *members)
        now = 100.0
        encode = msgspec.msgpack.encode
        late = encode(test_peering.make_report("b", 1))
        newest = encode(test_peering.make_report("b", 2))
        other = encode(test_peering.make_report("c", missing_peers=("b",)))
        with mock.patch.object(deadlines, "now", lambda: now):
            exchange._handle_datagram(newest, members[1].address)
            now += reports.PEER_TIMEOUT_S / 2
            exchange._handle_datagram(late, members[1].address)
            now += reports.PEER_TIMEOUT_S / 2
            exchange._handle_datagram(other, members[2].address)
            exchange.remove_timed_out()
            self.assertEqual(exchange._list_missing_reports("c"), [])


class MemberEntryTest(unittest.IsolatedAsyncioTestCase):
    async def test_reports_are_sent_on_beside_odd_members(self) -> None:
        ports = loopback.find_free_ports(2)
        own, sound = (
            test_peering.make_member(name, port=port, relay_port=port)
            for name, port in zip("ab", ports, strict=True)
        )
        store = memory.create_memory_store(progress_interval_s=0.02)
        members = mirror.create_mirror(store, registry.MEMBERS_PREFIX)
        directory = registry.create_directory(members)
        exchanges = [
            reports.create_reports(
                one,
                directory,
                loads.create_loads(),
                failures.create_failures(),
                quarantine_lib.create_quarantine(),
                lambda: True,
            )
            for one in (own, sound)
        ]
        entries = {"a": own, "b": sound, "of another name": sound}
        for field, values in (
            ("address", (*ODD_ADDRESSES, "localhost:1")),
            ("relay_address", ODD_ADDRESSES),
        ):
            for number, value in enumerate(values):
                name = f"{field}-{number}"
                entries[name] = msgspec.structs.replace(
                    sound, **{"name": name, field: value}
                )
        for name, entry in entries.items():
            key = f"{registry.MEMBERS_PREFIX}{name}"
            await write(store, key, msgspec.json.encode(entry))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(members.run)
            for exchange in exchanges:
                tasks.start_soon(exchange.run)
            with anyio.fail_after(TIMEOUT_S):
                while not all(
                    exchange.is_directly_reachable(name)
                    for exchange, name in zip(exchanges, "ba", strict=True)
                ):
                    await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()
        self.assertEqual(set(directory.members_by_name), {"a", "b"})


class DeepNestingTest(unittest.IsolatedAsyncioTestCase):
    def test_deep_values_are_invalid(self) -> None:
        item = {"id": "i", "path": "/a/1"}
        for nested in (DEEP_ARRAY, DEEP_OBJECT):
            for name, decode, document in (
                (
                    "endpoint",
                    lambda value: documents.decode_endpoint("servers/e", value),
                    test_platform.ENTRY,
                ),
                (
                    "retirement",
                    lambda value: documents.decode_retirement(
                        "op/retire/a", value
                    ),
                    {"duration-s": 9},
                ),
                (
                    "configuration",
                    documents.decode_config,
                    test_platform.CONFIG,
                ),
                (
                    "items of a job",
                    test_platform.read_items,
                    {"items": [item]},
                ),
            ):
                with self.subTest(name, nested=nested[:2]):
                    self.assertIsNone(decode(add_member(document, nested)))

    def test_deep_stored_values_are_invalid(self) -> None:
        deep_json = add_member({}, DEEP_ARRAY).replace(b"{,", b"{")
        cases: tuple[tuple[Callable[[bytes], Any], bytes], ...] = (
            (records.decode_job, deep_json),
            (records.decode_head, deep_json),
            (stored_items.decode_part, b"\x91\x81\xa1x" + DEEP_MSGPACK),
            (records.decode_results, b"\x91\x94\xa1i\xa1s\xa1t" + DEEP_MSGPACK),
        )
        for decode, value in cases:
            with (
                self.subTest(decode.__name__),
                self.assertRaises(msgspec.MsgspecError),
            ):
                decode(value)

    async def test_deep_values_of_the_own_interface_are_invalid(self) -> None:
        deep = add_member({"a": 1}, DEEP_ARRAY)
        for name, decode, error in (
            ("message", messages.decode, messages.BadMessageError),
            ("roster", roster.decode, msgspec.DecodeError),
            (
                "configuration",
                lambda value: config_records.decode_value("limits/", value),
                msgspec.DecodeError,
            ),
            (
                "job",
                lambda value: job_records.decode(value, job_records.Job),
                msgspec.DecodeError,
            ),
        ):
            value = deep
            if name == "message":
                # A map of three members instead of two.
                value = b"\x83" + messages.encode(messages.Leave())[1:]
                value += b"\xa1x" + DEEP_MSGPACK
            with self.subTest(name), self.assertRaises(error):
                decode(value)

        async def answer(request: requests.Request) -> responses.Response:
            return responses.Response(deep)

        app = applications.Starlette(
            routes=[routing.Route("/{path:path}", answer)]
        )
        async with loopback.serve(app) as url:
            instances = endpointslice.create_endpointslice_list(url)
            self.assertIsInstance(
                await instances.read("engine"), result.Failure
            )
            await instances.close()

    def test_deep_report_is_ignored(self) -> None:
        exchange, _ = test_peering.make_reports(
            "a", test_peering.make_member("a")
        )
        report = msgspec.msgpack.encode(test_peering.make_report("b"))
        count = len(msgspec.structs.fields(reports.Report))
        self.assertEqual(len(msgspec.msgpack.decode(report)), count)
        # The first byte of a short array holds its length, and the two bytes
        # after it that of a longer one.
        head_size = 1 if report[0] != 0xDC else 3
        longer = (
            b"\xdc"
            + (count + 1).to_bytes(2, "big")
            + report[head_size:]
            + DEEP_MSGPACK
        )
        exchange._handle_datagram(longer, "127.0.0.1:1")
        self.assertFalse(exchange.is_alive("b"))

    async def test_members_and_quarantine_are_read_on(self) -> None:
        store = memory.create_memory_store()
        members = mirror.create_mirror(store, registry.MEMBERS_PREFIX)
        directory = registry.create_directory(members)
        kept = quarantine_lib.create_quarantine()
        member = test_peering.make_member("b")
        part = storage.Entry("p", 1e12)
        for prefix, sound in (
            (registry.MEMBERS_PREFIX, member),
            (storage.PREFIX, part),
        ):
            odd = add_member(sound, DEEP_OBJECT)
            await write(store, f"{prefix}a", odd)
            await write(store, f"{prefix}b", msgspec.json.encode(sound))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(members.run)
            tasks.start_soon(storage.create_storage(store, kept).run)
            with anyio.fail_after(TIMEOUT_S):
                while not (directory.members_by_name and kept.until_by_suspect):
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        self.assertEqual(list(directory.members_by_name), ["b"])


class EndpointEntryTest(unittest.IsolatedAsyncioTestCase):
    def test_odd_entries_name_no_endpoint(self) -> None:
        for field, values in (
            ("address", (*ODD_ADDRESSES, None, 80)),
            ("slots", (0, -1, 2**20, 2**63, 2**80, 10**400, 1.5, True)),
            ("born", (2**63, -(2**80), 1e3)),
            ("sequence", (2**80, "1")),
            ("state", ("", "gone", None)),
        ):
            for value in values:
                with self.subTest(field, value=str(value)[:40]):
                    odd = json.dumps({**test_platform.ENTRY, field: value})
                    found = documents.decode_endpoint("servers/e", odd.encode())
                    self.assertIsNone(found)

    async def test_repeated_odd_entry_is_logged_once(self) -> None:
        discovery = discovery_lib.create_discovery(
            memory.create_memory_store(), documents.PlatformDocuments()
        )
        sound = msgspec.json.encode(test_platform.ENTRY)
        for values, lines in (
            ([b"", b"{}", b"[]"], 1),
            ([sound, b""], 1),
            ([None, b""], 1),
            ([sound, sound, None], 0),
        ):
            with (
                self.subTest(values),
                mock.patch.object(logs, "log_message") as log_message,
            ):
                for value in values:
                    change = base.Change("servers/e", value, 1)
                    discovery._apply_endpoints((change,))
                kinds = [one.args[0] for one in log_message.call_args_list]
                self.assertEqual(kinds.count("endpoint:ignored"), lines)

    def test_ids_that_no_header_holds_name_no_endpoint(self) -> None:
        sound = msgspec.json.encode(test_platform.ENTRY)
        for name in ("", " ", " e", "e\r\nx: y", "e\x00", "e\x7f", "e" * 201):
            with self.subTest(name[:40]):
                found = documents.decode_endpoint(f"servers/{name}", sound)
                self.assertIsNone(found)

    async def test_endpoints_are_followed_after_odd_entries(self) -> None:
        store = memory.create_memory_store(progress_interval_s=0.02)
        discovery = discovery_lib.create_discovery(
            store, documents.PlatformDocuments()
        )
        odd_values = (
            b"",
            b"\xff\x00",
            b"null",
            add_member(test_platform.ENTRY, DEEP_ARRAY),
            add_member(test_platform.ENTRY, DEEP_OBJECT),
            json.dumps({**test_platform.ENTRY, "slots": 2**80}).encode(),
            json.dumps({**test_platform.ENTRY, "address": "a:99999"}).encode(),
        )
        await write(store, "op/retire/a", add_member({"a": 1}, DEEP_ARRAY))
        await write(store, "op/config", add_member({"a": 1}, DEEP_ARRAY))
        async with anyio.create_task_group() as tasks:
            discovery.subscribe_to_retirements(lambda _: None)
            tasks.start_soon(discovery.run)
            for number, value in enumerate(odd_values):
                await write(store, f"servers/odd-{number}", value)
            await write(
                store, "servers/sound", msgspec.json.encode(test_platform.ENTRY)
            )
            with anyio.fail_after(TIMEOUT_S):
                while not discovery.endpoints_by_id:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        self.assertEqual(list(discovery.endpoints_by_id), ["sound"])


if __name__ == "__main__":
    unittest.main()
