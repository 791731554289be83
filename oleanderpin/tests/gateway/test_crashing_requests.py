"""Requests that crash the targets that run them."""

import json
import threading
import time
from collections.abc import Sequence
from pathlib import Path

import pytest

from ...control.configuration import ProfileDocument
from ...core.clock import monotonic_s
from ...testing.gateway import (
    CrashingTarget,
    GatewayFixture,
    ScriptedHttpTarget,
    answer_bytes,
    configuration,
    header_of,
    joined_gateway,
    request_bytes,
    started_gateway,
)
from .test_plugin import status_of

REPEATABLE = ProfileDocument(is_repeatable=True, max_attempts=2)
PATIENT = ('[targets]', 'lease_s = 60')
TARGETS = 9
# Crashes after which a request must become known to all gateways.
CRASHES = 3
# Time in which they must know of it, and what may still be sent afterwards.
KNOWN_S = 4.0
LATE_ATTEMPTS = 3


class CrashingFleet:
    """Targets that start again after each crash, as new generations."""

    def __init__(self, gateway: GatewayFixture) -> None:
        self.gateway = gateway
        self.targets = [CrashingTarget(f't{n}') for n in range(TARGETS)]
        self._generations = dict.fromkeys(range(TARGETS), 0)
        self._known_crashes = dict.fromkeys(range(TARGETS), -1)

    @property
    def crashes(self) -> int:
        """Number of crashes so far."""
        return sum(target.crashes for target in self.targets)

    def start_ended(self) -> None:
        """Start the targets that have ended, and announce them."""
        for number, target in enumerate(self.targets):
            if target.crashes == self._known_crashes[number]:
                continue
            self._known_crashes[number] = target.crashes
            self._generations[number] += 1
            target.start()
            self.gateway.announce(
                target, target.name, generation=self._generations[number]
            )


def resend(
    fleet: CrashingFleet,
    gateways: Sequence[GatewayFixture],
    *,
    for_s: float,
    path: str = '/desk/deadly',
    method: str = 'GET',
    body: bytes = b'',
) -> list[tuple[bytes, int]]:
    """Send a request again and again, to one gateway after the other.

    Returns the last response of each gateway and the number of crashes after
    each request.
    """
    results = []
    end_s = monotonic_s() + for_s
    number = 0
    while monotonic_s() < end_s:
        gateway = gateways[number % len(gateways)]
        request = request_bytes(
            path=path, method=method, body=body, request_id=f'resend-{number}'
        )
        results.append((gateway.ask(request)[0], fleet.crashes))
        number += 1
        time.sleep(0.1)
        fleet.start_ended()
    return results


@pytest.fixture
def gateway(tmp_path: Path):
    change = configuration(profile=REPEATABLE)
    with started_gateway(tmp_path / 'a', change, options=PATIENT) as started:
        yield started


@pytest.fixture
def fleet(gateway: GatewayFixture):
    created = CrashingFleet(gateway)
    created.start_ended()
    yield created
    for target in created.targets:
        target.stop()


def test_resent_request_does_not_crash_target_after_target(
    gateway: GatewayFixture, fleet: CrashingFleet
) -> None:
    """Guards against resends that end each target of a service in turn."""
    answers = resend(fleet, [gateway], for_s=3)
    assert fleet.crashes == CRASHES
    last, _crashes = answers[-1]
    assert status_of(last) == 503
    problem = json.loads(last.partition(b'\r\n\r\n')[2])
    assert problem['reason'] == 'crashes_targets'
    assert problem['not_run'] is True
    # The next copy is refused too, so the caller is told not to send it soon.
    assert float(header_of(last, b'retry-after')) > 500


def test_request_that_crashes_targets_is_known_to_all_gateways(
    gateway: GatewayFixture, fleet: CrashingFleet, tmp_path: Path
) -> None:
    """Guards against each gateway learning it by crashes of its own."""
    with joined_gateway(tmp_path / 'b', gateway, options=PATIENT) as second:
        time.sleep(1)
        resend(fleet, [gateway, second], for_s=KNOWN_S)
        early = fleet.crashes
        resend(fleet, [gateway, second], for_s=2)
    assert early >= CRASHES
    assert fleet.crashes - early <= LATE_ATTEMPTS
    assert early <= CRASHES + LATE_ATTEMPTS


def test_post_that_crashes_targets_is_told_from_others_of_its_path(
    gateway: GatewayFixture, fleet: CrashingFleet
) -> None:
    """Guards against refusing sound requests for the path of a deadly one."""
    posted = resend(
        fleet, [gateway], for_s=2, path='/desk/1', method='POST', body=b'deadly'
    )
    assert fleet.crashes == CRASHES
    assert status_of(posted[-1][0]) == 503
    (answer,) = gateway.ask(
        request_bytes(path='/desk/1', method='POST', body=b'sound')
    )
    assert status_of(answer) == 200


def test_lost_connections_are_no_crashes(gateway: GatewayFixture) -> None:
    """Guards against refusing requests whose connections were reset."""

    def respond(request: bytes) -> bytes:
        if request.startswith(b'GET /health'):
            return answer_bytes(request)
        return b''

    targets = [ScriptedHttpTarget(respond).start() for _each in range(6)]
    for number, target in enumerate(targets):
        gateway.announce(target, f't{number}')
    for number in range(10):
        request = request_bytes(request_id=f'r{number}')
        (answer,) = gateway.ask(request)
        problem = json.loads(answer.partition(b'\r\n\r\n')[2])
        assert problem['reason'] != 'crashes_targets'
        time.sleep(0.1)
    for target in targets:
        target.stop()


def test_sound_requests_are_served_beside_a_deadly_one(
    gateway: GatewayFixture, fleet: CrashingFleet
) -> None:
    """Guards against refusing what shares a path or an account with it."""
    resend(fleet, [gateway], for_s=2)
    for number in range(5):
        sound = request_bytes(path=f'/desk/{number}', request_id=f's{number}')
        assert status_of(gateway.ask(sound)[0]) == 200


def test_sound_requests_are_served_where_many_targets_end_at_once(
    gateway: GatewayFixture, fleet: CrashingFleet
) -> None:
    """Guards against refusing what ran on targets that end for other reasons.

    Callers send copies of a few requests all the time, while two thirds of the
    targets end together, twice.
    """
    refused: list[bytes] = []
    served: list[bytes] = []
    ended = threading.Event()

    def call(caller: int) -> None:
        number = 0
        while not ended.is_set():
            number += 1
            request = request_bytes(
                path=f'/desk/{number % 5}', request_id=f'c{caller}-{number}'
            )
            (answer,) = gateway.ask(request)
            if status_of(answer) == 200:
                served.append(answer)
            if b'crashes_targets' in answer:
                refused.append(answer)

    callers = [threading.Thread(target=call, args=(n,)) for n in range(8)]
    for thread in callers:
        thread.start()
    for _each in range(2):
        time.sleep(1)
        for target in fleet.targets[: TARGETS * 2 // 3]:
            target.crash()
        time.sleep(1)
        fleet.start_ended()
    before = len(served)
    time.sleep(1)
    ended.set()
    for thread in callers:
        thread.join()
    assert not refused
    assert len(served) > before
