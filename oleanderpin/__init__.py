"""oleanderpin: global traffic steering."""

from .core import (
    ConflictError,
    Kernel,
    OleanderpinError,
    Refusal,
    Settings,
    SettingsError,
    UnavailableError,
    ValidationError,
    load_settings,
)

__all__ = (
    'ConflictError',
    'Kernel',
    'OleanderpinError',
    'Refusal',
    'Settings',
    'SettingsError',
    'UnavailableError',
    'ValidationError',
    'load_settings',
)
