"""Forwards a request to targets, with retries.

Attempts end with the first final response, at the deadline, or when a retry
is unsafe, out of attempts or over the retry budget.
"""

import random
from dataclasses import dataclass, replace
from typing import Any

from ..core.clock import monotonic_s
from ..core.errors import Refusal
from ..core.metrics import EVENTS, RETRIES
from ..core.remote_timeout import RemoteTimeout
from ..routing.outcome import AttemptOutcome, AttemptResult, Observation
from ..routing.router import Router
from .admission import max_wait_s, return_after_s
from .connection_pool import ConnectionPool
from .crash_guard import CrashGuard
from .dialect import Dialect
from .excess_paths import ExcessPaths
from .known_gateways import KnownGateways
from .messages import (
    Response,
    TargetDeclinedError,
    TargetFailure,
    TargetResponse,
)
from .placement import Candidate, Needs, Placement, note_placed, place
from .probes import Probes
from .rate_limited_log import RateLimitedLog
from .refusals import maybe_run_refusal, not_run_refusal
from .retry_budget import RetryBudget, reserve_of
from .rewriting import encode_request, response_for_caller
from .routed_request import MIN_ATTEMPT_TIME_S, RoutedRequest
from .service_targets import ServiceTargets, TargetDirectory
from .target_answers import TargetAnswers

# A target stops work at the deadline that it is given and reports this; the
# margin covers the transit time of that response.
_DEADLINE_MARGIN_S = 0.1
_MISDIRECTED_EJECTION_S = 5.0
_FIRST_SERVER_ERROR = 500
_BEYOND_LIMITS = frozenset(('too_large', 'too_fragmented'))
_UNREADABLE = _BEYOND_LIMITS | {'bad_answer'}
# From this size on, sending the body to another failure domain costs more than
# loading the object again at a local target.
_LARGE_BODY_BYTES = 16384

__all__ = ('RequestForwarder', 'RoutedRequest')


@dataclass(frozen=True, slots=True)
class _Found:
    """A candidate for a request, and the home region of its object."""

    candidate: Candidate
    targets: ServiceTargets
    home: str


