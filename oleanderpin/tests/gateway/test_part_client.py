"""Gateways that ask control instances for tokens of small accounts."""

import asyncio
import threading
import time
from collections.abc import Callable
from types import MappingProxyType, SimpleNamespace
from typing import Any

import pytest
import uvloop
from thrift.protocol.TProtocol import TProtocolException

from ...control.state import Account, ControlState, PART_OWNERS_KEY
from ...control.view import ControlView
from ...core.clock import monotonic_s
from ...gateway import part_client
from ...gateway.part_client import PartClient, Taken
from ...limits.parts import Parts
from ...membership.peers import Peers
from ...testing import ManualClock
from ...testing.builders import settled_owners
from ...wire.generated.parts.ttypes import Given, Need
from ...wire.network import PeerNetwork

ACCOUNT = 'small'
ADDRESSES = tuple(f'10.0.0.{number}:7220' for number in range(6))
FAR_ROUND_TRIP_S = 0.11
WAIT_S = 0.6

Take = Callable[[str, list[Need]], list[Given]]


def client_of(
    take: Take,
    *,
    addresses: tuple[str, ...] = ADDRESSES,
    state: ControlState | None = None,
) -> Any:
    """Return a client whose calls are answered by ``take``."""
    own = SimpleNamespace(
        name='g0', roles=('gateway',), failure_domain='a', region='r'
    )
    control = [
        SimpleNamespace(
            name=address,
            roles=('control',),
            failure_domain='b',
            region='s',
            peer_address=address,
        )
        for address in addresses
    ]

    def call(
        address: str,
        _service: str,
        _method: str,
        needs: Any,
        *,
        timeout_s: float,
    ) -> list[Given]:
        assert timeout_s > 0
        return take(address, needs)

    peers = SimpleNamespace(alive=lambda: (own, *control))
    plugins: dict[Any, Any] = {
        Peers: peers,
        PeerNetwork: SimpleNamespace(call=call),
        ControlView: SimpleNamespace(state=state or ControlState()),
    }
    return PartClient(SimpleNamespace(plugin=plugins.__getitem__))


async def take_one(client: Any, *, wait_s: float = WAIT_S) -> Taken:
    """Take one token."""
    taken: Taken = await client.take(
        ACCOUNT, deadline_s=part_client.monotonic_s() + wait_s
    )
    return taken


def test_first_request_asks_few_distant_owners() -> None:
    """Guards against one request that takes a token of every owner.

    No control instance is near, and none has been asked before.
    """
    asked: list[str] = []

    def take(address: str, _needs: list[Need]) -> list[Given]:
        asked.append(address)
        time.sleep(FAR_ROUND_TRIP_S)
        return [Given(account=ACCOUNT, count=1)]

    taken = asyncio.run(take_one(client_of(take)))
    assert taken.outcome == 'ok'
    assert len(asked) <= 2


def test_owner_that_does_not_know_the_account_is_left() -> None:
    """Guards against the nearest instance that has no state yet."""
    unaware: set[str] = set()

    def take(address: str, _needs: list[Need]) -> list[Given]:
        if not unaware or address in unaware:
            unaware.add(address)
            return [Given(account=ACCOUNT, count=0, is_unknown=True)]
        return [Given(account=ACCOUNT, count=1)]

    taken = asyncio.run(take_one(client_of(take)))
    assert taken.outcome == 'ok'


def test_request_asks_again_after_a_broken_reply() -> None:
    """Guards against a request that no call asks for."""
    calls: list[str] = []

    def take(address: str, _needs: list[Need]) -> list[Given]:
        calls.append(address)
        if len(calls) == 1:
            raise TProtocolException(message='broken reply')
        return [Given(account=ACCOUNT, count=1)]

    taken = asyncio.run(take_one(client_of(take)))
    assert taken.outcome == 'ok'


def test_tokens_given_back_late_do_not_exceed_the_burst(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against unused tokens that gateways keep until a later burst.

    Requests at 66 gateways were admitted and found no target; ten seconds
    later, when the part is full again, the account sends a burst.
    """
    gateways = 66
    limited = Account(ACCOUNT, rate_per_s=20, burst=20)
    clock = ManualClock(0.0)
    parts = Parts(clock=clock, address=ADDRESSES[0], handover_s=0)
    parts.update([limited], settled_owners(ADDRESSES[:1]))
    lock = threading.Lock()
    monkeypatch.setattr(
        part_client,
        'monotonic_s',
        lambda: monotonic_s() + clock.now_s(),
    )

    def take(_address: str, needs: list[Need]) -> list[Given]:
        with lock:
            parts.add(ACCOUNT, needs[0].returned or 0)
            count = parts.take(ACCOUNT, needs[0].count)
        return [Given(account=ACCOUNT, count=count, wait_ms=9000)]

    async def play() -> int:
        clients = [
            client_of(take, addresses=ADDRESSES[:1])
            for _each in range(gateways)
        ]
        for client in clients:
            clock.advance(0.06)
            assert (await take_one(client)).outcome == 'ok'
            client.give_back(ACCOUNT)
        clock.advance(10)
        admitted = 0
        for client in clients * 2:
            admitted += (await take_one(client)).outcome == 'ok'
        return admitted

    assert asyncio.run(play()) <= limited.burst


def test_owner_is_asked_before_an_instance_without_a_part() -> None:
    """Guards against a second hop for each token.

    A failure domain has several control instances, and one of them owns parts.
    """
    owner = ADDRESSES[3]
    owners = MappingProxyType({PART_OWNERS_KEY: settled_owners([owner])})
    asked: list[str] = []

    def take(address: str, _needs: list[Need]) -> list[Given]:
        asked.append(address)
        return [Given(account=ACCOUNT, count=1)]

    client = client_of(take, state=ControlState(part_owners=owners))
    asyncio.run(take_one(client))
    assert asked == [owner]


@pytest.mark.parametrize('wait_s', [0.5, 5.0])
def test_reply_that_waits_for_a_late_loop_is_used(wait_s: float) -> None:
    """Guards against prompt instances avoided since the own loop was busy.

    The request got no token either if its own time was over meanwhile.
    """
    is_busy = threading.Event()
    loops: list[asyncio.AbstractEventLoop] = []

    def work() -> None:
        is_busy.set()
        time.sleep(1.2)

    def take(_address: str, needs: list[Need]) -> list[Given]:
        loops[0].call_soon_threadsafe(work)
        assert is_busy.wait(10)
        return [Given(account=ACCOUNT, count=needs[0].count)]

    async def run() -> tuple[Taken, list[float]]:
        client = client_of(take)
        loops.append(asyncio.get_running_loop())
        taken = await take_one(client, wait_s=wait_s)
        avoided_s = [each.avoid_until_s for each in client._instances.values()]
        return taken, avoided_s

    assert uvloop.run(run()) == (Taken('ok'), [0.0])
