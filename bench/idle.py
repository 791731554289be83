"""Cost of three idle daemons, one process each, with 60 announced targets.

Prints resident memory, processor time and bytes between instances; the
memory of an interpreter that has only imported the package is the part that
is not control.
"""

import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil
import urllib3

from demo.__main__ import Fleet, admin, change, wait_until

_MEASURED_S = 15.0
_TARGETS = 60
_HTTP = urllib3.PoolManager(retries=False, timeout=5.0)


def sent_bytes(port: int) -> float:
    """Return the bytes that an instance sent to peers."""
    answer = _HTTP.request('GET', f'http://127.0.0.1:{port}/metrics')
    prefix = 'oleanderpin_peer_bytes_total{direction="sent"}'
    for line in answer.data.decode().splitlines():
        if line.startswith(prefix):
            return float(line.split()[-1])
    return 0.0


def imported_memory_mb() -> float:
    """Return the resident memory after importing the daemon."""
    code = (
        'import oleanderpin.daemon, psutil;'
        'print(psutil.Process().memory_info().rss)'
    )
    result = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, check=True
    )
    return int(result.stdout) / 1e6


def announce(port: int, number: int) -> None:
    """Announce one target."""
    admin(
        port,
        'POST',
        '/targets/announce',
        {
            'service': 'desk',
            'target_id': f't-{number}',
            'address': f'127.0.0.1:{20000 + number}',
            'region': 'north',
            'failure_domain': 'north-a',
            'slots': 7,
        },
    )


def main() -> None:
    """Print one line for each daemon."""
    print(f'package imported: {imported_memory_mb():.1f} MB')
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        fleet.start()
        ports = fleet.admin_ports()
        try:
            wait_until(
                'ready',
                lambda: all(
                    admin(port, 'GET', '/readyz')[0] == 200
                    for _name, port in ports
                ),
            )
            change(ports[0][1], 'profile.put', name='p')
            change(ports[0][1], 'service.put', name='desk', profile='p')
            measure(fleet)
        finally:
            fleet.stop()


def measure(fleet: Fleet) -> None:
    """Measure while the targets renew every second at their instances."""
    ports = fleet.admin_ports()
    processes = [psutil.Process(fleet.pid(name)) for name, _port in ports]
    before = [sum(each.cpu_times()[:2]) for each in processes]
    sent = [sent_bytes(port) for _name, port in ports]
    started_s = time.monotonic()
    while time.monotonic() - started_s < _MEASURED_S:
        for number in range(_TARGETS):
            announce(ports[number % len(ports)][1], number)
        time.sleep(1)
    elapsed_s = time.monotonic() - started_s
    for position, (name, port) in enumerate(ports):
        process = processes[position]
        busy_s = sum(process.cpu_times()[:2]) - before[position]
        memory_mb = process.memory_info().rss / 1e6
        rate = (sent_bytes(port) - sent[position]) / elapsed_s
        print(
            f'{name:10} {memory_mb:6.1f} MB  {100 * busy_s / elapsed_s:5.2f}% '
            f'of a core  {rate:6.0f} B/s sent  {process.num_threads()} threads'
        )


if __name__ == '__main__':
    main()
