"""Sends a request to targets until one answers or trying has no use."""

import asyncio
import random
import time
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from ..control.state import Account, Service
from ..core.errors import Refusal
from ..core.metrics import RETRIES
from ..moves.split import VersionSplit
from ..routing.outcome import AttemptOutcome, AttemptResult, Observation
from ..routing.router import Router
from .admission import most_wait_s, return_after_s
from .bounded_log import BoundedLog
from .connection_pool import ConnectionPool
from .dialect import Dialect
from .forwarded import encode_request, for_caller
from .messages import Response, CallerRequest, TargetAnswer, TargetFailure
from .placement import Candidate, Needs, Placement, note_placed, place
from .probes import Probes
from .refusals import maybe_run, not_run
from .retry_budget import RetryBudget
from .routes import WeightedRoute
from .service_targets import ServiceTargets, TargetDirectory
from .known_gateways import KnownGateways

# A target stops work at the deadline that it is given and says so; its answer
# is then on its way for at most this long.
_DEADLINE_MARGIN_S = 0.1
# An attempt with less time left than this cannot be answered.
_LEAST_TIME_S = 0.02
_WRONG_TARGET_EJECTION_S = 5.0
_SERVER_ERROR = 500
_FIRST_REDIRECTION = 300
_PROMISES_NOT_RUN = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
# A body of this size costs links between failure domains more than loading an
# object again costs its target.
_BULK_BYTES = 16384


@dataclass(slots=True)
class Job:
    """A request on its way through the attempts.

    ``deadline_s`` is the monotonic time at which its answer is due.
    """

    request: CallerRequest
    request_id: bytes
    route: WeightedRoute
    service: Service
    account: Account | None
    regions: tuple[str, ...]
    deadline_s: float
    rank: int
    object_key: str
    attempts: int = 0
    has_maybe_run: bool = False
    has_waited: bool = False
    wait_s: float = 0.0
    tried: set[str] = field(default_factory=set)

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.profile.is_repeatable

    def left_s(self) -> float:
        """Return the time until the answer is due."""
        return self.deadline_s - time.monotonic()

    def may_repeat(self) -> bool:
        """Return whether another attempt is allowed and of use."""
        is_allowed = self.is_repeatable or not self.has_maybe_run
        is_useful = not self.request.is_gone and self.left_s() > _LEAST_TIME_S
        most = self.route.profile.max_attempts
        return is_allowed and is_useful and self.attempts < most


