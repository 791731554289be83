"""Callers that are sent to neighbouring failure domains."""

from collections import deque

import pytest

from ...lookup.steering import DomainLinks, Steering, choose_neighbours
from ...testing.builders import make_peers

# Callers follow a look-up after its time to live, some after three times that.
FOLLOW_S = (2, 2, 2, 6)
RUN_S = 120


class Callers:
    """Callers of two failure domains that follow look-ups with a delay.

    The demand is in units of one gateway's link.
    """

    def __init__(self, demand: dict[str, float], gateways: int = 10) -> None:
        self.demand = demand
        self.gateways = gateways
        self.steering = Steering()
        self.shares: deque[dict[str, float]] = deque(maxlen=max(FOLLOW_S) + 1)
        self.loads: list[dict[str, float]] = []

    def step(self) -> None:
        """Let a second pass."""
        self.shares.append(
            {name: self.steering.share(name) for name in self.demand}
        )
        first, second = self.demand
        away = {name: self._share_in_use(name) for name in self.demand}
        carried = {
            first: self.demand[first] * (1 - away[first])
            + self.demand[second] * away[second],
            second: self.demand[second] * (1 - away[second])
            + self.demand[first] * away[first],
        }
        loads = {
            name: min(1.0, total / self.gateways)
            for name, total in carried.items()
        }
        self.loads.append(loads)
        links = {
            name: DomainLinks('north', self.gateways, load)
            for name, load in loads.items()
        }
        self.steering.update(links, elapsed_s=1.0)

    def _share_in_use(self, name: str) -> float:
        known = [
            self.shares[max(0, len(self.shares) - 1 - delay_s)][name]
            for delay_s in FOLLOW_S
        ]
        return sum(known) / len(known)


@pytest.mark.parametrize('busy', [9.0, 14.0, 20.0])
def test_busy_links_are_relieved_without_swings(busy: float) -> None:
    """Guards against callers that crowd the gateways of one failure domain.

    Nine gateways got 29% of the requests, twelve idle ones 7%.
    """
    callers = Callers({'north-a': busy, 'north-b': 2.0})
    for _second in range(RUN_S):
        callers.step()
    last = callers.loads[-20:]
    assert all(abs(each['north-a'] - each['north-b']) < 0.1 for each in last)
    busiest = [each['north-a'] for each in last]
    assert max(busiest) - min(busiest) < 0.1


def test_callers_return_when_the_load_has_passed() -> None:
    """Guards against traffic between failure domains that is not needed."""
    callers = Callers({'north-a': 14.0, 'north-b': 2.0})
    for _second in range(RUN_S):
        callers.step()
    assert callers.steering.share('north-a') > 0.2
    callers.demand = {'north-a': 2.0, 'north-b': 2.0}
    for _second in range(RUN_S):
        callers.step()
    assert not callers.steering.share('north-a')


def test_callers_stay_while_all_links_are_idle_or_unknown() -> None:
    """Guards against spreading callers although it helps none of them."""
    callers = Callers({'north-a': 3.0, 'north-b': 0.5})
    for _second in range(RUN_S):
        callers.step()
    assert not callers.steering.share('north-a')
    callers.steering.update({}, elapsed_s=1.0)
    assert not callers.steering.share('north-a')


def test_other_regions_relieve_nothing() -> None:
    """Guards against requests that leave the regions they are bound to."""
    steering = Steering()
    links = {
        'north-a': DomainLinks('north', 10, 1.0),
        'south-a': DomainLinks('south', 10, 0.0),
    }
    for _second in range(RUN_S):
        steering.update(links, elapsed_s=1.0)
    assert not steering.share('north-a')


@pytest.mark.parametrize('share', [0.05, 0.2, 0.5])
def test_added_gateways_match_the_share(share: float) -> None:
    """Guards against a share that is lost in rounding to whole gateways."""
    near = make_peers('north-a', 9)
    others = make_peers('north-b', 12)
    added = [
        len(choose_neighbours(near, others, share=share, caller=f'c{number}'))
        for number in range(4000)
    ]
    shares = [count / (count + len(near)) for count in added]
    assert sum(shares) / len(shares) == pytest.approx(share, abs=0.02)


def test_caller_keeps_its_gateways() -> None:
    """Guards against callers that drop connections with each look-up."""
    near = make_peers('north-a', 9)
    others = make_peers('north-b', 12)
    first = choose_neighbours(near, others, share=0.3, caller='c1')
    again = choose_neighbours(near, others[::-1], share=0.3, caller='c1')
    more = choose_neighbours(near, others, share=0.4, caller='c1')
    assert first == again
    assert more[: len(first)] == first
