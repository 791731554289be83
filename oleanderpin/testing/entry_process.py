"""One entry instance as a real process, with its memory and descriptors."""

import json
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any, Self

import urllib3

from . import process_readings
from .builders import free_ports, settings_text
from .gateway import LoopbackTarget
from .targets import Behaviour, FakeTarget, answer_ok

SERVICE = 'desk'
OTHER_SERVICE = 'other'
ANSWER_TIMEOUT_S = 6.0
_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 20.0
_POLL_S = 0.1
_ANNOUNCE_INTERVAL_S = 0.5
_TARGET_SLOTS = 1000
_BYTES_PER_MB = 1e6
# The shell sets the limit of descriptors before it becomes the daemon.
_LIMITED = 'ulimit -n "$1"; shift; exec "$@"'


class EntryProcess:
    """An entry instance that is its own control group.

    It has one target of the service ``desk``, and others on demand. Its
    services are open, so that requests need no key.

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
    others : mapping, optional
        By name, targets of the service ``other``.
    """

    def __init__(
        self,
        folder: Path,
        *,
        max_descriptors: int = 1024,
        extra: str = '',
        profile: dict[str, Any] | None = None,
        behaviour: Behaviour = answer_ok,
        others: Mapping[str, LoopbackTarget] | None = None,
    ) -> None:
        """Write the settings."""
        self._others = others or {}
        self._stopped = threading.Event()
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
        self._stopped.set()
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
        commands = [('profile.put', self._profile)]
        commands.extend(
            ('service.put', {'name': name, 'profile': 'p', 'is_open': True})
            for name in (SERVICE, OTHER_SERVICE)
        )
        for command, arguments in commands:
            while not self._changes(command, arguments):
                self._wait(end_s, command)
        self.target.start()
        self._has_target = True
        threading.Thread(target=self._keep_announcing, daemon=True).start()
        while not self._answers():
            self._wait(end_s, 'first answer')

    def _keep_announcing(self) -> None:
        with urllib3.PoolManager(retries=False, timeout=5.0) as http:
            while self._others and not self._stopped.wait(_ANNOUNCE_INTERVAL_S):
                # The test sees a process that has ended.
                with suppress(urllib3.exceptions.HTTPError):
                    self._announce_others(http)

    def _announce_others(self, http: urllib3.PoolManager) -> None:
        host, port = self.admin
        for name, other in self._others.items():
            document = {
                'service': OTHER_SERVICE,
                'target_id': name,
                'address': f'127.0.0.1:{other.port}',
                'region': 'north',
                'failure_domain': 'north-a',
                'slots': _TARGET_SLOTS,
            }
            http.request(
                'POST',
                f'http://{host}:{port}/targets/announce',
                body=json.dumps(document),
            )

    def _wait(self, end_s: float, awaited: str) -> None:
        if time.monotonic() > end_s or not self.is_alive():
            log = self._log.read_text()[-2000:]
            raise TimeoutError(f'no {awaited} of the process; its log: {log}')
        time.sleep(_POLL_S)

    def _changes(self, command: str, arguments: dict[str, Any]) -> bool:
        host, port = self.admin
        document = {
            'request_id': f'setup-{command}-{arguments["name"]}',
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
