"""Failures: a signal ends the process without a line, or is not noticed."""

import json
import os
import signal
import subprocess
import sys
import sysconfig
import time
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from oleanderpin.testing import free_network
from oleanderpin.testing.processes import DaemonProcess, build_processes

_ROOT = Path(__file__).resolve().parents[1]
_TIMEOUT_S = 30.0
_POLL_S = 0.002
_BETWEEN_SIGNALS_S = 0.01
_SIGNALS_IN_SERIES = 5
_MODULE = ['-m', 'oleanderpin.daemon', '--settings']
_CONSOLE = 'from oleanderpin.start import main; main()'
_DEPLOYMENT = tomllib.loads((_ROOT / 'deploy' / 'system.toml').read_text())
_PLATFORM = _DEPLOYMENT['roles']['gateway']['run'].split()[1:]
_COMMANDS = {
    'module': _MODULE,
    'console': ['-c', _CONSOLE, '--settings'],
    'platform': _PLATFORM,
}
# Where the platform has the libraries, and all that is on the path there.
_LIBRARIES = sysconfig.get_path('purelib')
# Modules that are imported early, in the middle and late.
_MOMENTS = ('pydantic', 'uvloop', 'oleanderpin.targets.table')


class _Started:
    """A daemon that prints each import when it is done."""

    def __init__(self, folder: Path, entry_point: str) -> None:
        """Start the process."""
        [self.daemon] = build_processes(
            folder,
            network=f'{free_network()}.0',
            control=1,
            gateways=0,
            domains=[('north', 'north-a')],
        )
        self.log = folder / 'daemon.log'
        settings = str(self.daemon.settings)
        command = [sys.executable, '-X', 'importtime', *_COMMANDS[entry_point]]
        if entry_point != 'platform':
            command.append(settings)
        with self.log.open('wb') as log_file:
            self.process = subprocess.Popen(
                command,
                cwd=_ROOT,
                env=os.environ
                | {'OLEANDERPIN_BOOT': settings, 'PYTHONPATH': _LIBRARIES},
                stdout=log_file,
                stderr=log_file,
            )

    def wait_until_imported(self, module: str) -> None:
        """Wait until a module has been imported."""
        line_end = f' {module}\n'
        _wait_until(lambda: line_end in self.log.read_text(), self)

    def wait_until_fresh(self, daemon: DaemonProcess) -> None:
        """Wait until the instance serves."""
        _wait_until(daemon.is_fresh, self)

    def pause(self) -> None:
        """Suspend the process and wait until it is."""
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WNOWAIT)

    def names_of_signals(self) -> list[str]:
        """Return the signals that the process has noticed, in their order."""
        return [each['signal'] for each in self.lines('signal received')]

    def lines(self, message: str) -> list[dict[str, Any]]:
        """Return the log lines with a message."""
        found = []
        for text in self.log.read_text().splitlines():
            if text.startswith('{'):
                line = json.loads(text)
                if line['message'] == message:
                    found.append(line)
        return found


def _wait_until(condition: Any, started: _Started) -> None:
    end_s = time.monotonic() + _TIMEOUT_S
    while not condition():
        code = started.process.poll()
        assert code is None, f'ended with {code}'
        assert time.monotonic() < end_s, started.log.read_text()[-2000:]
        time.sleep(_POLL_S)


def _wait_until_noticed(started: _Started, number: signal.Signals) -> None:
    end_s = time.monotonic() + _TIMEOUT_S
    while number.name not in started.names_of_signals():
        assert time.monotonic() < end_s, f'{number.name} is not noticed'
        time.sleep(_POLL_S)


@contextmanager
def _started(folder: Path, entry_point: str) -> Iterator[_Started]:
    started = _Started(folder, entry_point)
    try:
        yield started
    finally:
        started.process.kill()
        started.process.wait()


