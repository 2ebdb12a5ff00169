"""Connections from an entry to the agents on the instance list.

Each agent gets one connection for each lane, so that bulk never stands
before online parts in a socket's buffer.
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
from eelgrassgate.instances import following
from eelgrassgate.link import base as link_base
from eelgrassgate.link import client

LANES: Final = ("control", "online", "batch")
BATCH_ROOM_FACTOR: Final = 2
FIRST_BATCH_ROOM: Final = 4


class AgentView:
    """What an entry knows of one agent."""

    def __init__(self, instance: instances_base.Instance) -> None:
        """Create the view of a listed agent; no connection is open yet."""
        self.instance = instance
        self.info: messages.EndpointInfo | None = None
        self.load: messages.LoadReport | None = None
        self.peers_by_lane: dict[str, link_base.Peer] = {}

    def get_peer(self, klass: outcomes.RequestClass) -> link_base.Peer | None:
        """Return the open connection for `klass`, if there is one."""
        return self.peers_by_lane.get(klass.value)

    def has_batch_room(self, running: int) -> bool:
        """Tell whether one more batch attempt beside `running` has room.

        What waits in the agent bridges the time until more is sent.
        """
        window = self.load.window if self.load else FIRST_BATCH_ROOM
        return running < BATCH_ROOM_FACTOR * max(window, FIRST_BATCH_ROOM)

    def has_all_lanes(self) -> bool:
        """Tell whether every lane has an open connection."""
        return len(self.peers_by_lane) == len(LANES)


class Watcher(Protocol):
    """Told of agents' connections and of messages that answer no attempt."""

    def connect(self, view: AgentView) -> None:
        """Take an agent whose connection has opened."""
        ...

    def receive(self, view: AgentView, message: messages.AnyMessage) -> None:
        """Take a message that belongs to no exchange."""
        ...

    def disconnect(self, view: AgentView) -> None:
        """Take the loss of a connection to an agent."""
        ...

    def relist(self, instances: tuple[instances_base.Instance, ...]) -> None:
        """Take a new list of agents."""
        ...


class Agents:
    """All agents that an entry knows, by instance name."""

    def __init__(
        self,
        hello: messages.Hello,
        curve: settings.Curve | None,
        held: exchanges.Exchanges,
        read_beat: link_base.ReadBeat,
    ) -> None:
        """Create with no agent; `hello` introduces this entry."""
        self._hello = hello
        self._curve = curve
        self._held = held
        self._read_beat = read_beat
        self._scopes_by_name: dict[str, list[anyio.CancelScope]] = {}
        self._watchers: list[Watcher] = []
        self.views_by_name: dict[str, AgentView] = {}

    def subscribe(self, watcher: Watcher) -> None:
        """Tell `watcher` of connections and messages from now on."""
        self._watchers.append(watcher)

    async def run(self, listed: instances_base.InstanceList) -> None:
        """Follow the instance list until cancelled."""
        with zmq.asyncio.Context() as context:
            async with anyio.create_task_group() as tasks:
                async for instances in following.follow(listed, "agent"):
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
        for watcher in self._watchers:
            watcher.relist(instances)

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
                _LaneHandler(view, lane, self._held, self._watchers),
                context=context,
                curve=self._curve,
                read_beat=self._read_beat,
            )


class _LaneHandler:
    """Takes what happens on one lane of one agent."""

    def __init__(
        self,
        view: AgentView,
        lane: str,
        held: exchanges.Exchanges,
        watchers: list[Watcher],
    ) -> None:
        self._view = view
        self._lane = lane
        self._held = held
        self._watchers = watchers

    def connect(self, peer: link_base.Peer) -> None:
        self._view.info = peer.hello.endpoint
        self._view.peers_by_lane[self._lane] = peer
        for watcher in self._watchers:
            watcher.connect(self._view)

    def receive(
        self, peer: link_base.Peer, message: messages.AnyMessage
    ) -> None:
        if isinstance(
            message,
            messages.Data | messages.Head | messages.End | messages.Refused,
        ):
            self._held.put(peer, message)
            return
        if isinstance(message, messages.LoadReport):
            self._view.load = message
        for watcher in self._watchers:
            watcher.receive(self._view, message)

    def disconnect(self, peer: link_base.Peer) -> None:
        if self._view.peers_by_lane.get(self._lane) is peer:
            del self._view.peers_by_lane[self._lane]
        self._held.lose_peer(peer)
        for watcher in self._watchers:
            watcher.disconnect(self._view)
