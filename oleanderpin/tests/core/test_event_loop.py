"""The event loop after its instance has stopped."""

import os
from collections.abc import Iterator
from concurrent.futures import CancelledError
from pathlib import Path

import pytest

from ...core.event_loop import EventLoop
from ...core.kernel import Kernel
from ...testing.gateway import configuration, started_gateway
from ..control.group import wait_until

_WAIT_S = 10.0


async def _one() -> int:
    return 1


def _descriptors() -> set[str]:
    return set(os.listdir('/proc/self/fd'))


@pytest.fixture
def stopped(tmp_path: Path) -> Iterator[Kernel]:
    with started_gateway(tmp_path, configuration()) as gateway:
        kernel = gateway.kernel
        assert kernel.plugin(EventLoop).run(_one()) == 1
    yield kernel


def test_call_to_a_stopped_loop_is_cancelled(stopped: Kernel) -> None:
    """Guards against a thread that waits for a loop that runs no longer."""
    with pytest.raises(CancelledError):
        stopped.plugin(EventLoop).submit(_one()).result(timeout=_WAIT_S)


def test_stopped_instance_leaves_no_descriptors(tmp_path: Path) -> None:
    """Guards against a process that starts instances and uses up descriptors."""
    before = _descriptors()
    with started_gateway(tmp_path, configuration()):
        assert _descriptors() - before
    wait_until('descriptors', lambda: not _descriptors() - before)
