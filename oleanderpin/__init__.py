"""oleanderpin: global traffic steering."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
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


def __getattr__(name: str) -> Any:  # noqa: WPS413
    """Return a public name.

    They are imported on first use, since the daemon notes signals before it
    imports them.
    """
    if name not in __all__:
        raise AttributeError(
            f'no public name {name!r}; use one of {sorted(__all__)}'
        )
    from . import core  # noqa: WPS433

    return getattr(core, name)
