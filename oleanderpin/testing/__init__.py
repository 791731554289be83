"""Public helpers for tests of code that embeds this package."""

from .builders import free_network, free_ports, settings_text
from .clock import ManualClock
from .scripted import ScriptedConnection, ScriptedTarget, answer_all
from .targets import FakeTarget

__all__ = (
    'FakeTarget',
    'ManualClock',
    'ScriptedConnection',
    'ScriptedTarget',
    'answer_all',
    'free_network',
    'free_ports',
    'settings_text',
)
