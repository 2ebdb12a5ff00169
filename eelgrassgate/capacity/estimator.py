"""Learns how fast each endpoint is at each level of load, without I/O.

Endpoints of one service differ in speed, and their speed changes. One process
sees an endpoint only every few seconds, so processes exchange decaying sums of
what they observed and add them up. An estimate is the ratio of an endpoint to
the typical value of its service, at first assumed to be 1.
"""

from collections.abc import Callable
from collections.abc import Mapping
import math
from typing import Annotated
from typing import Final

import msgspec

from eelgrassgate import deadlines

# Levels of load, equal parts of an endpoint's slots. Endpoints may slow down
# long before they are full, so each level has its own estimate.
LEVELS: Final = 3
# Index of the sums for the pace: seconds between events or, for responses
# other than streams, seconds of a whole response.
_PACE: Final = LEVELS
_CHANNELS: Final = LEVELS + 1
# Half-life of what was observed at an endpoint. Slow periods last from half a
# second to several seconds, and an endpoint is tried again soon after one.
HALF_LIFE_S: Final = 1.5
# Half-life of what was observed at all endpoints of a service. It covers peaks
# and the time between them.
TYPICAL_HALF_LIFE_S: Final = 10.0
# Time constant of an endpoint's lasting speed, towards which the estimate
# returns without observations.
LASTING_S: Final = 20.0
# Time constant by which the lasting speed of an unused endpoint is forgotten.
LASTING_UNUSED_S: Final = 60.0
# Observations that the lasting speed counts for, and that the estimate over all
# levels counts for at one level.
PRIOR_WEIGHT: Final = 2.0
# Larger weights do not count, so that a much used endpoint is forgotten as fast
# as the others.
MAX_WEIGHT: Final = 10.0
# Logarithms of ratios below this do not count as a difference. Prompts differ,
# and a wrong preference for an endpoint costs more than a missed small one.
MARGIN: Final = 0.12
# Standard errors that a difference must exceed. With hundreds of endpoints and
# levels, two of them are often exceeded by chance.
MIN_ERRORS: Final = 3.0
# Part of the variance of observations that differences between endpoints
# explain. With noisier observations more of them are needed.
SPREAD_VARIANCE: Final = 0.1
INITIAL_VARIANCE: Final = 0.05
VARIANCE_SMOOTHING: Final = 0.02
# Bound of logarithms of ratios: a factor of 20.
MAX_LOG: Final = 3.0
# Bounds of durations; shorter and longer ones are measurement errors.
MIN_S: Final = 0.0005
MAX_S: Final = 60.0
# How often estimates are computed from the sums.
REFRESH_INTERVAL_S: Final = 0.25
# Sums of a peer count for this long after its last report.
MAX_PEER_AGE_S: Final = 1.0
# Peers may report what they learned before a restart for this long after it.
RESTART_IGNORE_S: Final = 2.0
# Weight below which sums are neither reported nor kept.
MIN_WEIGHT: Final = 0.2
# Excess of the first event over that of an idle typical endpoint up to which an
# endpoint handles a load well.
GOOD_EXCESS_S: Final = 0.1
# Responses other than streams have typical values of their own.
_PLAIN_SUFFIX: Final = "/plain"
# Fixed-point factors of reported weights and sums.
_WEIGHT_UNITS: Final = 8.0
_SUM_UNITS: Final = 64.0
_MIN_REPORTED_MEAN: Final = MARGIN * _SUM_UNITS / _WEIGHT_UNITS
_REPORTED_PRIOR: Final = PRIOR_WEIGHT * _WEIGHT_UNITS

