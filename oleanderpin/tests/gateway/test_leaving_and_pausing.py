"""Targets that say in their answers that they leave, or ask for a pause."""

import json
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import pytest
from prometheus_client import REGISTRY

from ...control.configuration import ProfileDocument
from ...core.clock import monotonic_s
from ...gateway.placement import (
    OWN_FAILURE_DOMAIN,
    Candidate,
    order_candidates,
)
from ...gateway.target_health import TargetHealth
from ...targets.table import TargetTable
from ...testing.fleet import LinkFaults
from ...testing.gateway import (
    CongestedTarget,
    GatewayFixture,
    ScriptedHttpTarget,
    answer_bytes,
    configuration,
    header_of,
    joined_gateway,
    request_bytes,
    started_gateway,
)
from ...testing.routing import make_target
from ..control.group import wait_until
from .test_plugin import status_of

REPEATABLE = ProfileDocument(is_repeatable=True, max_attempts=2)
LEAVING = 'X-Target-Leaving: 1\r\n'
# Targets announce themselves once.
LASTING = ('[targets]', 'lease_s = 60')
# Longer than the tests, so that only what targets say ends a wait.
PATIENT = ('connect_timeout_s = 8', *LASTING)


def pause(value: str) -> str:
    """Return the headers of a refusal that asks for a pause."""
    return f'X-Not-Run: true\r\nX-Target-Pause-S: {value}\r\n'


def keys_of(name: str, names: Sequence[str], count: int) -> list[str]:
    """Return names of objects whose first target is ``name``."""
    candidates = [
        Candidate(
            make_target(each, failure_domain='north-a'),
            TargetHealth(4),
            OWN_FAILURE_DOMAIN,
        )
        for each in names
    ]
    keys = []
    number = 0
    while len(keys) < count:
        number += 1
        (group,) = order_candidates(f'k{number}', candidates, home='north')
        if group[0].target.target_id == name:
            keys.append(f'k{number}')
    return keys


class Asker:
    """Sends requests at the same time, each on a connection of its own."""

    def __init__(self, gateway: GatewayFixture) -> None:
        self.gateway = gateway
        self._threads = ThreadPoolExecutor(32)

    def start(self, key: str) -> 'Future[bytes]':
        """Send a request for an object."""
        return self._threads.submit(self.ask, key)

    def ask(self, key: str) -> bytes:
        """Return the response to a request for an object."""
        (response,) = self.gateway.ask(request_bytes(request_id=key))
        return response


@pytest.fixture
def gateway(tmp_path: Path):
    change = configuration(profile=REPEATABLE, cold_rate_per_s=8.0)
    with started_gateway(tmp_path, change, options=PATIENT) as started:
        yield started


class SwitchedTarget(ScriptedHttpTarget):
    """Responds as it is set to; probes of its health are not counted.

    ``held`` holds the responses to all requests until it is set.
    """

    def __init__(self, name: str = 't1') -> None:
        super().__init__(self.respond)
        self.name = name
        self.status = 200
        self.extra = ''
        self.times_s: list[float] = []
        self.next_extras: list[tuple[int, str]] = []
        self.held = threading.Event()
        self.held.set()

    def respond(self, request: bytes) -> bytes:
        if request.startswith(b'GET /health'):
            extra = f'X-Target-Id: {self.name}\r\n'
            return answer_bytes(request, extra=extra)
        self.times_s.append(monotonic_s())
        status, extra = self.status, self.extra
        if self.next_extras:
            status, extra = self.next_extras.pop(0)
        self.held.wait(20)
        return answer_bytes(request, status=status, extra=extra)


class PacedTarget(ScriptedHttpTarget):
    """Responds to each request when the test tells it to, with any answer."""

    def __init__(self) -> None:
        super().__init__(self.respond)
        self.answers: dict[bytes, Future[tuple[int, str]]] = {}

    def expect(self, *keys: str) -> None:
        """Hold the responses to the requests for objects."""
        for key in keys:
            self.answers[key.encode()] = Future()

    def answer(self, key: str, status: int, extra: str) -> None:
        """Send the response to a request."""
        self.answers[key.encode()].set_result((status, extra))

    def respond(self, request: bytes) -> bytes:
        held = self.answers.get(header_of(request, b'x-request-id'))
        status, extra = held.result(20) if held else (200, '')
        return answer_bytes(request, status=status, extra=extra)


