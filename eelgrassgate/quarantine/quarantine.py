"""Quarantine of requests that crash endpoints, shared by all processes.

A suspect is a part of prompts or a whole request; see `evidence`. Each process
records the endpoints that ended under its requests and the suspects of complete
responses, and merges what its peers report. Quarantined suspects are in every
report, so that a process that has restarted learns of them from any peer.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from typing import Final

import msgspec
import xxhash

from eelgrassgate import deadlines
from eelgrassgate import decoding
from eelgrassgate import logs
from eelgrassgate.quarantine import evidence

# How long requests with a blamed suspect are refused.
QUARANTINE_S: Final = 600.0
# How long ends are kept, and for how long a complete response speaks for the
# suspects of its request.
MEMORY_S: Final = 60.0
# How long an end and a complete response are reported to peers.
REPORT_S: Final = 5.0
# A complete response shortly before a suspect was blamed voids the verdict of a
# process that did not know of it.
DISPUTE_S: Final = 5.0
# An endpoint needs longer than this to start again under the same id.
MIN_RESTART_S: Final = 3.0
# Bounds on memory and on the size of reports.
MAX_ENDS: Final = 32
MAX_REPORTED_EXPOSURES: Final = 16
MAX_QUARANTINED: Final = 64
MAX_ANSWERED: Final = 20_000
# Longer ids are not tracked.
MAX_SUSPECT_BYTES: Final = 64


class EndReport(msgspec.Struct, frozen=True, array_like=True):
    """The end of an endpoint `age_s` seconds ago."""

    endpoint: str
    age_s: decoding.Amount
    exposures: tuple[evidence.Exposure, ...]


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What one process tells its peers.

    Attributes:
        ends: Recent ends under its own requests.
        answer_age_s_by_suspect: Seconds since the last complete response, of
            mentioned and quarantined suspects.
        remaining_s_by_suspect: Seconds left of each quarantine.
    """

    ends: tuple[EndReport, ...] = ()
    answer_age_s_by_suspect: dict[str, decoding.Amount] = {}
    remaining_s_by_suspect: dict[str, decoding.Amount] = {}


class Run(msgspec.Struct, frozen=True):
    """A request that was in flight when its endpoint ended.

    Attributes:
        request: Id of the request.
        parts: Ids of the parts of its prompt, without its own.
        sent_at: Monotonic time at which it was sent to the endpoint.
        has_output: Whether it had produced output there.
        fingerprint: Hash that identical requests share; empty for a batch
            item.
    """

    request: str
    parts: tuple[str, ...]
    sent_at: float
    has_output: bool
    fingerprint: str = ""


