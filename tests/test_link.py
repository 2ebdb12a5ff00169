import functools
import unittest

import anyio
import anyio.abc
import zmq
import zmq.asyncio

from eelgrassgate import messages
from eelgrassgate import settings
from eelgrassgate.agent import reporting
from eelgrassgate.link import base
from eelgrassgate.link import client
from eelgrassgate.link import heartbeats
from eelgrassgate.link import server
from eelgrassgate.link import sockets

TIMEOUT_S = 10.0


def make_hello(name: str) -> messages.Hello:
    return messages.Hello(
        instance=name, incarnation=1, service="entry", zone="z", region="r"
    )


class Recorder:
    """Stores connection events, and notifies those who wait for them."""

    def __init__(self) -> None:
        self.peers: list[base.Peer] = []
        self.received: list[messages.AnyMessage] = []
        self.acks: list[int] = []
        self.connects = 0
        self.disconnects = 0
        self.changed = anyio.Event()

    def connect(self, peer: base.Peer) -> None:
        self.peers.append(peer)
        self.connects += 1
        self.notify()

    def receive(self, peer: base.Peer, message: messages.AnyMessage) -> None:
        if isinstance(message, messages.HeartbeatAck):
            self.acks.append(message.sent_ms)
        elif not isinstance(message, messages.Heartbeat):
            self.received.append(message)
            self.notify()

    def disconnect(self, peer: base.Peer) -> None:
        self.disconnects += 1
        self.notify()

    def notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def wait_for(self, name: str, count: int) -> None:
        with anyio.fail_after(TIMEOUT_S):
            while True:
                value = getattr(self, name)
                if (value if isinstance(value, int) else len(value)) >= count:
                    return
                await self.changed.wait()


def make_curve() -> tuple[settings.Curve, settings.Curve, settings.Curve]:
    keys = [zmq.curve_keypair() for _ in range(3)]
    public = [pair[0].decode() for pair in keys]
    secret = [pair[1].decode() for pair in keys]
    peers = {"a": public[0], "b": public[1]}
    made = [
        settings.Curve(public=p, secret=s, peers=peers)
        for p, s in zip(public, secret, strict=True)
    ]
    return made[0], made[1], made[2]


# Name, seconds since the last send, interval, timeout, whether it was idle.
INTERVAL_CASES = (
    ("just used", 0.0, 0.5, 2.0, False),
    ("used recently", 4.9, 0.5, 2.0, False),
    ("idle", 5.0, 1.5, 4.5, True),
    ("long idle", 500.0, 1.5, 4.5, True),
)


