"""The table of all metrics."""

from collections.abc import Iterator
import enum
from typing import Final

import msgspec

from eelgrassgate import outcomes

PREFIX: Final = "eelgrassgate"
OTHER: Final = "other"
REFUSED: Final = "refused"


class Kind(enum.Enum):
    """StatsD type of a metric."""

    COUNTER = "counter"
    TIMER = "timer"
    GAUGE = "gauge"


class Metric(msgspec.Struct, frozen=True):
    """One metric.

    Attributes:
        name: Its name; the values of the labels follow after dots.
        kind: Its StatsD type.
        labels: Names of its labels.
        unit: Unit of its values.
        meaning: Description for operators.
    """

    name: str
    kind: Kind
    labels: tuple[str, ...]
    unit: str
    meaning: str


WORKSPACE: Final = ("workspace",)
WORKSPACE_AND_CLASS: Final = ("workspace", "class")

TIMERS: Final = (
    Metric(
        "first_token",
        Kind.TIMER,
        WORKSPACE_AND_CLASS,
        "ms",
        "From a request's dispatch to the first part of its answer.",
    ),
    Metric(
        "between_tokens",
        Kind.TIMER,
        WORKSPACE_AND_CLASS,
        "ms",
        "Between parts of a streamed answer; one gap in 8 is recorded.",
    ),
    Metric(
        "whole",
        Kind.TIMER,
        WORKSPACE_AND_CLASS,
        "ms",
        "From a request's dispatch to the end of its whole answer.",
    ),
)
REFUSALS: Final = tuple(
    Metric(
        f"{REFUSED}.{code.value}",
        Kind.COUNTER,
        WORKSPACE,
        "requests",
        f"Requests refused with the code `{code.value}`.",
    )
    for code in outcomes.Code
)
ROUTING: Final = (
    Metric("attempts", Kind.COUNTER, (), "attempts", "Attempts begun."),
    Metric(
        "retries",
        Kind.COUNTER,
        (),
        "attempts",
        "Attempts made elsewhere after a refusal.",
    ),
    Metric(
        "retries_denied",
        Kind.COUNTER,
        (),
        "attempts",
        "Retries that the budget did not allow.",
    ),
    Metric(
        "crossings",
        Kind.COUNTER,
        (),
        "attempts",
        "Attempts sent over the link between regions.",
    ),
    Metric(
        "link_bytes",
        Kind.COUNTER,
        (),
        "bytes",
        "Bytes of such attempts and their answers, both ways.",
    ),
    Metric(
        "link_denied",
        Kind.COUNTER,
        (),
        "attempts",
        "Attempts that needed the link and found no room on it.",
    ),
    Metric(
        "prefix_known",
        Kind.COUNTER,
        (),
        "attempts",
        "Attempts sent to an agent that likely held the prompt's head.",
    ),
    Metric(
        "trials",
        Kind.COUNTER,
        (),
        "attempts",
        "Attempts that tried an endpoint which was taken out.",
    ),
)

BATCH: Final = (
    Metric(
        "batch_items",
        Kind.COUNTER,
        WORKSPACE,
        "items",
        "Batch items that an endpoint has answered whole.",
    ),
)
STORE: Final = (
    Metric(
        "store_reads", Kind.COUNTER, (), "calls", "Reads asked of the store."
    ),
    Metric(
        "store_writes",
        Kind.COUNTER,
        (),
        "calls",
        "Transactions and lease calls asked of the store.",
    ),
    Metric(
        "store_watches",
        Kind.COUNTER,
        (),
        "watches",
        "Watches opened at the store.",
    ),
)
PROCESS: Final = (
    Metric(
        "task_failures",
        Kind.COUNTER,
        (),
        "failures",
        "Failures of long-lived tasks, each of which was started again.",
    ),
)

METRICS_BY_NAME: Final = {
    metric.name: metric
    for metric in (*TIMERS, *REFUSALS, *ROUTING, *BATCH, *STORE, *PROCESS)
}


def render_table() -> Iterator[str]:
    """Yield the lines of the Markdown table in `docs/METRICS.md`."""
    yield "| name | kind | labels | unit | meaning |"
    yield "| --- | --- | --- | --- | --- |"
    for metric in METRICS_BY_NAME.values():
        cells = (
            f"`{metric.name}`",
            metric.kind.value,
            ", ".join(metric.labels),
            metric.unit,
            metric.meaning,
        )
        yield f"| {' | '.join(cells)} |"