# Reported sums. The bounds hold for any plausible rate of requests; a report
# beyond them is malformed.
_Weight = Annotated[int, msgspec.Meta(ge=0, le=2**16)]
_Sum = Annotated[int, msgspec.Meta(ge=-(2**24), le=2**24)]
_Reported = tuple[_Weight, _Sum, _Weight, _Sum, _Weight, _Sum, _Weight, _Sum]


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What a process has observed, as decayed fixed-point sums.

    The decay stands for the age: old observations have little weight. Each
    entry has weight and sum of logarithms for each level, then for the pace.

    Attributes:
        typical_by_service: All observations of each service, in seconds.
        ratios_by_endpoint: Ratios to the typical values, of endpoints that
            differ.
    """

    typical_by_service: dict[str, _Reported] = {}
    ratios_by_endpoint: dict[str, _Reported] = {}


class Estimate(msgspec.Struct, frozen=True):
    """How one endpoint responds.

    Attributes:
        excess_s_by_level: By how many seconds the first event is later than
            that of a typical endpoint with little load.
        difference_s_by_level: By how many seconds it is later than that of a
            typical endpoint with the same load.
        first_s_by_level: Seconds to the first event; 0 if unknown.
        pace: Seconds between events as a multiple of the typical ones, thus
            also of the time that a request occupies a slot.
        is_typical: Whether nothing distinguishes it from the others.
    """

    excess_s_by_level: tuple[float, ...]
    difference_s_by_level: tuple[float, ...]
    first_s_by_level: tuple[float, ...]
    pace: float = 1.0
    is_typical: bool = True

    def count_capacity(self, slots: int) -> int:
        """Return the number of requests that the endpoint handles well."""
        capacity = 0
        for level, excess_s in enumerate(self.excess_s_by_level):
            if excess_s > GOOD_EXCESS_S:
                break
            capacity = slots * (level + 1) // LEVELS
        return max(1, capacity)


_NO_DIFFERENCE: Final = (0.0,) * LEVELS
_UNKNOWN: Final = Estimate(_NO_DIFFERENCE, _NO_DIFFERENCE, _NO_DIFFERENCE)


def compute_level(in_flight: int, slots: int) -> int:
    """Return the level of load with `in_flight` requests, the last included."""
    return max(0, min(LEVELS - 1, (in_flight * LEVELS - 1) // max(1, slots)))


class _Sums:
    """Decaying weights and sums of logarithms, one pair for each channel.

    Instead of decaying all values with each observation, later ones have a
    larger weight until the next call of `decay`.
    """

    __slots__ = ("_half_life_s", "_updated_at", "values")

    def __init__(self, half_life_s: float, now: float) -> None:
        self._half_life_s = half_life_s
        self._updated_at = now
        self.values = [0.0] * (2 * _CHANNELS)

    def add(self, channel: int, value: float, now: float) -> None:
        weight = 2.0 ** ((now - self._updated_at) / self._half_life_s)
        self.values[2 * channel] += weight
        self.values[2 * channel + 1] += weight * value

    def decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self._updated_at) / self._half_life_s)
        self._updated_at = now
        self.values = [one * factor for one in self.values]

    def is_empty(self) -> bool:
        return sum(self.values[::2]) < MIN_WEIGHT


class _Ratios(msgspec.Struct):
    """Logarithms of an endpoint's ratios: now, and lasting ones.

    Attributes:
        first: Time to the first event, over all levels.
        pace: Pace.
        lasting_first: Mean of `first` over `LASTING_S`.
        lasting_pace: Mean of `pace` over `LASTING_S`.
    """

    first: float = 0.0
    pace: float = 0.0
    lasting_first: float = 0.0
    lasting_pace: float = 0.0


class Estimator:
    """Estimates for all endpoints, from own and reported observations."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Initialize without observations; see `create_estimator`."""
        self._clock = clock
        self._refreshed_at = -REFRESH_INTERVAL_S
        self._starts_by_endpoint: dict[str, tuple[str, int]] = {}
        self._typical_by_key: dict[str, _Sums] = {}
        self._sums_by_endpoint: dict[str, _Sums] = {}
        self._variances_by_service: dict[str, list[float]] = {}
        self._reports_by_peer: dict[str, tuple[float, Report]] = {}
        self._ignored_until_by_endpoint: dict[str, float] = {}
        self._ratios_by_endpoint: dict[str, _Ratios] = {}
        self._means_by_key: dict[str, list[float | None]] = {}
        self._defaults_by_key: dict[str, Estimate] = {}
        self._estimates_by_endpoint: dict[str, Estimate] = {}
        self._report: Report = Report()

    def set_endpoints(self, starts: Mapping[str, tuple[str, int]]) -> None:
        """Replace the endpoints and forget those that restarted.

        Args:
            starts: Service and start time of each endpoint.
        """
        now = self._clock()
        for endpoint, known in self._starts_by_endpoint.items():
            if starts.get(endpoint) != known:
                self._sums_by_endpoint.pop(endpoint, None)
                self._ratios_by_endpoint.pop(endpoint, None)
                self._estimates_by_endpoint.pop(endpoint, None)
                self._ignored_until_by_endpoint[endpoint] = (
                    now + RESTART_IGNORE_S
                )
        self._starts_by_endpoint = dict(starts)

    def observe_first_event(
        self, endpoint: str, seconds: float, level: int, *, is_stream: bool
    ) -> None:
        """Record the seconds to the first event of a response.

        Args:
            endpoint: Id of the endpoint.
            seconds: Seconds since the request was sent.
            level: Level of load when it was sent; see `compute_level`.
            is_stream: Whether the response is a stream of events.
        """
        self._observe(endpoint, seconds, level, is_stream)

    def observe_pace(
        self, endpoint: str, seconds: float, *, is_stream: bool
    ) -> None:
        """Record the seconds between events, or of a whole response."""
        self._observe(endpoint, seconds, _PACE, is_stream)

    def _observe(
        self, endpoint: str, seconds: float, channel: int, is_stream: bool
    ) -> None:
        known = self._starts_by_endpoint.get(endpoint)
        if known is None:
            return
        now = self._clock()
        service, _ = known
        key = service if is_stream else service + _PLAIN_SUFFIX
        value = math.log(min(MAX_S, max(MIN_S, seconds)))
        typical = self._typical_by_key.get(key)
        if typical is None:
            typical = _Sums(TYPICAL_HALF_LIFE_S, now)
            self._typical_by_key[key] = typical
        typical.add(channel, value, now)
        means = self._means_by_key.get(key)
        mean = None if means is None else means[channel]
        if mean is None:
            # The typical value is known after the next refresh.
            return
        ratio = min(MAX_LOG, max(-MAX_LOG, value - mean))
        sums = self._sums_by_endpoint.get(endpoint)
        if sums is None:
            sums = _Sums(HALF_LIFE_S, now)
            self._sums_by_endpoint[endpoint] = sums
        sums.add(channel, ratio, now)
        center = self._ratios_by_endpoint.get(endpoint, _TYPICAL)
        error = ratio - (center.pace if channel == _PACE else center.first)
        variances = self._variances_by_service.get(service)
        if variances is None:
            variances = [INITIAL_VARIANCE] * _CHANNELS
            self._variances_by_service[service] = variances
        variances[channel] += VARIANCE_SMOOTHING * (
            min(1.0, error * error) - variances[channel]
        )

    def set_peer_report(self, name: str, report: Report) -> None:
        """Replace what a peer has reported."""
        self._reports_by_peer[name] = (self._clock(), report)

    def get_estimate(self, endpoint: str, service: str) -> Estimate:
        """Return the estimate for an endpoint of a service."""
        found = self._estimates_by_endpoint.get(endpoint)
        if found is not None:
            return found
        found = self._defaults_by_key.get(service)
        if found is None:
            found = self._defaults_by_key.get(service + _PLAIN_SUFFIX, _UNKNOWN)
        return found

    def refresh(self) -> None:
        """Compute the estimates again if that is due."""
        now = self._clock()
        if now < self._refreshed_at + REFRESH_INTERVAL_S:
            return
        elapsed_s = min(1.0, now - self._refreshed_at)
        self._refreshed_at = now
        for name, (received_at, _) in list(self._reports_by_peer.items()):
            if now > received_at + MAX_PEER_AGE_S:
                del self._reports_by_peer[name]
        reports = [one for _, one in self._reports_by_peer.values()]
        self._refresh_typical(reports, now)
        self._refresh_endpoints(reports, now, elapsed_s)
        self._report = self._build_report(reports)

    def _refresh_typical(self, reports: list[Report], now: float) -> None:
        for key, sums in list(self._typical_by_key.items()):
            sums.decay(now)
            if sums.is_empty():
                del self._typical_by_key[key]
        totals = _add_up(
            self._typical_by_key, [one.typical_by_service for one in reports]
        )
        self._means_by_key = {
            key: [
                values[2 * one + 1] / values[2 * one]
                if values[2 * one] > MIN_WEIGHT
                else None
                for one in range(_CHANNELS)
            ]
            for key, values in totals.items()
        }
        self._defaults_by_key = {
            key: _make_estimate(means[:LEVELS], (0.0,) * LEVELS, 0.0)
            for key, means in self._means_by_key.items()
        }

    def _refresh_endpoints(
        self, reports: list[Report], now: float, elapsed_s: float
    ) -> None:
        for endpoint, sums in list(self._sums_by_endpoint.items()):
            sums.decay(now)
            if sums.is_empty():
                del self._sums_by_endpoint[endpoint]
        for endpoint, until in list(self._ignored_until_by_endpoint.items()):
            if now >= until:
                del self._ignored_until_by_endpoint[endpoint]
        totals = _add_up(
            self._sums_by_endpoint,
            [one.ratios_by_endpoint for one in reports],
            self._ignored_until_by_endpoint,
        )
        estimates: dict[str, Estimate] = {}
        for endpoint in totals.keys() | self._ratios_by_endpoint.keys():
            known = self._starts_by_endpoint.get(endpoint)
            if known is None:
                self._ratios_by_endpoint.pop(endpoint, None)
                continue
            service, _ = known
            estimate = self._estimate(
                endpoint, service, totals.get(endpoint, _NO_SUMS), elapsed_s
            )
            if not estimate.is_typical:
                estimates[endpoint] = estimate
        self._estimates_by_endpoint = estimates

    def _estimate(
        self,
        endpoint: str,
        service: str,
        values: list[float],
        elapsed_s: float,
    ) -> Estimate:
        """Return the estimate for one endpoint from all processes' sums."""
        ratios = self._ratios_by_endpoint.get(endpoint)
        if ratios is None:
            ratios = self._ratios_by_endpoint[endpoint] = _Ratios()
        variances = self._variances_by_service.get(service, _INITIAL_VARIANCES)
        priors = [
            PRIOR_WEIGHT * max(1.0, one / SPREAD_VARIANCE) for one in variances
        ]
        weight = sum(values[: 2 * LEVELS : 2])
        total = sum(values[1 : 2 * LEVELS : 2])
        first = _combine(weight, total, ratios.lasting_first, priors[0])
        pace_weight, pace_total = values[2 * _PACE :]
        pace = _combine(
            pace_weight, pace_total, ratios.lasting_pace, priors[_PACE]
        )
        if weight + pace_weight < MIN_WEIGHT:
            # An endpoint that gets no requests may have become faster.
            left = 1.0 - elapsed_s / LASTING_UNUSED_S
            ratios.lasting_first *= left
            ratios.lasting_pace *= left
        part = elapsed_s / LASTING_S
        ratios.lasting_first += (
            part * min(1.0, weight) * (first - ratios.lasting_first)
        )
        ratios.lasting_pace += (
            part * min(1.0, pace_weight) * (pace - ratios.lasting_pace)
        )
        ratios.first, ratios.pace = first, pace
        by_level = tuple(
            _ignore_small(
                _combine(
                    values[2 * level],
                    values[2 * level + 1],
                    first,
                    priors[level],
                ),
                variances[level],
                values[2 * level] + priors[level],
            )
            for level in range(LEVELS)
        )
        means = self._means_by_key.get(service)
        if means is None:
            means = self._means_by_key.get(service + _PLAIN_SUFFIX, _NO_MEANS)
        return _make_estimate(
            means[:LEVELS],
            by_level,
            _ignore_small(pace, variances[_PACE], pace_weight + priors[_PACE]),
        )

    def _build_report(self, reports: list[Report]) -> Report:
        """Return what to report to peers.

        Sums of an endpoint are reported while what any process has observed
        there differs from the typical values: those without a difference
        correct those that have one by chance.
        """
        reported: set[str] = set()
        for report in reports:
            for endpoint, values in report.ratios_by_endpoint.items():
                if endpoint not in reported and _is_differing(values):
                    reported.add(endpoint)
        ratios: dict[str, _Reported] = {}
        for endpoint, sums in self._sums_by_endpoint.items():
            encoded = _encode(sums)
            if (
                endpoint in reported
                or endpoint in self._estimates_by_endpoint
                or _is_differing(encoded)
            ):
                ratios[endpoint] = encoded
        typical = {
            key: _encode(sums) for key, sums in self._typical_by_key.items()
        }
        return Report(typical, ratios)

    def build_report(self) -> Report:
        """Return what to report to peers, as of the last refresh."""
        self.refresh()
        return self._report

    def list_differing(self) -> dict[str, Estimate]:
        """Return the estimates of endpoints that differ from typical ones."""
        self.refresh()
        return dict(self._estimates_by_endpoint)