@pytest.mark.parametrize(
    ('status', 'extra'), [(200, LEAVING), (503, pause('20'))]
)
def test_requests_that_wait_for_a_connection_are_placed_again(
    gateway: GatewayFixture, status: int, extra: str
) -> None:
    """Guards against requests that reach a target after it said not to."""
    released = threading.Event()

    def respond(request: bytes) -> bytes:
        released.wait(20)
        return answer_bytes(request, status=status, extra=extra)

    declining = CongestedTarget(respond).start()
    other = ScriptedHttpTarget().start()
    gateway.announce(declining, 't1', slots=16)
    asker = Asker(gateway)
    first = asker.start('first')
    wait_until('the first request', lambda: declining.requests)
    declining.fill()
    waiting = [asker.start(key) for key in keys_of('t1', ('t1', 't2'), 10)[:3]]
    more = [asker.start(f'w{number}') for number in range(7)]
    time.sleep(0.3)
    gateway.announce(other, 't2', slots=16)
    released.set()
    assert status_of(first.result()) == 200
    declining.relieve()
    assert [status_of(each.result()) for each in waiting + more] == [200] * 10
    assert len(declining.requests) == 1


def test_leaving_target_gets_nothing_while_another_can_take_it(
    gateway: GatewayFixture,
) -> None:
    """Guards against objects that stay at a target until it is gone."""
    leaving, other = SwitchedTarget().start(), SwitchedTarget().start()
    leaving.extra = LEAVING
    gateway.announce(leaving, 't1')
    gateway.announce(other, 't2')
    asker = Asker(gateway)
    responses = [asker.ask(key) for key in keys_of('t1', ('t1', 't2'), 10)]
    assert [status_of(each) for each in responses] == [200] * 10
    assert len(leaving.times_s) == 1


def test_leaving_target_is_a_last_resort_for_half_of_its_drain_time(
    tmp_path: Path,
) -> None:
    """Guards against requests on their way when the drain time ends."""
    change = configuration(profile=REPEATABLE)
    options = ('target_drain_s = 2', *LASTING)
    with started_gateway(tmp_path, change, options=options) as gateway:
        leaving = SwitchedTarget().start()
        leaving.extra = LEAVING
        gateway.announce(leaving, 't1')
        asker = Asker(gateway)
        assert status_of(asker.ask('k1')) == 200
        assert status_of(asker.ask('k2')) == 200
        time.sleep(1.1)
        response = asker.ask('k3')
    assert status_of(response) == 503
    assert json.loads(response.partition(b'\r\n\r\n')[2])['reason'] == (
        'service_leaving'
    )
    assert len(leaving.times_s) == 2


def test_target_that_starts_again_is_a_new_one(
    gateway: GatewayFixture,
) -> None:
    """Guards against a target that gets nothing for what its last run said."""
    target, other = SwitchedTarget().start(), SwitchedTarget().start()
    gateway.announce(target, 't1', generation=1)
    gateway.announce(other, 't2', generation=1)
    unused = keys_of('t1', ('t1', 't2'), 400)
    asker = Asker(gateway)
    for status, extra in ((200, LEAVING), (503, pause('60'))):
        target.next_extras = [(status, extra)]
        seen = len(target.times_s)
        for _request in range(3):
            assert status_of(asker.ask(unused.pop())) == 200
        assert len(target.times_s) == seen + 1
        gateway.announce(target, 't1', generation=seen + 2)
        wait_until(
            'requests after the start',
            lambda count=seen: (
                asker.ask(unused.pop()) and len(target.times_s) > count + 3
            ),
        )


def test_pause_is_kept_while_a_target_is_not_announced(
    gateway: GatewayFixture,
) -> None:
    """Guards against a pause that ends when an announcement is late."""
    target, other = SwitchedTarget().start(), SwitchedTarget().start()
    gateway.announce(target, 't1', generation=1)
    gateway.announce(other, 't2', generation=1)
    keys = keys_of('t1', ('t1', 't2'), 5)
    asker = Asker(gateway)
    target.next_extras = [(503, pause('60'))]
    asker.ask(keys[0])
    table = gateway.kernel.plugin(TargetTable)
    lapsed = table._rows.pop(('desk', 't1'))
    table.version += 1
    asker.ask(keys[1])
    table._rows[('desk', 't1')] = lapsed
    table.version += 1
    asker.ask(keys[2])
    assert len(target.times_s) == 1


@pytest.mark.parametrize('is_cut_off', [False, True])
def test_what_one_gateway_has_read_reaches_the_others(
    tmp_path: Path, is_cut_off: bool
) -> None:
    """Guards against gateways that each have to ask a leaving target.

    One that is cut off keeps to what it has read itself.
    """
    change = configuration(profile=REPEATABLE)
    options = ('serves_when_cut_off = true', *LASTING)
    with (
        started_gateway(tmp_path, change, options=options) as first,
        joined_gateway(tmp_path, first, options=options) as second,
    ):
        leaving, other = SwitchedTarget().start(), SwitchedTarget().start()
        first.announce(leaving, 't1', generation=7)
        first.announce(other, 't2', generation=7)
        table = second.kernel.plugin(TargetTable)
        wait_until('both targets', lambda: len(table.targets('desk')) == 2)
        keys = keys_of('t1', ('t1', 't2'), 8)
        faults = LinkFaults(second.kernel)
        if is_cut_off:
            faults.cut(first.kernel)
        leaving.extra = LEAVING
        assert status_of(Asker(first).ask(keys[0])) == 200
        time.sleep(2.5)
        for key in keys[1:]:
            assert status_of(Asker(second).ask(key)) == 200
        assert len(leaving.times_s) == (2 if is_cut_off else 1)


