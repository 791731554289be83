"""Callers, and holders with their ledger over delayed messages."""

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from oleanderpin.limits.holder import Holder
from oleanderpin.limits.ledger import Ledger
from oleanderpin.limits.messages import Quota
from oleanderpin.limits.shares import (
    COLLECT_S,
    EARLY_INTERVAL_S,
    EXHAUSTED_VALID_S,
    LOW_GAP_S,
    MIN_GAP_S,
)
from oleanderpin.testing import ManualClock

HOLDERS = 11
HOLDERS_AT_LEADER = 4
DELAY_SAME_REGION_S = 0.0015
LEASE_S = 4.0
RENEW_INTERVAL_S = 0.5
PATIENCE_S = 1.0
# Three quarters of the default caller threads, as in ShareHolder.
MAX_WAITING = 48
RUN_S = 60.0
SEEDS = (1, 2, 3)
IN_RATE_PART = 0.7
RATE_PER_S = 100.0
ACCOUNTS = ('steady', 'bursty', 'skewed', 'flooding')

Arrival = tuple[float, str, int]


def steady(
    chance: random.Random, rate_per_s: float, *, holders: int = HOLDERS
) -> Iterator[Arrival]:
    """Yield Poisson arrivals at random instances."""
    at_s = 0.0
    while at_s < RUN_S:
        at_s += chance.expovariate(rate_per_s)
        yield at_s, 'steady', chance.randrange(holders)


def bursty(chance: random.Random, rate_per_s: float) -> Iterator[Arrival]:
    """Yield half a second's worth of requests at once at one instance."""
    at_s = 0.0
    size = rate_per_s / 2
    while at_s < RUN_S:
        at_s += chance.uniform(0.3, 0.7)
        index = chance.randrange(HOLDERS)
        for _each in range(int(size)):
            yield at_s + chance.uniform(0, 0.02), 'bursty', index


