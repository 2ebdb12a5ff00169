"""The listening side of a link: one socket for all peers."""

from collections.abc import Callable

import anyio
import anyio.abc
import zmq
import zmq.asyncio

from eelgrassgate import binding
from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate import messages
from eelgrassgate import settings
from eelgrassgate.link import base
from eelgrassgate.link import heartbeats
from eelgrassgate.link import sockets


def get_empty_config_status() -> base.ConfigStatus:
    """Return an empty configuration state."""
    return base.ConfigStatus()


class ServerPeer:
    """A connection that another process opened to this one."""

    def __init__(
        self,
        identity: bytes,
        hello: messages.Hello,
        send: Callable[[bytes, messages.AnyMessage], bool],
    ) -> None:
        """Create the peer with the given ROUTER identity."""
        self._identity = identity
        self._hello = hello
        self._send = send
        self._timeout_s = heartbeats.ACTIVE_TIMEOUT_S
        self.times_out_at = deadlines.after(self._timeout_s)
        self.is_open = True

    @property
    def hello(self) -> messages.Hello:
        """The hello message that the peer sent."""
        return self._hello

    def send(self, message: messages.AnyMessage) -> bool:
        """Queue a message; return False if the connection is closed."""
        return self.is_open and self._send(self._identity, message)

    def record_receive(self) -> None:
        """Restart the peer's timeout after a message from it."""
        self.times_out_at = deadlines.after(self._timeout_s)

    def set_next_heartbeat(self, next_ms: int) -> None:
        """Set the timeout by the time to the next heartbeat, in ms."""
        self._timeout_s = heartbeats.compute_timeout_s(
            next_ms / heartbeats.MS_PER_S
        )
        self.record_receive()


class Server:
    """Serves connections on one bound socket."""

    def __init__(
        self,
        socket: zmq.asyncio.Socket,
        hello: messages.Hello,
        handler: base.Handler,
        read_config_status: base.ReadConfigStatus,
    ) -> None:
        """Create a server on a bound socket."""
        self._socket = socket
        self._hello = hello
        self._handler = handler
        self._read_config_status = read_config_status
        self._peers_by_identity: dict[bytes, ServerPeer] = {}

    async def run(self) -> None:
        """Receive messages until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                identity, data = await self._socket.recv_multipart()
                try:
                    message = messages.decode(data)
                except messages.BadMessageError:
                    continue
                try:
                    self._handle(identity, message, tasks)
                except Exception:
                    # One message must not end the links to all peers.
                    logs.log_exception("link:message_failed")

    def _handle(
        self,
        identity: bytes,
        message: messages.AnyMessage,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        peer = self._peers_by_identity.get(identity)
        if isinstance(message, messages.Hello):
            if peer is None:
                self._add_peer(identity, message, tasks)
            return
        if peer is None:
            # The client was connected to an earlier process at this address.
            # The hello message makes it reconnect.
            self._send(identity, self._hello)
            return
        peer.record_receive()
        if isinstance(message, messages.Heartbeat):
            peer.set_next_heartbeat(message.next_ms)
            peer.send(self._create_ack(message))
        self._handler.receive(peer, message)

    def _add_peer(
        self,
        identity: bytes,
        hello: messages.Hello,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        peer = ServerPeer(identity, hello, self._send)
        self._peers_by_identity[identity] = peer
        peer.send(self._hello)
        self._handler.connect(peer)
        tasks.start_soon(self._watch_timeout, identity, peer)

    async def _watch_timeout(self, identity: bytes, peer: ServerPeer) -> None:
        while not deadlines.is_past(peer.times_out_at):
            await anyio.sleep(deadlines.compute_remaining(peer.times_out_at))
        del self._peers_by_identity[identity]
        peer.is_open = False
        try:
            self._handler.disconnect(peer)
        except Exception:
            logs.log_exception("link:failed", peer=peer.hello.instance)

    def _create_ack(
        self, heartbeat: messages.Heartbeat
    ) -> messages.HeartbeatAck:
        status = self._read_config_status()
        return messages.HeartbeatAck(
            sent_ms=heartbeat.sent_ms,
            config_revision=status.config_revision,
            config_age_ms=status.config_age_ms,
        )

    def _send(self, identity: bytes, message: messages.AnyMessage) -> bool:
        self._socket.send_multipart([identity, messages.encode(message)])
        return True


async def serve(
    listen: str,
    hello: messages.Hello,
    handler: base.Handler,
    give_up_at: float = 0.0,
    *,
    curve: settings.Curve | None = None,
    read_config_status: base.ReadConfigStatus = get_empty_config_status,
    task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve links at `listen` (`host:port`) until cancelled.

    Args:
        listen: The address.
        hello: What to send on each new link.
        handler: Handles the events of links.
        give_up_at: Monotonic time until which a taken address is tried again.
        curve: Keys of the link.
        read_config_status: Returns the state that heartbeats carry.
        task_status: Receives the bound address.

    Raises:
        binding.AddressUnavailableError: The address is taken.
        sockets.InsecureLinkError: The address is not loopback and there are
            no keys.
    """
    context = zmq.asyncio.Context()
    authenticator = None
    if curve:
        authenticator = sockets.start_authenticator(context, curve)

    async def open_server() -> tuple[zmq.asyncio.Socket, str]:
        return sockets.open_server(context, listen, curve)

    try:
        socket, address = await binding.open_socket(
            open_server, listen, give_up_at
        )
        try:
            task_status.started(address)
            await Server(socket, hello, handler, read_config_status).run()
        finally:
            socket.close()
    finally:
        if authenticator:
            authenticator.stop()
        context.term()