class Quarantine:
    """The quarantined suspects, and the evidence for further ones.

    Attributes:
        until_by_suspect: Monotonic time at which each quarantine ends.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Initialize without evidence; see `create_quarantine`."""
        self._clock = clock
        self._ends: list[evidence.End] = []
        self._own_ends: list[evidence.End] = []
        self._answered_at_by_suspect: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Parts that reports mention, with the end of the time for which this
        # process reports its complete responses with them.
        self._mentioned_until_by_suspect: dict[str, float] = {}
        self.until_by_suspect: dict[str, float] = {}
        self._listeners: list[Callable[[str, float], None]] = []

    def subscribe(self, listener: Callable[[str, float], None]) -> None:
        """Call `listener(suspect, until)` for changes that this process saw.

        These are suspects blamed for ends under its own requests, and suspects
        released by its own complete responses; `until` is 0 for the latter.
        """
        self._listeners.append(listener)

    def find_quarantined(self, suspects: tuple[str, ...]) -> str | None:
        """Return the first quarantined suspect; None if there is none."""
        if not self.until_by_suspect:
            return None
        now = self._clock()
        for suspect in suspects:
            if self.until_by_suspect.get(suspect, 0.0) > now:
                return suspect
        return None

    def count_quarantined(self) -> int:
        """Return the number of quarantined suspects."""
        return len(self.until_by_suspect)

    def compute_remaining(self, suspect: str) -> float:
        """Return the seconds left of a suspect's quarantine."""
        return max(0.0, self.until_by_suspect.get(suspect, 0.0) - self._clock())

    def is_suspect(self, suspects: tuple[str, ...]) -> bool:
        """Return whether endpoints ended under one of `suspects` repeatedly."""
        answered_at = self._get_answered()
        return any(
            evidence.compute_streak(suspect, self._ends, answered_at).rounds
            >= evidence.MIN_SUSPECT_ROUNDS
            for suspect in suspects
        )

    def record_answer(self, suspects: tuple[str, ...]) -> None:
        """Record a complete response to a request with `suspects`."""
        now = self._clock()
        for suspect in suspects:
            if len(suspect) > MAX_SUSPECT_BYTES:
                continue
            was_quarantined = suspect in self.until_by_suspect
            self._set_answered(suspect, now)
            if was_quarantined:
                self._notify(suspect, 0.0)

    def _set_answered(self, suspect: str, at: float) -> None:
        """Record a complete response, which ends a suspect's quarantine."""
        if at <= self._answered_at_by_suspect.get(suspect, float("-inf")):
            return
        self._answered_at_by_suspect[suspect] = at
        self._answered_at_by_suspect.move_to_end(suspect)
        self._discard_answered()
        until = self.until_by_suspect.get(suspect)
        if until is not None and at > until - QUARANTINE_S - DISPUTE_S:
            del self.until_by_suspect[suspect]
            self._mention(suspect)
            _log_change("released", suspect)

    def _discard_answered(self) -> None:
        """Discard the oldest responses beyond the bounds on age and number."""
        answered = self._answered_at_by_suspect
        oldest = self._clock() - MEMORY_S
        while answered and (
            len(answered) > MAX_ANSWERED
            or next(iter(answered.values())) < oldest
        ):
            answered.popitem(last=False)

    def _notify(self, suspect: str, until: float) -> None:
        for listener in self._listeners:
            listener(suspect, until)

    def record_end(self, endpoint: str, run: Run) -> None:
        """Record that an endpoint ended while `run` was in flight there."""
        now = self._clock()
        exposures_by_suspect = {
            suspect: evidence.Exposure(
                suspect,
                position,
                xxhash.xxh32_intdigest(run.request.encode()),
                round(now - run.sent_at, 3),
                run.has_output,
                run.parts if evidence.is_whole_request(suspect) else (),
            )
            for position, suspect in enumerate(
                evidence.list_suspects(run.parts, run.fingerprint)
            )
            if len(suspect) <= MAX_SUSPECT_BYTES
        }
        if not exposures_by_suspect:
            return
        end = evidence.End(endpoint, now, exposures_by_suspect)
        _add_end(self._own_ends, end)
        self._add_evidence(end)
        self._evaluate()

    def _add_evidence(self, end: evidence.End) -> bool:
        """Add an end; return whether it tells something new."""
        for suspect in end.exposures_by_suspect:
            self._mention(suspect)
        return _add_end(self._ends, end)

    def _mention(self, suspect: str) -> None:
        self._mentioned_until_by_suspect[suspect] = self._clock() + REPORT_S

    def merge_report(self, report: Report) -> None:
        """Merge what a peer has reported."""
        now = self._clock()
        for suspect, age_s in report.answer_age_s_by_suspect.items():
            self._set_answered(suspect, now - age_s)
        for suspect, remaining_s in report.remaining_s_by_suspect.items():
            self.adopt(suspect, now + remaining_s, "peer")
        is_new = False
        for one in report.ends:
            is_new |= self._add_evidence(
                evidence.End(
                    one.endpoint,
                    now - one.age_s,
                    {exposure.suspect: exposure for exposure in one.exposures},
                )
            )
        if is_new:
            self._evaluate()

    def adopt(self, suspect: str, until: float, source: str) -> None:
        """Quarantine a suspect that another process has blamed.

        Args:
            suspect: Id of the suspect.
            until: Monotonic time at which the quarantine ends; at the latest
                `QUARANTINE_S` from now.
            source: Where this process learned of it.
        """
        until = min(until, self._clock() + QUARANTINE_S)
        if suspect in self.until_by_suspect or until <= self._clock():
            return
        answered_at = self._answered_at_by_suspect.get(suspect, float("-inf"))
        if answered_at > until - QUARANTINE_S - DISPUTE_S:
            # The peer releases the suspect when it hears of this response.
            self._mention(suspect)
            return
        self._set_quarantined(suspect, until, source)

    def _set_quarantined(self, suspect: str, until: float, source: str) -> None:
        if len(self.until_by_suspect) >= MAX_QUARANTINED:
            oldest = min(
                self.until_by_suspect, key=self.until_by_suspect.__getitem__
            )
            del self.until_by_suspect[oldest]
        self.until_by_suspect[suspect] = until
        _log_change(
            "quarantined",
            suspect,
            source=source,
            ends=[
                end.endpoint
                for end in self._ends
                if suspect in end.exposures_by_suspect
            ],
            quarantined=len(self.until_by_suspect),
        )

    def _evaluate(self) -> None:
        """Quarantine the suspects that explain the known ends."""
        self._discard_old()
        now = self._clock()
        for suspect in evidence.find_culprits(
            self._ends, self._get_answered(), self.until_by_suspect
        ):
            self._set_quarantined(suspect, now + QUARANTINE_S, "evidence")
            if any(
                suspect in end.exposures_by_suspect for end in self._own_ends
            ):
                self._notify(suspect, now + QUARANTINE_S)

    def _discard_old(self) -> None:
        now = self._clock()
        for ends in (self._ends, self._own_ends):
            ends[:] = [end for end in ends if end.at > now - MEMORY_S]
        for suspect, until in list(self.until_by_suspect.items()):
            if until <= now:
                del self.until_by_suspect[suspect]
                _log_change("released", suspect)
        for suspect, until in list(self._mentioned_until_by_suspect.items()):
            if until <= now:
                del self._mentioned_until_by_suspect[suspect]

    def _get_answered(self) -> Mapping[str, float]:
        """Return recent complete responses of the suspects under evidence."""
        oldest = self._clock() - MEMORY_S
        suspects = {
            suspect
            for end in self._ends
            for suspect in end.exposures_by_suspect
        }
        return {
            suspect: self._answered_at_by_suspect[suspect]
            for suspect in suspects
            if self._answered_at_by_suspect.get(suspect, 0.0) > oldest
        }

    def build_report(self) -> Report:
        """Return what to tell the peers."""
        if not (
            self._own_ends
            or self.until_by_suspect
            or self._mentioned_until_by_suspect
        ):
            return Report()
        self._discard_old()
        now = self._clock()
        answered = self._answered_at_by_suspect
        return Report(
            tuple(
                EndReport(
                    end.endpoint,
                    round(now - end.at, 2),
                    self._list_likeliest_causes(end),
                )
                for end in self._own_ends
                if end.at > now - REPORT_S
            ),
            {
                suspect: round(now - answered[suspect], 2)
                for suspect in self._mentioned_until_by_suspect
                if answered.get(suspect, 0.0) > now - MEMORY_S
            },
            {
                suspect: round(until - now, 1)
                for suspect, until in self.until_by_suspect.items()
            },
        )

    def _list_likeliest_causes(
        self, end: evidence.End
    ) -> tuple[evidence.Exposure, ...]:
        """Return as many exposures as a report holds, likeliest first."""
        answered = self._answered_at_by_suspect
        exposures = sorted(
            (
                exposure
                for exposure in end.exposures_by_suspect.values()
                if answered.get(exposure.suspect, 0.0) < end.at
            ),
            key=lambda one: (
                one.has_output,
                not evidence.is_whole_request(one.suspect),
            ),
        )
        return tuple(exposures[:MAX_REPORTED_EXPOSURES])