_NO_SUMS: Final = [0.0] * (2 * _CHANNELS)
_NO_MEANS: Final[list[float | None]] = [None] * _CHANNELS
_INITIAL_VARIANCES: Final = [INITIAL_VARIANCE] * _CHANNELS
_TYPICAL: Final = _Ratios()


def _add_up(
    own: Mapping[str, _Sums],
    reported: list[dict[str, _Reported]],
    ignored: Mapping[str, float] | None = None,
) -> dict[str, list[float]]:
    """Return the sums of all processes."""
    rows_by_name: dict[str, list[_Reported]] = {}
    for one in reported:
        for name, values in one.items():
            rows_by_name.setdefault(name, []).append(values)
    totals = {name: sums.values for name, sums in own.items()}
    units = (_WEIGHT_UNITS, _SUM_UNITS) * _CHANNELS
    for name, rows in rows_by_name.items():
        if ignored and name in ignored:
            continue
        added = map(sum, zip(*rows, strict=True))
        known = totals.get(name, _NO_SUMS)
        totals[name] = [
            value + amount / unit
            for value, amount, unit in zip(known, added, units, strict=True)
        ]
    return totals


def _combine(weight: float, total: float, prior: float, count: float) -> float:
    """Return a mean that counts the prior value as `count` observations."""
    if weight <= 0.0:
        return prior
    mean = min(MAX_LOG, max(-MAX_LOG, total / weight))
    weight = min(weight, MAX_WEIGHT)
    return (weight * mean + count * prior) / (weight + count)


