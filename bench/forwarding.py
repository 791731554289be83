"""Benchmark of forwarding and look-ups through one instance.

Starts one control instance and one entry instance as processes, and one
target process; clients are further processes. Prints one line a figure. Run
``python -m bench.forwarding`` at the root; ``--seconds`` bounds each part.
"""

import argparse
import http.client
import multiprocessing
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from demo.__main__ import Fleet, admin, change, wait_until

_CLIENTS = 4
_CONNECTIONS_EACH = 4
_SAMPLES = 3000
_KEY = 'key-of-the-benchmark-account'


def serve_target(port_queue: Any) -> None:
    """Answer each request with a small body, one thread a connection."""
    import socket
    import threading

    listener = socket.create_server(('127.0.0.1', 0), backlog=256)
    port_queue.put(listener.getsockname()[1])
    answer = b'HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n' + b'x' * 64

    def serve(sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffer = b''
        while received := sock.recv(65536):
            buffer += received
            while b'\r\n\r\n' in buffer:
                _head, _separator, buffer = buffer.partition(b'\r\n\r\n')
                sock.sendall(answer)

    while True:
        sock, _address = listener.accept()
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


def announce(port: int, target_port: int, stop: Any) -> None:
    """Keep the target's lease."""
    document = {
        'service': 'desk',
        'target_id': 'bench',
        'address': f'127.0.0.1:{target_port}',
        'region': 'central',
        'failure_domain': 'central-a',
        'version': '',
        'slots': 1000,
        'connections': 1000,
    }
    while not stop.wait(0.5):
        admin(port, 'POST', '/targets/announce', document)


def request(connection: Any, path: str, headers: dict[str, str]) -> int:
    """Send one request and read the answer."""
    connection.request('GET', path, headers=headers)
    answer = connection.getresponse()
    answer.read()
    return int(answer.status)


def load(
    port: int, path: str, headers: dict[str, str], seconds: float, results: Any
) -> None:
    """Send requests over several connections; report how many were answered."""
    import threading

    counts = [0] * _CONNECTIONS_EACH
    failed = [0] * _CONNECTIONS_EACH
    until = time.monotonic() + seconds

    def run(number: int) -> None:
        connection = http.client.HTTPConnection('127.0.0.1', port, timeout=10)
        while time.monotonic() < until:
            if request(connection, path, headers) == 200:
                counts[number] += 1
            else:
                failed[number] += 1

    threads = [
        threading.Thread(target=run, args=(number,))
        for number in range(_CONNECTIONS_EACH)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    results.put((sum(counts), sum(failed)))


def cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(') ')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def measure_rate(
    name: str,
    port: int,
    path: str,
    headers: dict[str, str],
    seconds: float,
    pid: int,
) -> None:
    """Print how many requests a second several client processes get.

    The processor time for each request depends less than the rate on what
    else the machine does.
    """
    used_s = cpu_s(pid)
    results: Any = multiprocessing.Queue()
    clients = [
        multiprocessing.Process(
            target=load, args=(port, path, headers, seconds, results)
        )
        for _each in range(_CLIENTS)
    ]
    for client in clients:
        client.start()
    counts = [results.get() for _each in clients]
    for client in clients:
        client.join()
    answered = sum(count for count, _failed in counts)
    failed = sum(failures for _count, failures in counts)
    cpu_ms = (cpu_s(pid) - used_s) * 1000 / max(1, answered)
    print(
        f'{name}: {answered / seconds:.0f} per s ({failed} failed), '
        f'{cpu_ms:.3f} ms of processor time each'
    )


def measure_latency(port: int, target_port: int) -> None:
    """Print the latency that forwarding adds, from alternating samples."""
    headers = {'Host': 'desk', 'Authorization': f'Bearer {_KEY}'}
    through = http.client.HTTPConnection('127.0.0.1', port, timeout=10)
    direct = http.client.HTTPConnection('127.0.0.1', target_port, timeout=10)
    times: dict[str, list[float]] = {'through': [], 'direct': []}
    for number in range(_SAMPLES + 200):
        for name, connection in (('through', through), ('direct', direct)):
            started = time.perf_counter()
            status = request(connection, '/panel', headers)
            took = time.perf_counter() - started
            if status != 200:
                raise SystemExit(f'{name}: status {status}')
            # The first samples warm up connections and caches.
            if number >= 200:
                times[name].append(took * 1000)
    cuts = {
        name: statistics.quantiles(samples, n=100)
        for name, samples in times.items()
    }
    for label, index in (('median', 49), ('99th percentile', 98)):
        with_hop, without = cuts['through'][index], cuts['direct'][index]
        print(
            f'added latency, {label}: {with_hop - without:.3f} ms '
            f'({with_hop:.3f} through, {without:.3f} direct)'
        )


def run(seconds: float, folder: Path) -> None:
    """Run all parts against one fleet."""
    import hashlib
    import threading

    ports: Any = multiprocessing.Queue()
    target = multiprocessing.Process(
        target=serve_target, args=(ports,), daemon=True
    )
    target.start()
    target_port = ports.get()
    fleet = Fleet(folder)
    stop = threading.Event()
    fleet.start()
    try:
        admin_ports = [each[1] for each in fleet.ports]
        wait_until(
            'ready',
            lambda: all(
                admin(port, 'GET', '/readyz')[0] == 200 for port in admin_ports
            ),
        )
        key_hash = hashlib.sha256(_KEY.encode()).hexdigest()
        change(admin_ports[0], 'profile.put', name='counter')
        change(
            admin_ports[0], 'account.put', name='a', rate_per_s=1e6, burst=1e6
        )
        change(admin_ports[0], 'service.put', name='desk', profile='counter')
        change(admin_ports[0], 'key.add', key_hash=key_hash, account='a')
        threading.Thread(
            target=announce, args=(admin_ports[0], target_port, stop)
        ).start()
        time.sleep(2)
        # The target is in the region of the second instance.
        port = fleet.ports[1][0]
        measure_latency(port, target_port)
        headers = {'Host': 'desk', 'Authorization': f'Bearer {_KEY}'}
        pid = fleet.pid('central-1')
        measure_rate('forwarded', port, '/panel', headers, seconds, pid)
        measure_rate('look-ups', port, '/lookup/desk', {}, seconds, pid)
        measure_rate(
            'target alone', target_port, '/panel', {}, seconds, target.pid or 0
        )
    finally:
        stop.set()
        fleet.stop()
        target.terminate()


def main() -> int:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=5.0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        try:
            run(min(30.0, arguments.seconds), Path(folder))
        except subprocess.TimeoutExpired:
            print('an instance did not stop in time')
            return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
