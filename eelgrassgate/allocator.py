"""Settings of the C library's memory allocator."""

import ctypes
from typing import Final

# `mallopt` parameters of glibc.
_M_TRIM_THRESHOLD: Final = -1
_M_MMAP_THRESHOLD: Final = -3
# Blocks from this size on are mapped one by one, so that freeing a body gives
# its memory back; setting it also keeps glibc from raising it.
MMAP_THRESHOLD_BYTES: Final = 131_072
# Free memory at the end of the heap beyond this is given back.
TRIM_THRESHOLD_BYTES: Final = 1_048_576


def limit_retention() -> None:
    """Make the allocator give large freed blocks back to the system.

    Has no effect with C libraries other than glibc.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    mallopt(_M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)
