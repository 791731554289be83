"""Runs instances and targets on loopback and checks the main functions.

Shows look-ups, key checks and revocation, a drain and a version move.
"""

import hashlib
import json
import secrets
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import urllib3

from oleanderpin.testing import FakeTarget, free_ports, settings_text

_INSTANCES = (
    ('north-1', 'north', 'north-a'),
    ('central-1', 'central', 'central-a'),
    ('south-1', 'south', 'south-a'),
)
_CONTROL_MEMBERS = 3
# A change may take up to the freshness limit of 6 s to take effect.
_HTTP = urllib3.PoolManager(retries=False, timeout=15.0)


class DemoFailureError(Exception):
    """An outcome differs from the expected one."""


class Fleet:
    """The daemons of the demo, one process for each instance."""

    def __init__(self, folder: Path) -> None:
        """Write one settings file for each instance."""
        ports = free_ports(len(_INSTANCES) * 3)
        self.ports = [ports[i * 3 : i * 3 + 3] for i in range(len(_INSTANCES))]
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._folder = folder
        seeds = [each[2] for each in self.ports]
        names = [instance[0] for instance in _INSTANCES]
        members = list(zip(names, seeds, strict=True))[:_CONTROL_MEMBERS]
        for instance, own_ports in zip(_INSTANCES, self.ports, strict=True):
            name, region, failure_domain = instance
            text = settings_text(
                name=name,
                ports=own_ports,
                seeds=seeds,
                control_members=members,
                region=region,
                failure_domain=failure_domain,
                data_dir=str(folder / name)
                if (name, own_ports[2]) in members
                else '',
                extra='[forwarding]\nlookup_ttl_s = 1\n',
            )
            (folder / f'{name}.ini').write_text(text)

    def start(self) -> None:
        """Start all daemons."""
        for name, _region, _domain in _INSTANCES:
            self.start_one(name)

    def start_one(self, name: str) -> None:
        """Start the daemon of one instance."""
        settings = str(self._folder / f'{name}.ini')
        command = [sys.executable, '-m', 'oleanderpin.daemon']
        with (self._folder / f'{name}.log').open('ab') as log_file:
            self._processes[name] = subprocess.Popen(
                [*command, '--settings', settings], stderr=log_file
            )

    def kill(self, name: str) -> None:
        """Kill one daemon with SIGKILL and wait until it has exited."""
        self._processes[name].kill()
        self._processes[name].wait()

    def pid(self, name: str) -> int:
        """Return the process id of one daemon."""
        return self._processes[name].pid

    def admin_ports(self) -> list[tuple[str, int]]:
        """Return name and admin port of each instance."""
        names = [instance[0] for instance in _INSTANCES]
        ports = [each[1] for each in self.ports]
        return list(zip(names, ports, strict=True))

    def stop(self) -> list[int]:
        """Stop all daemons with SIGTERM; return their exit codes."""
        processes = list(self._processes.values())
        for process in processes:
            process.send_signal(signal.SIGTERM)
        return [process.wait(timeout=15) for process in processes]


def admin(
    port: int, method: str, path: str, document: Any = None
) -> tuple[int, Any]:
    """Call the admin port; return status and decoded body."""
    body = json.dumps(document) if document is not None else None
    answer = _HTTP.request(method, f'http://127.0.0.1:{port}{path}', body=body)
    return answer.status, json.loads(answer.data)


def change(port: int, command: str, **arguments: Any) -> Any:
    """Submit a change and wait until it is in force on all instances."""
    status, document = admin(
        port,
        'POST',
        '/v1/changes',
        {
            'request_id': secrets.token_hex(8),
            'command': command,
            'arguments': arguments,
            'operator': 'demo',
            'wait': 'in_force',
        },
    )
    if status != 200:
        raise DemoFailureError(f'{command}: {document}')
    return document


def send_request(
    port: int, service: str, key: str | None = None, path: str = '/panel'
) -> Any:
    """Send one request through an instance."""
    headers = {'Host': service}
    if key is not None:
        headers['Authorization'] = f'Bearer {key}'
    return _HTTP.request(
        'GET', f'http://127.0.0.1:{port}{path}', headers=headers
    )


def wait_until(
    description: str, condition: Callable[[], bool], *, limit_s: float = 15
) -> float:
    """Wait until ``condition`` holds; return the seconds it took."""
    started = time.monotonic()
    while time.monotonic() < started + limit_s:
        try:
            if condition():
                return time.monotonic() - started
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(0.05)
    raise DemoFailureError(
        f'{description}: did not happen within {limit_s:g} s'
    )


def expect(description: str, condition: bool, observed: Any) -> None:
    """Print the outcome if ``condition`` holds, raise an error otherwise."""
    if not condition:
        raise DemoFailureError(f'{description}: saw {observed}')
    print(f'ok  {description} ({observed})')


class Traffic:
    """Callers that send sequential requests, two threads for each instance."""

    def __init__(self, ports: list[int], key: str) -> None:
        """Prepare two threads for each instance."""
        self.outcomes: Counter[str] = Counter()
        self._key = key
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, args=(port,), daemon=True)
            for port in ports * 2
        ]

    def __enter__(self) -> 'Traffic':
        """Start sending."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_exc_info: object) -> None:
        """Stop sending."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _send(self, port: int) -> None:
        while not self._stopped.wait(0.005):
            answer = send_request(port, 'desk', self._key)
            outcome = 'served'
            if answer.status != 200:
                outcome = json.loads(answer.data)['reason']
            self.outcomes[outcome] += 1


