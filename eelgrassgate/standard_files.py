"""The standard files of a process: input, output and errors."""

import os
import sys
from typing import Final
from typing import Literal
from typing import TextIO

_LAST_DESCRIPTOR: Final = 2


def open_closed_files() -> None:
    """Open the standard files that are closed, on the null device.

    The next connection would get such a descriptor, and with it whatever is
    printed or logged.
    """
    for descriptor in range(_LAST_DESCRIPTOR + 1):
        try:
            os.fstat(descriptor)
        except OSError:
            # Opens the lowest free descriptor, which is this one.
            os.open(os.devnull, os.O_RDWR)
    # The interpreter has none of them for a closed descriptor.
    sys.stdin = sys.stdin or _wrap(0, "r")
    sys.stdout = sys.stdout or _wrap(1, "w")
    sys.stderr = sys.stderr or _wrap(2, "w")


def _wrap(descriptor: int, mode: Literal["r", "w"]) -> TextIO:
    return open(descriptor, mode, encoding="utf-8", closefd=False)
