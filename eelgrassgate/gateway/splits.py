"""Chooses one of the services of a route by weight."""

from collections.abc import Callable
from typing import Final

import xxhash

from eelgrassgate.gateway import catalog

_DRAWS: Final = float(2**64)


def choose_service(
    route: catalog.Route, draw: float, has_endpoints: Callable[[str], bool]
) -> str:
    """Return the service for a call of a route.

    Services without endpoints are left out while another has some, and those
    without weight unless none has any.

    Args:
        route: The route.
        draw: A number from 0 up to 1, excluding 1. The same one leads to the
            same service while weights and available services stay the same.
        has_endpoints: Returns whether a service has endpoints that accept
            requests.
    """
    weighted = [one for one in route.targets if one.weight > 0.0]
    if not weighted:
        return route.targets[0].service
    if len(weighted) > 1:
        available = [one for one in weighted if has_endpoints(one.service)]
        weighted = available or weighted
    left = draw * sum(one.weight for one in weighted)
    for target in weighted[:-1]:
        left -= target.weight
        if left < 0.0:
            return target.service
    return weighted[-1].service


def compute_draw(name: str) -> float:
    """Return a draw for `choose_service` that is the same for each call."""
    return xxhash.xxh3_64_intdigest(name.encode()) / _DRAWS
