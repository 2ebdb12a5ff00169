"""Updates the router from agents' connections and the instance list."""

from eelgrassgate import messages
from eelgrassgate.entry import agents
from eelgrassgate.instances import base as instances_base
from eelgrassgate.routing import router as router_lib


class RouterUpdater:
    """Passes agents' connections and load reports to a router."""

    def __init__(self, router: router_lib.Router) -> None:
        """Create an updater of `router`."""
        self._router = router

    def connect(self, view: agents.AgentView) -> None:
        """Add an agent once all its lanes are connected."""
        if view.info is None or not view.has_all_lanes():
            return
        listed = view.instance
        self._router.add(listed.name, view.info, listed.zone, listed.region)

    def receive(
        self, view: agents.AgentView, message: messages.AnyMessage
    ) -> None:
        """Handle a load report or an agent's leave message."""
        if isinstance(message, messages.LoadReport):
            self._router.handle_report(view.instance.name, message)
        elif isinstance(message, messages.Leave):
            self._router.mark_leaving(view.instance.name)

    def disconnect(self, view: agents.AgentView) -> None:
        """Remove an agent that has lost a connection."""
        self._router.remove(view.instance.name)

    def update_instances(
        self, instances: tuple[instances_base.Instance, ...]
    ) -> None:
        """Pass the agents listed as leaving to the router."""
        self._router.set_listed_leaving(
            frozenset(
                instance.name
                for instance in instances
                if instance.state is instances_base.State.LEAVING
            )
        )
