"""Decides whether a request may go to an endpoint now, and if not, why."""

from collections.abc import Set
import enum
from typing import Final


class Reason(enum.Enum):
    """Why a request may not go to an endpoint now.

    Attributes:
        QUARANTINED: The request would crash the endpoint.
        REGION: The endpoint is outside the regions that the request may use.
        EVACUATED: The operators evacuate the endpoint's availability zone.
        DRAINING: The endpoint takes no new requests.
        UNHEALTHY: The endpoint is unreachable or sends no data.
        COLD: The endpoint has just started, and its limit allows no request.
        LIMITED: The limit that the endpoint names allows no request.
    """

    QUARANTINED = "quarantined"
    REGION = "region"
    EVACUATED = "evacuated"
    DRAINING = "draining"
    UNHEALTHY = "unhealthy"
    COLD = "cold"
    LIMITED = "limited"


# For the other reasons an online request may still go to the endpoint, if all
# are in the same state.
EXCLUDING: Final = frozenset(
    {Reason.QUARANTINED, Reason.REGION, Reason.EVACUATED, Reason.DRAINING}
)


def is_region_allowed(
    region: str | None, allowed_regions: Set[str] | None
) -> bool:
    """Return whether a request may be in a region.

    Args:
        region: The region; None if it is unknown.
        allowed_regions: The regions that the request may use; None for all.
    """
    return allowed_regions is None or region in allowed_regions


def find_reason(
    *,
    is_quarantined: bool = False,
    is_in_region: bool = True,
    is_evacuated: bool = False,
    is_draining: bool = False,
    is_unhealthy: bool = False,
    is_cold: bool = False,
    limit_wait_s: float = 0.0,
) -> Reason | None:
    """Return why a request may not go to an endpoint now; None if it may.

    Lasting reasons take precedence over those that pass by themselves.

    Args:
        is_quarantined: Whether the request is quarantined.
        is_in_region: Whether the request may use the endpoint's region.
        is_evacuated: Whether the endpoint's zone is evacuated.
        is_draining: Whether the endpoint drains.
        is_unhealthy: Whether the endpoint is in backoff or unresponsive.
        is_cold: Whether the limit is that of a cold endpoint.
        limit_wait_s: Seconds until the endpoint's limit allows a request.
    """
    if is_quarantined:
        return Reason.QUARANTINED
    if not is_in_region:
        return Reason.REGION
    if is_evacuated:
        return Reason.EVACUATED
    if is_draining:
        return Reason.DRAINING
    if is_unhealthy:
        return Reason.UNHEALTHY
    if limit_wait_s:
        return Reason.COLD if is_cold else Reason.LIMITED
    return None
