"""Time-outs of remote parties on a loop that is prompt, or late."""

import asyncio

import pytest
import uvloop

from ...core.lateness import watch_lateness
from ...core.remote_timeout import RemoteTimeout
from ...testing import ManualClock

_TIMEOUT_S = 0.05
_LATE_S = 30.0


async def _wait(duration_s: float, *, late_s: float, is_extended: bool) -> None:
    clock = ManualClock()
    watch_lateness(asyncio.get_running_loop(), clock)
    async with RemoteTimeout(_TIMEOUT_S, is_extended=is_extended):
        clock.advance(late_s)
        await asyncio.sleep(duration_s)


def test_lateness_does_not_count() -> None:
    """Guards against a remote party blamed for a delay of the own loop."""
    uvloop.run(_wait(_TIMEOUT_S * 4, late_s=_LATE_S, is_extended=True))


@pytest.mark.parametrize(
    ('late_s', 'is_extended'), [(0.0, True), (_LATE_S, False)]
)
def test_silence_ends(late_s: float, is_extended: bool) -> None:
    """Guards against time-outs that a prompt loop, or a deadline, never ends."""
    with pytest.raises(TimeoutError):
        uvloop.run(_wait(20.0, late_s=late_s, is_extended=is_extended))


def test_cancellation_is_passed_on() -> None:
    """Guards against a cancelled task that is taken for a silent party."""

    async def run() -> None:
        task = asyncio.create_task(
            _wait(20.0, late_s=_LATE_S, is_extended=True)
        )
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    uvloop.run(run())
