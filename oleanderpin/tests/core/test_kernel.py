"""Failures: an error of one plug-in ends the graceful shutdown of the others."""

import asyncio
import logging
import threading
from types import SimpleNamespace
from typing import Any

import pytest

from oleanderpin import daemon
from oleanderpin.core.event_loop import EventLoop
from oleanderpin.core.kernel import Kernel
from oleanderpin.core.logs import log_unhandled_errors
from oleanderpin.core.plugin import Plugin, plugins
from oleanderpin.testing import ManualClock


class _Recorder(Plugin):
    """Notes what it is asked to do, and fails where it is told to."""

    fails_in: frozenset[str] = frozenset()
    slow_in = ''

    def __init__(self, kernel: Any) -> None:
        """Start without calls."""
        super().__init__(kernel)
        self.calls: list[str] = []

    def start(self) -> None:
        """Note the start."""
        self._note('start')

    def drain(self, *, deadline_s: float) -> None:
        """Note the drain."""
        self._note('drain')

    def stop(self) -> None:
        """Note the stop."""
        self._note('stop')

    def _note(self, call: str) -> None:
        self.calls.append(call)
        if call == self.slow_in:
            self.kernel.clock.advance(0.5)
        if call in self.fails_in:
            raise RuntimeError(f'{call} fails')


class _First(_Recorder):
    """Is drained last."""


class _Last(_Recorder):
    """Is drained first."""


@pytest.fixture
def kernel(monkeypatch: pytest.MonkeyPatch) -> Kernel:
    """A kernel with two plug-ins."""
    monkeypatch.setattr(plugins, '_entries', {}, raising=False)
    settings: Any = SimpleNamespace(
        instance=SimpleNamespace(roles=('gateway',)),
        forwarding=SimpleNamespace(drain_timeout_s=1.0),
        max_held_bytes=1,
    )
    made = Kernel(settings)
    made._plugins = {_First: _First(made), _Last: _Last(made)}
    return made


def test_failed_drain_of_a_plugin_does_not_skip_the_others(
    kernel: Kernel,
) -> None:
    """Guards against requests that are lost for an error elsewhere."""
    kernel.start()
    kernel.plugin(_Last).fails_in = frozenset(('drain',))
    with pytest.raises(ExceptionGroup, match='failed to drain'):
        kernel.drain(timeout_s=1)
    assert kernel.plugin(_First).calls == ['start', 'drain']


@pytest.mark.parametrize('step', ['drain', 'stop'])
def test_failed_step_is_logged_and_the_rest_runs(
    kernel: Kernel, caplog: pytest.LogCaptureFixture, step: str
) -> None:
    """Guards against an end without a line and without a graceful stop."""
    kernel.start()
    kernel.plugin(_Last).fails_in = frozenset((step,))
    with caplog.at_level(logging.INFO):
        assert daemon._stop(kernel) == 3
    assert kernel.plugin(_First).calls == ['start', 'drain', 'stop']
    assert kernel.plugin(_Last).calls == ['start', 'drain', 'stop']
    messages = [each.getMessage() for each in caplog.records]
    assert {'drain begun', f'{step} failed', 'drain done'} <= set(messages)


def test_failed_start_is_what_the_caller_gets(kernel: Kernel) -> None:
    """Guards against a cause that an error of the clean-up hides."""
    kernel.plugin(_Last).fails_in = frozenset(('start',))
    kernel.plugin(_First).fails_in = frozenset(('stop',))
    with pytest.raises(RuntimeError, match='start fails'):
        kernel.start()


@pytest.mark.parametrize('step', ['drain', 'stop'])
def test_long_step_names_its_plugin(
    kernel: Kernel, caplog: pytest.LogCaptureFixture, step: str
) -> None:
    """Guards against a stop beyond the grace period that nothing explains."""
    kernel.clock = ManualClock()
    kernel.start()
    kernel.plugin(_Last).slow_in = step
    with caplog.at_level(logging.INFO):
        daemon._stop(kernel)
    message = f'plug-in took long to {step}'
    [line] = [each for each in caplog.records if each.getMessage() == message]
    assert (line.plugin, line.took_ms) == ('_Last', 500)


def test_error_of_a_thread_is_a_log_line(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a thread that ends without a line in the log."""
    for module, name in (
        ('threading', 'excepthook'),
        ('sys', 'excepthook'),
        ('sys', 'unraisablehook'),
    ):
        # Put back after the test.
        monkeypatch.setattr(f'{module}.{name}', None)
    log_unhandled_errors()

    def fail() -> None:
        raise RuntimeError('thread fails')

    thread = threading.Thread(target=fail, name='failing')
    thread.start()
    thread.join()
    [line] = caplog.records
    assert line.getMessage() == 'unhandled error ended thread failing'
    assert line.exc_info is not None


def test_event_loop_goes_on_after_an_error_that_ends_it(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a process that lives on but answers nothing.

    An error outside of Exception in a callback ends ``run_forever``.
    """
    kernel: Any = SimpleNamespace(stopping=threading.Event())
    loop = EventLoop(kernel)
    loop.start()

    def fail() -> None:
        raise SystemExit('callback fails')

    loop.loop.call_soon_threadsafe(fail)
    result = loop.submit(asyncio.sleep(0.01, 'answered'))
    assert result.result(timeout=5) == 'answered'
    kernel.stopping.set()
    loop.stop()
    assert 'event loop failed and goes on' in caplog.text
