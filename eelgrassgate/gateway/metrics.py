"""Prometheus metrics of one process.

The number of series is bounded by the configured routes and workspaces and by
fixed sets of outcomes.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import functools
from typing import Final

import anyio
import prometheus_client
from prometheus_client import core
from prometheus_client import metrics_core
from prometheus_client import registry as registry_lib

from eelgrassgate import deadlines
from eelgrassgate import memory_budget
from eelgrassgate.capacity import estimator
from eelgrassgate.http1 import downstream
from eelgrassgate.store import causes

# Histogram buckets in seconds: latency objectives of online requests are
# between 0.1 and 0.5 s, jobs take up to a minute.
BUCKETS: Final = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 20.0, 60.0)
# Maximum number of distinct label values; further ones are counted as `other`.
MAX_LABEL_VALUES: Final = 1_000
OTHER: Final = "other"
# Maximum number of endpoints whose speed is shown, those first that differ most
# from typical ones.
MAX_SHOWN_ENDPOINTS: Final = 50
OK: Final = 200
# A few monitors scrape, over one connection each.
MAX_CONNECTIONS: Final = 32
_SCRAPE_LIMITS: Final = downstream.Limits(body_bytes=1_024)
_TEXT_HEADERS: Final = ((b"content-type", b"text/plain; version=0.0.4"),)


class _StoreCallsCollector(registry_lib.Collector):
    """Collects the numbers of calls of the store."""

    def __init__(
        self, calls_by_cause: Mapping[tuple[causes.Operation, str], int]
    ) -> None:
        """Collect `calls_by_cause`."""
        self._calls_by_cause = calls_by_cause

    def collect(self) -> Iterable[metrics_core.Metric]:
        """Return the numbers."""
        found = metrics_core.CounterMetricFamily(
            "eelgrassgate_store_calls",
            "Calls of the store by operation and part of the key space.",
            labels=("operation", "part"),
        )
        for (operation, part), count in self._calls_by_cause.items():
            found.add_metric((operation.value, part), count)
        return (found,)


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        """Initialize all metrics; see `create_metrics`."""
        self._registry = prometheus_client.CollectorRegistry()
        self._label_values: set[str] = set()
        self._requests = prometheus_client.Counter(
            "eelgrassgate_requests",
            "Requests by workspace, route and status; 0 for a cut connection.",
            ("workspace", "route", "status"),
            registry=self._registry,
        )
        self._unanswered = prometheus_client.Counter(
            "eelgrassgate_unanswered_requests",
            "Requests without a response, by whether the caller disconnected.",
            ("disconnected",),
            registry=self._registry,
        )
        self._latency = prometheus_client.Histogram(
            "eelgrassgate_first_byte_seconds",
            "Seconds from a request to the first byte of its answer.",
            ("workspace", "kind"),
            buckets=BUCKETS,
            registry=self._registry,
        )
        self._attempts = prometheus_client.Counter(
            "eelgrassgate_attempts",
            "Attempts at endpoints by service and result.",
            ("service", "result"),
            registry=self._registry,
        )
        self._endpoint_ends = prometheus_client.Counter(
            "eelgrassgate_endpoint_ends",
            "Lost attempts after which the endpoint refused connections.",
            ("service",),
            registry=self._registry,
        )
        self._draining_responses = prometheus_client.Counter(
            "eelgrassgate_draining_responses",
            "Forwarded responses that state that their endpoint drains.",
            registry=self._registry,
        )
        self._ineligible = prometheus_client.Counter(
            "eelgrassgate_ineligible_requests",
            "Requests and jobs that no endpoint might take, by reason.",
            ("reason",),
            registry=self._registry,
        )
        self._runs = prometheus_client.Counter(
            "eelgrassgate_item_runs",
            "Runs of batch items by result.",
            ("result",),
            registry=self._registry,
        )
        self._items = prometheus_client.Histogram(
            "eelgrassgate_item_seconds",
            "Seconds that a batch item ran, all its runs together.",
            ("state",),
            buckets=BUCKETS,
            registry=self._registry,
        )
        self._loop_delay = prometheus_client.Histogram(
            "eelgrassgate_loop_delay_seconds",
            "Seconds by which a timer of the event loop was late.",
            buckets=BUCKETS,
            registry=self._registry,
        )
        self._task_failures = prometheus_client.Counter(
            "eelgrassgate_task_failures",
            "Failures of long-lived tasks, each of which was started again.",
            ("task",),
            registry=self._registry,
        )
        self._connections = prometheus_client.Gauge(
            "eelgrassgate_connections",
            "Open connections that were accepted, by listener.",
            ("listener",),
            registry=self._registry,
        )
        self._connections_closed = prometheus_client.Gauge(
            "eelgrassgate_connections_closed",
            "Connections that were closed for a limit, by listener and reason.",
            ("listener", "reason"),
            registry=self._registry,
        )
        # Resident memory and open descriptors.
        prometheus_client.ProcessCollector(registry=self._registry)

    def observe_memory(self, budget: memory_budget.Budget) -> None:
        """Show the limit of the memory budget and what is held and refused."""
        prometheus_client.Gauge(
            "eelgrassgate_memory_limit_bytes",
            "Bytes that may be held for callers, endpoints and peers.",
            registry=self._registry,
        ).set(budget.limit_bytes)
        held = prometheus_client.Gauge(
            "eelgrassgate_memory_held_bytes",
            "Bytes that are held, by what they are held for.",
            ("held_for",),
            registry=self._registry,
        )
        refused = prometheus_client.Gauge(
            "eelgrassgate_memory_refusals",
            "How often memory was refused, by what it was wanted for.",
            ("held_for",),
            registry=self._registry,
        )
        for kind in memory_budget.Kind:
            held.labels(kind.value).set_function(
                functools.partial(budget.held_bytes_by_kind.__getitem__, kind)
            )
            refused.labels(kind.value).set_function(
                functools.partial(budget.refused_by_kind.__getitem__, kind)
            )

    def observe_listener(
        self, name: str, listener: downstream.Listener
    ) -> None:
        """Show a listener's open connections and those that it has closed."""
        self._connections.labels(name).set_function(listener.count_connections)
        for reason in downstream.CloseReason:
            self._connections_closed.labels(name, reason.value).set_function(
                functools.partial(listener.closed_by_reason.__getitem__, reason)
            )

    def record_loop_delay(self, seconds: float) -> None:
        """Record by how much a timer of the event loop was late."""
        self._loop_delay.observe(max(0.0, seconds))

    def observe_config(
        self, read_version: Callable[[], int], read_age_s: Callable[[], float]
    ) -> None:
        """Show the configuration's version and the age of its confirmation."""
        prometheus_client.Gauge(
            "eelgrassgate_config_version",
            "Version of the configuration; 0 without one.",
            registry=self._registry,
        ).set_function(read_version)
        prometheus_client.Gauge(
            "eelgrassgate_config_age_seconds",
            "Seconds since the configuration was confirmed as the newest.",
            registry=self._registry,
        ).set_function(read_age_s)

    def observe_store(self, read_silence_s: Callable[[], float]) -> None:
        """Show for how long the store has not answered."""
        prometheus_client.Gauge(
            "eelgrassgate_store_silence_seconds",
            "Seconds for which calls of the store are unanswered.",
            registry=self._registry,
        ).set_function(read_silence_s)

    def observe_store_calls(
        self, calls_by_cause: Mapping[tuple[causes.Operation, str], int]
    ) -> None:
        """Show the numbers of calls of the store by cause."""
        self._registry.register(_StoreCallsCollector(calls_by_cause))

    def observe_mirrors(
        self,
        count_following: Callable[[], int],
        get_age_s_by_prefix: Mapping[str, Callable[[], float]],
    ) -> None:
        """Show how many shared mirrors follow a peer, and the ages of all."""
        prometheus_client.Gauge(
            "eelgrassgate_followed_mirrors",
            "Shared mirrors that get their changes from a peer.",
            registry=self._registry,
        ).set_function(count_following)
        age = prometheus_client.Gauge(
            "eelgrassgate_mirror_age_seconds",
            "Seconds since the store confirmed the records of a shared mirror.",
            ("prefix",),
            registry=self._registry,
        )
        for prefix, get_age_s in get_age_s_by_prefix.items():
            age.labels(prefix).set_function(get_age_s)

    def observe_quarantine(self, count_parts: Callable[[], int]) -> None:
        """Show the number of quarantined prompt parts and requests."""
        prometheus_client.Gauge(
            "eelgrassgate_quarantined_parts",
            "Prompt parts and requests that are kept from endpoints.",
            registry=self._registry,
        ).set_function(count_parts)

    def observe_endpoint_limits(
        self, count_limited: Callable[[], int], count_cold: Callable[[], int]
    ) -> None:
        """Show the numbers of endpoints that name a limit and that are cold."""
        prometheus_client.Gauge(
            "eelgrassgate_limited_endpoints",
            "Endpoints that name a limit in their responses.",
            registry=self._registry,
        ).set_function(count_limited)
        prometheus_client.Gauge(
            "eelgrassgate_cold_endpoints",
            "Endpoints that are treated as cold.",
            registry=self._registry,
        ).set_function(count_cold)

    def observe_evacuations(
        self, count_zones: Callable[[], int], count_in_flight: Callable[[], int]
    ) -> None:
        """Show the number of evacuated zones and of requests left there."""
        prometheus_client.Gauge(
            "eelgrassgate_evacuated_zones",
            "Availability zones that this process knows to be evacuated.",
            registry=self._registry,
        ).set_function(count_zones)
        prometheus_client.Gauge(
            "eelgrassgate_evacuated_in_flight",
            "Requests of this process that still run in evacuated zones.",
            registry=self._registry,
        ).set_function(count_in_flight)

    def observe_capacity(
        self, list_differing: Callable[[], Mapping[str, estimator.Estimate]]
    ) -> None:
        """Show the speed of endpoints that differ from typical ones."""
        self._registry.register(_CapacityCollector(list_differing))

    def observe_draining(self, count_draining: Callable[[], int]) -> None:
        """Show the number of endpoints that drain."""
        prometheus_client.Gauge(
            "eelgrassgate_draining_endpoints",
            "Endpoints that drain and get no new requests.",
            registry=self._registry,
        ).set_function(count_draining)

    def count_request(self, workspace: str, route: str, status: int) -> None:
        """Count a request by its response status."""
        self._requests.labels(
            self._get_label_value(workspace),
            self._get_label_value(route),
            str(status),
        ).inc()

    def count_unanswered(self, has_disconnected: bool) -> None:
        """Count a request whose connection ended without a response."""
        self._unanswered.labels(str(has_disconnected).lower()).inc()

    def observe_first_byte(
        self, workspace: str, kind: str, seconds: float
    ) -> None:
        """Record the time to the first byte of a response."""
        self._latency.labels(self._get_label_value(workspace), kind).observe(
            seconds
        )

    def count_attempt(self, service: str, result: str) -> None:
        """Count an attempt at an endpoint."""
        self._attempts.labels(self._get_label_value(service), result).inc()

    def count_endpoint_end(self, service: str) -> None:
        """Count a lost attempt whose endpoint has ended."""
        self._endpoint_ends.labels(self._get_label_value(service)).inc()

    def count_draining_response(self) -> None:
        """Count a forwarded response that states that its endpoint drains."""
        self._draining_responses.inc()

    def count_ineligible(self, reason: str) -> None:
        """Count a request that no endpoint was allowed to take."""
        self._ineligible.labels(reason).inc()

    def count_task_failure(self, task: str) -> None:
        """Count a failure of a long-lived task."""
        self._task_failures.labels(task).inc()

    def count_run(self, result: str) -> None:
        """Count a run of a batch item."""
        self._runs.labels(result).inc()

    def observe_item(self, state: str, seconds: float) -> None:
        """Record the total run time of a batch item."""
        self._items.labels(state).observe(seconds)

    def _get_label_value(self, name: str) -> str:
        if name in self._label_values:
            return name
        if len(self._label_values) >= MAX_LABEL_VALUES:
            return OTHER
        self._label_values.add(name)
        return name

    def render(self) -> bytes:
        """Return all metrics in the text exposition format."""
        return bytes(prometheus_client.generate_latest(self._registry))

    async def run(self, address: str) -> None:
        """Serve the metrics at `host:port` until cancelled."""
        listener = downstream.Listener(
            lambda: _SCRAPE_LIMITS,
            self._handle_scrape,
            lambda: False,
            max_connections=MAX_CONNECTIONS,
        )
        self.observe_listener("metrics", listener)
        async with anyio.create_task_group() as tasks:
            await tasks.start(listener.run)
            # No request depends on the metrics, so a taken address is tried
            # again for as long as the process runs.
            tasks.start_soon(listener.serve, address, deadlines.NEVER)

    async def _handle_scrape(
        self,
        incoming: downstream.IncomingRequest,
        responder: downstream.Responder,
    ) -> None:
        await responder.reply(OK, _TEXT_HEADERS, self.render())