def test_pause_that_one_of_several_requests_brings(
    gateway: GatewayFixture,
) -> None:
    """Guards against a pause that the next response ends or shortens."""
    target, other = PacedTarget().start(), ScriptedHttpTarget().start()
    gateway.announce(target, 't1')
    gateway.announce(other, 't2')
    keys = keys_of('t1', ('t1', 't2'), 400)
    in_flight, unused = keys[:4], keys[60:]
    target.expect(*in_flight)
    asker = Asker(gateway)
    asked = [asker.start(key) for key in in_flight]
    wait_until('requests', lambda: len(target.requests) == 4)
    started_s = monotonic_s()
    target.answer(in_flight[0], 503, pause('0.5'))
    assert status_of(asked[0].result()) == 200
    target.answer(in_flight[1], 503, pause('1.5'))
    assert status_of(asked[1].result()) == 200
    target.answer(in_flight[2], 503, pause('0.1'))
    target.answer(in_flight[3], 200, '')
    for each in asked:
        assert status_of(each.result()) == 200
    for key in keys[10:60]:
        if monotonic_s() - started_s > 1.4:
            break
        assert status_of(asker.ask(key)) == 200
        time.sleep(0.03)
    assert len(target.requests) == 4
    wait_until(
        'the end of the pause',
        # An object that the other target has handled may stay there.
        lambda: asker.ask(unused.pop()) and len(target.requests) > 4,
    )


def test_requests_return_one_by_one_after_a_pause(
    gateway: GatewayFixture,
) -> None:
    """Guards against a crowd at the end of a pause."""
    target, other = SwitchedTarget().start(), SwitchedTarget().start()
    gateway.announce(target, 't1')
    gateway.announce(other, 't2')
    keys = keys_of('t1', ('t1', 't2'), 12)
    target.next_extras = [(503, pause('0.4'))]
    asker = Asker(gateway)
    asker.ask(keys[0])
    time.sleep(0.5)
    target.held.clear()
    asked = [asker.start(key) for key in keys[1:5]]
    time.sleep(0.5)
    assert len(target.times_s) == 2
    target.held.set()
    assert [status_of(each.result()) for each in asked] == [200] * 4
    asker.ask(keys[5])
    assert len(target.times_s) == 3


def test_pause_of_all_targets_is_refused_at_once(
    gateway: GatewayFixture,
) -> None:
    """Guards against requests that wait, and callers that return too early."""
    targets = [SwitchedTarget().start() for _each in range(2)]
    for number, target in enumerate(targets):
        target.next_extras = [(503, pause(str(4 + number)))] * 9
        gateway.announce(target, f't{number}')
    asker = Asker(gateway)
    paused_s = monotonic_s()
    told = json.loads(asker.ask('k1').partition(b'\r\n\r\n')[2])
    assert told['reason'] == 'service_paused'
    assert told['not_run']
    assert 3.5 <= told['retry_after_s'] <= 5.5
    started_s = monotonic_s()
    response = asker.ask('k2')
    now_s = monotonic_s()
    assert now_s - started_s < 0.5
    assert status_of(response) == 503
    problem = json.loads(response.partition(b'\r\n\r\n')[2])
    assert problem['reason'] == 'service_paused'
    assert problem['not_run']
    left_s = 4 - (now_s - paused_s)
    assert left_s <= problem['retry_after_s'] <= left_s + 1.5
    assert not header_of(response, b'x-target-pause-s')
    assert [len(each.times_s) for each in targets] == [1, 1]


def test_pause_holds_back_trial_requests(gateway: GatewayFixture) -> None:
    """Guards against trials of a failing target that wants nothing."""
    target, other = SwitchedTarget().start(), SwitchedTarget().start()
    gateway.announce(target, 't1')
    keys = keys_of('t1', ('t1', 't2'), 100)
    asker = Asker(gateway)
    target.status = 500
    for key in keys[:6]:
        asker.ask(key)
    failed = len(target.times_s)
    gateway.announce(other, 't2')
    target.status, target.extra = 503, pause('3')
    time.sleep(1.1)
    asker.ask(keys[7])
    assert len(target.times_s) == failed + 1
    target.status, target.extra = 200, ''
    ends_s = monotonic_s() + 2.6
    while monotonic_s() < ends_s:
        assert status_of(asker.ask(keys.pop())) == 200
        time.sleep(0.05)
    assert len(target.times_s) == failed + 1


