"""Tells the router what the links and the instance list show of agents."""

from eelgrassgate import messages
from eelgrassgate.entry import agents
from eelgrassgate.instances import base as instances_base
from eelgrassgate.routing import router as router_lib


class Routes:
    """Carries agents' connections and reports to a router."""

    def __init__(self, router: router_lib.Router) -> None:
        """Create a carrier to `router`."""
        self._router = router

    def connect(self, view: agents.AgentView) -> None:
        """Take an agent whose connection has opened."""
        if view.info is None or not view.has_all_lanes():
            return
        listed = view.instance
        self._router.update(listed.name, view.info, listed.zone, listed.region)

    def receive(
        self, view: agents.AgentView, message: messages.AnyMessage
    ) -> None:
        """Take a message that belongs to no exchange."""
        if isinstance(message, messages.LoadReport):
            self._router.report(view.instance.name, message)
        elif isinstance(message, messages.Leave):
            self._router.mark_leaving(view.instance.name)

    def disconnect(self, view: agents.AgentView) -> None:
        """Take the loss of a connection to an agent."""
        self._router.remove(view.instance.name)

    def relist(self, instances: tuple[instances_base.Instance, ...]) -> None:
        """Take a new list of agents."""
        self._router.set_listed_leaving(
            frozenset(
                instance.name
                for instance in instances
                if instance.state is instances_base.State.LEAVING
            )
        )