def _log_change(change: str, suspect: str, **fields: object) -> None:
    kind = "prompt part"
    if evidence.is_whole_request(suspect):
        kind = "request"
    logs.log_message(f"{kind} {change}", suspect=suspect, **fields)


def _add_end(ends: list[evidence.End], end: evidence.End) -> bool:
    """Add an end in order of time, or merge it with what is known of it.

    Returns:
        Whether anything changed.
    """
    for index, known in enumerate(ends):
        if (
            known.endpoint == end.endpoint
            and abs(known.at - end.at) < MIN_RESTART_S
        ):
            ends[index] = _merge_ends(known, end)
            return ends[index] != known
    if len(ends) == MAX_ENDS:
        if end.at <= ends[0].at:
            return False
        del ends[0]
    ends.append(end)
    ends.sort(key=lambda one: one.at)
    return True


def _merge_ends(known: evidence.End, other: evidence.End) -> evidence.End:
    merged = dict(known.exposures_by_suspect)
    for suspect, exposure in other.exposures_by_suspect.items():
        previous = merged.get(suspect)
        merged[suspect] = (
            exposure
            if previous is None
            else evidence.merge_exposures(previous, exposure)
        )
    return evidence.End(known.endpoint, known.at, merged)


def create_quarantine(
    clock: Callable[[], float] = deadlines.now,
) -> Quarantine:
    """Create a quarantine without evidence.

    Args:
        clock: Returns seconds on a monotonic clock.
    """
    return Quarantine(clock)