class Attempts:
    """Chooses targets, sends requests and learns from the answers.

    Parameters
    ----------
    kernel : Kernel
        Gives the plug-ins.
    dialect : Dialect
        Names of the headers.
    log : BoundedLog
        Takes a line for each decision.
    sharers : Sharers
        The gateways that share the rates of cold targets.
    """

    def __init__(
        self,
        kernel: Any,
        dialect: Dialect,
        log: BoundedLog,
        *,
        sharers: KnownGateways,
    ) -> None:
        """Start without connections."""
        settings = kernel.settings.gateway
        self.pool = ConnectionPool(settings, dialect.request_id)
        self._dialect = dialect
        self._log = log
        self._sharers = sharers
        self._directory = TargetDirectory(kernel)
        self._probes = Probes(kernel, dialect, self.pool, log)
        self._split = kernel.plugin(VersionSplit)
        self._router = kernel.plugin(Router)
        self._budget = RetryBudget(settings.retry_budget_percent)
        self._replicas = settings.max_targets_per_object
        self._random = random.Random()

    def upkeep(self) -> None:
        """Close old connections and follow the load of the targets."""
        self.pool.close_idle()
        for service, split in self._directory.update_splits():
            self._log.write(
                'homes of objects divided',
                service=service,
                shares=_rounded(split.shares),
                loads={
                    region: round(split.load_of(region), 2)
                    for region in split.shares
                },
            )
        for candidate in self._directory.in_doubt():
            self._probes.start(candidate)

    async def answer(self, job: Job) -> Response:
        """Return a target's answer.

        Parameters
        ----------
        job : Job
            The request.

        Raises
        ------
        Refusal
            If no target gave a final answer.
        """
        self._budget.note_request()
        while True:
            candidate = self._choose(job)
            answer = await self._attempt(job, candidate)
            if answer is not None:
                return answer

    def _choose(self, job: Job) -> Candidate:
        if job.left_s() < _LEAST_TIME_S:
            raise self._given_up(job, 'deadline')
        targets = self._directory.of(job.service.name)
        placement = self._place(job, targets)
        if placement.candidate is None:
            job.wait_s = placement.wait_s
            raise self._given_up(job, placement.obstacle)
        return placement.candidate

    def _place(self, job: Job, targets: ServiceTargets) -> Placement:
        now_s = time.monotonic()
        version = self._version(job.service, targets)
        groups = targets.ordered(
            job.object_key,
            version,
            job.regions,
            is_bulk=len(job.request.body) >= _BULK_BYTES,
        )
        if job.tried:
            groups = _without(groups, job.tried)
        home = groups[0][0].target.region if groups else ''
        if not targets.split.may_leave(now_s, home=home):
            groups = groups[:1]
        needs = Needs(
            key=job.object_key,
            left_s=job.left_s(),
            most_wait_s=most_wait_s(
                job.route.profile.latency_objective_s,
                targets.usual_s,
                rank=job.rank,
                spent_s=now_s - job.request.received_s,
            ),
            usual_s=targets.usual_s,
            cold_rate_per_s=job.service.cold_rate_per_s,
            is_repeatable=job.is_repeatable,
        )
        placement = place(
            groups,
            needs,
            replicas=self._replicas,
            now_s=now_s,
            sharers=self._sharers,
        )
        candidate = placement.candidate
        if candidate is not None:
            health = candidate.health
            job.has_waited = health.busy(now_s) >= health.slots
            note_placed(candidate, job.object_key, now_s)
            targets.split.note_placed(
                now_s, leaves=candidate.target.region != home
            )
        return placement

    def _version(self, service: Service, targets: ServiceTargets) -> str:
        weights = self._split.weights(service)
        versions = [
            version for version, weight in weights.items() if weight > 0
        ]
        if len(versions) == 1:
            return versions[0]
        present = targets.versions()
        usable = [
            version for version in versions if not version or version in present
        ] or versions
        return self._random.choices(
            usable, [weights[version] for version in usable]
        )[0]

    async def _attempt(self, job: Job, candidate: Candidate) -> Response | None:
        """Return the final answer, or None to try another target."""
        job.attempts += 1
        target = candidate.target
        job.tried.add(target.target_id)
        job.request.must_finish = not job.is_repeatable
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(job.left_s() + _DEADLINE_MARGIN_S):
                answer = await self.pool.send(
                    candidate,
                    job.request_id,
                    lambda: encode_request(
                        job.request,
                        target,
                        job.account,
                        dialect=self._dialect,
                        deadline_s=job.deadline_s,
                    ),
                    is_head=job.request.method == b'HEAD',
                    is_repeatable=job.is_repeatable,
                )
        except TimeoutError:
            self._note_failure(job, candidate, 'timeout')
            job.has_maybe_run = True
            raise self._given_up(job, 'deadline') from None
        except TargetFailure as failure:
            self._note_failure(job, candidate, failure.result)
            job.has_maybe_run = job.has_maybe_run or failure.may_have_run
            self._require_retry(job, failure.result)
            return None
        finally:
            candidate.health.in_flight -= 1
            job.request.must_finish = False
        return self._judge(job, candidate, answer, started_s)

    def _judge(
        self,
        job: Job,
        candidate: Candidate,
        answer: TargetAnswer,
        started_s: float,
    ) -> Response | None:
        now_s = time.monotonic()
        health = candidate.health
        self._note_load(candidate, answer, now_s)
        if self._is_not_run(answer):
            if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
                health.ejected_until_s = now_s + _WRONG_TARGET_EJECTION_S
                self.pool.forget(candidate.target.address)
            else:
                self._note_shed(job, candidate, now_s)
                self._observe(job, candidate, 'shed', now_s - started_s, answer)
            self._require_retry(job, 'shed')
            return None
        is_sound = self._is_sound(answer)
        is_failure = answer.status >= _SERVER_ERROR or not is_sound
        result: AttemptResult = 'target_error' if is_failure else 'ok'
        self._observe(job, candidate, result, now_s - started_s, answer)
        if not is_failure:
            self._note_success(job, candidate, now_s - started_s)
            return for_caller(answer)
        health.note_failure()
        job.has_maybe_run = True
        if self._may_retry(job, 'target_error'):
            return None
        if not is_sound:
            raise self._given_up(job, 'bad_answer')
        return for_caller(answer)

    def _is_sound(self, answer: TargetAnswer) -> bool:
        """Return whether an answer may be passed on as the target's own.

        Callers take some statuses as a promise that a request has not run. A
        target promises that in its own way, so these are not passed on.
        """
        if answer.status in _PROMISES_NOT_RUN:
            return False
        seal = self._dialect.seal
        is_success = answer.status < _FIRST_REDIRECTION
        is_sealed = not seal or answer.header(seal) is not None
        is_plain = answer.header(b'content-encoding') is None
        return is_plain and (is_sealed or not is_success)

    def _note_success(
        self, job: Job, candidate: Candidate, duration_s: float
    ) -> None:
        health = candidate.health
        is_usual = health.note_success(
            job.object_key,
            duration_s,
            time.monotonic(),
            has_waited=job.has_waited,
        )
        if is_usual:
            targets = self._directory.of(job.service.name)
            targets.note_duration(duration_s - health.round_trip_s)

    def _note_shed(self, job: Job, candidate: Candidate, now_s: float) -> None:
        """Keep away from a full target; one that has room may be asked again."""
        health = candidate.health
        if health.tells_room(now_s):
            job.tried.discard(candidate.target.target_id)
        else:
            health.note_shed(now_s)

    def _is_not_run(self, answer: TargetAnswer) -> bool:
        return (
            answer.status == HTTPStatus.MISDIRECTED_REQUEST
            or answer.header(self._dialect.not_executed) is not None
        )

    def _note_load(
        self, candidate: Candidate, answer: TargetAnswer, now_s: float
    ) -> None:
        load = answer.header(self._dialect.load)
        parts = load.split(b',') if load else []
        if len(parts) >= 2 and parts[0].isdigit() and parts[1].isdigit():
            candidate.health.note_load(int(parts[0]), int(parts[1]), now_s)

    def _note_failure(
        self, job: Job, candidate: Candidate, result: str
    ) -> None:
        now_s = time.monotonic()
        if result != 'timeout':
            candidate.health.note_broken(result, now_s)
        else:
            candidate.health.note_failure()
        outcome = 'reset' if result == 'bad_answer' else result
        self._observe(job, candidate, outcome, 0.0, None)  # type: ignore[arg-type]
        self._log.write(
            'attempt failed',
            request_id=job.request_id.decode('latin-1'),
            target=candidate.target.target_id,
            address=candidate.target.address,
            result=result,
            attempt=job.attempts,
            left_ms=int(job.left_s() * 1000),
            announcement_age_ms=candidate.announcement_age_ms(now_s),
            ejected_ms=int(
                max(0.0, candidate.health.ejected_until_s - now_s) * 1000
            ),
        )

    def _observe(
        self,
        job: Job,
        candidate: Candidate,
        result: AttemptResult,
        duration_s: float,
        answer: TargetAnswer | None,
    ) -> None:
        outcome = AttemptOutcome(
            result,
            first_byte_ms=duration_s * 1000,
            status=answer.status if answer else 0,
        )
        self._router.observe(
            Observation(
                job.service.name,
                job.route.route.name,
                candidate.target,
                outcome,
            )
        )

    def _require_retry(self, job: Job, reason: str) -> None:
        if not self._may_retry(job, reason):
            raise self._given_up(job, reason)

    def _may_retry(self, job: Job, reason: str) -> bool:
        """Return whether another target may be tried, and spend budget."""
        if not job.may_repeat() or not self._budget.take():
            return False
        RETRIES.labels(reason).inc()
        return True

    def _given_up(self, job: Job, reason: str) -> Refusal:
        if job.has_maybe_run:
            status = 504 if reason == 'deadline' else 502
            return maybe_run(
                f'attempt_{reason}',
                f'attempt {job.attempts} ended with {reason}',
                status=status,
            )
        return not_run(
            f'service_{reason}',
            f'no target of {job.service.name!r} can take the request: '
            f'{reason}, expected wait {int(job.wait_s * 1000)} ms',
            retry_after_s=return_after_s(
                job.wait_s,
                job.route.profile.latency_objective_s,
                self._random,
            ),
        )


def _rounded(shares: dict[str, float]) -> dict[str, float]:
    return {region: round(share, 2) for region, share in shares.items()}


def _without(
    groups: list[list[Candidate]], tried: set[str]
) -> list[list[Candidate]]:
    """Return the groups without targets that were tried before."""
    left = [
        [each for each in group if each.target.target_id not in tried]
        for group in groups
    ]
    return [group for group in left if group]
