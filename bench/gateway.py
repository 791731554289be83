"""Benchmark of the gateway: one instance that is its own control group.

Prints one line a figure: requests a second and processor time for each, with
one request at a time and with several behind each other on a connection, then
processor and memory at rest. Run ``python -m bench.gateway`` at the root.
"""

import argparse
import multiprocessing
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from bench.forwarding import cpu_s
from demo.__main__ import admin, change, wait_until
from oleanderpin.testing import free_ports
from oleanderpin.testing.gateway import (
    answer_bytes,
    configuration,
    gateway_settings,
    read_message,
    request_bytes,
)

_CLIENTS = 4
_CONNECTIONS_EACH = 4
_REST_S = 5.0


def serve_target(port_queue: Any) -> None:
    """Answer each request with its id and a small body."""
    listener = socket.create_server(('127.0.0.1', 0), backlog=256)
    port_queue.put(listener.getsockname()[1])

    def serve(connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        kept = bytearray()
        message = read_message(connection, kept)
        while message:
            connection.sendall(answer_bytes(message, body=b'x' * 64))
            message = read_message(connection, kept)

    while True:
        connection, _address = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


def load(port: int, depth: int, seconds: float, results: Any) -> None:
    """Send ``depth`` requests behind each other, again and again."""
    counts = [0] * _CONNECTIONS_EACH
    until = time.monotonic() + seconds
    batch = b''.join(
        request_bytes(path=f'/desk/{number}', request_id=f'r{number}')
        for number in range(depth)
    )

    def run(number: int) -> None:
        kept = bytearray()
        with socket.create_connection(('127.0.0.1', port)) as connection:
            while time.monotonic() < until:
                connection.sendall(batch)
                for _request in range(depth):
                    answer = read_message(connection, kept)
                    counts[number] += b' 200 ' in answer[:16]

    threads = [
        threading.Thread(target=run, args=(number,))
        for number in range(_CONNECTIONS_EACH)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    results.put(sum(counts))


def measure(port: int, depth: int, seconds: float, pid: int) -> None:
    """Print rate and processor time at one depth."""
    used_s = cpu_s(pid)
    results: Any = multiprocessing.Queue()
    clients = [
        multiprocessing.Process(
            target=load, args=(port, depth, seconds, results)
        )
        for _client in range(_CLIENTS)
    ]
    for client in clients:
        client.start()
    answered = sum(results.get() for _client in clients)
    for client in clients:
        client.join()
    cpu_ms = (cpu_s(pid) - used_s) * 1000 / max(1, answered)
    print(
        f'gateway, {depth} at once on a connection: '
        f'{answered / seconds:.0f} per s, {cpu_ms:.3f} ms of processor '
        'time each'
    )


def measure_rest(pid: int) -> None:
    """Print processor and memory without requests."""
    used_s = cpu_s(pid)
    time.sleep(_REST_S)
    part = (cpu_s(pid) - used_s) / _REST_S
    status = Path(f'/proc/{pid}/status').read_text()
    resident = next(
        line for line in status.splitlines() if line.startswith('VmRSS')
    )
    megabytes = int(resident.split()[1]) / 1024
    print(f'gateway at rest: {part:.4f} of a core, {megabytes:.0f} MB')


def run(seconds: float, folder: Path) -> None:
    """Run all parts against one instance."""
    target_ports: Any = multiprocessing.Queue()
    target = multiprocessing.Process(
        target=serve_target, args=(target_ports,), daemon=True
    )
    target.start()
    ports = free_ports(3)
    settings = folder / 'gateway.ini'
    settings.write_text(gateway_settings(ports, folder))
    with (folder / 'gateway.log').open('wb') as log_file:
        daemon = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'oleanderpin.daemon',
                '--settings',
                str(settings),
            ],
            stderr=log_file,
        )
    stop = threading.Event()
    try:
        wait_until('ready', lambda: _is_ready(ports[1]))
        document = configuration().model_dump(mode='json')
        change(ports[1], 'configuration.replace', **document)
        threading.Thread(
            target=_announce, args=(ports[1], target_ports.get(), stop)
        ).start()
        time.sleep(1)
        measure_rest(daemon.pid)
        for depth in (1, 8):
            measure(ports[0], depth, seconds, daemon.pid)
    finally:
        stop.set()
        daemon.send_signal(signal.SIGTERM)
        daemon.wait(timeout=15)
        target.terminate()


def _is_ready(port: int) -> bool:
    try:
        return admin(port, 'GET', '/readyz')[0] == 200
    except OSError:
        return False


def _announce(port: int, target_port: int, stop: threading.Event) -> None:
    document = {
        'service': 'desk',
        'target_id': 'bench',
        'address': f'127.0.0.1:{target_port}',
        'region': 'north',
        'failure_domain': 'north-a',
        'slots': 1000,
    }
    while not stop.wait(0.5):
        admin(port, 'POST', '/targets/announce', document)


def main() -> int:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=5.0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        run(min(30.0, arguments.seconds), Path(folder))
    return 0


if __name__ == '__main__':
    sys.exit(main())
