"""Life cycle of one instance: builds, starts, drains and stops plug-ins."""

import logging
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TypeVar

from .clock import Clock, MonotonicClock
from .memory_budget import MemoryBudget
from .plugin import Plugin, plugins
from .settings import Settings

_LOG = logging.getLogger(__name__)
# A part of the time between the end of a drain and that of the grace period.
_LONG_STEP_S = 0.05

PluginT = TypeVar('PluginT', bound=Plugin)


class Kernel:
    """Builds and holds the plug-ins of one instance.

    Parameters
    ----------
    settings : Settings
        Validated settings of the instance.
    clock : Clock, optional
        Monotonic clock.
    """

    def __init__(
        self, settings: Settings, *, clock: Clock | None = None
    ) -> None:
        """Build the plug-ins that the instance's roles need."""
        self.settings = settings
        self.clock = clock or MonotonicClock()
        self.draining = threading.Event()
        self.stopping = threading.Event()
        # Memory held for callers and targets; used on the event loop only.
        self.memory = MemoryBudget(settings.max_held_bytes)
        self._plugins: dict[type[Plugin], Plugin] = {}
        self._started: list[Plugin] = []
        roles = set(settings.instance.roles)
        for name in plugins:
            plugin_class = plugins.get(name)
            if plugin_class.roles & roles:
                self._plugins[plugin_class] = plugin_class(self)

    def plugin(self, plugin_class: type[PluginT]) -> PluginT:
        """Return the instance's plug-in of the given class.

        Raises
        ------
        KeyError
            If the instance's roles do not include the plug-in.
        """
        return self._plugins[plugin_class]  # type: ignore[return-value]

    def has(self, plugin_class: type[Plugin]) -> bool:
        """Return whether the instance runs the plug-in."""
        return plugin_class in self._plugins

    def start(self) -> None:
        """Start all plug-ins; on failure stop those already started."""
        for plugin in self._plugins.values():
            try:
                plugin.start()
            except Exception:
                self._stop_after_failure()
                raise
            self._started.append(plugin)
        _LOG.info('instance started')

    def drain(self, *, timeout_s: float) -> None:
        """Finish work in progress, waiting at most ``timeout_s`` seconds.

        Raises
        ------
        ExceptionGroup
            If plug-ins failed to drain; the others are drained nonetheless.
        """
        self.draining.set()
        deadline_s = self.clock.now_s() + timeout_s
        failures: list[Exception] = []
        for plugin in reversed(self._started):
            try:
                with self._noted(plugin, 'drain'):
                    plugin.drain(deadline_s=deadline_s)
            except Exception as error:
                failures.append(error)
        if failures:
            raise ExceptionGroup('plug-ins failed to drain', failures)

    def stop(self) -> None:
        """Stop the started plug-ins in reverse order.

        Raises
        ------
        ExceptionGroup
            If plug-ins failed to stop; the others are stopped nonetheless.
        """
        self.stopping.set()
        failures: list[Exception] = []
        while self._started:
            plugin = self._started.pop()
            try:
                with self._noted(plugin, 'stop'):
                    plugin.stop()
            except Exception as error:
                failures.append(error)
        if failures:
            raise ExceptionGroup('plug-ins failed to stop', failures)
        _LOG.info('instance stopped')

    @contextmanager
    def _noted(self, plugin: Plugin, step: str) -> Iterator[None]:
        """Log a step that takes long; the time for a stop is limited."""
        begun_s = self.clock.now_s()
        try:
            yield
        finally:
            took_s = self.clock.now_s() - begun_s
            if took_s >= _LONG_STEP_S:
                _LOG.info(
                    'plug-in took long to %s',
                    step,
                    extra={
                        'plugin': type(plugin).__name__,
                        'took_ms': int(took_s * 1000),
                    },
                )

    def _stop_after_failure(self) -> None:
        try:
            self.stop()
        except ExceptionGroup:
            # The caller gets the failure of the start.
            _LOG.exception('cannot stop after a failed start')

    def wait_while_running(self, duration_s: float) -> bool:
        """Sleep; return False as soon as the instance is stopping."""
        return not self.stopping.wait(duration_s)
