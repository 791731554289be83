"""Sends a request to targets until one responds, with retries and hedging.

Attempts end at the attempt limit of the profile and at the deadline of the
request. Hedges, and retries except after a failed connection, also draw on the
retry budget of the service, so that they do not multiply the load of an outage.
A request that may have run is repeated only if it is idempotent.
"""

import socket
from dataclasses import dataclass, field, replace
from typing import Any

from ..control.authority import Authority
from ..core.errors import Refusal
from ..core.metrics import RETRIES
from ..core.plugin import Plugin, plugins
from ..routing.router import Router, Selection
from .attempt import Attempt
from .attempt_error import AttemptError
from .body import CallerBodyError
from .call import Call, CallerDisconnectedError, deadline_refusal, wait_readable
from .connections import TargetConnections
from .fingerprints import Fingerprints
from .response import BrokenResponseError, Response
from .retry_budget import RetryBudgets


@dataclass(slots=True)
class _RequestState:
    """State of one request across its attempts."""

    call: Call
    tried: list[str] = field(default_factory=list)
    may_have_run: bool = False
    # Value of ``may_have_run`` before the last attempt.
    may_have_run_before: bool = False
    retry_reason: str = ''
    error: AttemptError | None = None
    # Response that is forwarded if no other target can be tried.
    fallback: Response | None = None
    in_flight: list[Attempt] = field(default_factory=list)

    def record_error(self, error: AttemptError) -> None:
        self.error = error
        self.fallback = None
        self.may_have_run = self.may_have_run or error.may_have_run

    def fallback_response(self) -> Response:
        """Return the response to forward when no other target can be tried."""
        if self.fallback is None:
            raise RuntimeError('no fallback response is set')
        return self.fallback

    def with_correct_not_run(self, refusal: Refusal) -> Refusal:
        """Return the refusal with ``not_run`` valid for all attempts."""
        if not self.may_have_run or not refusal.details.not_run:
            return refusal
        return Refusal(
            refusal.reason,
            refusal.problem,
            remedy='the request may have run; check before repeating it',
            details=replace(refusal.details, not_run=False),
        )


