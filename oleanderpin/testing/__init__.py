"""Public helpers for tests of code that embeds this package."""

from .builders import free_ports, settings_text
from .clock import ManualClock
from .targets import FakeTarget

__all__ = ('FakeTarget', 'ManualClock', 'free_ports', 'settings_text')