def _ignore_small(value: float, variance: float, weight: float) -> float:
    """Return 0 for a difference that may be due to chance."""
    error = math.sqrt(variance / weight)
    return value if abs(value) > max(MARGIN, MIN_ERRORS * error) else 0.0


def _make_estimate(
    means: list[float | None], ratios: tuple[float, ...], pace: float
) -> Estimate:
    """Return the estimate of an endpoint from logarithms.

    A level that was never observed is like the next lower one.
    """
    known = [one for one in means if one is not None]
    if not known:
        return Estimate(
            _NO_DIFFERENCE,
            _NO_DIFFERENCE,
            _NO_DIFFERENCE,
            math.exp(pace),
            not pace,
        )
    base = known[0]
    level_mean = base
    typical: list[float] = []
    for mean in means:
        if mean is not None:
            level_mean = max(level_mean, mean)
        typical.append(math.exp(level_mean))
    first = tuple(
        one * math.exp(ratio)
        for one, ratio in zip(typical, ratios, strict=True)
    )
    return Estimate(
        tuple(one - typical[0] for one in first),
        tuple(one - other for one, other in zip(first, typical, strict=True)),
        first,
        math.exp(pace),
        not pace and not any(ratios),
    )


def _encode(sums: _Sums) -> _Reported:
    found = [
        round(value * (_SUM_UNITS if index % 2 else _WEIGHT_UNITS))
        for index, value in enumerate(sums.values)
    ]
    return (
        found[0],
        found[1],
        found[2],
        found[3],
        found[4],
        found[5],
        found[6],
        found[7],
    )


def _is_differing(values: _Reported) -> bool:
    """Return whether reported sums differ from the typical values alone.

    That is the case if the mean, together with the prior observations, differs
    by the margin.
    """
    weight = values[0] + values[2] + values[4]
    total = values[1] + values[3] + values[5]
    return abs(total) > _MIN_REPORTED_MEAN * (weight + _REPORTED_PRIOR) or abs(
        values[7]
    ) > _MIN_REPORTED_MEAN * (values[6] + _REPORTED_PRIOR)


def create_estimator(
    clock: Callable[[], float] = deadlines.now,
) -> Estimator:
    """Create an estimator that has observed nothing.

    Args:
        clock: Returns seconds on a monotonic clock.
    """
    return Estimator(clock)
