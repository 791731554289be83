"""One service with its instances, targets and callers on an event loop."""

import heapq
import math
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from oleanderpin.control.state import Profile
from oleanderpin.core.errors import Refusal
from oleanderpin.routing.capacity import RegionCapacity, spare_slots
from oleanderpin.routing.outcome import AttemptOutcome
from oleanderpin.routing.router import Router
from oleanderpin.routing.shift_budget import POOL_FRACTION
from oleanderpin.testing.clock import ManualClock
from oleanderpin.testing.routing import RoutingWorld, make_target

SEED = 7
PROFILE = Profile(name='p')
DURATION_S = 45.0
EVENT_S = 20.0
LOAD = 0.65
REGION_WEIGHTS = (0.45, 0.3, 0.25)
SERVICE_S = 0.05
SERVICE_SIGMA = 0.6
QUEUE_TIMEOUT_S = 1.0
RECHECK_S = 0.01
LEASE_S = 3.0
LOOKUP_TTL_S = 5.0
MAX_ATTEMPTS = 3


@dataclass(frozen=True)
class Site:
    """Size and delays of one service of a user."""

    name: str
    regions: tuple[str, str, str]
    servers: int
    slots: int
    domain_delay_s: float
    region_delay_s: float


_DALAKIT = ('almaty', 'astana', 'shymkent')
_JINLING = ('north', 'central', 'south')
SITES = (
    Site('board-api 30x7', _DALAKIT, 30, 7, 0.0015, 0.055),
    Site('ingest 12x3', _DALAKIT, 12, 3, 0.0015, 0.055),
    Site('counter-desk 30x9', _JINLING, 30, 9, 0.0005, 0.012),
    Site('claim-vault 12x3', _JINLING, 12, 3, 0.0005, 0.012),
)


@dataclass
class FakeTarget:
    """Runs ``slots`` requests, queues as many, sheds the rest."""

    domain: str
    slots: int
    running: int = 0
    queue: list[Callable[[], None]] = field(default_factory=list)
    is_alive: bool = True
    epoch: int = 0


@dataclass
class Caller:
    """One request on its way."""

    instance: str
    started_s: float
    tried: list[str] = field(default_factory=list)


class RoundRobin:
    """The baseline: the next announced target, whatever its place."""

    def __init__(self, world: RoutingWorld, start: int) -> None:
        self._world = world
        self._next = start

    def choose(self, exclude: list[str]) -> str:
        drained = set(self._world.state.drains)
        targets = [
            each.address
            for each in self._world.targets('desk')
            if each.failure_domain not in drained
            and each.address not in exclude
        ]
        if not targets:
            raise Refusal('no_target', 'none')
        self._next += 1
        return targets[self._next % len(targets)]


class Ledger:
    """Stands in for the leader's ledger: spare slots and shift pool."""

    def __init__(self, simulation: 'Simulation') -> None:
        self._simulation = simulation
        self._taken: list[tuple[float, float]] = []

    def leases_of(self, instance: str) -> 'Leases':
        return Leases(self, instance)

    def leased(self, instance: str, region: str) -> int | None:
        """Lend the slots that the region does not use, first come."""
        simulation = self._simulation
        domains = simulation.instances
        outside = [
            name
            for name, domain in domains.items()
            if domain.split('-')[0] != region
        ]
        if instance not in outside:
            return None
        spare = spare_slots(
            slots=simulation.region_slots(region),
            used_inside=simulation.used_inside[region],
            outside_instances=len(outside),
        )
        held = simulation.used_outside[region]
        own = simulation.held[instance, region]
        return own + max(0, spare - held) or None

    def take(self, amount_per_s: float) -> bool:
        simulation = self._simulation
        now_s = simulation.now_s
        since_s = now_s - PROFILE.shift_interval_s
        self._taken = [each for each in self._taken if each[0] > since_s]
        whole = LOAD * simulation.slots / SERVICE_S
        allowed = whole * PROFILE.shift_cap_percent / 100 * POOL_FRACTION
        taken = sum(amount for _when_s, amount in self._taken)
        if taken + amount_per_s > allowed:
            return False
        self._taken.append((now_s, amount_per_s))
        return True


