"""Faults that the soak injects, in an order and for durations set by a seed."""

from collections.abc import Awaitable
from collections.abc import Callable
import random
import signal
from typing import Final

import anyio

from eelgrassgate.standins import endpoint as endpoint_lib
from tests.soak import daemons
from tests.soak import environment as environment_lib
from tests.soak import proxies

MIN_DURATION_S: Final = 0.3
MAX_DURATION_S: Final = 2.5
RESTART_DELAY_S: Final = 0.3
STORE_DELAY_S: Final = 0.2
# Signals while a process starts, and the longest gap between them.
MAX_START_SIGNALS: Final = 20
MAX_SIGNAL_GAP_S: Final = 0.05
HANDLER_POLL_INTERVAL_S: Final = 0.002

Fault = Callable[
    [environment_lib.Environment, random.Random, float], Awaitable[None]
]


async def start_amid_signals(
    daemon: daemons.Daemon, rng: random.Random
) -> None:
    """Start a process and tell it of new settings while it starts.

    The signals begin as soon as the process handles them.
    """
    if daemon.is_running():
        return
    daemon.start()
    while daemon.is_running() and not daemon.handles_signals():
        await anyio.sleep(HANDLER_POLL_INTERVAL_S)
    started = daemon.pid
    for _ in range(rng.randint(0, MAX_START_SIGNALS)):
        if daemon.pid != started:
            # An overlapping fault has replaced the process; the new one may not
            # handle signals yet.
            return
        daemon.send_signal(signal.SIGHUP)
        await anyio.sleep(rng.uniform(0.0, MAX_SIGNAL_GAP_S))


async def kill_process(
    environment: environment_lib.Environment,
    rng: random.Random,
    duration_s: float,
) -> None:
    """Kill a process and restart it shortly after."""
    del duration_s
    one = rng.choice(list(environment.daemons_by_name.values()))
    await one.kill()
    await anyio.sleep(RESTART_DELAY_S)
    await start_amid_signals(one, rng)


async def stop_process(
    environment: environment_lib.Environment,
    rng: random.Random,
    duration_s: float,
) -> None:
    """Restart a process gracefully."""
    del duration_s
    one = rng.choice(list(environment.daemons_by_name.values()))
    await one.stop()
    await start_amid_signals(one, rng)


async def kill_all_processes(
    environment: environment_lib.Environment,
    rng: random.Random,
    duration_s: float,
) -> None:
    """Kill all processes, then restart them."""
    del duration_s
    for one in environment.daemons_by_name.values():
        await one.kill()
    await anyio.sleep(RESTART_DELAY_S)
    async with anyio.create_task_group() as tasks:
        for one in environment.daemons_by_name.values():
            tasks.start_soon(start_amid_signals, one, rng)


async def pause_process(
    environment: environment_lib.Environment,
    rng: random.Random,
    duration_s: float,
) -> None:
    """Suspend a process for a while."""
    one = rng.choice(list(environment.daemons_by_name.values()))
    one.send_signal(signal.SIGSTOP)
    await anyio.sleep(duration_s)
    one.send_signal(signal.SIGCONT)


async def reload_settings(
    environment: environment_lib.Environment,
    rng: random.Random,
    duration_s: float,
) -> None:
    """Make a process reload its settings."""
    del duration_s
    rng.choice(list(environment.daemons_by_name.values())).send_signal(
        signal.SIGHUP
    )


async def disrupt_store_path(
    environment: environment_lib.Environment,
    rng: random.Random,
    duration_s: float,
) -> None:
    """Disrupt the connections of one process to the store."""
    proxy = rng.choice(list(environment.store_proxies_by_name.values()))
    proxy.mode = rng.choice(list(proxies.Mode))
    await anyio.sleep(duration_s)
    proxy.mode = proxies.Mode.PASS


async def reset_store_connections(
    environment: environment_lib.Environment,
    rng: random.Random,
    duration_s: float,
) -> None:
    """Reset randomly chosen connections to the store."""
    del duration_s
    for proxy in environment.store_proxies_by_name.values():
        await proxy.reset(0.5, rng)


