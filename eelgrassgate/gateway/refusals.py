"""Decides which online requests are refused at once, and when they return.

The load that this answers: crests of a few seconds in which more requests
arrive than all endpoints can begin in time. A request that queues behind them
is late and makes those after it late as well; one that is refused at once can
come back when the crest is over.
"""

from collections.abc import Callable
import random
from typing import Final

# A request that would wait for a slot longer than this part of its objective
# is refused; the rest goes to the network and to reading its prompt.
WAIT_OBJECTIVES: Final = 0.8
# Refused callers return spread over so long after a slot is expected. Crests
# last seconds, and callers that return together are refused again.
RETURN_SPREAD_S: Final = 1.2


def decide(
    wait_s: float,
    objective_s: float,
    draw: Callable[[], float] = random.random,
) -> float | None:
    """Return the seconds after which a request is to return; None to take it.

    Args:
        wait_s: Seconds for which it would wait for a slot.
        objective_s: Seconds in which its answer is to begin.
        draw: Returns a number from 0 to 1 by chance.
    """
    if wait_s <= objective_s * WAIT_OBJECTIVES:
        return None
    return wait_s + draw() * RETURN_SPREAD_S
