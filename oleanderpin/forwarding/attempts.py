"""Attempts at targets until one answers, within budgets and the deadline."""

import socket
from dataclasses import dataclass, field, replace
from typing import Any

from ..control.authority import Authority
from ..core.errors import Refusal
from ..core.metrics import RETRIES
from ..core.plugin import Plugin, plugins
from ..routing.router import Router, Selection
from .answer import Answer, BrokenAnswerError
from .attempt import Attempt
from .attempt_error import AttemptError
from .body import CallerBodyError
from .budget import RetryBudgets
from .call import Call, CallerGoneError, deadline_refusal, wait_readable
from .connections import TargetConnections
from .fingerprints import Fingerprints


@dataclass(slots=True)
class _Run:
    """The attempts of one request so far."""

    call: Call
    tried: list[str] = field(default_factory=list)
    may_have_run: bool = False
    # Value of ``may_have_run`` before the last attempt.
    had_run: bool = False
    retry_reason: str = ''
    error: AttemptError | None = None
    # An answer of the target that is passed on if no retry is possible.
    fallback: Answer | None = None
    racing: list[Attempt] = field(default_factory=list)

    def note(self, error: AttemptError) -> None:
        self.error = error
        self.fallback = None
        self.may_have_run = self.may_have_run or error.may_have_run

    def fallback_answer(self) -> Answer:
        """Return the answer that is passed on in place of a better one."""
        if self.fallback is None:
            raise RuntimeError('no answer to fall back on')
        return self.fallback

    def truthful(self, refusal: Refusal) -> Refusal:
        """Return the refusal with a ``not_run`` that holds for all attempts."""
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
    """Runs requests on targets."""

    roles = frozenset(('entry',))

    def __init__(self, kernel: Any) -> None:
        """Start with full budgets."""
        super().__init__(kernel)
        self._authority = kernel.plugin(Authority)
        self._router = kernel.plugin(Router)
        self._connections = kernel.plugin(TargetConnections)
        self._fingerprints = kernel.plugin(Fingerprints)
        self._budgets = RetryBudgets()

    def run(self, call: Call) -> Answer:
        """Run a request and return the answer of a target.

        The caller of this method passes the answer on and ends it.

        Raises
        ------
        Refusal
            If no target answered; ``not_run`` covers all attempts.
        CallerGoneError
            If the caller closed its connection meanwhile.
        """
        run = _Run(call)
        self._budgets.earn(call.service.name, call.profile)
        try:
            return self._run(run)
        except Refusal as refusal:
            raise run.truthful(refusal) from refusal
        except CallerBodyError as error:
            raise error.refusal(not_run=False) from error
        finally:
            while run.racing:
                run.racing.pop().abandon()

    def _run(self, run: _Run) -> Answer:
        while True:
            selection = self._choose_or_end(run)
            if selection is None:
                return run.fallback_answer()
            if run.retry_reason:
                RETRIES.labels(run.retry_reason).inc()
            try:
                answer = self._attempt(run, selection)
            except AttemptError as error:
                self._note_failure(run, error)
                continue
            if not self._wants_other_answer(run, answer):
                return answer

    def _choose_or_end(self, run: _Run) -> Selection | None:
        """Return the next target; None if the last answer must do."""
        try:
            return self._choose(run)
        except Refusal:
            if run.fallback is not None:
                return None
            if run.error is not None:
                raise run.error.refusal(not_run=not run.may_have_run) from None
            raise

    def _choose(self, run: _Run) -> Selection:
        call = run.call
        if call.remaining_s() <= 0:
            raise deadline_refusal(not_run=not run.may_have_run)
        if not call.service.is_open:
            self._authority.check(
                key_hash=call.request.key_hash, service=call.service
            )
        selection = self._router.choose(
            call.service, route=call.request.route, exclude=run.tried
        )
        run.tried.append(selection.target.address)
        return selection

    def _attempt(self, run: _Run, selection: Selection) -> Answer:
        self._start(run, selection)
        answer = self._await_answer(run)
        limit = self.kernel.settings.forwarding.replay_buffer_bytes
        try:
            answer.prefetch(limit_bytes=limit)
        except BrokenAnswerError as error:
            raise AttemptError('answer_broken', str(error)) from error
        except CallerGoneError:
            answer.end(is_complete=None)
            raise
        answer.passes_not_run = answer.is_not_run and not run.had_run
        self._fingerprints.note_answer(run.call.fingerprint)
        return answer

    def _start(self, run: _Run, selection: Selection) -> None:
        attempt = Attempt(run.call, selection, self._connections)
        # Counts as run from here on, whatever way the method is left; an
        # attempt without a connection takes it back.
        run.had_run = run.may_have_run
        run.may_have_run = True
        try:
            attempt.send()
        except AttemptError as error:
            run.may_have_run = run.had_run or error.may_have_run
            self._note_crash(run, attempt, error)
            raise
        except Exception:
            attempt.abandon()
            raise
        run.racing.append(attempt)

    def _await_answer(self, run: _Run) -> Answer:
        call = run.call
        may_hedge = self._may_hedge(call)
        while True:
            until_s = self._next_event_s(run, may_hedge=may_hedge)
            ready = wait_readable(
                [attempt.sock for attempt in run.racing],
                call.caller,
                timeout_s=until_s - call.clock.now_s(),
            )
            answer = self._read_any(run, ready)
            if answer is not None:
                return answer
            if ready or self._expire(run):
                continue
            if may_hedge and call.clock.now_s() >= until_s:
                may_hedge = False
                self._hedge(run)

    def _read_any(self, run: _Run, ready: list[socket.socket]) -> Answer | None:
        for attempt in list(run.racing):
            if attempt.sock in ready:
                answer = self._read(run, attempt)
                if answer is not None:
                    return answer
        return None

    def _next_event_s(self, run: _Run, *, may_hedge: bool) -> float:
        call = run.call
        first_byte_s = call.profile.first_byte_timeout_s
        times = [attempt.sent_s + first_byte_s for attempt in run.racing]
        times.append(call.deadline_s)
        if may_hedge:
            hedge_after_s = call.profile.hedge_after_ms / 1000
            times.append(run.racing[0].sent_s + hedge_after_s)
        return min(times)

    def _read(self, run: _Run, attempt: Attempt) -> Answer | None:
        run.racing.remove(attempt)
        try:
            answer = attempt.read_answer()
        except AttemptError as error:
            self._note_crash(run, attempt, error)
            if run.racing:
                run.note(error)
                return None
            raise
        except CallerGoneError:
            attempt.abandon()
            raise
        while run.racing:
            run.racing.pop().abandon()
        return answer

    def _expire(self, run: _Run) -> bool:
        """End the attempts without a first byte in time."""
        if run.call.remaining_s() <= 0:
            self._expire_all(run)
            raise deadline_refusal(not_run=False)
        now_s = run.call.clock.now_s()
        limit_s = run.call.profile.first_byte_timeout_s
        late = [
            attempt
            for attempt in run.racing
            if now_s >= attempt.sent_s + limit_s
        ]
        for attempt in late:
            run.racing.remove(attempt)
            error = attempt.timed_out()
            if not run.racing:
                raise error
            run.note(error)
        return bool(late)

    def _expire_all(self, run: _Run) -> None:
        while run.racing:
            run.racing.pop().abandon()

    def _may_hedge(self, call: Call) -> bool:
        return (
            call.profile.hedge_after_ms > 0
            and call.request.is_idempotent
            and call.body.is_replayable
        )

    def _hedge(self, run: _Run) -> None:
        call = run.call
        if len(run.tried) >= call.profile.max_attempts:
            return
        if not self._budgets.spend(call.service.name, call.profile):
            return
        try:
            selection = self._choose(run)
            self._start(run, selection)
        except (Refusal, AttemptError):
            # The first attempt goes on.
            return
        RETRIES.labels('hedge').inc()

    def _note_crash(
        self, run: _Run, attempt: Attempt, error: AttemptError
    ) -> None:
        if error.is_crash:
            self._fingerprints.note_crash(
                run.call.fingerprint, started_s=attempt.started_s
            )

    def _note_failure(self, run: _Run, error: AttemptError) -> None:
        """Prepare a retry, or refuse the request."""
        run.note(error)
        run.retry_reason = error.reason
        refusal = error.refusal(not_run=not run.may_have_run)
        if error.may_have_run and not run.call.request.is_idempotent:
            raise refusal
        if not self._may_retry(run, costs_budget=error.may_have_run):
            raise refusal
        if error.is_crash:
            self._fingerprints.check(run.call.fingerprint)

    def _wants_other_answer(self, run: _Run, answer: Answer) -> bool:
        """Return whether to try another target in spite of an answer."""
        is_not_run = answer.is_not_run
        if answer.status != 503 or answer.whole is None:
            return False
        if not is_not_run and not run.call.request.is_idempotent:
            return False
        if not self._may_retry(run, costs_budget=True):
            return False
        if is_not_run:
            run.may_have_run = run.had_run
        run.retry_reason = 'not_run' if is_not_run else 'target_unavailable'
        run.fallback = answer
        run.error = None
        return True

    def _may_retry(self, run: _Run, *, costs_budget: bool) -> bool:
        call = run.call
        if len(run.tried) >= call.profile.max_attempts:
            return False
        if run.may_have_run and not call.body.is_replayable:
            return False
        if call.remaining_s() <= 0:
            return False
        return not costs_budget or self._budgets.spend(
            call.service.name, call.profile
        )
