"""Fakes for the dependencies of an entry, and a harness that runs one."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Protocol

import anyio
import anyio.abc
from returns import result

from eelgrassgate import messages
from eelgrassgate import outcomes
from eelgrassgate import settings
from eelgrassgate.callers import base as callers_base
from eelgrassgate.config import fleet
from eelgrassgate.entry import daemon
from eelgrassgate.entry import services
from eelgrassgate.instances import base as instances_base
from eelgrassgate.instances import memory as instances_memory
from eelgrassgate.link import base as link_base
from eelgrassgate.link import server
from eelgrassgate.store import memory as store_memory

FLEET = fleet.Fleet(
    workspaces={
        "desk": fleet.Workspace(rate=fleet.Rate(per_second=9, burst=9)),
        "elders": fleet.Workspace(rate=fleet.Rate(per_second=9, burst=9)),
    },
    models={"matcher": fleet.Model()},
    services={"ledger": {}},
    routes={
        "/ledger": fleet.Route(service="ledger"),
        "/notices": fleet.Route(
            service="ledger", is_repeatable=True, is_open=True
        ),
    },
    limits=fleet.Limits(body_bytes=100_000, drain_s=5.0),
)


class FakeFleetSource:
    """A configuration that tests may replace."""

    def __init__(self) -> None:
        self.fleet = FLEET


class FakeAuthenticator:
    """Accepts keys `key-WORKSPACE` until a test withdraws them."""

    def __init__(self) -> None:
        self.withdrawn: set[str] = set()
        self.listeners: list[Callable[[], None]] = []

    def authenticate(
        self, key: str
    ) -> result.Result[callers_base.Principal, outcomes.Refusal]:
        workspace = key.removeprefix("key-")
        if workspace not in FLEET.workspaces or key in self.withdrawn:
            refusal = outcomes.refuse(
                outcomes.Code.INVALID_KEY, "The key is not valid."
            )
            return result.Failure(refusal)
        return result.Success(callers_base.Principal(workspace, key))

    def withdraw(self, key: str) -> None:
        self.withdrawn.add(key)
        for listener in self.listeners:
            listener()

    def subscribe(self, listener: Callable[[], None]) -> None:
        self.listeners.append(listener)

    def is_valid(self, principal: callers_base.Principal) -> bool:
        return principal.digest not in self.withdrawn


class FakeLimiter:
    """Admits every request unless a test sets a refusal."""

    def __init__(self) -> None:
        self.refusal: outcomes.Refusal | None = None

    async def admit(
        self, bucket: str, deadline: float, tokens: float = 1.0
    ) -> result.Result[None, outcomes.Refusal]:
        if self.refusal:
            return result.Failure(self.refusal)
        return result.Success(None)


class FakeRecorder:
    """Stores what was counted and timed."""

    def __init__(self) -> None:
        self.counts: list[tuple[str, str]] = []
        self.times: list[tuple[str, str]] = []

    def count(self, name: str, workspace: str = "", amount: int = 1) -> None:
        self.counts.append((name, workspace))

    def time(
        self,
        name: str,
        workspace: str,
        klass: outcomes.RequestClass,
        seconds: float,
    ) -> None:
        self.times.append((name, workspace))


Script = Callable[[link_base.Peer, messages.Submit], None]


def respond(peer: link_base.Peer, submit: messages.Submit) -> None:
    """Respond to an attempt with its workspace and id."""
    words = (submit.workspace.encode(), submit.attempt.encode())
    head = messages.Head(
        attempt=submit.attempt, status=200, content_type="text/plain"
    )
    peer.send(head)
    for index, word in enumerate(words):
        part = messages.Data(
            attempt=submit.attempt, sequence=index, data=word + b" "
        )
        peer.send(part)
    peer.send(messages.End(attempt=submit.attempt, parts=len(words)))


class FakeAgent:
    """An agent that responds as its script decides."""

    def __init__(self, name: str, script: Script) -> None:
        self.name = name
        self.script = script
        self.submits: list[messages.Submit] = []
        self.cancels: list[str] = []
        self.address = ""
        self.cancelled = anyio.Event()
        self.submitted = anyio.Event()

    def connect(self, peer: link_base.Peer) -> None:
        pass

    def receive(
        self, peer: link_base.Peer, message: messages.AnyMessage
    ) -> None:
        if isinstance(message, messages.Submit):
            self.submits.append(message)
            self.submitted.set()
            self.script(peer, message)
        elif isinstance(message, messages.Cancel):
            self.cancels.append(message.attempt)
            self.cancelled.set()

    def disconnect(self, peer: link_base.Peer) -> None:
        pass

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        hello = messages.Hello(
            instance=self.name,
            incarnation=1,
            service="agent",
            zone="z1",
            region="r1",
            endpoint=messages.EndpointInfo(
                endpoint=self.name,
                kind="engine",
                models=("matcher",),
                service="ledger",
            ),
        )
        async with anyio.create_task_group() as tasks:

            async def serve(*, task_status: anyio.abc.TaskStatus[str]) -> None:
                await server.serve(
                    "127.0.0.1:0", hello, self, task_status=task_status
                )

            self.address = await tasks.start(serve)
            task_status.started()

    def list(self) -> instances_base.Instance:
        return instances_base.Instance(
            name=self.name,
            service="agent",
            address=self.address,
            zone="z1",
            region="r1",
        )


class Harness:
    """One entry whose dependencies are fakes."""

    def __init__(self) -> None:
        self.source = FakeFleetSource()
        self.authenticator = FakeAuthenticator()
        self.limiter = FakeLimiter()
        self.recorder = FakeRecorder()
        self.instance_list = instances_memory.create_memory_list()
        self.stop = anyio.Event()
        self.url = ""
        own = settings.Entry(
            place=settings.Place(instance="e1", zone="z1", region="r1"),
            platform=settings.Platform(store_url="", instances_url=""),
            listen="127.0.0.1:0",
            link_listen="127.0.0.1:0",
        )
        self.entry = daemon.Entry(
            own,
            services.Services(
                hello=services.create_hello(own),
                source=self.source,
                authenticator=self.authenticator,
                limiter=self.limiter,
                recorder=self.recorder,
                instance_list=self.instance_list,
                store=store_memory.create_memory_store(),
                entries_by_name={},
            ),
        )


class RunnableAgent(Protocol):
    """An agent that a test runs next to the entry."""

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None: ...

    def list(self) -> instances_base.Instance: ...


@contextlib.asynccontextmanager
async def run_entry(*agents: RunnableAgent) -> AsyncIterator[Harness]:
    """Run an entry that is connected to `agents`."""
    harness = Harness()
    async with anyio.create_task_group() as tasks:
        for agent in agents:
            await tasks.start(agent.run)
        harness.instance_list.set(agent.list() for agent in agents)

        ended = anyio.Event()

        async def run(*, task_status: anyio.abc.TaskStatus[str]) -> None:
            await harness.entry.run(harness.stop, task_status=task_status)
            ended.set()

        address = await tasks.start(run)
        harness.url = f"http://{address}"
        while not _is_connected(harness, len(agents)):
            await anyio.sleep(0.01)
        yield harness
        harness.stop.set()
        await ended.wait()
        tasks.cancel_scope.cancel()


def _is_connected(harness: Harness, count: int) -> bool:
    views = harness.entry.agents.views_by_name.values()
    return sum(view.has_all_lanes() for view in views) == count
