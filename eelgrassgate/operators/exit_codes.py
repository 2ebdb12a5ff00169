"""Exit codes of the command line."""

from typing import Final

OK: Final = 0
FINDINGS: Final = 1
USAGE: Final = 2
STALE: Final = 3
UNAVAILABLE: Final = 4
UNKNOWN: Final = 5
PENDING: Final = 6
NOT_DRAINED: Final = 7
ADDRESS_UNAVAILABLE: Final = 8

MEANINGS: Final = {
    OK: "done; for a daemon, a graceful shutdown",
    FINDINGS: "refused, with all findings printed; nothing was changed",
    USAGE: "the command line is wrong",
    STALE: "refused: someone else changed it since; nothing was changed",
    UNAVAILABLE: "the store or the entry was not reached; nothing was changed",
    UNKNOWN: "no reply arrived: the change may have been made; check the state",
    PENDING: "changed in the store, but not yet in force everywhere",
    NOT_DRAINED: "a daemon's shutdown ended with requests still in flight",
    ADDRESS_UNAVAILABLE: "an address that a daemon needs stayed taken",
}
