"""One entry instance as a real process, with its memory and descriptors."""

import json
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, Self

import urllib3

from . import process_readings
from .builders import free_ports, settings_text
from .targets import Behaviour, FakeTarget, answer_ok

SERVICE = 'desk'
ANSWER_TIMEOUT_S = 6.0
_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 20.0
_POLL_S = 0.1
_BYTES_PER_MB = 1e6
# The shell sets the limit of descriptors before it becomes the daemon.
_LIMITED = 'ulimit -n "$1"; shift; exec "$@"'


class EntryProcess:
    """An entry instance that is its own control group and has one target.

    Its service is open, so that requests need no key.

    Parameters
    ----------
    folder : Path
        Folder for settings, log and data.
    max_descriptors : int
        Descriptors that the process may have open.
    extra : str
        Further INI text.
    profile : dict, optional
        Fields of the profile that differ from their defaults.
    behaviour : callable
        Returns the response of the target to each request.
    """

    def __init__(
        self,
        folder: Path,
        *,
        max_descriptors: int = 1024,
        extra: str = '',
        profile: dict[str, Any] | None = None,
        behaviour: Behaviour = answer_ok,
    ) -> None:
        """Write the settings."""
        ports = free_ports(3)
        self.caller = ('127.0.0.1', ports[0])
        self.admin = ('127.0.0.1', ports[1])
        self._profile = {'name': 'p'} | (profile or {})
        self._log = folder / 'entry.log'
        settings = folder / 'entry.ini'
        settings.write_text(
            settings_text(
                name='entry-1',
                ports=ports,
                seeds=ports[2:],
                control_members=[('entry-1', ports[2])],
                data_dir=str(folder / 'data'),
                extra=extra,
            )
        )
        self._command = [
            '/bin/sh',
            '-c',
            _LIMITED,
            'sh',
            str(max_descriptors),
            sys.executable,
            '-m',
            'oleanderpin.daemon',
            '--settings',
            str(settings),
        ]
        self._http = urllib3.PoolManager(retries=False, timeout=5.0)
        self._process: subprocess.Popen[bytes] | None = None
        self._has_target = False
        self.target = FakeTarget(
            SERVICE,
            'desk-1',
            admin_ports=[ports[1]],
            slots=1000,
            behaviour=behaviour,
        )

    def __enter__(self) -> Self:
        """Start the process and its target; wait for the first answer."""
        with self._log.open('ab') as log_file:
            self._process = subprocess.Popen(self._command, stderr=log_file)
        try:
            self._set_up()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_exc_info: object) -> None:
        """End the process."""
        if self._has_target:
            self.target.stop()
        if self._process is not None:
            self._process.kill()
            self._process.wait(_STOP_TIMEOUT_S)

    @property
    def pid(self) -> int:
        """Process id of the daemon."""
        if self._process is None:
            raise RuntimeError('the process does not run; enter the context')
        return self._process.pid

    def is_alive(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def resident_mb(self) -> float:
        """Return the largest resident memory since the start."""
        return process_readings.memory_bytes(self.pid) / _BYTES_PER_MB

    def descriptors(self) -> int:
        """Return the number of open descriptors."""
        return process_readings.open_descriptors(self.pid)

    def processor_s(self) -> float:
        """Return the processor time used since the start."""
        return process_readings.processor_s(self.pid)

    def log_bytes(self) -> int:
        """Return the size of the log."""
        return self._log.stat().st_size

    def connect(self) -> socket.socket:
        """Open a connection to the caller port."""
        return socket.create_connection(self.caller, timeout=ANSWER_TIMEOUT_S)

    def ordinary_status(self) -> int:
        """Send an ordinary request on a new connection; return its status.

        Raises
        ------
        HTTPError
            If there is no answer in time.
        """
        with urllib3.PoolManager(
            retries=False, timeout=ANSWER_TIMEOUT_S
        ) as http:
            host, port = self.caller
            url = f'http://{host}:{port}/stock'
            answer = http.request('GET', url, headers={'Host': SERVICE})
            return int(answer.status)

    def _set_up(self) -> None:
        end_s = time.monotonic() + _START_TIMEOUT_S
        commands = (
            ('profile.put', self._profile),
            (
                'service.put',
                {'name': SERVICE, 'profile': 'p', 'is_open': True},
            ),
        )
        for command, arguments in commands:
            while not self._changes(command, arguments):
                self._wait(end_s, command)
        self.target.start()
        self._has_target = True
        while not self._answers():
            self._wait(end_s, 'first answer')

    def _wait(self, end_s: float, awaited: str) -> None:
        if time.monotonic() > end_s or not self.is_alive():
            log = self._log.read_text()[-2000:]
            raise TimeoutError(f'no {awaited} of the process; its log: {log}')
        time.sleep(_POLL_S)

    def _changes(self, command: str, arguments: dict[str, Any]) -> bool:
        host, port = self.admin
        document = {
            'request_id': f'setup-{command}',
            'command': command,
            'arguments': arguments,
            'wait': 'in_force',
        }
        try:
            answer = self._http.request(
                'POST',
                f'http://{host}:{port}/v1/changes',
                body=json.dumps(document),
            )
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def _answers(self) -> bool:
        try:
            return self.ordinary_status() == 200
        except urllib3.exceptions.HTTPError:
            return False
