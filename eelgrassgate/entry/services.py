"""What an entry works with, put together from the platform's services."""

from collections.abc import Callable
from collections.abc import Coroutine
import random
from typing import Any
from typing import Final

import anyio.lowlevel
import msgspec

from eelgrassgate import messages
from eelgrassgate import settings
from eelgrassgate.callers import base as callers_base
from eelgrassgate.config import replica as replica_lib
from eelgrassgate.entry import authority as authority_lib
from eelgrassgate.entry import mesh
from eelgrassgate.entry import rates
from eelgrassgate.instances import base as instances_base
from eelgrassgate.keys import currency as currency_lib
from eelgrassgate.limits import lending
from eelgrassgate.limits import limiter as limiter_lib
from eelgrassgate.link import base as link_base
from eelgrassgate.link import server
from eelgrassgate.membership import members
from eelgrassgate.metrics import recorder as recorder_lib
from eelgrassgate.store import base as store_base
from eelgrassgate.store import counted

MAX_INCARNATION: Final = 2**53

Runner = Callable[[], Coroutine[Any, Any, None]]


class Services(msgspec.Struct, frozen=True):
    """What an entry works with.

    Attributes:
        hello: Introduces this entry on links.
        source: The configuration in force.
        authority: Decides who is let in.
        limiter: Keeps workspaces to their rates.
        recorder: Takes counts and times.
        listed: The platform's instance list.
        store: The platform's key-value service.
        known_by_name: The entries on the list, kept up to date by the mesh.
        listeners: Take what happens on links between entries.
        runners: Run until cancelled while the entry serves.
        read_beat: What heartbeats tell of the configuration.
        has_share: Tells whether this entry may admit requests.
        leave: Gives back what this entry holds of the rates.
    """

    hello: messages.Hello
    source: callers_base.FleetSource
    authority: callers_base.Authenticator
    limiter: callers_base.Limiter
    recorder: callers_base.Recorder
    listed: instances_base.InstanceList
    store: store_base.Store
    known_by_name: dict[str, instances_base.Instance]
    listeners: tuple[mesh.Listener, ...] = ()
    runners: tuple[Runner, ...] = ()
    read_beat: link_base.ReadBeat = server.beat_nothing
    has_share: Callable[[], bool] = lambda: True
    leave: Callable[[], Coroutine[Any, Any, Any]] = anyio.lowlevel.checkpoint


def create_hello(own: settings.Entry) -> messages.Hello:
    """Return the hello by which an entry introduces itself."""
    return messages.Hello(
        instance=own.place.instance,
        incarnation=random.SystemRandom().randrange(MAX_INCARNATION),
        service="entry",
        zone=own.place.zone,
        region=own.place.region,
    )


def create_services(
    own: settings.Entry,
    store: store_base.Store,
    listed: instances_base.InstanceList,
) -> Services:
    """Put together what an entry works with."""
    hello = create_hello(own)
    known_by_name: dict[str, instances_base.Instance] = {}

    def list_known() -> tuple[instances_base.Instance, ...]:
        return tuple(known_by_name.values())

    recorder = recorder_lib.create_recorder("entry", own.statsd)
    store = counted.create_counted_store(store, recorder)
    replica = replica_lib.create_replica(
        store, own.place, list_known, incarnation=hello.incarnation
    )
    currency = currency_lib.create_currency(replica, own.place, list_known)
    authority = authority_lib.Authority(replica, currency)
    limiter = limiter_lib.create_limiter(
        hello.instance, hello.incarnation, lending.Share()
    )
    member = members.create_members(
        hello, own.link_listen, limiter, store, known_by_name
    )
    rates.Rates(limiter).follow(replica)
    return Services(
        hello=hello,
        source=replica,
        authority=authority,
        limiter=limiter,
        recorder=recorder,
        listed=listed,
        store=store,
        known_by_name=known_by_name,
        listeners=(replica, limiter, member),
        runners=(
            replica.run,
            limiter.run,
            member.run,
            authority.run,
            recorder.run,
        ),
        read_beat=replica.read_beat,
        has_share=member.is_active,
        leave=member.leave,
    )