@pytest.mark.parametrize('moment', _MOMENTS)
@pytest.mark.parametrize('entry_point', _COMMANDS)
def test_reload_in_the_start_does_not_end_the_process(
    tmp_path: Path, entry_point: str, moment: str
) -> None:
    """Guards against an instance that a change of settings ends at its start.

    Handlers were set after all imports; SIGHUP before that ended the process.
    """
    with _started(tmp_path, entry_point) as started:
        started.wait_until_imported(moment)
        for _each in range(5):
            started.process.send_signal(signal.SIGHUP)
            time.sleep(_BETWEEN_SIGNALS_S)
        started.wait_until_fresh(started.daemon)
        assert started.lines('signal received')[0]['signal'] == 'SIGHUP'


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize('moment', _MOMENTS)
@pytest.mark.parametrize('entry_point', _COMMANDS)
def test_stop_in_the_start_is_a_graceful_one(
    tmp_path: Path, entry_point: str, moment: str, number: signal.Signals
) -> None:
    """Guards against a planned stop that looks like a crash."""
    with _started(tmp_path, entry_point) as started:
        started.wait_until_imported(moment)
        started.process.send_signal(number)
        assert started.process.wait(_TIMEOUT_S) == 0
        [received] = started.lines('signal received')
        assert received['signal'] == number.name
        [ends] = started.lines('process ends')
        assert ends['exit_code'] == 0


def test_signals_of_a_running_instance_are_logged(tmp_path: Path) -> None:
    """Guards against an end whose cause the log does not tell."""
    with _started(tmp_path, 'module') as started:
        started.wait_until_fresh(started.daemon)
        started.process.send_signal(signal.SIGHUP)
        # Two signals of which none has been handled may come in any order.
        _wait_until(lambda: started.lines('signal received'), started)
        started.process.send_signal(signal.SIGTERM)
        assert started.process.wait(_TIMEOUT_S) == 0
        assert started.names_of_signals() == ['SIGHUP', 'SIGTERM']
        steps = (
            'instance started',
            'drain begun',
            'drain done',
            'instance stopped',
            'process ends',
        )
        assert all(len(started.lines(each)) == 1 for each in steps)


def test_deployed_processes_skip_what_delays_their_first_line() -> None:
    """Guards against an instance that SIGHUP ends before it notes signals.

    Python runs the start-up files of installed packages before any code of ours.
    """
    for role in _DEPLOYMENT['roles'].values():
        _interpreter, *arguments = role['run'].split()
        options = arguments[: arguments.index('platform/run.py')]
        shown = subprocess.run(
            [sys.executable, *options, '-c', 'import sys; print(*sys.modules)'],
            check=True,
            capture_output=True,
            text=True,
        )
        assert 'site' not in shown.stdout.split()


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGHUP])
@pytest.mark.parametrize('entry_point', _COMMANDS)
def test_signal_to_a_paused_instance_is_noticed(
    tmp_path: Path, entry_point: str, number: signal.Signals
) -> None:
    """Guards against an instance that serves on after SIGTERM until it is killed.

    When a paused process goes on, any of its threads may get the signal.
    """
    with _started(tmp_path, entry_point) as started:
        started.wait_until_fresh(started.daemon)
        started.pause()
        started.process.send_signal(number)
        started.process.send_signal(signal.SIGCONT)
        _wait_until_noticed(started, number)
        started.process.send_signal(signal.SIGTERM)
        assert started.process.wait(_TIMEOUT_S) == 0


def test_stop_behind_other_signals_is_noticed(tmp_path: Path) -> None:
    """Guards against a stop that is lost behind a series of reloads.

    Another thread may get a signal while the main thread has one to handle.
    """
    with _started(tmp_path, 'module') as started:
        started.wait_until_fresh(started.daemon)
        for _each in range(_SIGNALS_IN_SERIES):
            started.process.send_signal(signal.SIGHUP)
        started.process.send_signal(signal.SIGTERM)
        _wait_until_noticed(started, signal.SIGTERM)
        assert started.process.wait(_TIMEOUT_S) == 0


@pytest.mark.parametrize('entry_point', _COMMANDS)
def test_signals_until_the_end_do_not_change_the_exit_code(
    tmp_path: Path, entry_point: str
) -> None:
    """Guards against a planned stop that looks like a crash.

    The interpreter gives up the handlers before it ends, so that a signal then
    ended the process.
    """
    with _started(tmp_path, entry_point) as started:
        started.wait_until_fresh(started.daemon)
        started.process.send_signal(signal.SIGTERM)
        end_s = time.monotonic() + _TIMEOUT_S
        while started.process.poll() is None and time.monotonic() < end_s:
            started.process.send_signal(signal.SIGHUP)
            time.sleep(_POLL_S)
        assert started.process.poll() == 0
        assert len(started.lines('process ends')) == 1
