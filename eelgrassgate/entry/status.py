"""Builds the status that an entry reports to operators."""

from collections.abc import Iterable

from eelgrassgate.entry import agents
from eelgrassgate.entry import services
from eelgrassgate.metrics import recorder
from eelgrassgate.operators import api


def build_status(
    entry_services: services.Services,
    views: Iterable[agents.AgentView],
    is_ready: bool,
) -> api.Status:
    """Return the status of the entry with these services and agents."""
    config_status = entry_services.read_config_status()
    figures = None
    if isinstance(entry_services.recorder, recorder.Recorder):
        figures = entry_services.recorder.snapshot()
    return api.Status(
        instance=entry_services.hello.instance,
        zone=entry_services.hello.zone,
        revision=config_status.config_revision,
        confirmed_ago_ms=config_status.config_age_ms,
        is_ready=is_ready,
        endpoints=tuple(
            api.describe_endpoint(
                view.instance, view.info, view.load, view.has_all_lanes()
            )
            for view in views
        ),
        figures=figures,
    )
