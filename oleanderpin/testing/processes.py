"""Daemons of a fleet as real processes on loopback addresses."""

import json
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3

PEER_PORT = 7220
ADMIN_PORT = 9100
CALLER_PORT = 8668
_SEEDS = 3
_STOP_TIMEOUT_S = 20.0
_HTTP_TIMEOUT_S = 5.0

_SETTINGS = """\
[instance]
name = {name}
region = {region}
failure_domain = {domain}
roles = {role}
{data_dir}
[regions]
{regions}
[listen]
caller = {host}:{caller}
admin = {host}:{admin}
peer = {host}:{peer}
[peers]
seeds = {seeds}
probe_interval_s = 0.5
probe_timeout_s = 0.25
suspect_timeout_s = 1.5
[control]
form_from_seeds = {is_first_start}
join_automatically = true
[limits]
lease_s = 4
floor_percent = 75
[targets]
lease_s = 12s
"""


class AdminError(Exception):
    """An admin call that was answered with an error.

    Parameters
    ----------
    problem : str
        What was called, and the answer.
    status : int
        Status of the answer.
    """

    def __init__(self, problem: str, *, status: int) -> None:
        """Store the status."""
        super().__init__(problem)
        self.status = status


@dataclass(slots=True)
class DaemonProcess:
    """One daemon with its own loopback address.

    Parameters
    ----------
    name, host : str
        Name and address of the instance.
    role : str
        ``control`` or ``gateway``.
    settings : Path
        Its settings file.
    admin_port : int
        Port for operators.
    """

    name: str
    host: str
    role: str
    settings: Path
    process: subprocess.Popen[bytes] | None = None
    admin_port: int = ADMIN_PORT
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(
            maxsize=8, retries=False, timeout=_HTTP_TIMEOUT_S
        )
    )

    @property
    def pid(self) -> int:
        """Process id of the daemon."""
        if self.process is None:
            raise RuntimeError(f'{self.name} does not run; start it first')
        return self.process.pid

    def start(self) -> None:
        """Start the daemon; its log is appended to a file."""
        with self.settings.with_suffix('.log').open('ab') as log_file:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'oleanderpin.daemon',
                    '--settings',
                    str(self.settings),
                ],
                stderr=log_file,
            )

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the daemon."""
        os.kill(self.pid, signal_number)

    def kill(self) -> None:
        """Kill the daemon and wait until it has ended."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def wait(self) -> int:
        """Wait until the daemon has ended; kill it if that takes too long.

        Returns
        -------
        int
            Exit code, 0 also for a daemon that was never started.
        """
        if self.process is None:
            return 0
        try:
            return self.process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

    def call(
        self,
        method: str,
        path: str,
        document: object = None,
        *,
        timeout_s: float = _HTTP_TIMEOUT_S,
    ) -> str:
        """Call the admin port and return the body.

        Raises
        ------
        AdminError
            If the answer is not 200.
        HTTPError
            If there is no answer.
        """
        response = self.http.request(
            method,
            f'http://{self.host}:{self.admin_port}{path}',
            body=None if document is None else json.dumps(document),
            timeout=timeout_s,
        )
        text = response.data.decode()
        if response.status != 200:
            raise AdminError(
                f'{method} {path} at {self.name}: {text}',
                status=response.status,
            )
        return text

    def status(self, *, timeout_s: float = _HTTP_TIMEOUT_S) -> Any:
        """Return the decoded status of the instance."""
        return json.loads(self.call('GET', '/v1/status', timeout_s=timeout_s))

    def is_fresh(self) -> bool:
        """Return whether the instance answers and has a current copy."""
        try:
            return bool(self.status()['is_fresh'])
        except (AdminError, urllib3.exceptions.HTTPError):
            return False


def build_processes(
    folder: Path,
    *,
    network: str,
    control: int,
    gateways: int,
    domains: Sequence[tuple[str, str]],
) -> list[DaemonProcess]:
    """Write the settings of a fleet; the control instances come first.

    Parameters
    ----------
    folder : Path
        Folder for settings, logs and data.
    network : str
        First three numbers of the loopback addresses, as ``127.77.0``.
    control, gateways : int
        Number of instances by role.
    domains : sequence of (str, str)
        Region and name of each failure domain.
    """
    hosts = [f'{network}.{number + 1}' for number in range(control + gateways)]
    processes = []
    for number, host in enumerate(hosts):
        role = 'control' if number < control else 'gateway'
        name = f'{role}-{number}'
        region, domain = domains[number % len(domains)]
        path = folder / f'{name}.ini'
        path.write_text(
            _SETTINGS.format(
                name=name,
                region=region,
                domain=domain,
                role=role,
                data_dir=f'data_dir = {folder / name}'
                if role == 'control'
                else '',
                regions='\n'.join(
                    f'{each} = {its_region}' for its_region, each in domains
                ),
                host=host,
                seeds=', '.join(
                    f'{seed}:{PEER_PORT}' for seed in hosts[:_SEEDS]
                ),
                is_first_start=str(role == 'control').lower(),
                caller=CALLER_PORT,
                admin=ADMIN_PORT,
                peer=PEER_PORT,
            )
        )
        processes.append(DaemonProcess(name, host, role, path))
    return processes


def stop_all(processes: Sequence[DaemonProcess]) -> None:
    """Stop all daemons; paused ones go on first."""
    running = [each for each in processes if each.process is not None]
    for each in running:
        if each.process is not None and each.process.poll() is None:
            each.send_signal(signal.SIGCONT)
            each.send_signal(signal.SIGTERM)
    for each in running:
        each.wait()
