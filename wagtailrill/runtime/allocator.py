"""Makes the C library return the memory of large bodies to the system."""

import ctypes
from typing import Final

# Parameter of `mallopt` in glibc's malloc.h.
_M_MMAP_THRESHOLD: Final = -3
# Larger blocks are mapped by themselves. Otherwise the library raises this size up to
# 32 MB as blocks are freed, and the gaps that bodies leave in the heap stay in use. The
# event loop's reads of 256 KB are smaller, as mapping each would cost time.
MAPPED_BLOCK_MIN_BYTES: Final = 327_680


def map_large_blocks() -> bool:
    """Let large blocks be mapped; return whether the C library can do that."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(mallopt(_M_MMAP_THRESHOLD, MAPPED_BLOCK_MIN_BYTES))
