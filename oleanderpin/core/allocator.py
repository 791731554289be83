"""Memory that the C library's allocator keeps after it was freed.

Load pattern: clients make many threads hold large messages for a short time.
Each thread's arena would keep what it has freed, and no other thread could use it.

Fault: targets respond without end. What a gateway frees when it gives a response
up would lie between blocks in use, too small for the next one.
"""

import ctypes

from .metrics import EVENTS

# Parameters of mallopt(3).
_MMAP_THRESHOLD = -3
_ARENA_MAX = -8
# Blocks of this size are returned to the system when they are freed. By default
# the threshold rises to the size of any larger block that was freed.
RETURNED_BLOCK_BYTES = 131072
# For processes that pass bodies on: getting a block from the system takes longer.
LARGE_RETURNED_BLOCK_BYTES = 1048576
_MAX_ARENAS = 2


def return_freed_memory(block_bytes: int = RETURNED_BLOCK_BYTES) -> None:
    """Let all threads share arenas, and return large blocks to the system.

    Call it before the threads start. Elsewhere than with the GNU C library it
    does nothing.

    Parameters
    ----------
    block_bytes : int
        Size from which blocks are returned when they are freed.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        EVENTS.labels('process', 'allocator_unknown').inc()
        return
    set_option(_ARENA_MAX, _MAX_ARENAS)
    set_option(_MMAP_THRESHOLD, block_bytes)
