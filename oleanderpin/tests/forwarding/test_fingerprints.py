"""Requests that crash targets are rejected on all instances."""

import threading
from typing import Any

from ...core.errors import Refusal
from ...forwarding.fingerprints import SUSPECT_TTL_S, Fingerprints
from ...targets.exchange import Exchange
from ...testing import (
    ManualClock,
    ScriptedConnection,
    ScriptedTarget,
    answer_all,
)
from .harness import FakeExchange, FakeKernel, Instance


def crash(connection: ScriptedConnection) -> None:
    connection.read_head()
    connection.reset()


def make_pair() -> tuple[Fingerprints, Fingerprints]:
    exchanges = (FakeExchange(), FakeExchange())
    exchanges[0].others.append(exchanges[1])
    exchanges[1].others.append(exchanges[0])
    clock = ManualClock()
    made = []
    for exchange in exchanges:
        kernel = FakeKernel(None, {Exchange: exchange})
        kernel.clock = clock
        made.append(kernel.plugin(Fingerprints))
    return made[0], made[1]


def is_refused(fingerprints: Fingerprints, fingerprint: str = 'f') -> bool:
    try:
        fingerprints.check(fingerprint)
    except Refusal as refusal:
        assert refusal.reason == 'crashes_targets'
        return True
    return False


def test_request_gets_one_more_attempt(instance: Instance) -> None:
    """Guards against a request that crashes all targets of a service."""
    targets = [ScriptedTarget(crash) for _each in range(4)]
    instance.use_targets(*targets)
    problem = instance.request(path='/poison').problem
    assert problem['not_run'] is False
    assert [target.connections for target in targets] == [1, 1, 0, 0]
    problem = instance.request(path='/poison').problem
    assert problem['reason'] == 'crashes_targets'
    assert sum(target.connections for target in targets) == 2


def test_resent_post_is_refused_after_second_crash(
    instance: Instance,
) -> None:
    targets = [ScriptedTarget(crash) for _each in range(4)]
    instance.use_targets(*targets)
    reasons = [
        instance.request('POST', body=b'poison').problem['reason']
        for _each in range(4)
    ]
    assert reasons == ['target_connection_lost'] * 2 + ['crashes_targets'] * 2
    instance.use_targets(ScriptedTarget(answer_all))
    assert instance.request('POST', body=b'other').status == 200


def test_crashes_are_counted_over_instances() -> None:
    first, second = make_pair()
    first.record_crash('f', started_s=1000)
    assert not is_refused(second)
    second.kernel.clock.advance(1)
    second.record_crash('f', started_s=1001)
    assert is_refused(first)
    assert is_refused(second)
    first.kernel.clock.advance(SUSPECT_TTL_S + 1)
    assert not is_refused(first)


def test_equal_requests_lost_together_count_once() -> None:
    """Guards against rejecting a frequent request after a rack has failed."""
    first, second = make_pair()
    first.kernel.clock.advance(10)
    for fingerprints in (first, second, first, second):
        fingerprints.record_crash('f', started_s=1000)
    assert not is_refused(first)
    assert not is_refused(second)


def test_response_clears_the_crashes_on_all_instances() -> None:
    first, second = make_pair()
    first.record_crash('f', started_s=1000)
    second.record_response('f')
    first.kernel.clock.advance(1)
    first.record_crash('f', started_s=1001)
    assert not is_refused(first)


def test_slow_target_does_not_count_as_crash(instance: Any) -> None:
    """Guards against counting a request that only took too long."""
    instance.set_profile(first_byte_timeout_s=0.2, max_attempts=1)
    done = threading.Event()

    def mute(connection: ScriptedConnection) -> None:
        connection.read_head()
        done.wait(5)

    instance.use_targets(ScriptedTarget(mute))
    reasons = {instance.request().problem['reason'] for _each in range(3)}
    done.set()
    assert reasons == {'first_byte_timeout'}
