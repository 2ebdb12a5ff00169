"""The services that an entry depends on, and their construction."""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
import random
from typing import Any
from typing import Final

import anyio.lowlevel
import msgspec

from eelgrassgate import messages
from eelgrassgate import settings
from eelgrassgate.callers import base as callers_base
from eelgrassgate.config import replica as replica_lib
from eelgrassgate.entry import authenticator as authenticator_lib
from eelgrassgate.entry import mesh
from eelgrassgate.entry import rates
from eelgrassgate.instances import base as instances_base
from eelgrassgate.keys import staleness as staleness_lib
from eelgrassgate.limits import lending
from eelgrassgate.limits import limiter as limiter_lib
from eelgrassgate.link import base as link_base
from eelgrassgate.link import server
from eelgrassgate.membership import members
from eelgrassgate.metrics import recorder as recorder_lib
from eelgrassgate.store import base as store_base
from eelgrassgate.store import counted

MAX_INCARNATION: Final = 2**53

BackgroundTask = Callable[[], Coroutine[Any, Any, None]]


class Services(msgspec.Struct, frozen=True):
    """The services that an entry depends on.

    Attributes:
        hello: The hello message that the entry sends on links.
        source: The current configuration.
        authenticator: Authenticates callers.
        limiter: Enforces the workspaces' rates.
        recorder: Records counts and times.
        instance_list: The platform's instance list.
        store: The platform's key-value store.
        entries_by_name: The listed entries, kept up to date by the mesh.
        listeners: Receive connection events and messages of other entries.
        background_tasks_by_name: Run until cancelled while the entry serves;
            they can run again after a failure.
        read_config_status: Returns the state that heartbeats carry.
        can_admit: Returns whether this entry may admit requests.
        leave: Gives back this entry's share of the rates at shutdown.
    """

    hello: messages.Hello
    source: callers_base.FleetSource
    authenticator: callers_base.Authenticator
    limiter: callers_base.Limiter
    recorder: callers_base.Recorder
    instance_list: instances_base.InstanceList
    store: store_base.Store
    entries_by_name: dict[str, instances_base.Instance]
    listeners: tuple[mesh.Listener, ...] = ()
    background_tasks_by_name: Mapping[str, BackgroundTask] = {}
    read_config_status: link_base.ReadConfigStatus = (
        server.get_empty_config_status
    )
    can_admit: Callable[[], bool] = lambda: True
    leave: Callable[[], Coroutine[Any, Any, Any]] = anyio.lowlevel.checkpoint


def create_hello(entry_settings: settings.Entry) -> messages.Hello:
    """Return the hello message that an entry sends on links."""
    return messages.Hello(
        instance=entry_settings.place.instance,
        incarnation=random.SystemRandom().randrange(MAX_INCARNATION),
        service="entry",
        zone=entry_settings.place.zone,
        region=entry_settings.place.region,
    )


def create_services(
    entry_settings: settings.Entry,
    store: store_base.Store,
    instance_list: instances_base.InstanceList,
) -> Services:
    """Create the services that an entry depends on."""
    hello = create_hello(entry_settings)
    entries_by_name: dict[str, instances_base.Instance] = {}

    def list_entries() -> tuple[instances_base.Instance, ...]:
        return tuple(entries_by_name.values())

    recorder = recorder_lib.create_recorder("entry", entry_settings.statsd)
    store = counted.create_counted_store(store, recorder)
    replica = replica_lib.create_replica(
        store, entry_settings.place, list_entries, incarnation=hello.incarnation
    )
    staleness_checker = staleness_lib.create_staleness_checker(
        replica, entry_settings.place, list_entries
    )
    authenticator = authenticator_lib.Authenticator(replica, staleness_checker)
    limiter = limiter_lib.create_limiter(
        hello.instance, hello.incarnation, lending.Share()
    )
    member = members.create_membership(
        hello, entry_settings.link_listen, limiter, store, entries_by_name
    )
    rates.RateUpdater(limiter).follow(replica)
    return Services(
        hello=hello,
        source=replica,
        authenticator=authenticator,
        limiter=limiter,
        recorder=recorder,
        instance_list=instance_list,
        store=store,
        entries_by_name=entries_by_name,
        listeners=(replica, limiter, member),
        background_tasks_by_name={
            "configuration": replica.run,
            "rates": limiter.run,
            "membership": member.run,
            "keys": authenticator.run,
            "metrics": recorder.run,
        },
        read_config_status=replica.read_config_status,
        can_admit=member.is_active,
        leave=member.leave,
    )
