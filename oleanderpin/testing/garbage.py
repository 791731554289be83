"""What objects hold that only a collection of cycles would free."""

import gc
from collections.abc import Iterator
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


def body_bytes() -> int:
    """Return the bytes of the bodies of all requests and responses."""
    return sum(
        len(each.body)
        for each in gc.get_objects()
        if isinstance(each, _HOLDERS)
    )
