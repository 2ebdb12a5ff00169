"""Links between the entries: one connection for each pair.

The entry with the lexicographically lower instance name opens the connection.
"""

from typing import Protocol

import anyio
import anyio.abc
import zmq.asyncio

from eelgrassgate import messages
from eelgrassgate import settings
from eelgrassgate.instances import base as instances_base
from eelgrassgate.instances import reflector
from eelgrassgate.link import base as link_base
from eelgrassgate.link import client
from eelgrassgate.link import server


class Listener(Protocol):
    """Receives connection events and messages, like `link.base.Handler`."""

    def connect(self, peer: link_base.Peer) -> None:
        """Handle a new connection."""
        ...

    def receive(
        self, peer: link_base.Peer, message: messages.AnyMessage
    ) -> object:
        """Handle one message; the return value is ignored."""
        ...

    def disconnect(self, peer: link_base.Peer) -> None:
        """Handle the loss of a connection."""
        ...


class Mesh:
    """Connections between this entry and all others on the instance list."""

    def __init__(
        self,
        hello: messages.Hello,
        curve: settings.Curve | None,
        listeners: tuple[Listener, ...],
        read_config_status: link_base.ReadConfigStatus,
        listed_by_name: dict[str, instances_base.Instance],
    ) -> None:
        """Create a mesh that passes each event to all `listeners`.

        `listed_by_name` is kept up to date with the listed entries.
        """
        self._hello = hello
        self._curve = curve
        self._fan_out = _FanOut(listeners)
        self._read_config_status = read_config_status
        self._scopes_by_name: dict[str, anyio.CancelScope] = {}
        self._listed_by_name = listed_by_name

    async def run(
        self,
        listen: str,
        instance_list: instances_base.InstanceList,
        give_up_at: float = 0.0,
        *,
        task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Maintain connections until cancelled; report the bound address."""
        async with anyio.create_task_group() as tasks:
            address = await tasks.start(self._serve, listen, give_up_at)
            task_status.started(address)
            with zmq.asyncio.Context() as context:
                async for instances in reflector.watch_forever(
                    instance_list, "entry"
                ):
                    self._update(instances, tasks, context)

    async def _serve(
        self,
        listen: str,
        give_up_at: float,
        *,
        task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        await server.serve(
            listen,
            self._hello,
            self._fan_out,
            give_up_at,
            curve=self._curve,
            read_config_status=self._read_config_status,
            task_status=task_status,
        )

    def _update(
        self,
        instances: tuple[instances_base.Instance, ...],
        tasks: anyio.abc.TaskGroup,
        context: zmq.asyncio.Context,
    ) -> None:
        found_by_name = {instance.name: instance for instance in instances}
        for name, known in list(self._listed_by_name.items()):
            found = found_by_name.get(name)
            if found is None or found.address != known.address:
                self._drop(name)
        for name, instance in found_by_name.items():
            is_new = name not in self._listed_by_name
            self._listed_by_name[name] = instance
            if is_new and self._hello.instance < name:
                tasks.start_soon(self._connect, instance, context)

    def _drop(self, name: str) -> None:
        del self._listed_by_name[name]
        scope = self._scopes_by_name.pop(name, None)
        if scope:
            scope.cancel()

    async def _connect(
        self, instance: instances_base.Instance, context: zmq.asyncio.Context
    ) -> None:
        with anyio.CancelScope() as scope:
            self._scopes_by_name[instance.name] = scope
            await client.connect(
                instance.address,
                instance.name,
                self._hello,
                self._fan_out,
                context=context,
                curve=self._curve,
                read_config_status=self._read_config_status,
            )


class _FanOut:
    """Passes each event to all listeners."""

    def __init__(self, listeners: tuple[Listener, ...]) -> None:
        self._listeners = listeners

    def connect(self, peer: link_base.Peer) -> None:
        for listener in self._listeners:
            listener.connect(peer)

    def receive(
        self, peer: link_base.Peer, message: messages.AnyMessage
    ) -> None:
        for listener in self._listeners:
            listener.receive(peer, message)

    def disconnect(self, peer: link_base.Peer) -> None:
        for listener in self._listeners:
            listener.disconnect(peer)
