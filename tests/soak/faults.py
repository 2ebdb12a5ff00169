"""Faults from outside: what they do, for how long, and their order by seed."""

from collections.abc import Awaitable
from collections.abc import Callable
import random
import signal
from typing import Final

import anyio

from eelgrassgate.standins import endpoint as endpoint_lib
from tests.soak import proxies
from tests.soak import world as world_lib

SHORTEST_S: Final = 0.3
LONGEST_S: Final = 2.5
RESTART_S: Final = 0.3
SLOW_STORE_S: Final = 0.2

Fault = Callable[[world_lib.World, random.Random, float], Awaitable[None]]


async def kill(
    world: world_lib.World, chance: random.Random, for_s: float
) -> None:
    """Kill a process; it is started again soon."""
    del for_s
    one = chance.choice(list(world.daemons_by_name.values()))
    await one.kill()
    await anyio.sleep(RESTART_S)
    if not one.is_running():
        one.start()


async def stop(
    world: world_lib.World, chance: random.Random, for_s: float
) -> None:
    """Stop a process gracefully and start it again."""
    del for_s
    one = chance.choice(list(world.daemons_by_name.values()))
    await one.stop()
    if not one.is_running():
        one.start()


async def kill_all(
    world: world_lib.World, chance: random.Random, for_s: float
) -> None:
    """Kill all processes at once."""
    del chance, for_s
    for one in world.daemons_by_name.values():
        await one.kill()
    await anyio.sleep(RESTART_S)
    for one in world.daemons_by_name.values():
        if not one.is_running():
            one.start()


async def pause(
    world: world_lib.World, chance: random.Random, for_s: float
) -> None:
    """Let a process stand still for a while."""
    one = chance.choice(list(world.daemons_by_name.values()))
    one.send(signal.SIGSTOP)
    await anyio.sleep(for_s)
    one.send(signal.SIGCONT)


async def reload(
    world: world_lib.World, chance: random.Random, for_s: float
) -> None:
    """Have a process read its settings again."""
    del for_s
    chance.choice(list(world.daemons_by_name.values())).send(signal.SIGHUP)


async def cut_store(
    world: world_lib.World, chance: random.Random, for_s: float
) -> None:
    """Harm the path of one process to the store."""
    proxy = chance.choice(list(world.store_proxies_by_name.values()))
    proxy.mode = chance.choice(list(proxies.Mode))
    await anyio.sleep(for_s)
    proxy.mode = proxies.Mode.PASS


async def reset_store(
    world: world_lib.World, chance: random.Random, for_s: float
) -> None:
    """Reset a part of the connections to the store."""
    del for_s
    for proxy in world.store_proxies_by_name.values():
        await proxy.reset(0.5, chance)


async def harm_store(
    world: world_lib.World, chance: random.Random, for_s: float
) -> None:
    """Let the store be down, slow, or lose answers."""
    script = world.store.faults
    kind = chance.choice(("down", "slow", "lossy"))
    if kind == "down":
        script.is_down = True
    elif kind == "slow":
        script.delay_s = SLOW_STORE_S
    else:
        script.lost_replies += 5
    await anyio.sleep(for_s)
    script.is_down = False
    script.delay_s = 0.0
    script.lost_replies = 0


async def cut_endpoint(
    world: world_lib.World, chance: random.Random, for_s: float
) -> None:
    """Harm the path to one endpoint."""
    proxy = chance.choice(world.endpoint_proxies)
    proxy.mode = chance.choice(list(proxies.Mode))
    await anyio.sleep(for_s)
    proxy.mode = proxies.Mode.PASS


async def reset_endpoints(
    world: world_lib.World, chance: random.Random, for_s: float
) -> None:
    """Reset a part of the connections to endpoints."""
    del for_s
    for proxy in world.endpoint_proxies:
        await proxy.reset(0.5, chance)


async def harm_endpoint(
    world: world_lib.World, chance: random.Random, for_s: float
) -> None:
    """Let an endpoint fail, refuse, break off or fall silent."""
    number = chance.randrange(len(world.endpoints))
    behavior = endpoint_lib.Behavior(
        events=world_lib.EVENTS, event_delay_s=world_lib.EVENT_GAP_S
    )
    kind = chance.choice(("fail", "full", "cut", "silent", "unsigned", "late"))
    if kind == "fail":
        behavior.status = 500
    elif kind == "full":
        behavior.is_overloaded = True
    elif kind == "cut":
        behavior.abort_after_events = 3
    elif kind == "silent":
        behavior.is_unresponsive = True
    elif kind == "unsigned":
        behavior.is_unsigned = True
    else:
        behavior.has_late_response = True
    world.endpoints[number].behavior = behavior
    await anyio.sleep(for_s)
    world.calm_endpoint(number)


async def configure(
    world: world_lib.World, chance: random.Random, for_s: float
) -> None:
    """Put versions in force in quick succession."""
    for _ in range(chance.randint(1, 3)):
        await world.configure((world_lib.KEY, world_lib.SECOND_KEY))
        await anyio.sleep(for_s / 10.0)


ALL: Final[tuple[Fault, ...]] = (
    kill,
    stop,
    kill_all,
    pause,
    reload,
    cut_store,
    reset_store,
    harm_store,
    cut_endpoint,
    reset_endpoints,
    harm_endpoint,
    configure,
)


async def play(
    world: world_lib.World, seed: int, for_s: float, count: int
) -> list[str]:
    """Play `count` faults that overlap within `for_s`; return what came."""
    chance = random.Random(seed)
    played: list[str] = []

    async def play_one(fault: Fault, at_s: float, lasts_s: float) -> None:
        await anyio.sleep(at_s)
        own = random.Random(f"{seed} {at_s}")
        await fault(world, own, lasts_s)

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            fault = chance.choice(ALL)
            at_s = chance.uniform(0.0, for_s)
            lasts_s = chance.uniform(SHORTEST_S, LONGEST_S)
            played.append(f"{at_s:.2f} {fault.__name__} {lasts_s:.2f}")
            tasks.start_soon(play_one, fault, at_s, lasts_s)
    return sorted(played, key=lambda one: float(one.split()[0]))
