# flake8: noqa: WPS
"""A service is removed while its move ends: the control log stops for good."""

import http.client
import json
import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

ZONES = ('north-a', 'central-a', 'south-a')
SERVICES = [f'desk{number}' for number in range(3)]
ROUTES = 2800
# A move ends this long after its last stage has begun (move_watch_s, and the
# interval of the controller).
END_S = 1.57
# Part of the time of a change after which it is in the log but not yet applied.
IN_LOG = 0.75


def document(version, base, services, timeout_ms):
    routes = {'keep': harness.route('/keep/', 'keep')}
    for number in range(ROUTES):
        routes[f'r-{number:06d}'] = harness.route(f'/p{number:06d}/', 'keep')
    for name in services:
        routes[name] = harness.route(
            f'/{name}/', name, timeout=f'{timeout_ms}ms'
        )
    return harness.configuration(
        version,
        base,
        routes,
        {name: harness.service() for name in ('keep', *services)},
    )


def moves(fleet):
    """Return the share of the new version by service, as operators see it."""
    for machine in fleet.core:
        status, body = harness.call(
            machine.ip, 9100, 'GET', '/v1/moves', None, 1.0
        )
        if status == 200:
            return json.loads(body)
    return {}


class Worker:
    """Sends requests of one service over a kept connection."""

    def __init__(self, fleet, machine, name, number, pause_s):
        self.fleet = fleet
        self.machine = machine
        self.name = name
        self.number = number
        self.pause_s = pause_s
        self.is_ended = threading.Event()
        self.served = 0
        self.sent = 0
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        connection = None
        while not self.is_ended.wait(self.pause_s):
            self.sent += 1
            name = f'{self.name}-{self.number}-{self.sent}'
            headers = {
                'Host': harness.HOST,
                'X-Request-Id': name,
                'X-Deadline-Ms': '2500',
                'Api-Key': harness.KEY,
                'Cookie': f'X-Affinity-Key={self.sent % 40}',
            }
            try:
                if connection is None:
                    connection = http.client.HTTPConnection(
                        self.machine.ip, self.fleet.ports['front'], timeout=2.5
                    )
                path = f'/{self.name}/{self.sent}'
                connection.request('GET', path, None, headers)
                response = connection.getresponse()
                response.read()
                self.served += response.status == 200
                self.fleet.record.add(f'client gets {response.status}: {name}')
                if response.getheader('Connection') == 'close':
                    connection.close()
                    connection = None
            except (OSError, http.client.HTTPException):
                connection.close()
                connection = None


def start_moves(fleet, target):
    record = fleet.record
    for name in SERVICES:
        order = {'service': name, 'targetVersion': target, 'duration': '40s'}
        status = fleet.order('POST', '/rollouts', order)
        record.add(f'roll-out of {name} to {target}: {status}')


def wait_for_last_stage(fleet, limit_s):
    """Wait until a move has the share of its last stage."""
    end_s = fleet.record.now_s() + limit_s
    while fleet.record.now_s() < end_s:
        for each in moves(fleet):
            if each['status'] == 'running' and each['share_percent'] >= 95:
                return True
        time.sleep(0.02)
    return False


def read_back(fleet, limit_s):
    """Read the configuration, at one machine after the other."""
    end_s = fleet.record.now_s() + limit_s
    while fleet.record.now_s() < end_s:
        for machine in fleet.core:
            status, body = fleet.call(machine, 'GET', '/config')
            fleet.record.add(
                f'operator: GET /config at {machine.name}: '
                f'{status or "no answer"}'
            )
            if status == 200:
                return json.loads(body)['version']
        time.sleep(0.3)
    return None


def case(fleet, has_trouble):
    record = fleet.record
    first = document(1, 0, SERVICES, 2500)
    if fleet.order('PUT', '/config', first, limit_s=30) != 200:
        return 2
    fleet.add_server('keep', ZONES[0])
    for number, name in enumerate(SERVICES):
        fleet.add_server(name, ZONES[number % 3], slots=30)
    if not fleet.wait_ready():
        return 2
    time.sleep(4)
    for number, name in enumerate(SERVICES):
        fleet.add_server(name, ZONES[number % 3], slots=30, version='v2')
    second = json.dumps(document(2, 1, SERVICES, 2450)).encode()
    sent_s = record.now_s()
    if fleet.order('PUT', '/config', second, limit_s=8) != 200:
        return 2
    change_s = record.now_s() - sent_s
    record.add(f'a change takes {change_s:.2f} s')
    workers = [
        Worker(fleet, machine, name, number, 0.06)
        for name in SERVICES
        for machine in fleet.front
        for number in range(4)
    ]
    time.sleep(3)
    kept = [] if has_trouble else SERVICES
    changed = json.dumps(document(3, 2, kept, 2400)).encode()
    start_moves(fleet, 'v2')
    if not wait_for_last_stage(fleet, 40):
        record.add(f'no move got to its last stage: {moves(fleet)}')
        return 2
    record.add('a move is in its last stage')
    time.sleep(max(0, END_S - IN_LOG * change_s))
    # A new configuration leaves out the services whose moves are about to end.
    status = fleet.order('PUT', '/config', changed, limit_s=6)
    record.add(f'the change was answered {status}')
    if status != 200:
        return 2
    time.sleep(1.0)
    for worker in workers:
        worker.is_ended.set()
    time.sleep(harness.CONFIG_APPLY_S + harness.STABLE_S)
    found = read_back(fleet, 10.0)
    for each in moves(fleet):
        record.add(
            f'move of {each["service"]}: {each["status"]}, '
            f'{each["share_percent"]}%'
        )
    if found is None:
        # For the report only: the rule is broken already.
        for machine in fleet.core:
            machine.kill()
        for machine in fleet.core:
            machine.start()
        again = read_back(fleet, 15.0)
        record.add(f'after a restart of all core processes: version {again}')
        print(f'after a restart of all core processes: version {again}')
    served = sum(each.served for each in workers)
    text = (
        f'read back: version {found}; {served} of '
        f'{sum(each.sent for each in workers)} requests served'
    )
    record.add(text)
    print(text)
    return 1 if found is None else 0


if __name__ == '__main__':
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    harness.main(
        Path(__file__).resolve().parent, case, ZONES, ZONES[:2], has_trouble
    )
