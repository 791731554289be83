"""Discrete-event simulation of gateways, targets and callers under load.

Placement, admission and region split are decided by the gateway's own code
(`gateway/placement.py`, `gateway/admission.py`, `gateway/region_split.py`).
Targets, callers and the network are models, so that simulating some seconds
of a fleet takes about as long in real time:

- A target processes ``slots`` requests concurrently, queues up to ``queue``
  more and sheds the rest. Requests for an object that it handled recently
  take only a fraction of the time.
- A caller requests an object of its region from a random gateway there. If
  refused, it retries once, after the delay that the gateway gives or a third
  of the time left, whichever is shorter. It gives up if the delay given
  reaches its deadline.

Rate limits, version moves, connection failures and processor time are not
modelled.
"""

import heapq
import math
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial

from ..gateway.admission import max_wait_s, return_after_s
from ..gateway.placement import (
    OTHER_REGION,
    OWN_REGION,
    Candidate,
    Needs,
    note_placed,
    place,
)
from ..gateway.region_split import RegionSplit
from ..gateway.service_targets import ServiceTargets
from ..gateway.known_gateways import KnownGateways
from ..gateway.target_health import TargetHealth
from ..targets.announcement import Target

_SPLIT_UPDATE_INTERVAL_S = 0.25
_FIRST_LOAD_REPORT_S = 1.0
# Requests that are on their way when a pause begins arrive within this time.
_IN_TRANSIT_S = 0.5
_SERVICE = 'desk'

MaxWaitFunction = Callable[..., float]


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request.

    Parameters
    ----------
    name : str
        Name; part of the object keys.
    weight : float
        Relative frequency among all kinds.
    work_s : float
        Processing time at a target that has not handled the object recently.
    objective_s, deadline_s : float
        Latency objective, and time after which the response is useless.
    objects : int
        Number of distinct objects that the callers of each region request.
    rank : int
        Priority; 0 is the highest.
    """

    name: str
    weight: float
    work_s: float
    objective_s: float
    deadline_s: float
    objects: int
    rank: int = 1


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet and its callers.

    Parameters
    ----------
    targets : mapping of str to int
        Number of targets by region.
    kinds : tuple of RequestKind
        Kinds of request.
    slots, queue : int
        Requests that a target processes concurrently, and further ones that
        it queues.
    warm_objects : int
        Number of objects in a target's cache.
    warm_work_fraction : float
        Fraction of the processing time that a cached object takes.
    gateways : int
        Number of gateways in each region.
    caller_delay_s, region_delay_s : float
        One-way network delay between caller and gateway, and between regions.
    duration_s : float
        Time during which new requests arrive.
    pause_s : float
        Time for which a target that sheds a request wants nothing from the
        gateway; 0 if targets name none.
    leaves_s : mapping of str to float
        Times from which the answers of targets say that they leave.
    drain_s : float
        Time after which no request may reach a leaving target.
    """

    targets: Mapping[str, int]
    kinds: tuple[RequestKind, ...]
    slots: int = 9
    queue: int = 27
    warm_objects: int = 86
    warm_work_fraction: float = 0.3
    gateways: int = 4
    caller_delay_s: float = 0.008
    region_delay_s: float = 0.012
    duration_s: float = 6.0
    pause_s: float = 0.0
    leaves_s: Mapping[str, float] = field(default_factory=dict)
    drain_s: float = 3.0

    def capacity_per_s(self) -> float:
        """Return the request rate that keeps all slots busy with warm caches."""
        slots = sum(self.targets.values()) * self.slots
        work_s = sum(kind.weight * kind.work_s for kind in self.kinds)
        total_weight = sum(kind.weight for kind in self.kinds)
        return slots / (work_s / total_weight * self.warm_work_fraction)


@dataclass(slots=True)
class Request:
    """A caller's request, including its retries."""

    kind: RequestKind
    key: str
    region: str
    started_s: float
    attempt_s: float = 0.0
    attempts: int = 0


