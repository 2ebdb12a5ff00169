"""The connecting side of a link, which reconnects when the peer times out."""

import random
from typing import Final

import anyio
import zmq
import zmq.asyncio
from zmq.utils import monitor as zmq_monitor

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate import messages
from eelgrassgate import settings
from eelgrassgate.link import base
from eelgrassgate.link import heartbeats
from eelgrassgate.link import server
from eelgrassgate.link import sockets

MIN_RECONNECT_DELAY_S: Final = 0.05
MAX_RECONNECT_DELAY_S: Final = 1.0
HEARTBEATS: Final = (messages.Heartbeat, messages.HeartbeatAck)


class ClientPeer:
    """A connection that this process opened."""

    def __init__(
        self, socket: zmq.asyncio.Socket, hello: messages.Hello
    ) -> None:
        """Create the peer for a connected socket."""
        self._socket = socket
        self._hello = hello
        self.is_open = True
        now = deadlines.now()
        self.times_out_at = now + heartbeats.ACTIVE_TIMEOUT_S
        self._schedule = heartbeats.HeartbeatSchedule(now)
        self._became_active = anyio.Event()

    @property
    def hello(self) -> messages.Hello:
        """The hello message that the peer sent."""
        return self._hello

    def record_receive(self) -> None:
        """Restart the peer's timeout after a message from it."""
        now = deadlines.now()
        interval_s = self._schedule.get_interval_s(now)
        self.times_out_at = now + heartbeats.compute_timeout_s(interval_s)

    def send(self, message: messages.AnyMessage) -> bool:
        """Queue a message; return False if the connection is closed."""
        if self.is_open:
            self._socket.send(messages.encode(message))
            if not isinstance(message, HEARTBEATS):
                self._record_send()
        return self.is_open

    async def wait_for_heartbeat(self, sent_at: float) -> None:
        """Wait until the heartbeat after the one sent at `sent_at` is due."""
        due = sent_at + self._schedule.get_interval_s(sent_at)
        with anyio.move_on_after(deadlines.compute_remaining(due)):
            await self._became_active.wait()
        self._became_active = anyio.Event()

    def get_interval_s(self, now: float) -> float:
        """Return the current heartbeat interval."""
        return self._schedule.get_interval_s(now)

    def _record_send(self) -> None:
        now = deadlines.now()
        if self._schedule.record_send(now):
            # The connection may have been lost while idle, so the shorter
            # timeout applies at once.
            latest = now + heartbeats.ACTIVE_TIMEOUT_S
            self.times_out_at = min(self.times_out_at, latest)
            self._became_active.set()


class Client:
    """Maintains one connection to one instance."""

    def __init__(
        self,
        context: zmq.asyncio.Context,
        address: str,
        instance: str,
        hello: messages.Hello,
        handler: base.Handler,
        curve: settings.Curve | None,
        read_config_status: base.ReadConfigStatus,
    ) -> None:
        """Create a client of `instance` at `address` (`host:port`)."""
        self._context = context
        self._address = address
        self._instance = instance
        self._hello = hello
        self._handler = handler
        self._curve = curve
        self._read_config_status = read_config_status
        self._random = random.Random()

    async def run(self) -> None:
        """Connect, and reconnect after each loss, until cancelled."""
        while True:
            try:
                await self._open_connection()
            except Exception:
                # A peer without a key, or a message that can't be handled,
                # must not end the links to other peers.
                logs.log_exception("link:failed", peer=self._instance)
            await anyio.sleep(
                self._random.uniform(
                    MIN_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S
                )
            )

    async def _open_connection(self) -> None:
        """Connect, and run until the connection is lost.

        Raises:
            sockets.InsecureLinkError: The address is not loopback and there
                are no keys, or no key of the peer is known.
        """
        socket = sockets.open_client(
            self._context, self._address, self._curve, self._instance
        )
        try:
            await self._run_connection(socket)
        finally:
            socket.close()

    async def _run_connection(self, socket: zmq.asyncio.Socket) -> None:
        await socket.send(messages.encode(self._hello))
        hello = None
        with anyio.move_on_after(heartbeats.ACTIVE_TIMEOUT_S):
            hello = await _receive(socket)
        if not isinstance(hello, messages.Hello):
            return
        peer = ClientPeer(socket, hello)
        self._handler.connect(peer)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_heartbeats, peer)
                tasks.start_soon(_watch_disconnect, socket, tasks.cancel_scope)
                tasks.start_soon(_watch_timeout, peer, tasks.cancel_scope)
                await self._receive_messages(socket, peer)
                tasks.cancel_scope.cancel()
        finally:
            peer.is_open = False
            self._handler.disconnect(peer)

    async def _receive_messages(
        self, socket: zmq.asyncio.Socket, peer: ClientPeer
    ) -> None:
        while True:
            message = await _receive(socket)
            if message is None or isinstance(message, messages.Hello):
                return
            peer.record_receive()
            if isinstance(message, messages.Heartbeat):
                peer.send(self._create_ack(message))
            self._handler.receive(peer, message)

    def _create_ack(
        self, heartbeat: messages.Heartbeat
    ) -> messages.HeartbeatAck:
        status = self._read_config_status()
        return messages.HeartbeatAck(
            sent_ms=heartbeat.sent_ms,
            config_revision=status.config_revision,
            config_age_ms=status.config_age_ms,
        )

    async def _send_heartbeats(self, peer: ClientPeer) -> None:
        while True:
            status = self._read_config_status()
            now = deadlines.now()
            heartbeat = messages.Heartbeat(
                sent_ms=int(now * deadlines.MS_PER_S),
                config_revision=status.config_revision,
                config_age_ms=status.config_age_ms,
                next_ms=int(peer.get_interval_s(now) * heartbeats.MS_PER_S),
            )
            peer.send(heartbeat)
            await peer.wait_for_heartbeat(now)


async def _watch_disconnect(
    socket: zmq.asyncio.Socket, scope: anyio.CancelScope
) -> None:
    """Cancel `scope` as soon as the transport reports a disconnect.

    The server treats a reopened transport as a new connection, so waiting for
    the timeout would only delay the reconnect.
    """
    monitor = socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
    try:
        await zmq_monitor.recv_monitor_message(monitor)
        scope.cancel()
    finally:
        socket.disable_monitor()


async def _watch_timeout(peer: ClientPeer, scope: anyio.CancelScope) -> None:
    """Cancel `scope` once nothing was received from `peer` for too long."""
    while not deadlines.is_past(peer.times_out_at):
        await anyio.sleep(deadlines.compute_remaining(peer.times_out_at))
    scope.cancel()


async def _receive(
    socket: zmq.asyncio.Socket,
) -> messages.AnyMessage | None:
    """Return the next message, or None for an invalid one."""
    try:
        return messages.decode(await socket.recv())
    except messages.BadMessageError:
        return None


async def connect(
    address: str,
    instance: str,
    hello: messages.Hello,
    handler: base.Handler,
    *,
    context: zmq.asyncio.Context,
    curve: settings.Curve | None = None,
    read_config_status: base.ReadConfigStatus = server.get_empty_config_status,
) -> None:
    """Maintain a connection to `instance` at `address` until cancelled."""
    client = Client(
        context, address, instance, hello, handler, curve, read_config_status
    )
    await client.run()
