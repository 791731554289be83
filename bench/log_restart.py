"""Commit latency, throughput, fail-over and restart time of the log.

Runs three control instances as processes on loopback. Run it with
``.venv/bin/python -m bench.log_restart``.
"""

import concurrent.futures
import json
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import urllib3

from oleanderpin.testing import free_ports, settings_text

_NAMES = ('north-1', 'central-1', 'south-1')
_CHANGES = 1000
_WORKERS = 16
_LIMIT_S = 60.0
_HTTP = urllib3.PoolManager(retries=False, timeout=10.0, maxsize=_WORKERS)


class Fleet:
    """Three control instances with the default timing."""

    def __init__(self, folder: Path) -> None:
        """Write one settings file for each instance."""
        ports = free_ports(len(_NAMES) * 3)
        self.ports = [ports[i * 3 : i * 3 + 3] for i in range(len(_NAMES))]
        self.processes: list[subprocess.Popen[bytes]] = []
        self._folder = folder
        seeds = [each[2] for each in self.ports]
        for name, own_ports in zip(_NAMES, self.ports, strict=True):
            text = settings_text(
                name=name,
                ports=own_ports,
                seeds=seeds,
                control_members=list(zip(_NAMES, seeds, strict=True)),
                data_dir=str(folder / name),
                extra='[forwarding]\nlookup_ttl_s = 0\n',
            )
            (folder / f'{name}.ini').write_text(text)

    def start(self) -> float:
        """Start all; return the seconds until all are ready."""
        started_s = time.monotonic()
        self.processes = [
            subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'oleanderpin.daemon',
                    '--settings',
                    str(self._folder / f'{name}.ini'),
                ],
                stderr=(self._folder / f'{name}.log').open('ab'),
            )
            for name in _NAMES
        ]
        wait_until(lambda: all(self.is_ready(each) for each in self.ports))
        return time.monotonic() - started_s

    def kill(self) -> None:
        """Kill all, as when all of them lose power at once."""
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
            process.wait()

    def is_ready(self, ports: list[int]) -> bool:
        """Return whether an instance is ready."""
        return admin(ports[1], 'GET', '/readyz')[0] == 200

    def leader(self, among: list[int]) -> int:
        """Wait for a leader and return its position."""
        found: list[int] = []

        def is_found() -> bool:
            for position in among:
                members = admin(self.ports[position][1], 'GET', '/v1/members')
                own = members[1].get('this_instance', {})
                if members[1]['has_leader'] and own['role'] == 'leader':
                    found.append(position)
                    return True
            return False

        wait_until(is_found)
        return found[0]


def admin(
    port: int, method: str, path: str, document: Any = None
) -> tuple[int, Any]:
    """Call the admin port; return status and decoded body."""
    body = json.dumps(document) if document is not None else None
    url = f'http://127.0.0.1:{port}{path}'
    answer = _HTTP.request(method, url, body=body)
    return answer.status, json.loads(answer.data)


def change(port: int, number: int) -> float:
    """Make one change; return its duration in seconds."""
    started_s = time.monotonic()
    status, document = admin(
        port,
        'POST',
        '/v1/changes',
        {
            'request_id': f'request-{number:06d}',
            'command': 'account.put',
            'arguments': {
                'name': f'a{number % 100}',
                'rate_per_s': 10,
                'burst': 5,
            },
        },
    )
    if status != 200:
        raise RuntimeError(f'change {number} failed: {document}')
    return time.monotonic() - started_s


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until ``condition`` holds."""
    deadline_s = time.monotonic() + _LIMIT_S
    while time.monotonic() < deadline_s:
        try:
            if condition():
                return
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(0.02)
    raise RuntimeError(f'did not happen within {_LIMIT_S} s')


def measure(fleet: Fleet) -> None:
    """Print all figures."""
    print(f'first start, all ready: {fleet.start():.2f} s')
    positions = list(range(len(_NAMES)))
    leader = fleet.leader(positions)
    port = fleet.ports[leader][1]
    took_s = [change(port, number) for number in range(_CHANGES // 2)]
    quantiles = statistics.quantiles(took_s, n=100)
    print(
        f'one after the other: p50 {quantiles[49] * 1000:.1f} ms, '
        f'p99 {quantiles[98] * 1000:.1f} ms'
    )
    started_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(_WORKERS) as pool:
        numbers = range(_CHANGES // 2, _CHANGES)
        list(pool.map(lambda number: change(port, number), numbers))
    rate_per_s = _CHANGES / 2 / (time.monotonic() - started_s)
    print(f'{_WORKERS} at once: {rate_per_s:.0f} changes/s')
    fleet.kill()
    print(f'restart of all after {_CHANGES} changes: {fleet.start():.2f} s')
    leader = fleet.leader(positions)
    rest = [position for position in positions if position != leader]
    fleet.processes[leader].send_signal(signal.SIGKILL)
    started_s = time.monotonic()
    leader = fleet.leader(rest)
    change(fleet.ports[leader][1], _CHANGES)
    took = time.monotonic() - started_s
    print(f'leader killed, next change accepted: {took:.2f} s')


def main() -> None:
    """Run the benchmark in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            measure(fleet)
        finally:
            fleet.kill()


if __name__ == '__main__':
    main()
