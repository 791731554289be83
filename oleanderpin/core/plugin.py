"""Base class and registry of the plug-ins that the kernel runs."""

from typing import TYPE_CHECKING

from .registry import Registry

if TYPE_CHECKING:
    from .kernel import Kernel


class Plugin:
    """A component of an instance, started and stopped by the kernel.

    Parameters
    ----------
    kernel : Kernel
        Provides the settings, the clock and the other plug-ins.

    Notes
    -----
    ``roles`` names the roles that need the plug-in. Plug-ins start in the
    order of registration and stop in reverse order.
    """

    roles: frozenset[str] = frozenset(('entry', 'control', 'gateway'))

    def __init__(self, kernel: 'Kernel') -> None:
        """Store the kernel; look up other plug-ins in ``start``."""
        self.kernel = kernel

    def start(self) -> None:
        """Start threads and listeners."""

    def drain(self, *, deadline_s: float) -> None:
        """Finish work in progress before ``deadline_s`` (monotonic)."""

    def stop(self) -> None:
        """Stop threads and close files and sockets."""


plugins: Registry[type[Plugin]] = Registry('plug-in')
