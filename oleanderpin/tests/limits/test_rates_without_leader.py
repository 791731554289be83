"""Rates of small accounts while the leader is silent, new or cut off.

The accounts have less than one token for each of eight gateways, the least
number among which floors are divided, and are asked for half of their rate.
"""

import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import pytest

from ...core.clock import monotonic_s
from ...daemon import Kernel  # noqa: F401
from ...testing.gateway_fleet import (
    AskedRequest,
    Flood,
    GatewayFleet,
    accounts_configuration,
    ask_evenly,
    started_fleet,
)

RATE_PER_S = 8.0
BURST = 8.0
# A burst takes longer to earn than a restart.
SLOW_RATE_PER_S = 1.0
DEADLINE_MS = 2000
SMALL = tuple(f'small{number}' for number in range(6))
HALF_OF_THE_RATE = {name: RATE_PER_S / 2 for name in SMALL}
ACCOUNTS = accounts_configuration(
    {name: (RATE_PER_S, BURST) for name in SMALL}
    | {'slow': (SLOW_RATE_PER_S, BURST), 'unlimited': (0.0, 0.0)}
)
DOMAINS = ('north-a', 'north-b', 'south-a')
GATEWAY_DOMAINS = (*DOMAINS, 'south-a')


def part_served(asked: Sequence[AskedRequest]) -> float:
    """Return the fraction of the requests that were served."""
    return sum(each.is_served for each in asked) / len(asked)


def outcomes(asked: Sequence[AskedRequest]) -> dict[str, int]:
    """Return the number of requests by status and reason."""
    return dict(Counter(f'{each.status} {each.reason}' for each in asked))


def max_over_rate(
    asked: Sequence[AskedRequest], *, rate_per_s: float = RATE_PER_S
) -> tuple[float, int, float]:
    """Return by how much the worst window exceeds burst + rate x window.

    A token is taken between the sending of a request and its answer, so that a
    window counts the requests that were both sent and answered in it.

    Returns
    -------
    tuple of float, int, float
        Excess in requests, requests and length of that window in seconds.
    """
    served = sorted(
        (each for each in asked if each.is_served),
        key=lambda each: each.answered_s,
    )
    worst = (-BURST, 0, 0.0)
    for first in served:
        count = 0
        for each in served:
            if each.sent_s < first.sent_s:
                continue
            count += 1
            window_s = each.answered_s - first.sent_s
            excess = count - BURST - rate_per_s * window_s
            worst = max(worst, (excess, count, window_s))
    return worst


def test_small_account_is_served_while_the_leader_is_silent(
    tmp_path: Path,
) -> None:
    """Guards against tokens that only one instance can give.

    One control instance of dalakit-prod-grown stood still: 1,963 of 3,195
    requests of accounts below their rates were refused in four seconds.
    """
    fleet = GatewayFleet(tmp_path, DOMAINS, GATEWAY_DOMAINS)
    with started_fleet(fleet, ACCOUNTS):
        for name in SMALL:
            fleet.wait_until_served(name)
        before = ask_evenly(
            fleet, HALF_OF_THE_RATE, duration_s=2, deadline_ms=DEADLINE_MS
        )
        assert part_served(before) >= 0.9, outcomes(before)
        fleet.silence(fleet.leader())
        during = ask_evenly(
            fleet, HALF_OF_THE_RATE, duration_s=3, deadline_ms=DEADLINE_MS
        )
    assert part_served(during) >= 0.9, outcomes(during)


def test_small_account_is_served_soon_after_all_restart(
    tmp_path: Path,
) -> None:
    """Guards against tokens that wait for the instances that come back late.

    After a loss of all power, front-shymkent-b-2 answered 429 to 145 requests
    and 200 to 3 in two seconds, on a link that was 0.1 full.
    """
    fleet = GatewayFleet(tmp_path, DOMAINS, GATEWAY_DOMAINS)
    with started_fleet(fleet, ACCOUNTS):
        for name in SMALL:
            fleet.wait_until_served(name)
        late = fleet.gateways[-1]
        fleet.stop()
        fleet.start(each for each in fleet.names if each != late)
        fleet.wait_until_served('unlimited')
        fleet.leader()
        after = ask_evenly(
            fleet,
            HALF_OF_THE_RATE | {'unlimited': RATE_PER_S},
            duration_s=4,
            deadline_ms=DEADLINE_MS,
        )
    first_s = min(each.sent_s for each in after)
    after = [each for each in after if each.sent_s > first_s + 1]
    unlimited = [each for each in after if each.account == 'unlimited']
    small = [each for each in after if each.account != 'unlimited']
    assert part_served(unlimited) >= 0.9, outcomes(unlimited)
    assert part_served(small) >= 0.9, outcomes(small)


@pytest.mark.parametrize('is_leader_alone', [True, False])
def test_sum_over_all_instances_stays_within_the_rate_in_a_cut(
    tmp_path: Path, *, is_leader_alone: bool
) -> None:
    """Guards against tokens that both sides of a cut give out.

    The cut outlasts the lease and ends during the flood.
    """
    fleet = GatewayFleet(tmp_path, DOMAINS, GATEWAY_DOMAINS, lease_s=2)
    account = SMALL[0]
    with started_fleet(fleet, ACCOUNTS):
        fleet.wait_until_served('unlimited')
        flood = Flood(fleet, account)
        flood.start()
        time.sleep(2)
        leader = fleet.leader()
        others = [each for each in fleet.controls if each != leader]
        alone = leader if is_leader_alone else others[0]
        fleet.silence(alone, *fleet.gateways[::2])
        time.sleep(5)
        fleet.restore()
        time.sleep(2)
        asked = flood.end()
    served = sum(each.is_served for each in asked)
    excess, count, window_s = max_over_rate(asked)
    assert served >= RATE_PER_S * 3, outcomes(asked)
    assert excess <= 0, f'{count} requests in {window_s:.2f} s'


def test_sum_over_all_instances_stays_within_the_rate_over_a_restart(
    tmp_path: Path,
) -> None:
    """Guards against a burst that is given out again by new processes."""
    fleet = GatewayFleet(tmp_path, DOMAINS, GATEWAY_DOMAINS, lease_s=2)
    with started_fleet(fleet, ACCOUNTS):
        fleet.wait_until_served('unlimited')
        flood = Flood(fleet, 'slow')
        flood.start()
        time.sleep(2)
        fleet.stop()
        restarted_s = monotonic_s()
        fleet.start()
        fleet.wait_until_served('unlimited')
        time.sleep(4)
        asked = flood.end()
    after = [each for each in asked if each.sent_s > restarted_s]
    excess, count, window_s = max_over_rate(asked, rate_per_s=SLOW_RATE_PER_S)
    assert any(each.is_served for each in after), outcomes(after)
    assert excess <= 0, f'{count} requests in {window_s:.2f} s'
