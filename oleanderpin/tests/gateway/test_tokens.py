"""Tokens that a gateway takes from the lenders of its region."""

import asyncio
import threading
import time
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from ...core.errors import UnavailableError
from ...gateway.tokens import RegionTokens, lender_address
from ...membership.peers import Peer
from ...testing.builders import make_peers
from ...wire.generated.lending.ttypes import (
    TakeReply,
    TokenGrant,
    TokenRequest,
)

OWN = make_peers('north-a', 1)[0]


def control(failure_domain: str) -> Peer:
    """Return a control instance."""
    name = f'control-{failure_domain}'
    (peer,) = make_peers(failure_domain, 1)
    return replace(peer, name=name, peer_address=name, roles=('control',))


class Kernel:
    """Stands in for kernel, membership, network and lenders."""

    def __init__(self) -> None:
        self.settings = SimpleNamespace(
            instance=SimpleNamespace(name='g1', region='north')
        )
        self.peers = [OWN, control('north-a'), control('south-a')]
        self.available = 0
        self.is_reachable = True
        self.is_cut_off = False
        self.is_exhausted = False
        self.calls: list[list[TokenRequest]] = []
        self.may_answer = threading.Event()
        self.may_answer.set()

    def plugin(self, _plugin_class: type) -> Any:
        return self

    def alive(self) -> list[Peer]:
        return self.peers

    def own(self) -> Peer:
        return OWN

    def call(self, _address: str, *arguments: Any, **_options: Any) -> Any:
        requests = arguments[-1]
        self.calls.append(requests)
        self.may_answer.wait(60)
        if not self.is_reachable:
            raise UnavailableError('no answer')
        grants = []
        for request in requests:
            self.available += request.returned
            granted = min(self.available, request.waiting)
            self.available -= granted
            grants.append(
                TokenGrant(request.account, granted, self.is_exhausted)
            )
        return TakeReply(grants=grants, is_cut_off=self.is_cut_off)


def take(
    kernel: Kernel, count: int, *, wait_s: float = 0.2, account: str = 'shop'
) -> Counter[str]:
    """Let requests take tokens at the same time; return their results."""
    tokens = RegionTokens(kernel)

    async def take_all() -> list[str]:
        return await asyncio.gather(
            *(
                tokens.take(account, deadline_s=time.monotonic() + wait_s)
                for _each in range(count)
            )
        )

    return Counter(asyncio.run(take_all()))


def test_one_call_serves_the_requests_that_wait() -> None:
    """Guards against a message for each request."""
    kernel = Kernel()
    kernel.available = 20
    assert take(kernel, 20) == {'ok': 20}
    assert len(kernel.calls) <= 2


def test_requests_without_a_token_in_time_are_short() -> None:
    """Guards against requests that wait for a token until their deadline."""
    kernel = Kernel()
    kernel.available = 2
    assert take(kernel, 5) == {'ok': 2, 'short': 3}


def test_exhausted_account_is_refused_at_once() -> None:
    """Guards against waiting for tokens that will not come."""
    kernel = Kernel()
    kernel.available = 2
    kernel.is_exhausted = True
    assert take(kernel, 5, wait_s=60) == {'ok': 2, 'exhausted': 3}


@pytest.mark.parametrize('is_cut_off', [False, True])
def test_lost_lender_leaves_the_own_share(is_cut_off: bool) -> None:
    """Guards against a lost control instance that stops its region."""
    kernel = Kernel()
    kernel.is_reachable = is_cut_off
    kernel.is_cut_off = is_cut_off
    assert take(kernel, 3, wait_s=60) == {'unavailable': 3}


def test_region_without_control_instance_uses_the_own_share() -> None:
    """Guards against lenders in other regions, as far as the leader is."""
    kernel = Kernel()
    kernel.peers = [OWN, control('south-a')]
    assert take(kernel, 3, wait_s=60) == {'unavailable': 3}
    assert not kernel.calls


def test_token_of_a_request_that_gave_up_is_returned() -> None:
    """Guards against tokens lost with callers that do not wait."""
    kernel = Kernel()
    kernel.available = 1
    kernel.may_answer.clear()
    tokens = RegionTokens(kernel)

    async def give_up_and_take() -> str:
        now_s = time.monotonic()
        first = await tokens.take('shop', deadline_s=now_s + 0.1)
        kernel.may_answer.set()
        second = await tokens.take('shop', deadline_s=now_s + 60)
        return f'{first} {second}'

    assert asyncio.run(give_up_and_take()) == 'short ok'


def test_gateways_of_a_region_share_one_lender() -> None:
    """Guards against tokens of an account that lie at several lenders."""
    peers = [control(f'north-{half}') for half in 'abc']
    chosen = {
        lender_address(order, 'north', 'shop') for order in (peers, peers[::-1])
    }
    assert len(chosen) == 1
    lenders = {
        lender_address(peers, 'north', f'shop-{number}') for number in range(50)
    }
    assert len(lenders) == 3
