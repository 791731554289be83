"""What objects hold that only a collection of cycles would free."""

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ..gateway.incoming_request import IncomingRequest
from ..gateway.messages import CallerRequest, Response, TargetResponse

_HOLDERS = (CallerRequest, IncomingRequest, Response, TargetResponse)


@contextmanager
def no_collections() -> Iterator[None]:
    """Free objects by their reference counts only until the block ends."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


@contextmanager
def traced_memory() -> Iterator[Callable[[], int]]:
    """Free objects by their reference counts only, and measure what stays.

    Yields
    ------
    callable
        Returns the bytes allocated since the block began and not freed.
    """
    with no_collections():
        tracemalloc.start()
        try:
            yield lambda: tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()


def body_bytes() -> int:
    """Return the bytes of the bodies of all requests and responses."""
    return sum(
        len(each.body)
        for each in gc.get_objects()
        if isinstance(each, _HOLDERS)
    )
