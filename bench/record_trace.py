"""Records a trace of three daemons with faults; needs about 40 s.

Run with ``.venv/bin/python -m bench.record_trace FILE``. During the run the
control leader is killed and started again, a key is revoked while its
callers go on, and a target is drained.
"""

import json
import random
import secrets
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import urllib3

from demo.__main__ import Fleet, admin, change, wait_until
from oleanderpin.control.authority import hash_key
from oleanderpin.testing import FakeTarget
from oleanderpin.testing.targets import SeenRequest, TargetAnswer
from oleanderpin.testing.trace import read_trace, violations

_RATE_PER_S = 40
_BURST = 20
_CALLERS = 6
_DURATION_S = 24.0
_PAUSE_S = 0.08
_HTTP = urllib3.PoolManager(retries=False, timeout=15.0, maxsize=32)


class Recorder:
    """Writes events as JSON lines."""

    def __init__(self, path: Path) -> None:
        """Start an empty trace."""
        self._lock = threading.Lock()
        self._file = path.open('w', encoding='utf-8')
        self._started_s = time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Write one event at the present time."""
        t_s = round(time.monotonic() - self._started_s, 4)
        line = json.dumps({'event': event, 't_s': t_s, **fields})
        with self._lock:
            self._file.write(line + '\n')

    def close(self) -> None:
        """Finish the file."""
        with self._lock:
            self._file.close()


def target_behaviour(recorder: Recorder, target_id: str) -> Any:
    """Return the behaviour of a target that records what it runs."""

    def run(seen: SeenRequest) -> TargetAnswer:
        request = seen.path.removeprefix('/r/')
        recorder.write(
            'ran',
            request=request,
            target=target_id,
            has_key='Bearer' in str(seen.headers),
        )
        return TargetAnswer(body=request.encode(), delay_s=0.005)

    return run


def call(
    recorder: Recorder,
    ports: list[int],
    key: str,
    caller: int,
    stop: threading.Event,
) -> None:
    """Send requests to changing instances and record the answers."""
    rng = random.Random(caller)
    number = 0
    while not stop.wait(_PAUSE_S):
        number += 1
        request = f'{caller}-{number}'
        method = rng.choice(('GET', 'POST'))
        port = rng.choice(ports)
        fields = {
            'request': request,
            'account': 'shop',
            'key': hash_key(key)[:8],
            'method': method,
            'instance': str(port),
        }
        headers = {'Host': 'desk', 'Authorization': f'Bearer {key}'}
        try:
            answer = _HTTP.request(
                method,
                f'http://127.0.0.1:{port}/r/{request}',
                headers=headers,
                body=b'{}' if method == 'POST' else None,
            )
        except urllib3.exceptions.HTTPError:
            # The caller sees a broken connection and assumes nothing.
            recorder.write('request', **fields, status=0)
            continue
        document = {}
        if answer.status != 200:
            document = json.loads(answer.data)
        recorder.write(
            'request',
            **fields,
            status=answer.status,
            not_run=bool(document.get('not_run')),
            is_whole=answer.status != 200 or answer.data == request.encode(),
        )


def watch(recorder: Recorder, ports: list[int], stop: threading.Event) -> None:
    """Record the revisions on which fresh instances act."""
    last: dict[int, int] = {}
    while not stop.wait(0.25):
        for port in ports:
            try:
                _status, document = admin(port, 'GET', '/v1/status')
            except urllib3.exceptions.HTTPError:
                continue
            revision = document['revision']
            if document['is_fresh'] and last.get(port) != revision:
                last[port] = revision
                recorder.write(
                    'revision',
                    instance=str(port),
                    start=0,
                    revision=document['revision'],
                )


def run(recorder: Recorder, fleet: Fleet) -> None:
    """Run the scenario."""
    admin_ports = [each[1] for each in fleet.ports]
    callers = [each[0] for each in fleet.ports]
    wait_until(
        'ready',
        lambda: all(admin(p, 'GET', '/readyz')[0] == 200 for p in admin_ports),
    )
    targets = [
        FakeTarget(
            'desk',
            f't-{number}',
            admin_ports=admin_ports,
            region=region,
            failure_domain=f'{region}-a',
            behaviour=target_behaviour(recorder, f't-{number}'),
        )
        for number, region in enumerate(
            ('north', 'north', 'central', 'central', 'south', 'south')
        )
    ]
    keys = [secrets.token_urlsafe(24) for _ in range(2)]
    change(admin_ports[0], 'profile.put', name='p', shift_cap_percent=100)
    change(
        admin_ports[0],
        'account.put',
        name='shop',
        rate_per_s=_RATE_PER_S,
        burst=_BURST,
    )
    change(admin_ports[0], 'service.put', name='desk', profile='p')
    for key in keys:
        change(
            admin_ports[0], 'key.add', key_hash=hash_key(key), account='shop'
        )
    for target in targets:
        target.start()
    recorder.write(
        'account',
        account='shop',
        rate_per_s=_RATE_PER_S,
        burst=_BURST,
        callers=_CALLERS,
    )
    stop = threading.Event()
    threads = [
        threading.Thread(
            target=call,
            args=(recorder, callers, keys[number % 2], number, stop),
        )
        for number in range(_CALLERS)
    ]
    threads.append(
        threading.Thread(target=watch, args=(recorder, admin_ports, stop))
    )
    for thread in threads:
        thread.start()
    time.sleep(3)
    members = admin(admin_ports[0], 'GET', '/v1/members')[1]['members']
    [leader] = [each['name'] for each in members if each['is_leader']]
    recorder.write('fault', fault='kill', instance=leader)
    fleet.kill(leader)
    time.sleep(2.5)
    survivor = next(
        port for name, port in fleet.admin_ports() if name != leader
    )
    change(survivor, 'key.revoke', key_hash=hash_key(keys[1]))
    recorder.write('revoked', key=hash_key(keys[1])[:8])
    time.sleep(2)
    recorder.write('fault', fault='start', instance=leader)
    fleet.start_one(leader)
    time.sleep(2)
    change(survivor, 'drain.start', name='t-2', kind='target')
    recorder.write('drained', target='t-2')
    time.sleep(_DURATION_S - 9.5)
    stop.set()
    for thread in threads:
        thread.join()


def main() -> int:
    """Record a trace and check it; return 1 if it breaks an outcome."""
    path = Path(sys.argv[1])
    recorder = Recorder(path)
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        fleet.start()
        try:
            run(recorder, fleet)
        finally:
            fleet.stop()
    recorder.close()
    events = read_trace(path)
    problems = violations(events)
    print(f'{len(events)} events, {len(problems)} violations')
    for problem in problems[:20]:
        print(problem)
    return int(bool(problems))


if __name__ == '__main__':
    sys.exit(main())
