"""Tells whether an endpoint ended while it was sending a response."""

from typing import Final

from eelgrassgate import logs
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import metrics as metrics_lib
from eelgrassgate.http1 import sockets
from eelgrassgate.quarantine import quarantine as quarantine_lib

# Timeout of the check; covers a round trip between regions.
CHECK_TIMEOUT_S: Final = 0.15


async def check_endpoint(
    endpoint: catalog.Endpoint,
    run: quarantine_lib.Run,
    quarantine: quarantine_lib.Quarantine,
    metrics: metrics_lib.Metrics,
) -> bool:
    """Record and return whether an endpoint that broke off `run` has ended.

    An endpoint that has ended refuses connections; one that only reset the
    connection accepts others.
    """
    has_ended = await sockets.is_refused(endpoint.address, CHECK_TIMEOUT_S)
    logs.log_message(
        "attempt lost",
        id=run.request,
        endpoint=endpoint.id,
        has_endpoint_ended=has_ended,
        has_output=run.has_output,
        parts=run.parts,
        fingerprint=run.fingerprint,
    )
    if has_ended:
        metrics.count_endpoint_end(endpoint.service)
        quarantine.record_end(endpoint.id, run)
    return has_ended
