"""Infers from ended endpoints which requests crash them.

A suspect is a part of a prompt, or a whole request that comes again, known by
its fingerprint. It is blamed if it was in flight at several endpoints when they
ended, one after the other, and no request with it has been answered completely
since. One suspect explains an end: those of other requests at the same
endpoints are not blamed for it. Endpoints that end together count once, since
no request was sent to one of them because another had ended. Endpoints that end
without a part meanwhile speak for an outage.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Final

import msgspec

from eelgrassgate import decoding

# Consecutive ends after which a suspect is blamed if it explains all ends
# meanwhile; if it explains a fraction of them, so many more are needed.
MIN_ROUNDS: Final = 4
# The same for a suspect that was in a complete response recently.
MIN_TRUSTED_ROUNDS: Final = 6
# Consecutive ends after which a request with the suspect is not sent again.
MIN_SUSPECT_ROUNDS: Final = 2
# Different request ids that must have been in flight at the ends for a part to
# be blamed. With a single one, the rest of the request may be the cause.
MIN_REQUESTS: Final = 2
# Number of ends from which parts that were in flight at exactly the same ends
# are told apart by their position; below, further ends are awaited.
MIN_TIED_ENDS: Final = 5
# Begins the id of a whole request, so that it is never taken for a part's.
REQUEST_PREFIX: Final = "request:"


def list_suspects(parts: tuple[str, ...], fingerprint: str) -> tuple[str, ...]:
    """Return what may be blamed for the end of a request's endpoint.

    Args:
        parts: Ids of the shared parts of its prompt.
        fingerprint: Hash that identical requests share; empty for a request
            that is not blamed as a whole.
    """
    if not fingerprint:
        return parts
    return *parts, REQUEST_PREFIX + fingerprint


def is_whole_request(suspect: str) -> bool:
    """Return whether a suspect is a request rather than a part of prompts."""
    return suspect.startswith(REQUEST_PREFIX)


class Exposure(msgspec.Struct, frozen=True, array_like=True):
    """A suspect in flight at an endpoint when the endpoint ended.

    Attributes:
        suspect: Id of the prompt part or request.
        position: Index of the part in its prompt; a request comes after all.
        request: Hash of the id of the request that was sent last.
        lead_s: Seconds from sending that request to the end.
        has_output: Whether all requests with the suspect had produced output at
            this endpoint.
        parts: Ids of the parts of a whole request's prompt.
    """

    suspect: str
    position: int
    request: int
    lead_s: decoding.Amount
    has_output: bool
    parts: tuple[str, ...] = ()


class End(msgspec.Struct, frozen=True):
    """The end of an endpoint.

    Attributes:
        endpoint: Id of the endpoint.
        at: Monotonic time in seconds.
        exposures_by_suspect: The suspects in flight.
    """

    endpoint: str
    at: float
    exposures_by_suspect: Mapping[str, Exposure]


def merge_exposures(first: Exposure, second: Exposure) -> Exposure:
    """Combine what two requests tell about one suspect at the same end."""
    last_sent = min(first, second, key=lambda one: one.lead_s)
    return msgspec.structs.replace(
        last_sent, has_output=first.has_output and second.has_output
    )


class Streak(msgspec.Struct, frozen=True):
    """Ends under one suspect since its last complete response.

    Attributes:
        suspect: Id of the suspect.
        endpoints: Ids of the endpoints.
        rounds: Number of ends in a row: before each, a request with the suspect
            was sent after the one before.
        requests: Hashes of different requests.
        is_trusted: Whether a response with the suspect was complete recently.
        position: Index of the suspect in its prompt.
        coverage: Fraction of all ends meanwhile that the suspect explains.
    """

    suspect: str
    endpoints: frozenset[str]
    rounds: int
    requests: frozenset[int]
    is_trusted: bool
    position: int
    coverage: float

    def is_conclusive(self) -> bool:
        """Return whether the ends suffice to blame the suspect.

        Other ends meanwhile don't speak for a whole request: an outage seldom
        ends the endpoints of one request again and again.
        """
        needed = MIN_TRUSTED_ROUNDS if self.is_trusted else MIN_ROUNDS
        if is_whole_request(self.suspect):
            return self.rounds >= needed
        return (
            self.rounds * self.coverage >= needed
            and len(self.requests) >= MIN_REQUESTS
        )


def compute_streak(
    suspect: str, ends: Iterable[End], answered_at: Mapping[str, float]
) -> Streak:
    """Return the ends under a suspect.

    Args:
        suspect: Id of the suspect.
        ends: All known ends, in order of time.
        answered_at: Monotonic time of the last complete response by suspect.
    """
    endpoints: set[str] = set()
    requests: set[int] = set()
    rounds = 0
    others = 0
    unexplained = 0
    position = 0
    counted_until = float("-inf")
    for end in ends:
        exposure = end.exposures_by_suspect.get(suspect)
        if exposure is None or not _is_suspect(end, exposure, answered_at):
            unexplained += bool(endpoints)
            continue
        others = unexplained
        position = exposure.position
        endpoints.add(end.endpoint)
        requests.add(exposure.request)
        if end.at - exposure.lead_s > counted_until:
            rounds += 1
            counted_until = end.at
    return Streak(
        suspect,
        frozenset(endpoints),
        rounds,
        frozenset(requests),
        suspect in answered_at,
        position,
        len(endpoints) / max(1, len(endpoints) + others),
    )


def _is_suspect(
    end: End, exposure: Exposure, answered_at: Mapping[str, float]
) -> bool:
    """Return whether a suspect may have caused an end.

    A response that had begun speaks for its suspects, unless no request without
    output was in flight that could be the cause.
    """
    if _is_cleared(end, exposure.suspect, answered_at):
        return False
    if not exposure.has_output:
        return True
    return exposure.suspect not in answered_at and all(
        other.has_output or _is_cleared(end, other.suspect, answered_at)
        for other in end.exposures_by_suspect.values()
    )


def _is_cleared(
    end: End, suspect: str, answered_at: Mapping[str, float]
) -> bool:
    return answered_at.get(suspect, float("-inf")) > end.at


def find_culprits(
    ends: Collection[End],
    answered_at: Mapping[str, float],
    convicted: Collection[str] = (),
) -> list[str]:
    """Return the suspects to blame, each for the ends that only it explains.

    Args:
        ends: All known ends, in order of time.
        answered_at: Monotonic time of the last complete response by suspect.
        convicted: Suspects that are blamed already; they explain their ends.
    """
    culprits: list[str] = []
    blamed = set(convicted)
    while True:
        culprit = _find_culprit(ends, answered_at, blamed)
        if culprit is None:
            return culprits
        culprits.append(culprit)
        blamed.add(culprit)


def _find_culprit(
    ends: Collection[End],
    answered_at: Mapping[str, float],
    blamed: Collection[str],
) -> str | None:
    """Return the suspect that explains most ends; None if that is unclear."""
    counts = collections.Counter(
        suspect for end in ends for suspect in end.exposures_by_suspect
    )
    streaks = [
        streak
        for streak in (
            _compute_evidence(suspect, ends, answered_at, blamed)
            for suspect in sorted(counts)
            if counts[suspect] >= MIN_ROUNDS and suspect not in blamed
        )
        if streak.is_conclusive()
    ]
    if not streaks:
        return None
    streaks.sort(key=_get_rank, reverse=True)
    best = streaks[0]
    tied = [
        other
        for other in streaks[1:]
        if _get_rank(other)[:2] == _get_rank(best)[:2]
        and not other.endpoints.isdisjoint(best.endpoints)
    ]
    if not tied:
        return best.suspect
    is_narrower = all(_get_scope(other) < _get_scope(best) for other in tied)
    is_enough = (
        is_whole_request(best.suspect) or len(best.endpoints) >= MIN_TIED_ENDS
    )
    return best.suspect if is_enough and is_narrower else None


def _compute_evidence(
    suspect: str,
    ends: Collection[End],
    answered_at: Mapping[str, float],
    blamed: Collection[str],
) -> Streak:
    """Return the ends under a suspect that blamed ones don't explain.

    If some are left, it may be to blame for others as well: a request for ends
    under a blamed request, and a part for ends under a request that has it.
    """
    unexplained = [end for end in ends if not _list_exposures(end, blamed)]
    streak = compute_streak(suspect, unexplained, answered_at)
    is_request = is_whole_request(suspect)
    if streak.rounds < MIN_SUSPECT_ROUNDS or not (
        is_request or len(streak.requests) >= MIN_REQUESTS
    ):
        return streak
    shared = [
        end
        for end in ends
        if all(
            is_whole_request(one.suspect)
            and (is_request or suspect in one.parts)
            for one in _list_exposures(end, blamed)
        )
    ]
    return compute_streak(suspect, shared, answered_at)


def _list_exposures(end: End, suspects: Collection[str]) -> list[Exposure]:
    return [
        exposure
        for suspect, exposure in end.exposures_by_suspect.items()
        if suspect in suspects
    ]


def _get_rank(streak: Streak) -> tuple[bool, int, tuple[bool, int]]:
    return not streak.is_trusted, len(streak.endpoints), _get_scope(streak)


def _get_scope(streak: Streak) -> tuple[bool, int]:
    """Return a key that orders suspects from wide to narrow.

    Among suspects with the same evidence, the narrower one is the likelier
    cause. Fewer requests share a later part of a prompt; a whole request is
    narrower than any part, and not comparable with other requests.
    """
    if is_whole_request(streak.suspect):
        return True, 0
    return False, streak.position
