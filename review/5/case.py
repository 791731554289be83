# flake8: noqa: WPS
"""A taking-back of an evacuation is carried out again, seconds too late."""

import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

ZONES = ('north-a', 'central-a', 'south-a')
FREEZE_S = 5.0


def case(fleet, has_trouble):
    record = fleet.record
    document = harness.configuration(
        1,
        0,
        {'r1': harness.route('/desk/', 'desk')},
        {'desk': harness.service()},
    )
    if fleet.order('PUT', '/config', document, limit_s=30) != 200:
        return 2
    for zone in ZONES:
        for _number in range(2):
            fleet.add_server('desk', zone)
    if not fleet.wait_ready():
        return 2
    leader = fleet.leader()
    if leader is None:
        return 2
    frozen = next(each for each in fleet.core if each is not leader)
    time.sleep(4)
    clients = harness.Clients(fleet, '/desk/', 30).start()
    time.sleep(3)
    order = '/evacuations/north-a'
    if fleet.order('POST', order) != 200:
        return 2
    time.sleep(6)
    thawed_s = 0.0
    stopped_s = record.now_s()
    if has_trouble:
        frozen.signal(signal.SIGSTOP)
    # The operator happens to pick the frozen machine first.
    if fleet.order('DELETE', order, first=(frozen,)) != 200:
        return 2
    time.sleep(1)
    if fleet.order('POST', order, first=(leader,)) != 200:
        return 2
    confirmed_s = record.now_s()
    time.sleep(max(0, stopped_s + FREEZE_S - record.now_s()))
    if has_trouble:
        frozen.signal(signal.SIGCONT)
        thawed_s = record.now_s()
    # The core is stable again, and all machines are in touch.
    from_s = max(thawed_s + harness.STABLE_S, confirmed_s + harness.EVACUATE_S)
    time.sleep(max(0, from_s + 10 - record.now_s()))
    clients.end()
    late = [
        (server.name, at_s, number)
        for server in fleet.servers
        if server.zone == 'north-a'
        for at_s, number in server.arrivals
        if at_s > from_s
    ]
    served = sum(status == 200 for _sent, _end, status in clients.answers)
    text = (
        f'{len(late)} requests reached north-a later than {from_s:.1f} s, '
        f'though its evacuation was confirmed at {confirmed_s:.1f} s and not '
        f'taken back; {served} of {len(clients.answers)} requests served'
    )
    record.add(text)
    print(text)
    return 1 if late else 0


if __name__ == '__main__':
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    harness.main(
        Path(__file__).resolve().parent, case, ZONES, ZONES, has_trouble
    )
