"""Checks requests against rate and burst, over every window."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Final

import msgspec

SLACK: Final = 1e-6


class Request(msgspec.Struct, frozen=True):
    """A request that was admitted, or refused, `at` an instant."""

    at: float
    bucket: str


def find_excess(
    admitted: Iterable[Request], bucket: str, rate: float, burst: float
) -> float:
    """Return by how much the worst window exceeds rate and burst.

    A bucket that was full at the start and goes below zero at an instant has
    exceeded a window that ends there, and the reverse.
    """
    level, last, worst = burst, 0.0, 0.0
    for admission in sorted(admitted, key=lambda each: each.at):
        if admission.bucket != bucket:
            continue
        level = min(burst, level + rate * (admission.at - last)) - 1.0
        last = admission.at
        worst = max(worst, -level)
    return worst if worst > SLACK else 0.0


def iterate_unnecessary_refusals(
    admitted: Iterable[Request],
    refused: Iterable[Request],
    bucket: str,
    rate: float,
    burst: float,
    since: float = 0.0,
) -> Iterator[float]:
    """Yield refusals where one whole bucket of its own would have admitted."""
    level, last = burst, 0.0
    marks = [(each.at, True) for each in admitted if each.bucket == bucket]
    marks += [(each.at, False) for each in refused if each.bucket == bucket]
    for at, is_admitted in sorted(marks):
        level = min(burst, level + rate * (at - last))
        last = at
        if level < 1.0:
            continue
        level -= 1.0
        if not is_admitted and at >= since:
            yield at
