"""Order and limits of the fair queue in front of a service."""

import threading
from types import SimpleNamespace
from typing import Any

import pytest

from ...control.state import Service
from ...core.clock import MonotonicClock
from ...core.errors import Refusal
from ...limits.fair_queue import FairQueue
from ...limits.round_robin import Durations, RoundRobin, Waiter
from ...limits.slots import ServiceSlots

NOW_S = 100.0


def push(slots: ServiceSlots, account: str, count: int) -> list[bool]:
    return [
        slots.push(Waiter(account, NOW_S + 1), 'small')
        for _each in range(count)
    ]


def test_accounts_are_served_in_turn() -> None:
    """Guards against an account that floods the queue and starves others."""
    queue = RoundRobin(Durations())
    for account in ('large', 'large', 'large', 'small', 'small'):
        queue.push(Waiter(account, NOW_S + 1))
    served = [queue.pop(NOW_S).account for _each in range(5)]
    assert served == ['large', 'small', 'large', 'small', 'large']
    assert queue.pop(NOW_S) is None


def test_newcomer_is_served_first_but_not_twice() -> None:
    """Guards against new accounts that wait behind all queues, or skip them."""
    queue = RoundRobin(Durations())
    for account in ('large', 'other', 'large', 'other', 'large'):
        queue.push(Waiter(account, NOW_S + 1))
    served = [queue.pop(NOW_S).account for _each in range(2)]
    for _each in range(2):
        queue.push(Waiter('quiet', NOW_S + 1))
        served.append(queue.pop(NOW_S).account)
    assert served == ['large', 'other', 'quiet', 'large']


def test_long_requests_cost_more() -> None:
    """Guards against an account that takes most slot time by long requests."""
    durations = Durations()
    durations.record('long', 3)
    durations.record('short', 1)
    queue = RoundRobin(durations)
    for _each in range(40):
        queue.push(Waiter('long', NOW_S + 1))
        queue.push(Waiter('short', NOW_S + 1))
    served = [queue.pop(NOW_S).account for _each in range(24)]
    assert 17 <= served.count('short') <= 19


def test_late_requests_are_dropped() -> None:
    queue = RoundRobin(Durations())
    queue.push(Waiter('a', NOW_S - 1))
    queue.push(Waiter('b', NOW_S + 1))
    assert queue.pop(NOW_S).account == 'b'
    assert len(queue) == 0


def test_one_account_holds_half_of_the_places() -> None:
    slots = ServiceSlots(places=8)
    assert push(slots, 'large', 5) == [True] * 4 + [False]
    assert push(slots, 'other', 5) == [True] * 4 + [False]


def test_classes_do_not_starve_each_other() -> None:
    """Guards against bulk transfers that occupy all slots."""
    slots = ServiceSlots(places=64)
    slots.set_slots(8)
    assert slots.start_at_once('small', NOW_S)
    started = [slots.start_at_once('bulk', NOW_S) for _each in range(8)]
    assert started == [True] * 6 + [False] * 2
    assert slots.start_at_once('small', NOW_S)
    for _each in range(4):
        slots.push(Waiter('a', NOW_S + 9), 'small')
        slots.push(Waiter('b', NOW_S + 9), 'bulk')
    for _each in range(4):
        slots.release('b', 'bulk', 1)
    granted = slots.dispatch(NOW_S)
    assert [waiter.account for waiter in granted] == ['a'] * 4


def test_unused_slots_serve_the_other_class() -> None:
    slots = ServiceSlots(places=64)
    slots.set_slots(4)
    assert all(slots.start_at_once('bulk', NOW_S) for _each in range(4))


@pytest.fixture
def queue() -> FairQueue:
    """A queue for one slot, in which two requests may wait."""
    kernel: Any = SimpleNamespace(
        clock=MonotonicClock(),
        settings=SimpleNamespace(forwarding=SimpleNamespace(threads=4)),
        plugin=lambda _class: SimpleNamespace(slots=lambda _service: 1),
    )
    return FairQueue(kernel)


def enter(queue: FairQueue, account: str, max_wait_s: float) -> Any:
    return queue.enter(
        Service('desk', 'counter'),
        account,
        traffic_class='small',
        deadline_s=queue.kernel.clock.now_s() + max_wait_s,
    )


def test_refusals_tell_their_reason(queue: FairQueue) -> None:
    with enter(queue, 'a', 1), pytest.raises(Refusal) as timeout:
        with enter(queue, 'b', 0.01):
            pass
    assert timeout.value.reason == 'queue_timeout'
    assert timeout.value.details.retry_after_s > 0
    with enter(queue, 'a', 1):
        thread = threading.Thread(target=run, args=(queue, 'a'))
        thread.start()
        while not queue._services['desk'].waiting:
            pass
        with pytest.raises(Refusal) as full, enter(queue, 'a', 1):
            pass
    thread.join()
    assert full.value.reason == 'queue_full'
    assert queue._services['desk'].running == 0


def run(queue: FairQueue, account: str) -> None:
    with enter(queue, account, 5):
        pass
