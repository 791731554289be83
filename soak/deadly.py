"""Requests that crash their targets, while instances are disturbed.

Checks, from what targets and callers see: gateways soon send such a request to
no target any more, and sound requests are not refused for it.
"""

import itertools
import json
import random
import socket
import threading
import time
import uuid
from typing import Any

import urllib3

from oleanderpin.control.configuration import ProfileDocument
from oleanderpin.testing.gateway import (
    CrashingTarget,
    configuration,
    read_message,
    request_bytes,
)
from oleanderpin.testing.processes import CALLER_PORT, AdminError

TARGETS = 10
# Crashes after which gateways must know of a request, how soon, and how many
# attempts may reach targets later.
CRASHES = 3
KNOWN_S = 4.0
LATE_ATTEMPTS = 3
# Takes several round trips to callers with small receive buffers.
BODY = b'x' * 100_000
_BACK_S = 1.0
_ANNOUNCE_S = 0.5
_SEND_INTERVAL_S = 0.15
_TIMEOUT_S = 3.0
_CONFIGURED_S = 20.0
_SERVICE = 'desk'


def configure(fleet: Any) -> None:
    """Put a route to the targets in force, before any other change."""
    profile = ProfileDocument(is_repeatable=True, max_attempts=2)
    arguments = configuration(profile=profile).model_dump(mode='json')
    document = {
        'request_id': f'soak-{uuid.uuid4().hex}',
        'command': 'configuration.replace',
        'arguments': arguments,
    }
    end_s = time.monotonic() + _CONFIGURED_S
    for daemon in itertools.cycle(fleet.daemons):
        try:
            daemon.call('POST', '/v1/changes', document)
        except (AdminError, urllib3.exceptions.HTTPError):
            if time.monotonic() > end_s:
                raise
            time.sleep(0.1)
            continue
        return


class Targets:
    """Targets that start again after each crash, and announce themselves."""

    def __init__(self, fleet: Any, choose: random.Random) -> None:
        """Start without crashes."""
        self._fleet = fleet
        self._choose = choose
        self.targets = [
            CrashingTarget(f't{n}', body=BODY) for n in range(TARGETS)
        ]
        self._generations = dict.fromkeys(range(TARGETS), 0)
        self._known_crashes = dict.fromkeys(range(TARGETS), -1)
        self._down_s: dict[int, float] = {}

    @property
    def crashes(self) -> int:
        """Number of crashes so far."""
        return sum(target.crashes for target in self.targets)

    def run(self, stopped: threading.Event) -> None:
        """Start what has ended and announce what runs."""
        while not stopped.is_set():
            for number, target in enumerate(self.targets):
                if self._is_up(number, target):
                    self._announce(number, target)
            stopped.wait(_ANNOUNCE_S)
        for target in self.targets:
            target.stop()

    def _is_up(self, number: int, target: CrashingTarget) -> bool:
        if target.crashes == self._known_crashes[number]:
            return True
        down_s = self._down_s.setdefault(number, time.monotonic())
        if time.monotonic() - down_s < _BACK_S and self._generations[number]:
            return False
        self._down_s.pop(number)
        self._known_crashes[number] = target.crashes
        self._generations[number] += 1
        target.start()
        return True

    def _announce(self, number: int, target: CrashingTarget) -> None:
        document = {
            'service': _SERVICE,
            'target_id': target.name,
            'address': f'127.0.0.1:{target.port}',
            'region': 'north',
            'failure_domain': 'north-a',
            'slots': 8,
            'generation': self._generations[number],
        }
        for daemon in self._choose.sample(self._fleet.daemons, 3):
            try:
                daemon.call('POST', '/targets/announce', document)
            except (AdminError, urllib3.exceptions.HTTPError):
                # The next announcement goes to others.
                continue
            return


class Callers:
    """Sends copies of one deadly request, and sound ones, to any gateway."""

    def __init__(
        self, fleet: Any, seen: Any, choose: random.Random, targets: Targets
    ) -> None:
        """Start without requests."""
        self._fleet = fleet
        self._seen = seen
        self._choose = choose
        self._targets = targets
        self._third_s = float('inf')
        self._late = 0

    def run(self, stopped: threading.Event) -> None:
        """Send requests until ``stopped`` is set."""
        for number in itertools.count():
            if stopped.wait(_SEND_INTERVAL_S):
                return
            is_deadly = not number % 2
            daemon = self._choose.choice(self._fleet.of_role('gateway'))
            path = '/desk/deadly' if is_deadly else f'/desk/{number % 40}'
            before = self._targets.crashes
            sent_s = time.monotonic()
            answer = _ask(daemon.host, path, f'soak-{number}')
            if is_deadly:
                self._note_deadly(daemon, sent_s, before)
            elif b'crashes_targets' in answer:
                self._seen.add_problem(f'{daemon.name} refused {path}')

    def _note_deadly(self, daemon: Any, sent_s: float, before: int) -> None:
        crashes = self._targets.crashes
        if crashes >= CRASHES:
            self._third_s = min(self._third_s, time.monotonic())
        fleet = self._fleet
        disturbed = [daemon, *fleet.of_role('control')]
        is_calm = fleet.calm_since_s(disturbed) < sent_s
        if is_calm and sent_s > self._third_s + KNOWN_S and crashes > before:
            self._late += crashes - before
            if self._late > LATE_ATTEMPTS:
                self._seen.add_problem(
                    f'{daemon.name} sent a request to targets '
                    f'{sent_s - self._third_s:.1f} s after its third crash; '
                    f'{self._late} times in all'
                )


def _ask(host: str, path: str, request_id: str) -> bytes:
    """Return the response of a gateway, empty if there is none."""
    try:
        with socket.create_connection((host, CALLER_PORT), _TIMEOUT_S) as own:
            own.sendall(request_bytes(path=path, request_id=request_id))
            return read_message(own, bytearray())
    except OSError:
        # The gateway is paused, killed or starting.
        return b''


def summary(targets: Targets) -> str:
    """Return what targets have seen, for the report of a run."""
    served = sum(target.served for target in targets.targets)
    return json.dumps({'crashes': targets.crashes, 'sound_served': served})
