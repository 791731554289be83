"""Start of ``oleanderpind``: signals are noted before the long imports."""

from .signals import SIGNALS


def main() -> int:
    """Run the daemon.

    Returns
    -------
    int
        Exit code of the daemon.
    """
    SIGNALS.install()
    # A signal during this import, which is a long one, is noted.
    from . import daemon  # noqa: WPS433

    return daemon.main()