class Leases:
    """What the ledger has lent to one instance."""

    def __init__(self, ledger: Ledger, instance: str) -> None:
        self._ledger = ledger
        self._instance = instance

    def leased(self, _service: str, region: str) -> int | None:
        return self._ledger.leased(self._instance, region)


class Simulation:
    """One service under one policy and one scenario."""

    def __init__(self, site: Site, *, policy: str, scenario: str) -> None:
        self.site = site
        self.scenario = scenario
        self.clock = ManualClock(0.0)
        self.rng = random.Random(SEED)
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.world = RoutingWorld(self.clock, PROFILE)
        self.domains = [f'{r}-{d}' for r in site.regions for d in 'ab']
        self.targets: dict[str, FakeTarget] = {}
        for index in range(site.servers):
            domain = self.domains[index % len(self.domains)]
            name = f't{index}'
            self.targets[name] = FakeTarget(domain, site.slots)
            self.world.put(
                make_target(name, failure_domain=domain, slots=site.slots)
            )
        self.instances = {
            f'i{index}': self.domains[index % len(self.domains)]
            for index in range(11)
        }
        self.slots = site.servers * site.slots
        self.used_inside: Counter[str] = Counter()
        self.used_outside: Counter[str] = Counter()
        self.held: Counter[tuple[str, str]] = Counter()
        ledger = Ledger(self)
        self.homes = dict(self.instances)
        self.routers: dict[str, Router] = {}
        self.robins: dict[str, RoundRobin] = {}
        for index, (name, domain) in enumerate(self.instances.items()):
            if policy == 'robin':
                self.robins[name] = RoundRobin(self.world, index * 3)
                continue
            router = self.world.router(name, failure_domain=domain)
            self.routers[name] = router
            if policy == 'ledger':
                router.use_lender(RegionCapacity(ledger.leases_of(name)))
                router.use_shift_pools(lambda _service: ledger)
        self.lost_domain = self.domains[0]
        self.latencies_s: list[tuple[float, float]] = []
        self.offered = 0
        self.refused: Counter[str] = Counter()
        self.sheds = 0
        self.admitted: dict[int, Counter[str]] = defaultdict(Counter)
        self.offers: Counter[int] = Counter()
        self.use: dict[int, Counter[str]] = defaultdict(Counter)
        self.peak_in_flight = 0.0
        self.drained_s = math.nan
        self.waiting: dict[str, deque[Caller]] = {
            name: deque() for name in self.instances
        }

    def region_slots(self, region: str) -> int:
        """Return the slots of the live targets of a region."""
        drained = set(self.world.state.drains)
        return sum(
            each.slots
            for each in self.targets.values()
            if each.is_alive
            and each.domain not in drained
            and each.domain.split('-')[0] == region
        )

    # Event loop.

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        entry = (self.now_s + delay_s, self._sequence, action)
        heapq.heappush(self._events, entry)

    def run(self) -> None:
        self.at(0, self._arrive)
        self.at(0, self._announce)
        self.at(0.1, self._sample)
        self.at(RECHECK_S, self._recheck)
        if self.scenario == 'drain':
            self.at(EVENT_S, self._drain)
        if self.scenario == 'loss':
            self.at(EVENT_S, self._lose)
        while self._events:
            when_s, _sequence, action = heapq.heappop(self._events)
            self.clock.advance(when_s - self.now_s)
            self.now_s = when_s
            action()

    # Callers.

    def _arrive(self) -> None:
        if self.now_s >= DURATION_S:
            return
        rate_per_s = LOAD * self.slots / SERVICE_S
        self.at(self.rng.expovariate(rate_per_s), self._arrive)
        region = self.rng.choices(self.site.regions, REGION_WEIGHTS)[0]
        usable = [
            name
            for name, domain in self.instances.items()
            if domain.startswith(f'{region}-')
        ]
        self.offered += 1
        self.offers[int(self.now_s)] += 1
        caller = Caller(self.rng.choice(usable), self.now_s)
        if self.waiting[caller.instance]:
            self.waiting[caller.instance].append(caller)
            return
        self._attempt(caller)

    def _attempt(self, caller: Caller) -> None:
        router = self.routers.get(caller.instance)
        try:
            if router is None:
                robin = self.robins[caller.instance]
                selection = None
                address = robin.choose(caller.tried)
            else:
                selection = router.choose(
                    self.world.service, route='r', exclude=caller.tried
                )
                address = selection.target.address
        except Refusal as refusal:
            self._refuse(caller, refusal.reason)
            return
        caller.tried.append(address)
        target = self.targets[address]
        delay_s = self._delay_s(caller.instance, target)
        sent_s = self.now_s
        region = target.domain.split('-')[0]
        self._count_use(caller.instance, region, 1)

        def finish(result: str) -> None:
            self._count_use(caller.instance, region, -1)
            if selection is not None:
                first_byte_ms = (self.now_s - sent_s) * 1000
                selection.record(AttemptOutcome(result, first_byte_ms))
                selection.__exit__()
            if result == 'ok':
                took_s = self.now_s - caller.started_s
                self.latencies_s.append((caller.started_s, took_s))
                self._wake(caller.instance)
            elif len(caller.tried) < MAX_ATTEMPTS and result != 'reset':
                self._attempt(caller)
            else:
                self._count_refusal('no_target_answered')

        self.at(delay_s, lambda: self._serve(target, delay_s, finish))

    def _refuse(self, caller: Caller, reason: str) -> None:
        waited_s = self.now_s - caller.started_s
        if reason != 'shift_cap' and waited_s < QUEUE_TIMEOUT_S:
            self.waiting[caller.instance].appendleft(caller)
            return
        self._count_refusal(reason)

    def _recheck(self) -> None:
        """Let the first waiting request of each instance ask again."""
        if self.now_s < DURATION_S + QUEUE_TIMEOUT_S:
            self.at(RECHECK_S, self._recheck)
        for name in self.waiting:
            self._wake(name)

    def _wake(self, instance: str) -> None:
        waiting = self.waiting[instance]
        while waiting:
            caller = waiting.popleft()
            if self.now_s - caller.started_s < QUEUE_TIMEOUT_S:
                self._attempt(caller)
                return
            self._count_refusal('queue_timeout')

    def _count_refusal(self, reason: str) -> None:
        self.refused[reason] += 1

    def _count_use(self, instance: str, region: str, change: int) -> None:
        if self.homes[instance].startswith(f'{region}-'):
            self.used_inside[region] += change
            return
        self.used_outside[region] += change
        self.held[instance, region] += change

    def _delay_s(self, instance: str, target: FakeTarget) -> float:
        domain = self.homes[instance]
        if domain == target.domain:
            return 0.0001
        if domain.split('-')[0] == target.domain.split('-')[0]:
            return self.site.domain_delay_s
        return self.site.region_delay_s

    # Targets.

    def _serve(
        self,
        target: FakeTarget,
        delay_s: float,
        finish: Callable[[str], None],
    ) -> None:
        if not target.is_alive:
            self.at(delay_s, lambda: finish('no_connection'))
            return
        self.admitted[int(self.now_s)][target.domain] += 1
        if target.running >= target.slots:
            if len(target.queue) >= target.slots:
                self.sheds += 1
                self.at(delay_s, lambda: finish('shed'))
                return
            target.queue.append(lambda: self._run(target, delay_s, finish))
            return
        self._run(target, delay_s, finish)

    def _run(
        self,
        target: FakeTarget,
        delay_s: float,
        finish: Callable[[str], None],
    ) -> None:
        target.running += 1
        mean_log = math.log(SERVICE_S) - SERVICE_SIGMA**2 / 2
        service_s = self.rng.lognormvariate(mean_log, SERVICE_SIGMA)

        def end() -> None:
            if not target.is_alive:
                self.at(delay_s, lambda: finish('reset'))
                return
            target.running -= 1
            if target.queue:
                target.queue.pop(0)()
            self.at(delay_s, lambda: finish('ok'))

        self.at(service_s, end)

    def _announce(self) -> None:
        if self.now_s >= DURATION_S:
            return
        self.at(1.0, self._announce)
        for name, target in self.targets.items():
            if target.is_alive:
                load = float(target.running + len(target.queue))
                self.world.renew(name, load=load)

    # Scenarios.

    def _drain(self) -> None:
        self.world.drain(self.lost_domain, kind='failure_domain')
        self.at(LOOKUP_TTL_S, self._remove_instances)

    def _remove_instances(self) -> None:
        self.instances = {
            name: domain
            for name, domain in self.instances.items()
            if domain != self.lost_domain
        }

    def _lose(self) -> None:
        lost = []
        for name, target in self.targets.items():
            if target.domain == self.lost_domain:
                target.is_alive = False
                for _waiting in target.queue:
                    self._count_refusal('reset')
                target.queue.clear()
                lost.append(name)
        self._remove_instances()
        self.at(LEASE_S, lambda: self._lapse(lost))

    def _lapse(self, lost: list[str]) -> None:
        self.world.remove(*lost)
        for name in list(self.world.peers):
            if name not in self.instances:
                self.world.peers.pop(name)

    def _sample(self) -> None:
        if self.now_s >= DURATION_S:
            return
        self.at(0.02, self._sample)
        in_flight: Counter[str] = Counter()
        running: Counter[str] = Counter()
        slots: Counter[str] = Counter()
        for target in self.targets.values():
            if not target.is_alive:
                continue
            region = target.domain.split('-')[0]
            in_flight[region] += target.running + len(target.queue)
            running[region] += target.running
            slots[region] += target.slots
        second = int(self.now_s)
        for region, count in running.items():
            self.use[second][region] += count / slots[region] / 50
        if self.now_s >= EVENT_S:
            self.peak_in_flight = max(
                self.peak_in_flight,
                *(in_flight[each] / slots[each] for each in slots),
            )
        if self.scenario == 'drain' and self.now_s > EVENT_S:
            busy = any(
                each.running or each.queue
                for each in self.targets.values()
                if each.domain == self.lost_domain
            )
            if not busy and math.isnan(self.drained_s):
                self.drained_s = self.now_s - EVENT_S

    # Figures.

    def largest_shift_percent(self) -> float:
        """Largest rise of domains' shares between 5 s windows 10 s apart."""
        largest = 0.0
        for second in range(11, int(DURATION_S) - 14):
            before, after = self._share(second), self._share(second + 10)
            rises = [max(0.0, after[d] - before[d]) for d in self.domains]
            largest = max(largest, sum(rises))
        return largest * 100

    def _share(self, second: int) -> dict[str, float]:
        span = range(second, second + 5)
        offers = max(1, sum(self.offers[each] for each in span))
        return {
            domain: sum(self.admitted[s][domain] for s in span) / offers
            for domain in self.domains
        }

    def report(self, policy: str) -> str:
        """Return one line of figures, from the event on if there is one."""
        start_s = 5.0 if self.scenario == 'steady' else EVENT_S
        latencies = sorted(
            took_s for when_s, took_s in self.latencies_s if when_s >= start_s
        )
        middle = latencies[len(latencies) // 2] * 1000
        high = latencies[len(latencies) * 99 // 100] * 1000
        uses = [
            max(each.values())
            for second, each in self.use.items()
            if second >= start_s
        ]
        refused = sum(self.refused.values()) / self.offered * 100
        return (
            f'{self.scenario:7}{self.site.name:19}{policy:7}'
            f'p50 {middle:6.1f}  p99 {high:6.1f} ms  '
            f'use {max(uses):4.0%}  peak {self.peak_in_flight:4.0%}  '
            f'shed {self.sheds:6}  refused {refused:5.2f}%  '
            f'shift {self.largest_shift_percent():4.1f}%  '
            f'drained {self.drained_s:4.2f} s  {dict(self.refused)}'
        )