class HeartbeatScheduleTest(unittest.TestCase):
    def test_an_idle_connection_sends_fewer_heartbeats(self) -> None:
        for name, since_s, interval_s, timeout_s, was_idle in INTERVAL_CASES:
            with self.subTest(name):
                own = heartbeats.HeartbeatSchedule(0.0)
                own.record_send(100.0)
                now = 100.0 + since_s
                found_s = own.get_interval_s(now)
                self.assertEqual(found_s, interval_s)
                self.assertEqual(
                    heartbeats.compute_timeout_s(found_s), timeout_s
                )
                self.assertEqual(own.record_send(now), was_idle)
                self.assertEqual(
                    own.get_interval_s(now), heartbeats.ACTIVE_INTERVAL_S
                )


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def exchange_messages(
        self,
        server_curve: settings.Curve | None,
        client_curve: settings.Curve | None,
    ) -> tuple[Recorder, Recorder]:
        """Send one message each way; return what both sides received."""
        client_side, server_side = Recorder(), Recorder()
        with zmq.asyncio.Context() as context:
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(
                    self.serve, "127.0.0.1:0", server_side, server_curve
                )

                async def connect() -> None:
                    await client.connect(
                        address,
                        "a",
                        make_hello("b"),
                        client_side,
                        context=context,
                        curve=client_curve,
                    )

                tasks.start_soon(connect)
                with anyio.move_on_after(3):
                    await client_side.wait_for("connects", 1)
                    client_side.peers[0].send(
                        messages.Cancel(attempt="to-server")
                    )
                    await server_side.wait_for("received", 1)
                    server_side.peers[0].send(messages.Heartbeat(sent_ms=7))
                    server_side.peers[0].send(
                        messages.Cancel(attempt="to-client")
                    )
                    await client_side.wait_for("received", 1)
                    while not server_side.acks:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
        return client_side, server_side

    async def serve(
        self,
        address: str,
        handler: Recorder,
        curve: settings.Curve | None,
        task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        await server.serve(
            address,
            make_hello("a"),
            handler,
            curve=curve,
            task_status=task_status,
        )

    async def test_messages_pass_both_ways(self) -> None:
        own, other, _ = make_curve()
        for name, server_curve, client_curve in (
            ("plain on loopback", None, None),
            ("with keys", own, other),
        ):
            with self.subTest(name):
                client_side, server_side = await self.exchange_messages(
                    server_curve, client_curve
                )
                self.assertEqual(server_side.received[0].attempt, "to-server")  # type: ignore[union-attr]
                self.assertEqual(client_side.received[0].attempt, "to-client")  # type: ignore[union-attr]
                self.assertEqual(server_side.acks, [7])
                self.assertEqual(client_side.peers[0].hello.instance, "a")

    async def test_an_unknown_key_is_refused(self) -> None:
        own, _, stranger = make_curve()
        client_side, server_side = await self.exchange_messages(own, stranger)
        self.assertEqual((client_side.connects, server_side.connects), (0, 0))

    async def test_no_plaintext_outside_loopback(self) -> None:
        with self.assertRaises(sockets.InsecureLinkError):
            await server.serve("192.0.2.1:0", make_hello("a"), Recorder())

    async def test_message_that_a_handler_fails_on_ends_no_other_link(
        self,
    ) -> None:
        class Failing(Recorder):
            """Fails on messages about the attempt `odd`."""

            def receive(
                self, peer: base.Peer, message: messages.AnyMessage
            ) -> None:
                if message == messages.Cancel(attempt="odd"):
                    raise RuntimeError("odd")
                super().receive(peer, message)

        for is_server_failing in (True, False):
            with self.subTest(is_server_failing=is_server_failing):
                client_side, server_side = Failing(), Failing()
                with zmq.asyncio.Context() as context:
                    async with anyio.create_task_group() as tasks:
                        address = await tasks.start(
                            self.serve, "127.0.0.1:0", server_side, None
                        )
                        tasks.start_soon(
                            functools.partial(
                                client.connect,
                                address,
                                "a",
                                make_hello("b"),
                                client_side,
                                context=context,
                            )
                        )
                        await client_side.wait_for("connects", 1)
                        await server_side.wait_for("connects", 1)
                        sides = (client_side, server_side)
                        sender, receiver = sides[
                            :: 1 if is_server_failing else -1
                        ]
                        sender.peers[0].send(messages.Cancel(attempt="odd"))
                        if not is_server_failing:
                            await server_side.wait_for("connects", 2)
                        sender.peers[-1].send(messages.Cancel(attempt="next"))
                        await receiver.wait_for("received", 1)
                        tasks.cancel_scope.cancel()

    async def test_peer_without_a_key_ends_no_other_link(self) -> None:
        own, other, _ = make_curve()
        client_side = Recorder()
        with zmq.asyncio.Context() as context:
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(
                    self.serve, "127.0.0.1:0", Recorder(), own
                )
                for name in ("unknown", "a"):
                    tasks.start_soon(
                        functools.partial(
                            client.connect,
                            address,
                            name,
                            make_hello("b"),
                            client_side,
                            context=context,
                            curve=other,
                        )
                    )
                await client_side.wait_for("connects", 1)
                tasks.cancel_scope.cancel()

    async def test_a_client_reconnects_to_a_restarted_server(self) -> None:
        client_side, first, second = Recorder(), Recorder(), Recorder()
        with zmq.asyncio.Context() as context:
            async with anyio.create_task_group() as tasks:
                async with anyio.create_task_group() as inner:
                    address = await inner.start(
                        self.serve, "127.0.0.1:0", first, None
                    )

                    async def connect() -> None:
                        await client.connect(
                            address,
                            "a",
                            make_hello("b"),
                            client_side,
                            context=context,
                        )

                    tasks.start_soon(connect)
                    await client_side.wait_for("connects", 1)
                    inner.cancel_scope.cancel()
                await tasks.start(self.serve, address, second, None)
                await client_side.wait_for("disconnects", 1)
                await client_side.wait_for("connects", 2)
                client_side.peers[1].send(messages.Cancel(attempt="again"))
                await second.wait_for("received", 1)
                tasks.cancel_scope.cancel()


class ReportIntervalTest(unittest.TestCase):
    def test_report_interval_grows_with_entries(self) -> None:
        for entries, pause_s in ((0, 0.05), (5, 0.05), (50, 0.5), (370, 3.7)):
            with self.subTest(entries):
                found_s = reporting.compute_min_interval_s(entries)
                self.assertAlmostEqual(found_s, pause_s)
