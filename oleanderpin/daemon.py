"""Entry point of ``oleanderpind``, the daemon of an instance."""

import sys

from .signals import SIGNALS, end_process

if __name__ == '__main__':
    # A signal during the imports below, which take long, is noted.
    SIGNALS.install()

import argparse
import logging
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
from .core.allocator import (
    LARGE_RETURNED_BLOCK_BYTES,
    RETURNED_BLOCK_BYTES,
    return_freed_memory,
)
from .core.errors import SettingsError
from .core.kernel import Kernel
from .core.logs import configure_logs, log_unhandled_errors
from .core.settings import Settings, load_settings
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
_CONTROL = 'control'
_EXIT_SETTINGS = 2
_EXIT_START_FAILED = 1
_EXIT_STOP_FAILED = 3


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
        the settings are not valid, 3 if a plug-in failed to drain or stop.
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
    log_unhandled_errors()
    return_freed_memory(
        RETURNED_BLOCK_BYTES
        if _CONTROL in settings.instance.roles
        else LARGE_RETURNED_BLOCK_BYTES
    )
    exit_code = _run(settings)
    _LOG.info('process ends', extra={'exit_code': exit_code})
    return exit_code


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='oleanderpind')
    parser.add_argument('--settings', type=Path, help='INI settings file')
    parser.add_argument(
        'command', nargs='?', choices=['check'], help='check FILE and exit'
    )
    parser.add_argument('file', nargs='?', type=Path)
    return parser


def _run(settings: Settings) -> int:
    SIGNALS.install()
    is_stop_logged = threading.Event()
    threading.Thread(
        target=_log_signals, args=(is_stop_logged,), name='signals', daemon=True
    ).start()
    if SIGNALS.is_stop_received:
        is_stop_logged.wait()
        return 0
    try:
        kernel = _start(settings)
    except Exception:
        _LOG.exception('cannot start the instance')
        return _EXIT_START_FAILED
    SIGNALS.wait_for_stop()
    is_stop_logged.wait()
    return _stop(kernel)


def _stop(kernel: Kernel) -> int:
    """Drain and stop; a failure of one does not keep the other from running."""
    exit_code = 0
    timeout_s = kernel.settings.forwarding.drain_timeout_s
    begun_s = kernel.clock.now_s()
    _LOG.info('drain begun', extra={'timeout_s': timeout_s})
    try:
        kernel.drain(timeout_s=timeout_s)
    except Exception:
        _LOG.exception('drain failed')
        exit_code = _EXIT_STOP_FAILED
    took_s = kernel.clock.now_s() - begun_s
    _LOG.info('drain done', extra={'took_ms': int(took_s * 1000)})
    try:
        kernel.stop()
    except Exception:
        _LOG.exception('stop failed')
        exit_code = _EXIT_STOP_FAILED
    return exit_code


def _start(settings: Settings) -> Kernel:
    kernel = Kernel(settings)
    kernel.start()
    return kernel


def _log_signals(is_stop_logged: threading.Event) -> None:
    """Log signals, also while the instance starts or drains."""
    while True:
        received = SIGNALS.wait()
        # SIGHUP: settings contain only addresses and identity; they are read
        # at startup.
        _LOG.info(
            'signal received',
            extra={
                'signal': received.name,
                'age_ms': received.age_ms,
                'is_ignored': not received.is_stop,
            },
        )
        if received.is_stop:
            is_stop_logged.set()


if __name__ == '__main__':
    end_process(main())