@dataclass(slots=True)
class Tally:
    """Outcome counts of the requests.

    Each request ends up in one of ``in_aim`` (answered within the latency
    objective), ``late`` (answered after it, within the deadline), ``refused``
    (refused for good) and ``expired`` (answered after the deadline).
    ``refusals`` counts refused attempts; ``hits`` and ``loads`` count cache
    hits and misses at the targets. ``pauses`` and
    ``leaves`` count what gateways were told; ``after_drain`` counts requests that reach a
    leaving target from a gateway that has known of it for the drain time, and
    ``in_pause`` those that reach a target from a gateway in a pause that is
    known for half a second.
    """

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    expired: int = 0
    refusals: int = 0
    loads: int = 0
    hits: int = 0
    pauses: int = 0
    leaves: int = 0
    after_drain: int = 0
    in_pause: int = 0
    durations_s: list[float] = field(default_factory=list)

    @property
    def worth(self) -> float:
        """Mean value of a request: 1 if in time, 0.2 if late, otherwise 0."""
        return (self.in_aim + 0.2 * self.late) / max(1, self.asked)

    def percentile_s(self, fraction: float) -> float:
        """Return the response time that ``fraction`` of answers stay within.

        NaN if no request was answered before its deadline.
        """
        if not self.durations_s:
            return math.nan
        ordered = sorted(self.durations_s)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


class _TargetModel:
    """Busy slots, queue and LRU cache of objects of one target."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.running = 0
        self.waiting: deque[_Attempt] = deque()
        self.cache: OrderedDict[str, None] = OrderedDict()

    def look_up(self, key: str) -> bool:
        """Return whether an object is cached; add it or mark it as used.

        Evicts the least recently used object if the cache is full.
        """
        found = key in self.cache
        self.cache[key] = None
        self.cache.move_to_end(key)
        if len(self.cache) > self.scenario.warm_objects:
            self.cache.popitem(last=False)
        return found


@dataclass(slots=True)
class _Attempt:
    request: Request
    gateway: '_Gateway'
    candidate: Candidate
    delay_s: float
    sent_s: float
    has_waited: bool


class _Gateway:
    """One gateway's view of the targets and of the other gateways."""

    def __init__(self, name: str, region: str, fleet: list[Target]) -> None:
        self.region = region
        self.known_gateways = KnownGateways(name)
        candidates = [
            Candidate(
                target,
                TargetHealth(target.slots),
                OWN_REGION if target.region == region else OTHER_REGION,
            )
            for target in fleet
        ]
        self.targets = ServiceTargets(RegionSplit(region, 0.0), candidates)
        self.leaving_known_s: dict[str, float] = {}
        self.pause_known_s: dict[str, float] = {}


