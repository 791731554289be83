"""Background threads of plug-ins."""

import threading
from pathlib import Path

from ... import daemon  # noqa: F401  registers all plug-ins
from ...core.background import background_thread
from ...testing.fleet import build_fleet


def test_thread_outlives_an_unexpected_error(tmp_path: Path) -> None:
    """Guards against a task that silently ends with its first error.

    The task that finds the version in use ended so, and a bad version got
    requests before its move.
    """
    (kernel,) = build_fleet(['north-a'], data_dir=str(tmp_path))
    has_run_again = threading.Event()
    runs = []

    def loop() -> None:
        runs.append(1)
        if len(runs) == 1:
            raise KeyError('unexpected')
        has_run_again.set()

    thread = background_thread(kernel, loop, name='task')
    thread.start()
    assert has_run_again.wait(60)
    thread.join(60)
    assert not thread.is_alive()


def test_thread_ends_with_its_instance(tmp_path: Path) -> None:
    """Guards against a stopped instance that repeats a failing task."""
    (kernel,) = build_fleet(['north-a'], data_dir=str(tmp_path))

    def loop() -> None:
        kernel.stopping.set()
        raise KeyError('unexpected')

    thread = background_thread(kernel, loop, name='task')
    thread.start()
    thread.join(60)
    assert not thread.is_alive()