@plugins.register('attempts')
class Attempts(Plugin):
    """Sends requests to targets, with retries and hedging."""

    roles = frozenset(('entry',))

    def __init__(self, kernel: Any) -> None:
        """Start with the initial retry budgets."""
        super().__init__(kernel)
        self._authority = kernel.plugin(Authority)
        self._router = kernel.plugin(Router)
        self._connections = kernel.plugin(TargetConnections)
        self._fingerprints = kernel.plugin(Fingerprints)
        self._budgets = RetryBudgets()

    def run(self, call: Call) -> Response:
        """Send a request and return the response of a target.

        The caller of this method forwards the response and finishes it.

        Raises
        ------
        Refusal
            If no target responded; ``not_run`` covers all attempts.
        CallerDisconnectedError
            If the caller closed its connection during an attempt.
        """
        state = _RequestState(call)
        self._budgets.deposit(call.service.name, call.profile)
        try:
            return self._run(state)
        except Refusal as refusal:
            raise state.with_correct_not_run(refusal) from refusal
        except CallerBodyError as error:
            raise error.refusal(not_run=False) from error
        finally:
            while state.in_flight:
                state.in_flight.pop().abandon()

    def _run(self, state: _RequestState) -> Response:
        while True:
            selection = self._choose_or_fall_back(state)
            if selection is None:
                return state.fallback_response()
            if state.retry_reason:
                RETRIES.labels(state.retry_reason).inc()
            try:
                response = self._attempt(state, selection)
            except AttemptError as error:
                self._prepare_retry(state, error)
                continue
            if not self._should_retry_response(state, response):
                return response

    def _choose_or_fall_back(self, state: _RequestState) -> Selection | None:
        """Return the next target; None to forward the fallback response."""
        try:
            return self._choose(state)
        except Refusal:
            if state.fallback is not None:
                return None
            if state.error is not None:
                raise state.error.refusal(
                    not_run=not state.may_have_run
                ) from None
            raise

    def _choose(self, state: _RequestState) -> Selection:
        call = state.call
        if call.remaining_s() <= 0:
            raise deadline_refusal(not_run=not state.may_have_run)
        if not call.service.is_open:
            self._authority.check(
                key_hash=call.request.key_hash, service=call.service
            )
        selection = self._router.choose(
            call.service, route=call.request.route, exclude=state.tried
        )
        state.tried.append(selection.target.address)
        return selection

    def _attempt(self, state: _RequestState, selection: Selection) -> Response:
        self._start(state, selection)
        response = self._await_response(state)
        limit = self.kernel.settings.forwarding.replay_buffer_bytes
        try:
            response.prefetch(limit_bytes=limit)
        except BrokenResponseError as error:
            raise AttemptError('answer_broken', str(error)) from error
        except CallerDisconnectedError:
            response.finish(is_complete=None)
            raise
        response.forwards_not_run = (
            response.is_not_run and not state.may_have_run_before
        )
        self._fingerprints.record_response(state.call.fingerprint)
        return response

    def _start(self, state: _RequestState, selection: Selection) -> None:
        attempt = Attempt(state.call, selection, self._connections)
        # From here on the request may have run, also if sending raises;
        # only a failed connection attempt reverts this.
        state.may_have_run_before = state.may_have_run
        state.may_have_run = True
        try:
            attempt.send()
        except AttemptError as error:
            state.may_have_run = state.may_have_run_before or error.may_have_run
            self._record_crash(state, attempt, error)
            raise
        except Exception:
            attempt.abandon()
            raise
        state.in_flight.append(attempt)

    def _await_response(self, state: _RequestState) -> Response:
        call = state.call
        may_hedge = self._may_hedge(call)
        while True:
            until_s = self._next_event_s(state, may_hedge=may_hedge)
            ready = wait_readable(
                [attempt.sock for attempt in state.in_flight],
                call.caller,
                timeout_s=until_s - call.clock.now_s(),
            )
            response = self._read_ready(state, ready)
            if response is not None:
                return response
            if ready or self._expire_overdue(state):
                continue
            if may_hedge and call.clock.now_s() >= until_s:
                may_hedge = False
                self._hedge(state)

    def _read_ready(
        self, state: _RequestState, ready: list[socket.socket]
    ) -> Response | None:
        for attempt in list(state.in_flight):
            if attempt.sock in ready:
                response = self._read(state, attempt)
                if response is not None:
                    return response
        return None

    def _next_event_s(self, state: _RequestState, *, may_hedge: bool) -> float:
        call = state.call
        first_byte_s = call.profile.first_byte_timeout_s
        times = [attempt.sent_s + first_byte_s for attempt in state.in_flight]
        times.append(call.deadline_s)
        if may_hedge:
            hedge_after_s = call.profile.hedge_after_ms / 1000
            times.append(state.in_flight[0].sent_s + hedge_after_s)
        return min(times)

    def _read(self, state: _RequestState, attempt: Attempt) -> Response | None:
        state.in_flight.remove(attempt)
        try:
            response = attempt.read_response()
        except AttemptError as error:
            self._record_crash(state, attempt, error)
            if state.in_flight:
                state.record_error(error)
                return None
            raise
        except CallerDisconnectedError:
            attempt.abandon()
            raise
        while state.in_flight:
            state.in_flight.pop().abandon()
        return response

    def _expire_overdue(self, state: _RequestState) -> bool:
        """End the attempts whose first byte did not arrive in time."""
        if state.call.remaining_s() <= 0:
            self._abandon_all(state)
            raise deadline_refusal(not_run=False)
        now_s = state.call.clock.now_s()
        limit_s = state.call.profile.first_byte_timeout_s
        overdue = [
            attempt
            for attempt in state.in_flight
            if now_s >= attempt.sent_s + limit_s
        ]
        for attempt in overdue:
            state.in_flight.remove(attempt)
            error = attempt.timed_out()
            if not state.in_flight:
                raise error
            state.record_error(error)
        return bool(overdue)

    def _abandon_all(self, state: _RequestState) -> None:
        while state.in_flight:
            state.in_flight.pop().abandon()

    def _may_hedge(self, call: Call) -> bool:
        return (
            call.profile.hedge_after_ms > 0
            and call.request.is_idempotent
            and call.body.is_replayable
        )

    def _hedge(self, state: _RequestState) -> None:
        call = state.call
        if len(state.tried) >= call.profile.max_attempts:
            return
        if not self._budgets.try_withdraw(call.service.name, call.profile):
            return
        try:
            selection = self._choose(state)
            self._start(state, selection)
        except (Refusal, AttemptError):
            # A failed hedge does not affect the first attempt.
            return
        RETRIES.labels('hedge').inc()

    def _record_crash(
        self, state: _RequestState, attempt: Attempt, error: AttemptError
    ) -> None:
        if error.is_crash:
            self._fingerprints.record_crash(
                state.call.fingerprint, started_s=attempt.started_s
            )

    def _prepare_retry(self, state: _RequestState, error: AttemptError) -> None:
        """Prepare a retry, or raise if the request must not be retried."""
        state.record_error(error)
        state.retry_reason = error.reason
        refusal = error.refusal(not_run=not state.may_have_run)
        if error.may_have_run and not state.call.request.is_idempotent:
            raise refusal
        if not self._may_retry(state, costs_budget=error.may_have_run):
            raise refusal
        if error.is_crash:
            self._fingerprints.check(state.call.fingerprint)

    def _should_retry_response(
        self, state: _RequestState, response: Response
    ) -> bool:
        """Return whether to try another target after a 503 response."""
        is_not_run = response.is_not_run
        if response.status != 503 or response.buffered_body is None:
            return False
        if not is_not_run and not state.call.request.is_idempotent:
            return False
        if not self._may_retry(state, costs_budget=True):
            return False
        if is_not_run:
            state.may_have_run = state.may_have_run_before
        state.retry_reason = 'not_run' if is_not_run else 'target_unavailable'
        state.fallback = response
        state.error = None
        return True

    def _may_retry(self, state: _RequestState, *, costs_budget: bool) -> bool:
        call = state.call
        if len(state.tried) >= call.profile.max_attempts:
            return False
        if state.may_have_run and not call.body.is_replayable:
            return False
        if call.remaining_s() <= 0:
            return False
        return not costs_budget or self._budgets.try_withdraw(
            call.service.name, call.profile
        )
