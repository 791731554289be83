"""Start of ``oleanderpind``: signals are noted before the long imports."""

from typing import NoReturn

from .signals import SIGNALS, end_process


def main() -> NoReturn:
    """Run the daemon, then end the process with its exit code."""
    SIGNALS.install()
    # A signal during this import, which is a long one, is noted.
    from . import daemon  # noqa: WPS433

    end_process(daemon.main())