def show_drain(admin_port: int, traffic: Traffic, target: FakeTarget) -> None:
    """Drain a target while requests run."""
    before = traffic.outcomes.copy()
    change(admin_port, 'drain.start', name=target.target_id, kind='target')
    time.sleep(3)
    seen = len(target.seen)
    time.sleep(1.5)
    expect(
        'a drained target gets no new work after 3 s',
        len(target.seen) == seen,
        f'{len(target.seen) - seen} requests',
    )
    during = traffic.outcomes - before
    expect('no request failed in the drain', set(during) == {'served'}, during)


def show_move(admin_port: int, traffic: Traffic) -> None:
    """Move the service to a new version with a deadline."""
    before = traffic.outcomes.copy()
    change(
        admin_port,
        'move.start',
        service='desk',
        to_version='v2',
        deadline_s=22,
    )

    def has_ended() -> bool:
        return (
            admin(admin_port, 'GET', '/v1/moves')[1][0]['status'] != 'running'
        )

    took_s = wait_until('end of the move', has_ended, limit_s=25)
    [move] = admin(admin_port, 'GET', '/v1/moves')[1]
    expect(
        'the move is reported done before its deadline',
        move['status'] == 'done',
        f'{took_s:.1f} s; {move["reason"]}; {move["evidence"]}',
    )
    during = traffic.outcomes - before
    expect('no request failed in the move', set(during) == {'served'}, during)


def run(fleet: Fleet, targets: list[FakeTarget]) -> None:
    """Show each function in turn; raise an error at the first failure."""
    admin_ports = [each[1] for each in fleet.ports]
    caller_ports = [each[0] for each in fleet.ports]
    took_s = wait_until(
        'instances ready',
        lambda: all(
            admin(port, 'GET', '/readyz')[0] == 200 for port in admin_ports
        ),
    )
    expect('three instances are ready', True, f'{took_s:.1f} s')
    key = secrets.token_urlsafe(24)
    key_hash = hashlib.sha256(key.encode()).hexdigest()
    change(
        admin_ports[1],
        'profile.put',
        name='counter',
        shift_cap_percent=50,
        shift_interval_s=1,
        slow_start_s=1,
        move_watch_s=2,
    )
    change(
        admin_ports[1], 'account.put', name='shop', rate_per_s=2000, burst=2000
    )
    change(
        admin_ports[1],
        'service.put',
        name='desk',
        profile='counter',
        version='v1',
    )
    change(admin_ports[2], 'key.add', key_hash=key_hash, account='shop')
    for target in targets:
        target.start()
    for port in caller_ports:
        wait_until(
            'targets',
            lambda: send_request(port, 'desk', key).status == 200,  # noqa: B023
        )

    answer = _HTTP.request(
        'GET', f'http://127.0.0.1:{caller_ports[0]}/lookup/desk'
    )
    names = [each['name'] for each in json.loads(answer.data)['instances']]
    expect(
        'look-up names the nearest instance first', names[0] == 'north-1', names
    )
    statuses = [send_request(port, 'desk', key).status for port in caller_ports]
    expect('requests with the key are served', statuses == [200] * 3, statuses)
    leaked = [
        seen
        for target in targets
        for seen in target.seen
        if key in str(seen.headers)
    ]
    expect('no target saw the key', not leaked, len(leaked))
    status = send_request(caller_ports[0], 'desk').status
    expect('a request without a key is refused', status == 401, status)
    change(admin_ports[0], 'key.revoke', key_hash=key_hash)
    statuses = [send_request(port, 'desk', key).status for port in caller_ports]
    expect('the revoked key is refused', statuses == [401] * 3, statuses)

    key = secrets.token_urlsafe(24)
    key_hash = hashlib.sha256(key.encode()).hexdigest()
    change(admin_ports[0], 'key.add', key_hash=key_hash, account='shop')
    with Traffic(caller_ports, key) as traffic:
        show_drain(admin_ports[0], traffic, targets[0])
        show_move(admin_ports[2], traffic)


def main() -> int:
    """Run the demo; return its exit status."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        admin_ports = [each[1] for each in fleet.ports]
        targets = [
            FakeTarget(
                'desk',
                f'desk-{version}-{domain}-{number}',
                admin_ports=admin_ports,
                region=region,
                failure_domain=domain,
                version=version,
            )
            for version, count in (('v1', 2), ('v2', 1))
            for _name, region, domain in _INSTANCES
            for number in range(count)
        ]
        fleet.start()
        try:
            run(fleet, targets)
        except DemoFailureError as error:
            print(f'FAILED  {error}')
            return 1
        finally:
            codes = fleet.stop()
        if any(codes):
            print(f'FAILED  exit statuses of the instances: {codes}')
            return 1
        print('ok  all instances stopped with exit status 0')
    return 0


if __name__ == '__main__':
    sys.exit(main())