class RequestForwarder:
    """Chooses targets, sends requests and updates target health.

    Parameters
    ----------
    kernel : Kernel
        Provides the plug-ins.
    dialect : Dialect
        Header names.
    log : RateLimitedLog
        Log of failed attempts and changed splits.
    known_gateways : KnownGateways
        Gateways that share the request rates of cold targets.
    pool : ConnectionPool
        Connections to targets.
    """

    def __init__(
        self,
        kernel: Any,
        dialect: Dialect,
        log: RateLimitedLog,
        *,
        known_gateways: KnownGateways,
        pool: ConnectionPool,
    ) -> None:
        """Start without connections."""
        settings = kernel.settings.gateway
        self.pool = pool
        self._dialect = dialect
        self._log = log
        self._known_gateways = known_gateways
        self._directory = TargetDirectory(kernel, log)
        self._crash_guard = CrashGuard(self._directory.reporter, log)
        self._answers = TargetAnswers(dialect, self._directory, log)
        self._probes = Probes(
            kernel, dialect, self.pool, log, answers=self._answers
        )
        self._excess_paths = ExcessPaths()
        self._router = kernel.plugin(Router)
        self._budget = RetryBudget(settings.retry_percent)
        self._retry_reserve = settings.retry_reserve
        self._replicas = settings.max_targets_per_object
        self._random = random.Random()

    def run_maintenance(self) -> None:
        """Close expired connections, update region splits and start probes."""
        self.pool.close_idle()
        self._budget.set_reserve(
            reserve_of(
                self._retry_reserve,
                self._known_gateways.count,
                self._known_gateways.rank,
            )
        )
        for service, split in self._directory.update_splits():
            self._log.write(
                'homes of objects divided',
                service=service,
                shares=_round_shares(split.shares),
                loads={
                    region: round(split.load_of(region), 2)
                    for region in split.shares
                },
            )
        for candidate in self._directory.possibly_restarted():
            self._probes.start(candidate)

    def report_link_load(self, load: float) -> None:
        """Send the load of this gateway's link with the next report."""
        self._directory.reporter.link_load = load

    async def forward(self, routed: RoutedRequest) -> Response:
        """Return the final response of a target.

        Parameters
        ----------
        routed : RoutedRequest
            The request to forward.

        Raises
        ------
        Refusal
            If no target gave a final response.
        """
        self._budget.note_request()
        while True:
            self._crash_guard.check(routed)
            candidate = self._choose(routed)
            response = await self._attempt(routed, candidate)
            if response is not None:
                return response

    def require_target(self, routed: RoutedRequest) -> None:
        """Check that a target can take a request whose body is not read yet.

        Raises
        ------
        Refusal
            If no target can take it now.
        """
        self._find(routed)

    def _choose(self, routed: RoutedRequest) -> Candidate:
        found = self._find(routed)
        now_s = monotonic_s()
        health = found.candidate.health
        routed.has_waited = health.busy(now_s) >= health.slots
        note_placed(found.candidate, routed.object_key, now_s)
        found.targets.split.note_placed(
            now_s, leaves=found.candidate.target.region != found.home
        )
        return found.candidate

    def _find(self, routed: RoutedRequest) -> _Found:
        if routed.left_s() < MIN_ATTEMPT_TIME_S:
            raise self._final_refusal(routed, 'deadline')
        now_s = monotonic_s()
        targets = self._directory.for_service(routed.service.name)
        version = self._directory.choose_version(routed.service, targets)
        groups = targets.ordered(
            routed.object_key,
            version,
            routed.regions,
            has_large_body=routed.request.body_bytes >= _LARGE_BODY_BYTES,
        )
        if routed.tried:
            groups = _without_tried(groups, routed.tried)
        home = groups[0][0].target.region if groups else ''
        near = groups
        if not targets.split.may_leave(now_s, home=home):
            near = groups[:1]
        needs = Needs(
            key=routed.object_key,
            left_s=routed.left_s(),
            max_wait_s=max_wait_s(
                routed.route.profile.latency_objective_s,
                targets.usual_s,
                rank=routed.rank,
                spent_s=now_s - routed.request.received_s,
            ),
            usual_s=targets.usual_s,
            cold_rate_per_s=routed.service.cold_rate_per_s,
            is_repeatable=routed.is_repeatable,
            min_work_s=self._directory.durations.fast_s(
                routed.route.route.name
            ),
        )
        placement = self._place_in(near, needs, now_s)
        if placement.may_go_elsewhere and near is not groups:
            # What the targets of the home region may not take goes elsewhere.
            placement = self._place_in(groups, needs, now_s)
        if placement.may_use_leaving:
            with_leaving = replace(needs, uses_leaving=True)
            placement = self._place_in(groups, with_leaving, now_s)
        if placement.may_use_degraded:
            with_degraded = replace(needs, uses_degraded=True)
            placement = self._place_in(near, with_degraded, now_s)
        if placement.candidate is None:
            routed.rejection = placement.describe(needs)
            routed.wait_s = placement.wait_s
            raise self._final_refusal(routed, placement.reject_reason)
        return _Found(placement.candidate, targets, home)

    def _place_in(
        self, groups: list[list[Candidate]], needs: Needs, now_s: float
    ) -> Placement:
        return place(
            groups,
            needs,
            replicas=self._replicas,
            now_s=now_s,
            known_gateways=self._known_gateways,
        )

    async def _attempt(
        self, routed: RoutedRequest, candidate: Candidate
    ) -> Response | None:
        """Return the final response, or None to try another target."""
        routed.attempts += 1
        target = candidate.target
        routed.tried.add(target.target_id)
        routed.request.must_finish = not routed.is_repeatable
        started_s = monotonic_s()
        timeout = RemoteTimeout(
            routed.left_s() + _DEADLINE_MARGIN_S, is_extended=False
        )
        try:
            async with timeout:
                response = await self.pool.send(
                    candidate,
                    routed.request_id,
                    lambda: encode_request(
                        routed.request,
                        target,
                        routed.account,
                        dialect=self._dialect,
                        deadline_s=routed.deadline_s,
                    ),
                    is_head=routed.request.method == b'HEAD',
                    is_repeatable=routed.is_repeatable,
                )
        except TimeoutError:
            self._note_timeout(routed, candidate, timeout)
            routed.may_have_run = True
            raise self._final_refusal(routed, 'deadline') from None
        except TargetDeclinedError as declined:
            self._place_again(routed, candidate, declined.reason)
            return None
        except TargetFailure as failure:
            if not failure.is_of_target:
                raise maybe_run_refusal(
                    'no_memory', 'no memory for the response of the target'
                ) from None
            self._note_failure(routed, candidate, failure.result)
            routed.may_have_run = routed.may_have_run or failure.may_have_run
            if failure.result == 'reset':
                await self._crash_guard.note_lost(routed, candidate, started_s)
            self._require_retry(routed, failure.result)
            return None
        finally:
            candidate.health.in_flight -= 1
            routed.request.must_finish = False
        if timeout.late_s:
            # The duration tells nothing of the target.
            routed.has_waited = True
        return self._handle_response(routed, candidate, response, started_s)

    def _place_again(
        self, routed: RoutedRequest, candidate: Candidate, reason: str
    ) -> None:
        """Let a request that was not sent look for a target once more.

        Nothing has reached the target, so that this is no attempt and takes
        nothing from the retry budget.
        """
        routed.attempts -= 1
        routed.tried.discard(candidate.target.target_id)
        if routed.request.caller_disconnected:
            raise self._final_refusal(routed, reason)
        RETRIES.labels(reason).inc()
        self._log.write(
            'request placed again',
            request_id=routed.request_id.decode('latin-1'),
            target=candidate.target.target_id,
            reason=reason,
        )

    def _handle_response(
        self,
        routed: RoutedRequest,
        candidate: Candidate,
        response: TargetResponse,
        started_s: float,
    ) -> Response | None:
        now_s = monotonic_s()
        health = candidate.health
        self._answers.note(
            candidate,
            response,
            now_s,
            cause=routed.request_id.decode('latin-1'),
        )
        if self._answers.is_not_run(response):
            if self._answers.is_misdirected(response):
                health.ejected_until_s = now_s + _MISDIRECTED_EJECTION_S
                self.pool.discard_idle(candidate.target.address)
            else:
                self._note_shed(routed, candidate, now_s)
                self._observe(
                    routed, candidate, 'shed', now_s - started_s, response
                )
            if not self._may_retry(routed, 'shed'):
                raise self._shed_refusal(routed, candidate, now_s)
            return None
        is_valid = self._answers.is_valid(response)
        is_failure = response.status >= _FIRST_SERVER_ERROR or not is_valid
        result: AttemptResult = 'target_error' if is_failure else 'ok'
        self._observe(routed, candidate, result, now_s - started_s, response)
        if not is_failure:
            self._note_success(routed, candidate, now_s - started_s)
            return response_for_caller(response)
        health.note_failure()
        routed.may_have_run = True
        if self._may_retry(routed, 'target_error'):
            return None
        if not is_valid:
            raise self._final_refusal(routed, 'bad_answer')
        return response_for_caller(response)

    def _note_success(
        self, routed: RoutedRequest, candidate: Candidate, duration_s: float
    ) -> None:
        health = candidate.health
        self._crash_guard.note_answer(routed)
        self._excess_paths.note_success(
            routed.service.name, routed.request.target
        )
        if not routed.has_waited:
            work_s = duration_s - health.round_trip_s
            self._directory.durations.note(routed.route.route.name, work_s)
        is_usual = health.note_success(
            routed.object_key,
            duration_s,
            monotonic_s(),
            has_waited=routed.has_waited,
        )
        if is_usual:
            targets = self._directory.for_service(routed.service.name)
            targets.note_duration(duration_s - health.round_trip_s)

    def _note_shed(
        self, routed: RoutedRequest, candidate: Candidate, now_s: float
    ) -> None:
        """Back off from a full target; one with free slots may be retried."""
        health = candidate.health
        if health.reports_free_slots(now_s):
            routed.tried.discard(candidate.target.target_id)
        else:
            health.note_shed(now_s)

    def _note_timeout(
        self,
        routed: RoutedRequest,
        candidate: Candidate,
        timeout: RemoteTimeout,
    ) -> None:
        if not timeout.is_own_delay:
            self._note_failure(routed, candidate, 'timeout')
            return
        EVENTS.labels('gateway', 'timeout_of_late_loop').inc()
        self._log.write(
            'attempt ended while the event loop was late',
            request_id=routed.request_id.decode('latin-1'),
            target=candidate.target.target_id,
            attempt=routed.attempts,
            late_ms=int(timeout.late_s * 1000),
        )

    def _note_failure(
        self, routed: RoutedRequest, candidate: Candidate, result: str
    ) -> None:
        now_s = monotonic_s()
        if result == 'timeout':
            candidate.health.note_failure()
        elif result not in _BEYOND_LIMITS or self._excess_paths.is_of_target(
            routed.service.name,
            routed.request.target,
            candidate.target.target_id,
        ):
            candidate.health.note_connection_failure(result, now_s)
        outcome = 'reset' if result in _UNREADABLE else result
        self._observe(routed, candidate, outcome, 0.0, None)  # type: ignore[arg-type]
        self._log.write(
            'attempt failed',
            request_id=routed.request_id.decode('latin-1'),
            target=candidate.target.target_id,
            address=candidate.target.address,
            result=result,
            attempt=routed.attempts,
            left_ms=int(routed.left_s() * 1000),
            announcement_age_ms=candidate.announcement_age_ms(now_s),
            ejected_ms=int(
                max(0.0, candidate.health.ejected_until_s - now_s) * 1000
            ),
        )

    def _observe(
        self,
        routed: RoutedRequest,
        candidate: Candidate,
        result: AttemptResult,
        duration_s: float,
        response: TargetResponse | None,
    ) -> None:
        outcome = AttemptOutcome(
            result,
            first_byte_ms=duration_s * 1000,
            status=response.status if response else 0,
        )
        self._router.observe(
            Observation(
                routed.service.name,
                routed.route.route.name,
                candidate.target,
                outcome,
            )
        )

    def _require_retry(self, routed: RoutedRequest, reason: str) -> None:
        if not self._may_retry(routed, reason):
            raise self._final_refusal(routed, reason)

    def _may_retry(self, routed: RoutedRequest, reason: str) -> bool:
        """Return whether a retry is allowed; if so, take it from the budget."""
        if not routed.can_retry() or not self._budget.take():
            return False
        RETRIES.labels(reason).inc()
        return True

    def _shed_refusal(
        self, routed: RoutedRequest, candidate: Candidate, now_s: float
    ) -> Refusal:
        """Return the refusal of a request that its last target has shed.

        If the target pauses, the refusal tells when the first target takes
        requests again.
        """
        if candidate.health.is_paused(now_s) and not routed.may_have_run:
            # Those that were tried may take requests when the caller returns.
            routed.tried.clear()
            try:
                self._find(routed)
            except Refusal as refusal:
                return refusal
        return self._final_refusal(routed, 'shed')

    def _final_refusal(self, routed: RoutedRequest, reason: str) -> Refusal:
        if routed.may_have_run:
            status = 504 if reason == 'deadline' else 502
            return maybe_run_refusal(
                f'attempt_{reason}',
                f'attempt {routed.attempts} ended with {reason}',
                status=status,
            )
        accepted_s = routed.route.profile.latency_objective_s
        if reason == 'paused':
            # A target that pauses takes no request before the time it named.
            accepted_s = 0.0
        return not_run_refusal(
            f'service_{reason}',
            f'no target of {routed.service.name!r} can take the request: '
            f'{routed.rejection or reason}',
            retry_after_s=return_after_s(
                routed.wait_s, accepted_s, self._random
            ),
        )


def _round_shares(shares: dict[str, float]) -> dict[str, float]:
    return {region: round(share, 2) for region, share in shares.items()}


def _without_tried(
    groups: list[list[Candidate]], tried: set[str]
) -> list[list[Candidate]]:
    """Return the groups without the targets that were already tried."""
    remaining = [
        [each for each in group if each.target.target_id not in tried]
        for group in groups
    ]
    return [group for group in remaining if group]
