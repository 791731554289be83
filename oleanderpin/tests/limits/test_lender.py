"""Tokens that control instances lend to the gateways of their region."""

from typing import Any

import pytest

from ...limits.holder import Holder
from ...limits.ledger import Ledger
from ...limits.lender import TokenLender
from ...limits.messages import Quota
from ...testing import ManualClock
from ...wire.generated.lending.ttypes import TokenRequest
from .test_small_accounts import ACCOUNT, Fleet, poisson

BURST = 6


class Lender:
    """A lender whose shares are renewed when the test says so."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.ledger = Ledger(clock=self.clock, lease_s=4.0, possible_holders=())
        self.ledger.set_whole('account/shop', Quota(2.0, BURST))
        self.holder = Holder(
            clock=self.clock, name='lender/c1', incarnation=1, lease_s=4.0
        )
        self.is_cut_off = False
        self.lender = TokenLender(self)

    def plugin(self, _plugin_class: type) -> Any:
        return self

    def register(self, *_arguments: Any) -> None:
        """Stand in for the peer server."""

    def take_now(self, resource: str) -> str:
        return 'ok' if self.holder.take(resource) else 'short'

    def renew(self) -> None:
        self.holder.apply(self.ledger.renew(self.holder.request()))

    def take(self, gateway: str, **needs: int) -> int:
        fields = {'arrivals': 0, 'waiting': 0, 'returned': 0} | needs
        request = TokenRequest(account='shop', **fields)
        (grant,) = self.lender.take(gateway, [request]).grants
        return grant.granted

    def waiting(self) -> int:
        return self.holder.note_waiting('account/shop', 0)


def test_waiting_requests_of_gateways_add_up() -> None:
    """Guards against tokens lent for the requests of one gateway only."""
    lender = Lender()
    assert not lender.take('g1', arrivals=2, waiting=2)
    assert not lender.take('g2', arrivals=1, waiting=1)
    assert not lender.take('g2', waiting=1)
    assert lender.waiting() == 3
    lender.renew()
    assert lender.take('g1', waiting=2) + lender.take('g2', waiting=1) == 3
    assert not lender.waiting()


def test_gateways_together_stay_within_the_rate() -> None:
    """Guards against a lender that grants more than it holds."""
    lender = Lender()
    granted = 0
    for _round in range(100):
        for gateway in ('g1', 'g2', 'g3'):
            granted += lender.take(gateway, arrivals=1, waiting=2)
        lender.renew()
        lender.clock.advance(0.1)
    assert 0.8 * 2.0 * 10 <= granted <= BURST + 2.0 * 10


def test_gateway_that_is_gone_no_longer_waits() -> None:
    """Guards against tokens kept for a gateway that has been lost."""
    lender = Lender()
    lender.take('g1', arrivals=3, waiting=3)
    lender.clock.advance(2.0)
    lender.take('g2', arrivals=1, waiting=1)
    assert lender.waiting() == 1


def test_returned_token_is_lent_again() -> None:
    """Guards against a rate used up by requests that no target was sent."""
    lender = Lender()
    lender.take('g1', arrivals=1, waiting=1)
    lender.renew()
    assert lender.take('g1', waiting=1) == 1
    assert lender.take('g1', arrivals=1, waiting=1, returned=1) == 1


@pytest.mark.parametrize('holders', [3, 4])
def test_few_lenders_have_tokens_at_hand(holders: int) -> None:
    """Guards against requests that each wait for a far leader.

    With 66 gateways that borrow for themselves, requests of an account with 20
    requests/s wait 0.13 s and more.
    """
    fleet = Fleet(holders, Quota(20, 20))
    waits_s = []
    serve = fleet.serve

    def serve_and_measure(index: int) -> None:
        before = list(fleet.waiting[index])
        serve(index)
        served = len(before) - len(fleet.waiting[index])
        waits_s.extend(fleet.clock.now_s() - at for at in before[:served])

    fleet.serve = serve_and_measure  # type: ignore[method-assign]
    arrivals = poisson(holders, 12, seed=1)
    fleet.run(arrivals)
    assert fleet.rejected <= 0.02 * len(arrivals)
    assert ACCOUNT in fleet.holders[0].resources()
    assert sum(waits_s) / len(waits_s) <= 0.03