def test_pause_holds_back_probes(gateway: GatewayFixture) -> None:
    """Guards against probes of a target that may have restarted and pauses."""
    probes: list[bytes] = []

    def respond(request: bytes) -> bytes:
        if request.startswith(b'GET /health'):
            probes.append(request)
            extra = pause('30') + 'X-Target-Id: t1\r\n'
            return answer_bytes(request, status=503, extra=extra)
        return b''

    target, other = ScriptedHttpTarget(respond).start(), SwitchedTarget()
    gateway.announce(target, 't1')
    gateway.announce(other.start(), 't2')
    keys = keys_of('t1', ('t1', 't2'), 30)
    asker = Asker(gateway)
    asker.ask(keys[0])
    wait_until('a probe', lambda: probes)
    seen = len(target.requests)
    for key in keys[1:20]:
        assert status_of(asker.ask(key)) == 200
        time.sleep(0.05)
    assert len(target.requests) == seen


def test_pause_beside_a_limit_and_a_cold_target(
    gateway: GatewayFixture,
) -> None:
    """Guards against a pause that sends a crowd to targets in need."""
    paused, limited, cold = (SwitchedTarget().start() for _each in range(3))
    paused.next_extras = [(503, pause('30'))]
    limited.extra = 'X-Target-Limit: 1\r\n'
    gateway.announce(paused, 't1')
    asker = Asker(gateway)
    asker.ask('k1')
    gateway.announce(limited, 't2')
    gateway.announce(cold, 't3', cold_s=60.0)
    started_s = monotonic_s()
    refused = 0
    for number in range(60):
        asked_s = monotonic_s()
        response = asker.ask(f'k{number}')
        assert monotonic_s() - asked_s < 0.5
        refused += status_of(response) == 503
        time.sleep(0.02)
    duration_s = monotonic_s() - started_s
    assert len(paused.times_s) == 1
    assert len(limited.times_s) <= 5 + 3 * duration_s
    assert len(cold.times_s) <= 1 + 8 * duration_s
    assert refused


@pytest.mark.parametrize(
    'value', ['soon', '-1', 'inf', 'nan', 'Sat, 05 Dec 2026 08:00:00 GMT', '']
)
def test_unreadable_pause_says_nothing(
    gateway: GatewayFixture, value: str
) -> None:
    """Guards against a header that stops all requests to a target."""
    target = SwitchedTarget().start()
    target.next_extras = [(503, pause(value))]
    gateway.announce(target, 't1')
    asker = Asker(gateway)
    asker.ask('k1')
    time.sleep(0.2)
    assert status_of(asker.ask('k2')) == 200


def test_very_long_pause_is_kept(gateway: GatewayFixture) -> None:
    """Guards against a pause that is cut short or overflows."""
    target, other = SwitchedTarget().start(), SwitchedTarget().start()
    target.next_extras = [(503, pause('1e12'))]
    gateway.announce(target, 't1')
    gateway.announce(other, 't2')
    asker = Asker(gateway)
    for key in keys_of('t1', ('t1', 't2'), 5):
        assert status_of(asker.ask(key)) == 200
        time.sleep(0.15)
    assert len(target.times_s) == 1


def counted(name: str, reason: str) -> Callable[[], float]:
    """Return a function that reads a counter by reason."""
    return lambda: REGISTRY.get_sample_value(name, {'reason': reason}) or 0.0


def test_both_states_are_counted_and_logged(
    gateway: GatewayFixture, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against states that an operator cannot see."""
    caplog.set_level('INFO')
    target, other = SwitchedTarget().start(), SwitchedTarget().start()
    target.next_extras = [(503, pause('0.5'))]
    gateway.announce(target, 't1', generation=1)
    gateway.announce(other, 't2', generation=1)
    keys = keys_of('t1', ('t1', 't2'), 10)
    asker = Asker(gateway)
    name = 'oleanderpin_targets_left_out_total'
    paused, leaving = counted(name, 'paused'), counted(name, 'leaving')
    before = paused(), leaving()
    asker.ask(keys[0])
    asker.ask(keys[1])
    time.sleep(1.0)
    target.extra = LEAVING
    asker.ask(keys[2])
    asker.ask(keys[3])
    assert paused() > before[0]
    assert leaving() > before[1]
    gateway.announce(target, 't1', generation=2)
    asker.ask(keys[4])
    lines = [
        (record.message, record.__dict__.get('cause'))
        for record in caplog.records
        if record.message.startswith('target ')
        and record.__dict__.get('target') == 't1'
    ]
    assert lines[:4] == [
        ('target pauses', keys[0]),
        ('target no longer pauses', 'time is over'),
        ('target leaves', keys[2]),
        ('target no longer leaves', 'started again'),
    ]