async def disrupt_store(
    environment: environment_lib.Environment,
    rng: random.Random,
    duration_s: float,
) -> None:
    """Make the store unavailable, slow, or lose replies."""
    store_faults = environment.store.faults
    kind = rng.choice(("down", "slow", "lossy"))
    if kind == "down":
        store_faults.is_down = True
    elif kind == "slow":
        store_faults.delay_s = STORE_DELAY_S
    else:
        store_faults.lost_replies += 5
    await anyio.sleep(duration_s)
    store_faults.is_down = False
    store_faults.delay_s = 0.0
    store_faults.lost_replies = 0


async def disrupt_endpoint_path(
    environment: environment_lib.Environment,
    rng: random.Random,
    duration_s: float,
) -> None:
    """Disrupt the connections to one endpoint."""
    proxy = rng.choice(environment.endpoint_proxies)
    proxy.mode = rng.choice(list(proxies.Mode))
    await anyio.sleep(duration_s)
    proxy.mode = proxies.Mode.PASS


async def reset_endpoint_connections(
    environment: environment_lib.Environment,
    rng: random.Random,
    duration_s: float,
) -> None:
    """Reset randomly chosen connections to endpoints."""
    del duration_s
    for proxy in environment.endpoint_proxies:
        await proxy.reset(0.5, rng)


async def disrupt_endpoint(
    environment: environment_lib.Environment,
    rng: random.Random,
    duration_s: float,
) -> None:
    """Make an endpoint fail, reject, truncate, withhold or mix up responses."""
    number = rng.randrange(len(environment.endpoints))
    behavior = endpoint_lib.Behavior(
        events=environment_lib.EVENTS,
        event_delay_s=environment_lib.EVENT_DELAY_S,
    )
    kind = rng.choice(
        ("error", "overloaded", "truncate", "unresponsive", "unsigned", "late")
    )
    if kind == "error":
        behavior.status = 500
    elif kind == "overloaded":
        behavior.is_overloaded = True
    elif kind == "truncate":
        behavior.abort_after_events = 3
    elif kind == "unresponsive":
        behavior.is_unresponsive = True
    elif kind == "unsigned":
        behavior.is_unsigned = True
    else:
        behavior.has_late_response = True
    environment.endpoints[number].behavior = behavior
    await anyio.sleep(duration_s)
    environment.restore_endpoint(number)


async def update_config(
    environment: environment_lib.Environment,
    rng: random.Random,
    duration_s: float,
) -> None:
    """Write up to three configuration versions in quick succession."""
    for _ in range(rng.randint(1, 3)):
        await environment.write_config(
            (environment_lib.KEY, environment_lib.SECOND_KEY)
        )
        await anyio.sleep(duration_s / 10.0)


FAULTS: Final[tuple[Fault, ...]] = (
    kill_process,
    stop_process,
    kill_all_processes,
    pause_process,
    reload_settings,
    disrupt_store_path,
    reset_store_connections,
    disrupt_store,
    disrupt_endpoint_path,
    reset_endpoint_connections,
    disrupt_endpoint,
    update_config,
)


async def inject_faults(
    environment: environment_lib.Environment,
    seed: int,
    duration_s: float,
    count: int,
) -> list[str]:
    """Start `count` faults at random times within `duration_s`.

    The faults may overlap.

    Returns:
        Start time, name and duration of each fault, in order of start.
    """
    rng = random.Random(seed)
    injected: list[str] = []

    async def inject_one(
        fault: Fault, at_s: float, fault_duration_s: float
    ) -> None:
        await anyio.sleep(at_s)
        fault_rng = random.Random(f"{seed} {at_s}")
        await fault(environment, fault_rng, fault_duration_s)

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            fault = rng.choice(FAULTS)
            at_s = rng.uniform(0.0, duration_s)
            fault_duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
            injected.append(
                f"{at_s:.2f} {fault.__name__} {fault_duration_s:.2f}"
            )
            tasks.start_soon(inject_one, fault, at_s, fault_duration_s)
    return sorted(injected, key=lambda one: float(one.split()[0]))
