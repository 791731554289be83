"""Core of an instance: kernel, plug-ins, settings, errors, HTTP and logs."""

from .clock import Clock, MonotonicClock
from .errors import (
    ConflictError,
    OleanderpinError,
    Refusal,
    SettingsError,
    UnavailableError,
    ValidationError,
)
from .kernel import Kernel
from .plugin import Plugin, plugins
from .registry import Registry
from .settings import Settings, load_settings

__all__ = (
    'Clock',
    'ConflictError',
    'Kernel',
    'MonotonicClock',
    'OleanderpinError',
    'Plugin',
    'Refusal',
    'Registry',
    'Settings',
    'SettingsError',
    'UnavailableError',
    'ValidationError',
    'load_settings',
    'plugins',
)