class _CapacityCollector(registry_lib.Collector):
    """Shows the learned speed of the endpoints that differ most."""

    def __init__(
        self, list_differing: Callable[[], Mapping[str, estimator.Estimate]]
    ) -> None:
        self._list_differing = list_differing

    def collect(self) -> Iterator[core.GaugeMetricFamily]:
        """Return the metrics at the time of a scrape."""
        estimates = self._list_differing()
        yield core.GaugeMetricFamily(
            "eelgrassgate_differing_endpoints",
            "Endpoints that are faster or slower than typical ones.",
            len(estimates),
        )
        first = core.GaugeMetricFamily(
            "eelgrassgate_endpoint_first_event_seconds",
            "Expected seconds to the first event, by part of the slots in use.",
            labels=("endpoint", "load"),
        )
        pace = core.GaugeMetricFamily(
            "eelgrassgate_endpoint_pace_ratio",
            "Seconds between events as a multiple of typical ones.",
            labels=("endpoint",),
        )
        ranked = sorted(
            estimates.items(),
            key=lambda item: (
                -max(
                    *map(abs, item[1].excess_s_by_level),
                    abs(item[1].pace - 1.0),
                )
            ),
        )
        for name, estimate in ranked[:MAX_SHOWN_ENDPOINTS]:
            pace.add_metric((name,), estimate.pace)
            for level, seconds in enumerate(estimate.first_s_by_level):
                load = f"{level + 1}/{estimator.LEVELS}"
                first.add_metric((name, load), seconds)
        yield first
        yield pace


def create_metrics() -> Metrics:
    """Create the metrics of a process."""
    return Metrics()
