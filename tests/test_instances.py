"""Contract tests of `instances.base.InstanceList`, and of EndpointSlices."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any
from typing import Final
import unittest

import anyio
import msgspec

from eelgrassgate.instances import base
from eelgrassgate.instances import endpointslice
from eelgrassgate.instances import memory
from eelgrassgate.instances import slices
from eelgrassgate.standins import instances as standin
from tests import loopback

WAIT_S: Final = 10.0
LEAVING: Final = base.State.LEAVING


def create_instance(
    name: str,
    state: base.State = base.State.LIVE,
    service: str = "agent",
    region: str = "cornwall",
) -> base.Instance:
    address = f"10.0.0.1:7{len(name):03}"
    return base.Instance(name, service, address, "a", region, state)


class Fixture:
    def __init__(self) -> None:
        self.now = 0.0
        self.backend = memory.create_memory_list(lambda: self.now)
        self.list: base.InstanceList = self.backend


@contextlib.asynccontextmanager
async def open_memory() -> AsyncIterator[Fixture]:
    yield Fixture()


@contextlib.asynccontextmanager
async def open_endpointslice() -> AsyncIterator[Fixture]:
    fixture = Fixture()
    async with loopback.serve(standin.create_app(fixture.backend)) as url:
        fixture.list = endpointslice.create_endpointslice_list(
            url, watch_duration_s=1
        )
        try:
            yield fixture
        finally:
            await fixture.list.close()


async def check_read(fixture: Fixture) -> None:
    assert (await fixture.list.read("agent")).unwrap() == ()
    agents = (
        create_instance("a1"),
        create_instance("a22", region="surrey"),
        create_instance("a3", LEAVING),
    )
    fixture.backend.set((*agents, create_instance("e1", service="entry")))
    found = (await fixture.list.read("agent")).unwrap()
    assert set(found) == set(agents), found


async def check_lag(fixture: Fixture) -> None:
    fixture.backend.lag_s = 5.0
    fixture.backend.set((create_instance("a1"),))
    fixture.now = 4.0
    assert (await fixture.list.read("agent")).unwrap() == ()
    fixture.now = 5.0
    assert (await fixture.list.read("agent")).unwrap() == (
        create_instance("a1"),
    )


async def check_watch(fixture: Fixture) -> None:
    fixture.backend.set((create_instance("a1"),))
    steps = (
        (create_instance("a1"), create_instance("a2")),
        (create_instance("a1", LEAVING), create_instance("a2")),
        (create_instance("a2"), create_instance("b2", region="surrey")),
        (create_instance("b2", region="surrey"),),
        (),
    )
    watch: Any = fixture.list.watch("agent")
    with anyio.fail_after(WAIT_S):
        async with contextlib.aclosing(watch):
            assert (await anext(watch)).unwrap() == (create_instance("a1"),)
            for step in steps:
                fixture.backend.set(step)
                while set((await anext(watch)).unwrap()) != set(step):
                    pass


async def check_long_watch(fixture: Fixture) -> None:
    """A change after the server has ended the first watch is received."""
    watch: Any = fixture.list.watch("agent")
    with anyio.fail_after(WAIT_S):
        async with contextlib.aclosing(watch):
            (await anext(watch)).unwrap()
            async with anyio.create_task_group() as group:
                group.start_soon(set_later, fixture)
                assert (await anext(watch)).unwrap() == (create_instance("a1"),)


async def set_later(fixture: Fixture) -> None:
    await anyio.sleep(1.2)
    fixture.backend.set((create_instance("a1"),))


async def check_down(fixture: Fixture) -> None:
    watch: Any = fixture.list.watch("agent")
    with anyio.fail_after(WAIT_S):
        (await anext(watch)).unwrap()
        fixture.backend.is_down = True
        (await fixture.list.read("agent")).failure()
        answers = [answer async for answer in watch]
    assert len(answers) == 1
    answers[0].failure()


Case = Callable[[Fixture], Awaitable[None]]
CASES: Final[tuple[Case, ...]] = (
    check_read,
    check_lag,
    check_watch,
    check_long_watch,
    check_down,
)

# Conditions in JSON, expected state.
CONDITIONS: Final = (
    ("{}", base.State.LIVE),
    ('{"ready":null,"serving":null,"terminating":null}', base.State.LIVE),
    ('{"ready":true,"serving":true,"terminating":false}', base.State.LIVE),
    ('{"ready":false,"serving":true,"terminating":true}', LEAVING),
    ('{"ready":false,"serving":false,"terminating":true}', LEAVING),
    ('{"ready":false,"serving":true,"terminating":false}', LEAVING),
    ('{"ready":false,"serving":false,"terminating":false}', None),
)
SLICE: Final = """{"metadata":{"name":"s","labels":{
"topology.kubernetes.io/region":"sierra"}},"addressType":"IPv6","endpoints":[
{"addresses":["fd00::1"],"conditions":%s,"nodeName":"n","zone":"z",
"targetRef":{"kind":"Pod","name":"p"}}],
"ports":[{"name":"http","port":80},{"name":"link","port":7000}]}"""


class ContractTest(unittest.IsolatedAsyncioTestCase):
    async def test_memory(self) -> None:
        await self.run_cases(open_memory)

    async def test_endpointslice(self) -> None:
        await self.run_cases(open_endpointslice)

    async def run_cases(self, open_fixture: Any) -> None:
        for case in CASES:
            with self.subTest(case.__name__):
                async with open_fixture() as fixture:
                    await case(fixture)

    async def test_unknown_version_raises(self) -> None:
        async with open_endpointslice() as fixture:
            lister: Any = fixture.list
            with self.assertRaises(endpointslice._WatchError):
                async for event in lister._stream_events("agent", "77"):
                    endpointslice._apply_event(event, {})


class SlicesTest(unittest.TestCase):
    def collect(self, *conditions: str) -> tuple[base.Instance, ...]:
        return endpointslice.collect_instances(
            "agent",
            [
                msgspec.json.decode(SLICE % text, type=slices.Slice)
                for text in conditions
            ],
        )

    def test_conditions(self) -> None:
        for text, state in CONDITIONS:
            with self.subTest(text):
                found = self.collect(text)
                expected = [] if state is None else [state]
                self.assertEqual([one.state for one in found], expected)

    def test_fields(self) -> None:
        self.assertEqual(
            self.collect("{}"),
            (base.Instance("p", "agent", "[fd00::1]:7000", "z", "sierra"),),
        )

    def test_instance_in_two_slices_is_leaving(self) -> None:
        for pair in (
            ("{}", '{"terminating":true}'),
            ('{"terminating":true}', "{}"),
        ):
            (found,) = self.collect(*pair)
            self.assertIs(found.state, LEAVING)

    def test_empty_lists_may_be_null(self) -> None:
        text = '{"metadata":{"resourceVersion":"1"},"items":null}'
        self.assertEqual(
            msgspec.json.decode(text, type=slices.SliceList).items, None
        )
