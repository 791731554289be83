"""Gateways, targets and callers in simulated time.

The decisions are those of the gateway (`gateway/placement.py`,
`gateway/admission.py`, `gateway/region_split.py`); targets, callers and the
ways between them are models, so that some seconds of a fleet take about as long:

- A target works on ``slots`` requests at once and queues some more; what
  exceeds them is shed. An object that it has handled lately takes a part of
  the time.
- A caller asks about an object of its region, is served at a random gateway
  there, returns as it is told when it is refused, and gives up at its
  deadline.

Rates, moves, failures of connections and processor time are not modelled.
"""

import heapq
import math
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial

from ..gateway.admission import most_wait_s, return_after_s
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

_UPKEEP_S = 0.25
_REPORT_S = 1.0
_SERVICE = 'desk'

MostWait = Callable[..., float]


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request.

    Parameters
    ----------
    name : str
        Shown in reports.
    part : float
        Part of all requests.
    work_s : float
        Time at a target that has not handled the object lately.
    aim_s, deadline_s : float
        Time within which an answer is timely, and until which one is of use.
    objects : int
        Number of objects of the callers of each region.
    rank : int
        Urgency, 0 is the highest.
    """

    name: str
    part: float
    work_s: float
    aim_s: float
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
        Requests that a target works on, and further ones that it accepts.
    warm_objects : int
        Objects that a target keeps ready.
    warm_part : float
        Part of the work that is left for an object that is ready.
    gateways : int
        Gateways of each region.
    caller_delay_s, region_delay_s : float
        One way between caller and gateway, and between regions.
    duration_s : float
        Length of the run.
    """

    targets: Mapping[str, int]
    kinds: tuple[RequestKind, ...]
    slots: int = 9
    queue: int = 27
    warm_objects: int = 86
    warm_part: float = 0.3
    gateways: int = 4
    caller_delay_s: float = 0.008
    region_delay_s: float = 0.012
    duration_s: float = 6.0

    def room_per_s(self) -> float:
        """Return the requests a second that keep all warm targets busy."""
        slots = sum(self.targets.values()) * self.slots
        work_s = sum(kind.part * kind.work_s for kind in self.kinds)
        parts = sum(kind.part for kind in self.kinds)
        return slots / (work_s / parts * self.warm_part)


@dataclass(slots=True)
class Request:
    """A caller's request over all its attempts."""

    kind: RequestKind
    key: str
    region: str
    started_s: float
    attempt_s: float = 0.0
    attempts: int = 0


@dataclass(slots=True)
class Tally:
    """What became of the requests.

    ``worth`` counts 1 for a timely answer and 0.2 for a later one.
    """

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    expired: int = 0
    refusals: int = 0
    loads: int = 0
    hits: int = 0
    durations_s: list[float] = field(default_factory=list)

    @property
    def worth(self) -> float:
        """Worth of the answers in parts of what was asked for."""
        return (self.in_aim + 0.2 * self.late) / max(1, self.asked)

    def percentile_s(self, part: float) -> float:
        """Return the time within which ``part`` of the answers came."""
        if not self.durations_s:
            return math.nan
        ordered = sorted(self.durations_s)
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


