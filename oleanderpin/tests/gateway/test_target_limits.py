"""A target's limit on the requests of all gateways together."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from ...gateway.known_gateways import KnownGateways
from ...gateway.placement import (
    OWN_FAILURE_DOMAIN,
    Candidate,
    Needs,
    note_placed,
    order_candidates,
    place,
)
from ...gateway.target_health import TargetHealth
from ...routing.target_limits import (
    SharedLimits,
    TargetLimits,
    parse_limit_per_s,
)
from ...testing.routing import make_target

LIMIT_PER_S = 6.0
LIMITED = 't0'
WINDOW_S = 4.0
# The users allow one and a half times the limit, and five requests.
ALLOWED = LIMIT_PER_S * WINDOW_S * 1.5 + 5
# Counted are requests of gateways that have passed on the limit this long ago.
LEARNT_S = 0.5
RESPONSE_S = 0.15
REPORT_S = 1.0
LIMITED_FROM_S = 5.0


@dataclass(slots=True)
class Gateway:
    """A gateway that places requests and learns limits from responses."""

    name: str
    known_gateways: KnownGateways
    is_cut_off: bool = False
    learnt_s: float = float('inf')
    limits: TargetLimits = field(default_factory=TargetLimits)
    candidates: list[Candidate] = field(default_factory=list)


class Fleet:
    """Gateways whose requests all belong to objects of one limited target."""

    def __init__(self, size: int, *, targets: int = 6, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.names = [f'g{number}' for number in range(size)]
        self.targets = targets
        self.gateways = [self.started(name) for name in self.names]
        for gateway in self.gateways:
            gateway.known_gateways.add(self.names)
            gateway.known_gateways.note_complete()
        self.shared = SharedLimits()
        self.limited_until_s = float('inf')
        self.counted_s: list[float] = []
        self.sent_s: list[float] = []
        self.elsewhere = 0
        self.refused = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.scheduled = 0

    def started(self, name: str) -> Gateway:
        """Return a gateway that knows only itself."""
        gateway = Gateway(name, KnownGateways(name))
        gateway.candidates = [
            Candidate(
                make_target(f't{number}', failure_domain='north-a'),
                TargetHealth(9),
                OWN_FAILURE_DOMAIN,
            )
            for number in range(self.targets)
        ]
        return gateway

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self.scheduled += 1
        heapq.heappush(
            self.events, (self.now_s + delay_s, self.scheduled, action)
        )

    def run(self, until_s: float, *, demand_per_s: float) -> None:
        """Let requests arrive at random gateways."""
        self.at(0, lambda: self.arrive(demand_per_s))
        for number in range(len(self.gateways)):
            self.at(
                self.random.random() * REPORT_S, lambda n=number: self.report(n)
            )
        while self.events and self.events[0][0] < until_s:
            self.now_s, _number, action = heapq.heappop(self.events)
            action()

    def arrive(self, demand_per_s: float) -> None:
        """Place a request of an object whose first target is limited."""
        self.at(
            self.random.expovariate(demand_per_s),
            lambda: self.arrive(demand_per_s),
        )
        gateway = self.random.choice(self.gateways)
        for each in gateway.candidates:
            each.health.set_limit(
                gateway.limits.limit_per_s(each.target.target_id, self.now_s),
                self.now_s,
            )
        (group,) = order_candidates('o', gateway.candidates, home='north')
        group.sort(key=lambda each: each.target.target_id)
        placement = place(
            [group],
            Needs('o', 2.0, usual_s=RESPONSE_S),
            replicas=4,
            now_s=self.now_s,
            known_gateways=gateway.known_gateways,
        )
        chosen = placement.candidate
        if chosen is None:
            self.refused += 1
            assert placement.reject_reason == 'limited'
            return
        note_placed(chosen, 'o', self.now_s)
        self.at(RESPONSE_S, lambda: self.respond(gateway, chosen))
        if chosen.target.target_id != LIMITED:
            self.elsewhere += 1
            return
        self.sent_s.append(self.now_s)
        if gateway.learnt_s + LEARNT_S <= self.now_s:
            self.counted_s.append(self.now_s)

    def respond(self, gateway: Gateway, chosen: Candidate) -> None:
        """Pass on the response of a target, with its limit if it has one."""
        chosen.health.in_flight -= 1
        is_limited = (
            chosen.target.target_id == LIMITED
            and LIMITED_FROM_S <= self.now_s < self.limited_until_s
        )
        limit_per_s = LIMIT_PER_S if is_limited else 0.0
        gateway.limits.observe(chosen.target.target_id, limit_per_s, self.now_s)
        if is_limited:
            gateway.learnt_s = min(gateway.learnt_s, self.now_s)

    def report(self, number: int) -> None:
        """Exchange limits with the other gateways."""
        self.at(REPORT_S, lambda: self.report(number))
        gateway = self.gateways[number]
        if gateway.is_cut_off:
            return
        observed = gateway.limits.take_observed(self.now_s)
        self.shared.record(observed, self.now_s)
        changed = self.shared.changed_since(gateway.limits.version, self.now_s)
        gateway.limits.merge(changed, self.shared.version, self.now_s)

    def most_in_window(self) -> int:
        """Return the most counted requests in any window."""
        return max(
            (
                sum(1 for each in self.counted_s if 0 <= each - at < WINDOW_S)
                for at in self.counted_s
            ),
            default=0,
        )


@pytest.mark.parametrize('size', [1, 2, 10, 66, 530])
def test_limited_target_gets_what_it_takes_from_all_gateways(
    size: int,
) -> None:
    """Guards against gateways that each send a target its whole limit."""
    fleet = Fleet(size)
    fleet.run(40.0, demand_per_s=60.0)
    assert fleet.most_in_window() <= ALLOWED
    assert not fleet.refused
    after = sum(each > LIMITED_FROM_S + WINDOW_S for each in fleet.sent_s)
    usable = LIMIT_PER_S * (40.0 - LIMITED_FROM_S - WINDOW_S)
    assert 0 < after <= usable
    if size <= 10:
        # Each gateway has enough requests to use its part.
        assert after >= 0.8 * usable


@pytest.mark.parametrize('size', [10, 66])
def test_gateways_that_are_cut_off_stay_within_the_limit(size: int) -> None:
    """Guards against two sides of a cut that each send the whole limit."""
    fleet = Fleet(size)
    for gateway in fleet.gateways[::2]:
        gateway.is_cut_off = True
    fleet.run(40.0, demand_per_s=60.0)
    assert fleet.most_in_window() <= ALLOWED


@pytest.mark.parametrize('size', [10, 66])
def test_restarted_gateways_stay_within_the_limit(size: int) -> None:
    """Guards against gateways that do not know the others yet."""
    fleet = Fleet(size)

    def restart(number: int) -> None:
        fleet.gateways[number] = fleet.started(fleet.names[number])

    def meet(number: int) -> None:
        fleet.gateways[number].known_gateways.add(fleet.names)

    for number in range(size):
        delay_s = 8.0 + number * 20.0 / size
        fleet.at(delay_s, lambda n=number: restart(n))
        fleet.at(delay_s + 1.0, lambda n=number: meet(n))
    fleet.run(40.0, demand_per_s=60.0)
    assert fleet.most_in_window() <= ALLOWED


def test_all_targets_at_their_limit_is_refused_at_once() -> None:
    """Guards against requests that wait for a target until their deadline."""
    fleet = Fleet(10, targets=1)
    fleet.run(20.0, demand_per_s=60.0)
    assert fleet.refused
    assert fleet.most_in_window() <= ALLOWED


@pytest.mark.parametrize('size', [2, 66])
def test_target_gets_its_objects_back(size: int) -> None:
    """Guards against a limit that outlives the target's need."""
    fleet = Fleet(size)
    fleet.limited_until_s = 20.0
    fleet.run(60.0, demand_per_s=30.0)
    last = [each for each in fleet.sent_s if each > 50.0]
    assert len(last) > 0.9 * 30.0 * 10.0


@pytest.mark.parametrize('value', [b'', b'many', b'-3', b'nan', b'inf'])
def test_unreadable_limit_says_nothing(value: bytes) -> None:
    """Guards against a header that stops all requests to a target."""
    assert parse_limit_per_s(value) is None


def test_limit_is_a_decimal_number() -> None:
    """Guards against limits that are rounded or ignored."""
    assert parse_limit_per_s(b'5.9') == pytest.approx(5.9)
    assert parse_limit_per_s(None) == 0
    assert parse_limit_per_s(b'0') > 0