class Emulation:
    """One run of a scenario.

    Parameters
    ----------
    scenario : Scenario
        Fleet and callers.
    load : float
        Request rate as a multiple of the fleet's capacity with warm caches.
    seed : int
        Seed of the random number generator.
    max_wait : callable, optional
        Replaces `max_wait_s`.
    knows_fleet : bool
        Whether gateways receive the regions' loads summed over all gateways.
    """

    def __init__(
        self,
        scenario: Scenario,
        *,
        load: float,
        seed: int = 1,
        max_wait: MaxWaitFunction = max_wait_s,
        knows_fleet: bool = True,
    ) -> None:
        """Build a fleet whose caches are empty."""
        self.scenario = scenario
        self.tally = Tally()
        self.by_region = {region: Tally() for region in scenario.targets}
        self.now_s = 0.0
        self._random = random.Random(seed)
        self._max_wait = max_wait
        self._knows_fleet = knows_fleet
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled_count = 0
        fleet = [
            _target(region, number, scenario.slots)
            for region, count in scenario.targets.items()
            for number in range(count)
        ]
        self._target_models = {
            target.target_id: _TargetModel(scenario) for target in fleet
        }
        self._gateways = {
            region: [
                _Gateway(f'{region}-{number}', region, fleet)
                for number in range(scenario.gateways)
            ]
            for region in scenario.targets
        }
        regions = len(scenario.targets)
        self._interval_s = regions / (scenario.capacity_per_s() * load)

    def run(self) -> Tally:
        """Run the scenario and return the outcome counts of all regions."""
        for region in self.scenario.targets:
            self._schedule(0.0, partial(self._start_request, region))
        # The gateways need their region splits before the first request.
        self._update_splits()
        while self._events:
            at_s, _number, action = heapq.heappop(self._events)
            self.now_s = at_s
            action()
        return self.tally

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        self._scheduled_count += 1
        event = (self.now_s + delay_s, self._scheduled_count, action)
        heapq.heappush(self._events, event)

    def _tallies(self, request: Request) -> tuple[Tally, Tally]:
        return self.tally, self.by_region[request.region]

    def _start_request(self, region: str) -> None:
        if self.now_s >= self.scenario.duration_s:
            return
        kinds = self.scenario.kinds
        kind = self._random.choices(kinds, [each.weight for each in kinds])[0]
        number = self._random.randrange(kind.objects)
        key = f'{region}/{kind.name}/{number}'
        request = Request(kind, key, region, self.now_s)
        for tally in self._tallies(request):
            tally.asked += 1
        self._send_attempt(request)
        self._schedule(
            self._random.expovariate(1 / self._interval_s),
            lambda: self._start_request(region),
        )

    def _send_attempt(self, request: Request) -> None:
        request.attempts += 1
        gateway = self._random.choice(self._gateways[request.region])
        self._schedule(
            self.scenario.caller_delay_s, lambda: self._place(request, gateway)
        )

    def _place(self, request: Request, gateway: _Gateway) -> None:
        request.attempt_s = self.now_s
        targets = gateway.targets
        groups = targets.ordered(request.key, '', ())
        home = groups[0][0].target.region
        if not targets.split.may_leave(self.now_s, home=home):
            groups = groups[:1]
        needs = Needs(
            key=request.key,
            left_s=request.started_s + request.kind.deadline_s - self.now_s,
            max_wait_s=self._max_wait(
                request.kind.objective_s,
                targets.usual_s,
                rank=request.kind.rank,
                spent_s=0.0,
            ),
            usual_s=targets.usual_s,
            min_work_s=targets.usual_s,
        )
        placement = place(
            groups,
            needs,
            replicas=4,
            now_s=self.now_s,
            known_gateways=gateway.known_gateways,
        )
        candidate = placement.candidate
        if candidate is None:
            self._refuse(request, placement.wait_s)
            return
        health = candidate.health
        has_waited = health.busy(self.now_s) >= health.slots
        note_placed(candidate, request.key, self.now_s)
        leaves = candidate.target.region != home
        targets.split.note_placed(self.now_s, leaves=leaves)
        is_far = candidate.distance == OTHER_REGION
        delay_s = self.scenario.region_delay_s if is_far else 0.0
        attempt = _Attempt(
            request, gateway, candidate, delay_s, self.now_s, has_waited
        )
        self._schedule(delay_s, lambda: self._arrive_at_target(attempt))

    def _refuse(self, request: Request, wait_s: float) -> None:
        for tally in self._tallies(request):
            tally.refusals += 1
        after_s = return_after_s(wait_s, request.kind.objective_s, self._random)
        left_s = request.started_s + request.kind.deadline_s - self.now_s
        if request.attempts > 1 or after_s >= left_s:
            for tally in self._tallies(request):
                tally.refused += 1
            return
        retry_delay_s = self.scenario.caller_delay_s + min(after_s, left_s / 3)
        self._schedule(retry_delay_s, lambda: self._send_attempt(request))

    def _arrive_at_target(self, attempt: _Attempt) -> None:
        target_model = self._target_models[attempt.candidate.target.target_id]
        self._check_arrival(attempt)
        if target_model.running < self.scenario.slots:
            self._start_work(target_model, attempt)
        elif len(target_model.waiting) < self.scenario.queue:
            target_model.waiting.append(attempt)
        else:
            self._schedule(
                attempt.delay_s, lambda: self._shed_at_target(attempt)
            )

    def _check_arrival(self, attempt: _Attempt) -> None:
        """Count a request that its target has told the gateway not to send."""
        target_id = attempt.candidate.target.target_id
        known_s = attempt.gateway.leaving_known_s.get(target_id, math.inf)
        is_late = attempt.request.attempt_s > known_s + self.scenario.drain_s
        asked_s = attempt.gateway.pause_known_s.get(target_id, -math.inf)
        age_s = self.now_s - asked_s
        is_paused = _IN_TRANSIT_S < age_s < self.scenario.pause_s
        for tally in self._tallies(attempt.request):
            tally.after_drain += is_late
            tally.in_pause += is_paused

    def _shed_at_target(self, attempt: _Attempt) -> None:
        target = attempt.candidate.target
        health = attempt.candidate.health
        health.in_flight -= 1
        health.note_answer(self.now_s)
        health.note_shed(self.now_s)
        if self.scenario.pause_s:
            health.note_pause(self.scenario.pause_s, self.now_s)
            attempt.gateway.pause_known_s[target.target_id] = self.now_s
            self.tally.pauses += 1
        self._refuse(attempt.request, 0.0)

    def _start_work(
        self, target_model: _TargetModel, attempt: _Attempt
    ) -> None:
        target_model.running += 1
        kind = attempt.request.kind
        is_cached = target_model.look_up(attempt.request.key)
        for tally in self._tallies(attempt.request):
            tally.hits += is_cached
            tally.loads += not is_cached
        fraction = self.scenario.warm_work_fraction if is_cached else 1.0
        work_s = kind.work_s * fraction * self._random.lognormvariate(0, 0.15)
        self._schedule(work_s, lambda: self._finish_work(target_model, attempt))

    def _finish_work(
        self, target_model: _TargetModel, attempt: _Attempt
    ) -> None:
        target_model.running -= 1
        if target_model.waiting:
            self._start_work(target_model, target_model.waiting.popleft())
        running, waiting = target_model.running, len(target_model.waiting)
        self._schedule(
            attempt.delay_s,
            lambda: self._receive_answer(attempt, running, waiting),
        )

    def _receive_answer(
        self, attempt: _Attempt, running: int, waiting: int
    ) -> None:
        health = attempt.candidate.health
        health.in_flight -= 1
        health.note_answer(self.now_s)
        health.note_load(running, waiting, self.now_s)
        self._note_leaving(attempt)
        duration_s = self.now_s - attempt.sent_s
        is_usual = health.note_success(
            attempt.request.key,
            duration_s,
            self.now_s,
            has_waited=attempt.has_waited,
        )
        if is_usual:
            attempt.gateway.targets.note_duration(
                duration_s - 2 * attempt.delay_s
            )
        request = attempt.request
        response_time_s = (
            self.now_s + self.scenario.caller_delay_s - request.started_s
        )
        for tally in self._tallies(request):
            if response_time_s > request.kind.deadline_s:
                tally.expired += 1
                continue
            tally.durations_s.append(response_time_s)
            tally.in_aim += response_time_s <= request.kind.objective_s
            tally.late += response_time_s > request.kind.objective_s

    def _note_leaving(self, attempt: _Attempt) -> None:
        candidate, gateway = attempt.candidate, attempt.gateway
        target_id = candidate.target.target_id
        leaves_s = self.scenario.leaves_s.get(target_id, math.inf)
        if self.now_s < leaves_s or candidate.health.is_leaving:
            return
        candidate.health.note_leaving(
            self.now_s, self.now_s, drain_s=self.scenario.drain_s
        )
        gateway.targets.note_lost([candidate], self.now_s)
        gateway.leaving_known_s[target_id] = self.now_s
        self.tally.leaves += 1

    def _update_splits(self) -> None:
        gateways = [
            gateway for each in self._gateways.values() for gateway in each
        ]
        fleet: dict[str, float] | None = None
        if self._knows_fleet and self.now_s >= _FIRST_LOAD_REPORT_S:
            fleet = dict.fromkeys(self.scenario.targets, 0.0)
            for gateway in gateways:
                for region, count in gateway.targets.in_flight().items():
                    fleet[region] += count
        for gateway in gateways:
            gateway.targets.update_split(fleet, self.now_s)
        if self.now_s < self.scenario.duration_s:
            self._schedule(_SPLIT_UPDATE_INTERVAL_S, self._update_splits)


def _target(region: str, number: int, slots: int) -> Target:
    return Target(
        service=_SERVICE,
        target_id=f'{region}-t{number}',
        address='127.0.0.1:1',
        region=region,
        failure_domain=f'{region}-a',
        version='',
        slots=slots,
        connections=1,
        load=0,
    )