class _Server:
    """Slots, queue and ready objects of one target."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.running = 0
        self.waiting: deque[_Attempt] = deque()
        self.ready: OrderedDict[str, None] = OrderedDict()

    def is_ready(self, key: str) -> bool:
        """Return whether an object is ready, and keep it so."""
        found = key in self.ready
        self.ready[key] = None
        self.ready.move_to_end(key)
        if len(self.ready) > self.scenario.warm_objects:
            self.ready.popitem(last=False)
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
    """What one gateway knows of the targets."""

    def __init__(self, name: str, region: str, fleet: list[Target]) -> None:
        self.region = region
        self.sharers = KnownGateways(name)
        candidates = [
            Candidate(
                target,
                TargetHealth(target.slots),
                OWN_REGION if target.region == region else OTHER_REGION,
            )
            for target in fleet
        ]
        self.targets = ServiceTargets(RegionSplit(region, 0.0), candidates)


class Emulation:
    """One run of a scenario.

    Parameters
    ----------
    scenario : Scenario
        Fleet and callers.
    load : float
        Requests in parts of the room of the warm fleet.
    seed : int
        Decides all chances.
    most_wait : callable, optional
        Takes the place of `most_wait_s`.
    knows_fleet : bool
        Whether gateways learn the loads of the whole fleet.
    """

    def __init__(
        self,
        scenario: Scenario,
        *,
        load: float,
        seed: int = 1,
        most_wait: MostWait = most_wait_s,
        knows_fleet: bool = True,
    ) -> None:
        """Build a fleet that has handled nothing yet."""
        self.scenario = scenario
        self.tally = Tally()
        self.by_region = {region: Tally() for region in scenario.targets}
        self.now_s = 0.0
        self._random = random.Random(seed)
        self._most_wait = most_wait
        self._knows_fleet = knows_fleet
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._planned = 0
        fleet = [
            _target(region, number, scenario.slots)
            for region, count in scenario.targets.items()
            for number in range(count)
        ]
        self._servers = {
            target.target_id: _Server(scenario) for target in fleet
        }
        self._gateways = {
            region: [
                _Gateway(f'{region}-{number}', region, fleet)
                for number in range(scenario.gateways)
            ]
            for region in scenario.targets
        }
        regions = len(scenario.targets)
        self._interval_s = regions / (scenario.room_per_s() * load)

    def run(self) -> Tally:
        """Play the scenario and return what became of the requests."""
        for region in self.scenario.targets:
            self._plan(0.0, partial(self._arrive, region))
        # Gateways know the targets before the first request.
        self._upkeep()
        while self._events:
            at_s, _number, action = heapq.heappop(self._events)
            self.now_s = at_s
            action()
        return self.tally

    def _plan(self, delay_s: float, action: Callable[[], None]) -> None:
        self._planned += 1
        event = (self.now_s + delay_s, self._planned, action)
        heapq.heappush(self._events, event)

    def _tallies(self, request: Request) -> tuple[Tally, Tally]:
        return self.tally, self.by_region[request.region]

    def _arrive(self, region: str) -> None:
        if self.now_s >= self.scenario.duration_s:
            return
        kinds = self.scenario.kinds
        kind = self._random.choices(kinds, [each.part for each in kinds])[0]
        number = self._random.randrange(kind.objects)
        key = f'{region}/{kind.name}/{number}'
        request = Request(kind, key, region, self.now_s)
        for tally in self._tallies(request):
            tally.asked += 1
        self._ask(request)
        self._plan(
            self._random.expovariate(1 / self._interval_s),
            lambda: self._arrive(region),
        )

    def _ask(self, request: Request) -> None:
        request.attempts += 1
        gateway = self._random.choice(self._gateways[request.region])
        self._plan(
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
            most_wait_s=self._most_wait(
                request.kind.aim_s,
                targets.usual_s,
                rank=request.kind.rank,
                spent_s=0.0,
            ),
            usual_s=targets.usual_s,
        )
        placement = place(
            groups,
            needs,
            replicas=4,
            now_s=self.now_s,
            sharers=gateway.sharers,
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
        self._plan(delay_s, lambda: self._reach(attempt))

    def _refuse(self, request: Request, wait_s: float) -> None:
        for tally in self._tallies(request):
            tally.refusals += 1
        after_s = return_after_s(wait_s, request.kind.aim_s, self._random)
        left_s = request.started_s + request.kind.deadline_s - self.now_s
        if request.attempts > 1 or after_s >= left_s:
            for tally in self._tallies(request):
                tally.refused += 1
            return
        back_s = self.scenario.caller_delay_s + min(after_s, left_s / 3)
        self._plan(back_s, lambda: self._ask(request))

    def _reach(self, attempt: _Attempt) -> None:
        server = self._servers[attempt.candidate.target.target_id]
        if server.running < self.scenario.slots:
            self._work(server, attempt)
        elif len(server.waiting) < self.scenario.queue:
            server.waiting.append(attempt)
        else:
            self._plan(attempt.delay_s, lambda: self._shed(attempt))

    def _shed(self, attempt: _Attempt) -> None:
        attempt.candidate.health.in_flight -= 1
        attempt.candidate.health.note_shed(self.now_s)
        self._refuse(attempt.request, 0.0)

    def _work(self, server: _Server, attempt: _Attempt) -> None:
        server.running += 1
        kind = attempt.request.kind
        is_ready = server.is_ready(attempt.request.key)
        for tally in self._tallies(attempt.request):
            tally.hits += is_ready
            tally.loads += not is_ready
        part = self.scenario.warm_part if is_ready else 1.0
        work_s = kind.work_s * part * self._random.lognormvariate(0, 0.15)
        self._plan(work_s, lambda: self._finish(server, attempt))

    def _finish(self, server: _Server, attempt: _Attempt) -> None:
        server.running -= 1
        if server.waiting:
            self._work(server, server.waiting.popleft())
        running, waiting = server.running, len(server.waiting)
        self._plan(
            attempt.delay_s, lambda: self._answer(attempt, running, waiting)
        )

    def _answer(self, attempt: _Attempt, running: int, waiting: int) -> None:
        health = attempt.candidate.health
        health.in_flight -= 1
        health.note_load(running, waiting, self.now_s)
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
        whole_s = self.now_s + self.scenario.caller_delay_s - request.started_s
        for tally in self._tallies(request):
            if whole_s > request.kind.deadline_s:
                tally.expired += 1
                continue
            tally.durations_s.append(whole_s)
            tally.in_aim += whole_s <= request.kind.aim_s
            tally.late += whole_s > request.kind.aim_s

    def _upkeep(self) -> None:
        gateways = [
            gateway for each in self._gateways.values() for gateway in each
        ]
        fleet: dict[str, float] | None = None
        if self._knows_fleet and self.now_s >= _REPORT_S:
            fleet = dict.fromkeys(self.scenario.targets, 0.0)
            for gateway in gateways:
                for region, count in gateway.targets.in_flight().items():
                    fleet[region] += count
        for gateway in gateways:
            gateway.targets.update_split(fleet, self.now_s)
        if self.now_s < self.scenario.duration_s:
            self._plan(_UPKEEP_S, self._upkeep)


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
