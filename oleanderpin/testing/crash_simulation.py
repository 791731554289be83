"""Gateways and targets without processes, for requests that crash targets."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ..routing.crash_suspects import Crash, CrashSuspects, SharedSuspects
from ..routing.loss_rate import LossRate

_REPORT_INTERVAL_S = 1.0
_NEWS_DELAY_S = 0.2
_DOWN_S = 5.0
_CRASH_AFTER_S = 0.06
_WORK_S = 0.4
_MAX_ATTEMPTS = 2
_HOT_PATHS = 50
_HOT_FRACTION = 0.5
DEADLY = b'deadly-request-1'


@dataclass(eq=False, slots=True)
class SimulatedGateway:
    """What one gateway knows; ``shared`` is the instance that counts."""

    shared: SharedSuspects
    suspects: CrashSuspects = field(default_factory=CrashSuspects)
    losses: LossRate = field(default_factory=LossRate)
    reports_soon: bool = False


@dataclass(eq=False, slots=True)
class _Target:
    is_up: bool = True
    running: list['_Attempt'] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class _Attempt:
    fingerprint: bytes
    gateway: SimulatedGateway
    started_s: float
    number: int


class CrashSimulation:
    """Requests, some of which crash targets, in simulated time.

    Parameters
    ----------
    gateways, targets : int
        Number of instances.
    seed : int
        Of all random choices.
    counters : int
        Instances that count; more than one while the fleet is cut in parts.
    """

    def __init__(
        self, *, gateways: int, targets: int, seed: int, counters: int = 1
    ) -> None:
        """Start at time 0 without requests."""
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.shared = [SharedSuspects() for _ in range(counters)]
        self.gateways = [
            SimulatedGateway(self.shared[number % counters])
            for number in range(gateways)
        ]
        self.targets = [_Target() for _ in range(targets)]
        self.crash_times_s: list[float] = []
        self.refused: dict[bytes, int] = {}
        self.answered = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        for gateway in self.gateways:
            self._repeat_reports(gateway)

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        self._number += 1
        heapq.heappush(self._events, (time_s, self._number, action))

    def run(self, until_s: float) -> None:
        """Run until a time, in seconds."""
        while self._events and self._events[0][0] <= until_s:
            event = heapq.heappop(self._events)
            self.now_s = event[0]
            event[2]()
        self.now_s = until_s

    def add_sound(self, *, per_s: float, until_s: float) -> None:
        """Add sound requests, half of which share a few paths."""
        time_s = self.now_s
        number = 0
        while time_s < until_s:
            time_s += self.random.expovariate(per_s)
            number += 1
            name = f'sound-{number}'
            if self.random.random() < _HOT_FRACTION:
                name = f'hot-{self.random.randrange(_HOT_PATHS)}'
            self._add(time_s, name.encode().ljust(16, b'.'))

    def add_deadly(self, *, per_s: float, until_s: float) -> None:
        """Add copies of one request that crashes the targets that run it."""
        time_s = self.now_s
        while time_s < until_s:
            time_s += self.random.expovariate(per_s)
            self._add(time_s, DEADLY)

    def crash_targets(self, count: int, *, within_s: float) -> None:
        """End targets for another reason."""
        for target in self.random.sample(self.targets, count):
            end_s = self.now_s + self.random.uniform(0, within_s)
            self.at(end_s, partial(self._crash, target))

    def restart_counting(self) -> None:
        """Let the instances that count lose what they know."""
        fresh = [SharedSuspects() for _ in self.shared]
        for gateway in self.gateways:
            gateway.shared = fresh[self.shared.index(gateway.shared)]
        self.shared = fresh

    def _add(self, time_s: float, fingerprint: bytes) -> None:
        gateway = self.random.choice(self.gateways)
        self.at(time_s, lambda: self._start(fingerprint, gateway, 1))

    def _start(
        self, fingerprint: bytes, gateway: SimulatedGateway, number: int
    ) -> None:
        if gateway.suspects.refused_for_s(fingerprint, self.now_s):
            self.refused[fingerprint] = self.refused.get(fingerprint, 0) + 1
            return
        up = [target for target in self.targets if target.is_up]
        if not up:
            return
        target = self.random.choice(up)
        attempt = _Attempt(fingerprint, gateway, self.now_s, number)
        target.running.append(attempt)
        if fingerprint == DEADLY:
            self.at(self.now_s + _CRASH_AFTER_S, lambda: self._crash(target))
            return
        end_s = self.now_s + self.random.uniform(0.5, 1.5) * _WORK_S
        self.at(end_s, lambda: self._answer(target, attempt))

    def _answer(self, target: _Target, attempt: _Attempt) -> None:
        if attempt not in target.running:
            return
        target.running.remove(attempt)
        self.answered += 1
        gateway = attempt.gateway
        gateway.losses.note(self.now_s, is_lost=False)
        gateway.suspects.observe_answer(attempt.fingerprint, self.now_s)

    def _crash(self, target: _Target) -> None:
        if not target.is_up:
            return
        target.is_up = False
        running = target.running
        target.running = []
        if any(attempt.fingerprint == DEADLY for attempt in running):
            self.crash_times_s.append(self.now_s)
        self.at(self.now_s + _DOWN_S, lambda: setattr(target, 'is_up', True))
        for attempt in running:
            if not attempt.gateway.suspects.percent(attempt.fingerprint):
                attempt.gateway.losses.note(self.now_s, is_lost=True)
        for attempt in running:
            self._note_lost(attempt)

    def _note_lost(self, attempt: _Attempt) -> None:
        gateway = attempt.gateway
        gateway.suspects.observe_crash(
            attempt.fingerprint,
            Crash(
                self.random.getrandbits(63),
                attempt.started_s,
                self.now_s,
                gateway.losses.weight_percent(),
            ),
        )
        if not gateway.reports_soon:
            gateway.reports_soon = True
            self.at(self.now_s + _NEWS_DELAY_S, lambda: self._report(gateway))
        if attempt.number < _MAX_ATTEMPTS:
            self._start(attempt.fingerprint, gateway, attempt.number + 1)

    def _report(self, gateway: SimulatedGateway) -> None:
        gateway.reports_soon = False
        news = gateway.suspects.unreported(self.now_s)
        told = gateway.shared.exchange(news, self.now_s)
        gateway.suspects.note_reported(news)
        gateway.suspects.merge(told, self.now_s)

    def _repeat_reports(self, gateway: SimulatedGateway) -> None:
        def report() -> None:
            self._report(gateway)
            self.at(self.now_s + _REPORT_INTERVAL_S, report)

        self.at(self.random.uniform(0, _REPORT_INTERVAL_S), report)
