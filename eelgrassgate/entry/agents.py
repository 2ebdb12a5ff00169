"""Connections from an entry to the agents on the instance list.

Each agent gets one connection per lane, so that batch traffic never delays
online parts in a socket buffer.
"""

from typing import Final
from typing import Protocol

import anyio
import anyio.abc
import msgspec
import zmq.asyncio

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate import settings
from eelgrassgate.entry import exchanges
from eelgrassgate.instances import base as instances_base
from eelgrassgate.instances import reflector
from eelgrassgate.link import base as link_base
from eelgrassgate.link import client

LANES: Final = ("control", "online", "batch")
BATCH_QUEUE_FACTOR: Final = 2
MIN_BATCH_WINDOW: Final = 4


class AgentView:
    """The state of one agent as seen by an entry."""

    def __init__(self, instance: instances_base.Instance) -> None:
        """Create the view of a listed agent, without connections."""
        self.instance = instance
        self.info: messages.EndpointInfo | None = None
        self.load: messages.LoadReport | None = None
        self.peers_by_lane: dict[str, link_base.Peer] = {}

    def get_peer(self, klass: outcomes.RequestClass) -> link_base.Peer | None:
        """Return the open connection for `klass`, or None."""
        return self.peers_by_lane.get(klass.value)

    def has_batch_capacity(self, running: int) -> bool:
        """Return whether a batch attempt may be added to `running` others.

        The agent is sent more batch attempts than its window holds, so that its
        queue covers the time until the next ones arrive.
        """
        window = self.load.window if self.load else MIN_BATCH_WINDOW
        return running < BATCH_QUEUE_FACTOR * max(window, MIN_BATCH_WINDOW)

    def has_all_lanes(self) -> bool:
        """Return whether every lane has an open connection."""
        return len(self.peers_by_lane) == len(LANES)


class AgentListener(Protocol):
    """Receives connection events and messages that belong to no exchange."""

    def connect(self, view: AgentView) -> None:
        """Handle a new connection to an agent."""
        ...

    def receive(self, view: AgentView, message: messages.AnyMessage) -> None:
        """Handle a message that belongs to no exchange."""
        ...

    def disconnect(self, view: AgentView) -> None:
        """Handle the loss of a connection to an agent."""
        ...

    def update_instances(
        self, instances: tuple[instances_base.Instance, ...]
    ) -> None:
        """Handle a new list of agents."""
        ...


class Agents:
    """All listed agents, by instance name."""

    def __init__(
        self,
        hello: messages.Hello,
        curve: settings.Curve | None,
        open_exchanges: exchanges.Exchanges,
        read_config_status: link_base.ReadConfigStatus,
    ) -> None:
        """Create with no agent; `hello` is sent on each connection."""
        self._hello = hello
        self._curve = curve
        self._exchanges = open_exchanges
        self._read_config_status = read_config_status
        self._scopes_by_name: dict[str, list[anyio.CancelScope]] = {}
        self._listeners: list[AgentListener] = []
        self.views_by_name: dict[str, AgentView] = {}

    def subscribe(self, listener: AgentListener) -> None:
        """Notify `listener` of connections and messages from now on."""
        self._listeners.append(listener)

    async def run(self, instance_list: instances_base.InstanceList) -> None:
        """Follow the instance list until cancelled."""
        with zmq.asyncio.Context() as context:
            async with anyio.create_task_group() as tasks:
                async for instances in reflector.watch_forever(
                    instance_list, "agent"
                ):
                    self._update(instances, tasks, context)

    def _update(
        self,
        instances: tuple[instances_base.Instance, ...],
        tasks: anyio.abc.TaskGroup,
        context: zmq.asyncio.Context,
    ) -> None:
        listed_by_name = {instance.name: instance for instance in instances}
        for name in list(self.views_by_name):
            if name not in listed_by_name:
                self._drop(name)
        for name, instance in listed_by_name.items():
            view = self.views_by_name.get(name)
            if view and view.instance.address != instance.address:
                self._drop(name)
                view = None
            if view is None:
                self._add(instance, tasks, context)
            else:
                view.instance = instance
        for listener in self._listeners:
            listener.update_instances(instances)

    def _add(
        self,
        instance: instances_base.Instance,
        tasks: anyio.abc.TaskGroup,
        context: zmq.asyncio.Context,
    ) -> None:
        view = AgentView(instance)
        self.views_by_name[instance.name] = view
        scopes = [anyio.CancelScope() for _ in LANES]
        self._scopes_by_name[instance.name] = scopes
        for lane, scope in zip(LANES, scopes, strict=True):
            tasks.start_soon(self._connect, view, lane, scope, context)

    def _drop(self, name: str) -> None:
        del self.views_by_name[name]
        for scope in self._scopes_by_name.pop(name):
            scope.cancel()

    async def _connect(
        self,
        view: AgentView,
        lane: str,
        scope: anyio.CancelScope,
        context: zmq.asyncio.Context,
    ) -> None:
        with scope:
            await client.connect(
                view.instance.address,
                view.instance.name,
                msgspec.structs.replace(self._hello, lane=lane),
                _LaneHandler(view, lane, self._exchanges, self._listeners),
                context=context,
                curve=self._curve,
                read_config_status=self._read_config_status,
            )


class _LaneHandler:
    """Handles the events of one lane of one agent."""

    def __init__(
        self,
        view: AgentView,
        lane: str,
        open_exchanges: exchanges.Exchanges,
        listeners: list[AgentListener],
    ) -> None:
        self._view = view
        self._lane = lane
        self._exchanges = open_exchanges
        self._listeners = listeners

    def connect(self, peer: link_base.Peer) -> None:
        self._view.info = peer.hello.endpoint
        self._view.peers_by_lane[self._lane] = peer
        for listener in self._listeners:
            listener.connect(self._view)

    def receive(
        self, peer: link_base.Peer, message: messages.AnyMessage
    ) -> None:
        if isinstance(
            message,
            messages.Data | messages.Head | messages.End | messages.Refused,
        ):
            self._exchanges.put(peer, message)
            return
        if isinstance(message, messages.LoadReport):
            self._view.load = message
        for listener in self._listeners:
            listener.receive(self._view, message)

    def disconnect(self, peer: link_base.Peer) -> None:
        if self._view.peers_by_lane.get(self._lane) is peer:
            del self._view.peers_by_lane[self._lane]
        self._exchanges.fail_peer(peer)
        for listener in self._listeners:
            listener.disconnect(self._view)
