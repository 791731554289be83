"""Memory of requests whose senders have left."""

import asyncio
import threading
from types import SimpleNamespace
from typing import Any

import pytest
from adapter.control_interface import ControlInterface

from oleanderpin.gateway.messages import CallerRequest
from oleanderpin.testing.garbage import traced_memory

MB = 1024 * 1024
SENDERS = 20


def test_queued_changes_of_senders_that_have_left_are_freed() -> None:
    """Guards against bodies that wait for a thread, and are not counted."""
    kernel: Any = SimpleNamespace(plugin=lambda _plugin: None)
    interface = ControlInterface(kernel)
    released = threading.Event()
    interface._large_thread.submit(released.wait)

    async def leave_while_queued() -> None:
        request = CallerRequest(b'PUT', b'/config', [], 0.0, body=bytes(MB))
        change: Any = interface.run_change(request, lambda: len(request.body))
        task = asyncio.get_running_loop().create_task(change)
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    async def leave_all() -> None:
        for _sender in range(SENDERS):
            await leave_while_queued()

    with traced_memory() as traced_bytes:
        asyncio.run(leave_all())
        held_bytes = traced_bytes()
    released.set()
    assert held_bytes < MB
