"""Checks of admitted and refused requests against a token bucket."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Final

import msgspec

TOLERANCE: Final = 1e-6


class Request(msgspec.Struct, frozen=True):
    """A request with the time `at` which it was admitted or refused."""

    at: float
    bucket: str


def find_excess(
    admitted: Iterable[Request], bucket: str, rate: float, burst: float
) -> float:
    """Return by how many tokens the worst window exceeds rate and burst.

    A token bucket that is full at the start goes below zero at some time if
    and only if a window that ends at this time exceeds the limit.
    """
    level, last, worst = burst, 0.0, 0.0
    for admission in sorted(admitted, key=lambda request: request.at):
        if admission.bucket != bucket:
            continue
        level = min(burst, level + rate * (admission.at - last)) - 1.0
        last = admission.at
        worst = max(worst, -level)
    return worst if worst > TOLERANCE else 0.0


def iterate_unnecessary_refusals(
    admitted: Iterable[Request],
    refused: Iterable[Request],
    bucket: str,
    rate: float,
    burst: float,
    since: float = 0.0,
) -> Iterator[float]:
    """Yield times of refusals that one undivided token bucket would admit.

    Refusals before `since` are left out.
    """
    level, last = burst, 0.0
    decisions = [
        (request.at, True) for request in admitted if request.bucket == bucket
    ]
    decisions += [
        (request.at, False) for request in refused if request.bucket == bucket
    ]
    for at, is_admitted in sorted(decisions):
        level = min(burst, level + rate * (at - last))
        last = at
        if level < 1.0:
            continue
        level -= 1.0
        if not is_admitted and at >= since:
            yield at
