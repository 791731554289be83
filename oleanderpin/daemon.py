"""Entry point of ``oleanderpind``, the daemon of an instance."""

import argparse
import logging
import signal
import sys
import threading
from pathlib import Path

from .control import (  # noqa: F401
    authority,
    configuration,
    distribution,
    leader,
    log,
    view,
)
from .core import event_loop, process_usage  # noqa: F401
from .core.errors import SettingsError
from .core.kernel import Kernel
from .core.logs import configure_logs
from .core.settings import load_settings
from .forwarding import attempts, idempotency_store, pipeline  # noqa: F401
from .gateway import load_reports  # noqa: F401
from .gateway import plugin as gateway  # noqa: F401
from .limits import (  # noqa: F401
    allocator,
    fair_queue,
    limiter,
    part_handover,
    part_owner,
    shares,
)
from .lookup import answer, gateways  # noqa: F401
from .membership import peers  # noqa: F401
from .moves import baseline, controller, drains, reporting, split, stats  # noqa: F401
from .operators import actions, admin, members  # noqa: F401
from .operators import drains as drain_routes  # noqa: F401
from .routing import lending, links, region_loads, router  # noqa: F401
from .targets import departures, exchange, table  # noqa: F401
from .wire import datagrams, network, server  # noqa: F401

_LOG = logging.getLogger(__name__)
_EXIT_SETTINGS = 2
_EXIT_START_FAILED = 1


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon until SIGTERM or SIGINT.

    Parameters
    ----------
    arguments : list of str, optional
        Command line without the program name.

    Returns
    -------
    int
        0 after a graceful shutdown, 1 if the instance could not start, 2 if
        the settings are not valid.
    """
    parsed = _parser().parse_args(arguments)
    path = parsed.file or parsed.settings
    if path is None:
        _parser().error('give --settings FILE or check FILE')
    try:
        settings = load_settings(path)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return _EXIT_SETTINGS
    if parsed.command == 'check':
        sys.stdout.write(f'{path}: valid\n')
        return 0
    configure_logs(
        instance=settings.instance.name,
        level=settings.log.level,
        stream=settings.log.stream,
    )
    return _run(Kernel(settings))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='oleanderpind')
    parser.add_argument('--settings', type=Path, help='INI settings file')
    parser.add_argument(
        'command', nargs='?', choices=['check'], help='check FILE and exit'
    )
    parser.add_argument('file', nargs='?', type=Path)
    return parser


def _run(kernel: Kernel) -> int:
    stopped = threading.Event()

    def stop(*_ignored: object) -> None:
        stopped.set()

    def log_ignored_reload(*_ignored: object) -> None:
        # Settings contain only addresses and identity; they are read at
        # startup.
        _LOG.info('SIGHUP ignored: settings are only read at startup')

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, stop)
    signal.signal(signal.SIGHUP, log_ignored_reload)
    try:
        kernel.start()
    except Exception:
        _LOG.exception('cannot start the instance')
        return _EXIT_START_FAILED
    stopped.wait()
    kernel.drain(timeout_s=kernel.settings.forwarding.drain_timeout_s)
    kernel.stop()
    return 0


if __name__ == '__main__':
    sys.exit(main())