def skewed(chance: random.Random, rate_per_s: float) -> Iterator[Arrival]:
    """Yield arrivals at one instance, moving on every 10 s."""
    at_s = 0.0
    while at_s < RUN_S:
        at_s += chance.expovariate(rate_per_s)
        yield at_s, 'skewed', int(at_s // 10) * 5 % HOLDERS


def flooding(chance: random.Random, rate_per_s: float) -> Iterator[Arrival]:
    """Yield five times the rate at random instances."""
    at_s = 0.0
    while at_s < RUN_S:
        at_s += chance.expovariate(rate_per_s)
        yield at_s, 'flooding', chance.randrange(HOLDERS)


def arrivals(seed: int) -> list[Arrival]:
    """Return the arrivals of all accounts in order."""
    chance = random.Random(seed)
    found: list[Arrival] = []
    for source in (steady, bursty, skewed):
        found.extend(source(chance, RATE_PER_S * IN_RATE_PART))
    found.extend(flooding(chance, RATE_PER_S * 5))
    return sorted(each for each in found if each[0] < RUN_S)


@dataclass(slots=True)
class Tally:
    """What became of the requests of one account."""

    in_rate: int = 0
    admitted_s: list[float] = field(default_factory=list)
    waits_s: list[float] = field(default_factory=list)

    @property
    def refused_in_rate(self) -> int:
        """Requests that the fleet could have admitted and did not.

        For an account over its rate it is open which of its requests are
        in rate, so their numbers are compared.
        """
        return max(0, self.in_rate - len(self.waits_s))


class InRate:
    """Decides whether a request is within the account's rate and burst."""

    def __init__(self, whole: Quota) -> None:
        self._whole = whole
        self._tokens = whole.burst
        self._updated_s = 0.0

    def take(self, at_s: float) -> bool:
        """Count a request; return whether the whole fleet may admit it."""
        earned = (at_s - self._updated_s) * self._whole.rate_per_s
        self._tokens = min(self._whole.burst, self._tokens + earned)
        self._updated_s = at_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(slots=True)
class _Waiting:
    at_s: float


class Baseline:
    """Each instance admits rate/instances and burst/instances."""

    def __init__(self, whole: Quota) -> None:
        part = Quota(whole.rate_per_s / HOLDERS, max(1, whole.burst / HOLDERS))
        self._parts: dict[Any, InRate] = {}
        self._part = part

    def run(self, requests: list[Arrival], tallies: dict[str, Tally]) -> None:
        """Admit or refuse each request at once."""
        for at_s, account, index in requests:
            part = self._parts.setdefault((account, index), InRate(self._part))
            tally = tallies[account]
            if part.take(at_s):
                tally.admitted_s.append(at_s)
                tally.waits_s.append(0.0)


class Shares:
    """Ledger and holders over delayed messages, driven by events."""

    def __init__(
        self,
        whole: Quota,
        delay_s: float,
        *,
        size: int = HOLDERS,
        accounts: tuple[str, ...] = ACCOUNTS,
    ) -> None:
        self.accounts = accounts
        at_leader = size * HOLDERS_AT_LEADER // HOLDERS
        self.clock = ManualClock(0.0)
        self.ledger = Ledger(clock=self.clock, lease_s=LEASE_S)
        self.clock.advance(LEASE_S)
        self.start_s = LEASE_S
        for account in self.accounts:
            self.ledger.set_whole(account, whole)
        self.holders = [self._holder(index) for index in range(size)]
        self.delays_s = [
            DELAY_SAME_REGION_S if index < at_leader else delay_s
            for index in range(size)
        ]
        self.queues: list[dict[str, deque[_Waiting]]] = [
            {account: deque() for account in self.accounts}
            for _each in range(size)
        ]
        self.events: list[tuple[float, int, Callable[..., None], Any]] = []
        self.count = 0
        self.is_asking = [False] * size
        self.answered_s = [-1.0] * size
        self.sent_s = [-1.0] * size
        self.tallies: dict[str, Tally] = {}
        self.renewals = 0

    def run(self, requests: list[Arrival], tallies: dict[str, Tally]) -> None:
        """Play all requests and the renewals between them."""
        self.tallies = tallies
        for index in range(len(self.holders)):
            self.at(0.01 * index, self.renew, index)
        for request in requests:
            self.at(request[0], self.arrive, request)
        while self.events:
            at_s, _count, action, argument = heapq.heappop(self.events)
            if at_s > RUN_S:
                return
            self.clock.advance(at_s + self.start_s - self.clock.now_s())
            action(argument)

    def at(self, at_s: float, action: Callable[..., None], arg: Any) -> None:
        """Plan an action."""
        self.count += 1
        heapq.heappush(self.events, (at_s, self.count, action, arg))

    def now_s(self) -> float:
        """Return the time since the start of the run."""
        return self.clock.now_s() - self.start_s

    def arrive(self, request: Arrival) -> None:
        """Admit, refuse or queue one request, as ShareHolder does."""
        at_s, account, index = request
        holder = self.holders[index]
        holder.note_arrival(account)
        queue = self.queues[index][account]
        if not queue and holder.take(account):
            self.admit(account, at_s)
            is_old = self.now_s() - self.sent_s[index] > LOW_GAP_S
            if is_old and holder.is_low(account):
                self.renew_early(index)
            return
        if self.is_exhausted(index, account) or len(queue) >= MAX_WAITING:
            return
        queue.append(_Waiting(at_s))
        holder.note_waiting(account, 1)
        self.renew_early(index)
        self.at(at_s + PATIENCE_S, self.serve, (index, account))
        self.serve((index, account))

    def serve(self, key: tuple[int, str]) -> None:
        """Serve the requests that wait, in order."""
        index, account = key
        holder = self.holders[index]
        queue = self.queues[index][account]
        while queue:
            first = queue[0]
            if holder.take(account):
                self.admit(account, first.at_s)
            elif (
                not self.is_exhausted(index, account)
                and self.now_s() < first.at_s + PATIENCE_S - 1e-9
            ):
                break
            queue.popleft()
            holder.note_waiting(account, -1)
        next_s = holder.next_unit_s(account) if queue else None
        if next_s is not None:
            self.at(self.now_s() + next_s + 1e-6, self.serve, key)

    def admit(self, account: str, arrived_s: float) -> None:
        """Count an admission now."""
        tally = self.tallies[account]
        tally.admitted_s.append(self.now_s())
        tally.waits_s.append(self.now_s() - arrived_s)

    def is_exhausted(self, index: int, account: str) -> bool:
        """Return whether the leader had nothing to give lately."""
        age_s = self.holders[index].exhausted_age_s(account)
        return age_s is not None and age_s < EXHAUSTED_VALID_S

    def renew_early(self, index: int) -> None:
        """Renew as soon as the gap between renewals allows."""
        if not self.is_asking[index]:
            self.is_asking[index] = True
            soonest_s = max(
                self.answered_s[index] + MIN_GAP_S,
                self.sent_s[index] + EARLY_INTERVAL_S,
            )
            due_s = max(self.now_s() + COLLECT_S, soonest_s)
            self.at(due_s, self.send, index)

    def renew(self, index: int) -> None:
        """Renew if no renewal went out for an interval."""
        if self.answered_s[index] + RENEW_INTERVAL_S <= self.now_s() + 0.01:
            self.renew_early(index)

    def send(self, index: int) -> None:
        """Send a renewal."""
        self.renewals += 1
        self.sent_s[index] = self.now_s()
        renewal = self.holders[index].request()
        delay_s = self.delays_s[index]
        self.at(self.now_s() + delay_s, self.answer, (index, renewal))

    def answer(self, message: tuple[int, Any]) -> None:
        """Answer a renewal at the ledger."""
        index, renewal = message
        grants = self.ledger.renew(renewal)
        delay_s = self.delays_s[index]
        self.at(self.now_s() + delay_s, self.apply, (index, grants))

    def apply(self, message: tuple[int, Any]) -> None:
        """Apply the grants at the holder."""
        index, grants = message
        holder = self.holders[index]
        self.is_asking[index] = False
        self.answered_s[index] = self.now_s()
        holder.apply(grants)
        for account in self.accounts:
            self.serve((index, account))
        if holder.is_renewal_urgent():
            self.renew_early(index)
        self.at(self.now_s() + RENEW_INTERVAL_S, self.renew, index)

    def _holder(self, index: int) -> Holder:
        holder = Holder(
            clock=self.clock,
            name=f'instance-{index}',
            incarnation=1,
            lease_s=LEASE_S,
        )
        for account in self.accounts:
            holder.track(account)
        return holder


def fresh_tallies(
    requests: list[Arrival],
    whole: Quota,
    *,
    accounts: tuple[str, ...] = ACCOUNTS,
) -> dict[str, Tally]:
    """Return empty tallies that know which requests are in rate."""
    tallies = {account: Tally() for account in accounts}
    gates = {account: InRate(whole) for account in accounts}
    for at_s, account, _index in requests:
        if gates[account].take(at_s):
            tallies[account].in_rate += 1
    return tallies


def exceeds(admitted_s: list[float], whole: Quota) -> bool:
    """Return whether any window holds more than burst + rate x window."""
    gate = InRate(Quota(whole.rate_per_s, whole.burst + 1e-6))
    return not all(gate.take(at_s) for at_s in admitted_s)


def percentile(values: list[float], part: float) -> float:
    """Return the value below which ``part`` of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
