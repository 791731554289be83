"""Runs requests with an Idempotency-Key at most once across instances.

Before a request runs, its key is claimed on a majority of the control voters;
afterwards the outcome is stored there, so that a resend gets the same response
from any instance. Without a majority the request is rejected.
"""

import hashlib
import secrets
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from thrift.Thrift import TException

from ..control.view import ControlView
from ..core.errors import Refusal, RefusalDetails, UnavailableError
from ..core.http_head import bad_request
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..wire.generated.idempotency.ttypes import ClaimReply, Record, Verdict
from ..wire.network import PeerNetwork
from .call import Call
from .fanout import Fanout
from .idempotency_store import IdempotencyStore
from .outcome import Outcome
from .response import Response
from .voters import idempotency_voters, majority

# Covers an inter-region round trip and a busy voter, with a margin.
_VOTER_TIMEOUT_S = 1.0
_CLAIM_ID_BYTES = 12


class ClaimGuard:
    """The claim of one request; does nothing for a request without a key.

    ``replay`` is the stored response if the request is a resend.
    """

    def __init__(self, finish: Callable[[Outcome | None], None] | None) -> None:
        """Store the completion callback; None for a request without a key."""
        self.replay: Response | None = None
        self.is_finished = finish is None
        self._finish = finish

    def complete(self, response: Response) -> None:
        """Store the response for resends, before it is sent to the caller."""
        if self.is_finished:
            return
        self.finish(
            None
            if response.forwards_not_run
            else Outcome.from_response(response)
        )

    def finish(self, outcome: Outcome | None) -> None:
        """Store an outcome, or withdraw the claim if it is None."""
        if not self.is_finished and self._finish is not None:
            self.is_finished = True
            self._finish(outcome)


@dataclass(slots=True)
class _ClaimVotes:
    """Votes on one claim."""

    needed: int
    granted: int = 0
    held: Record | None = None
    done: Record | None = None

    def count_reply(self, reply: ClaimReply | None) -> bool:
        """Count a reply; return whether the claim is decided."""
        if reply is None or reply.verdict == Verdict.ABSTAIN:
            return False
        if reply.verdict == Verdict.GRANTED:
            self.granted += 1
            return self.granted >= self.needed
        if reply.verdict == Verdict.DONE:
            self.done = reply.record
            return True
        self.held = reply.record
        return False


@plugins.register('idempotency')
class IdempotencyRecords(Plugin):
    """Claims keys and stores outcomes on a majority of the control voters."""

    roles = frozenset(('entry',))

    def __init__(self, kernel: Any) -> None:
        """Look up the plug-ins that reach the voters."""
        super().__init__(kernel)
        self._network = kernel.plugin(PeerNetwork)
        self._view = kernel.plugin(ControlView)
        self._fanout = Fanout()

    def start(self) -> None:
        """Start the threads that call voters."""
        self._fanout.start()

    def stop(self) -> None:
        """End the threads that call voters."""
        self._fanout.stop()

    @contextmanager
    def guard(self, call: Call, account: str) -> Iterator[ClaimGuard]:
        """Hold the claim of a request while it runs.

        Parameters
        ----------
        call : Call
            The request.
        account : str
            Client account; empty on open services.

        Raises
        ------
        Refusal
            If the key is in use, was used for another request, or no
            majority of the voters can be reached.
        """
        if call.request.idempotency_key is None:
            yield ClaimGuard(None)
            return
        record = _new_record(call, account)
        guard = ClaimGuard(lambda outcome: self._complete(record, outcome))
        guard.replay = self._claim(record, call)
        if guard.replay is not None:
            guard.is_finished = True
        try:
            yield guard
        except Refusal as refusal:
            is_not_run = refusal.details.not_run
            guard.finish(None if is_not_run else Outcome.unknown())
            raise
        finally:
            guard.finish(Outcome.unknown())

    def _claim(self, record: Record, call: Call) -> Response | None:
        if not self._view.is_fresh():
            # The voters in a stale view may have been replaced.
            raise _unavailable_refusal(
                'this instance may not know the present voters'
            )
        voters = idempotency_voters(self.kernel)
        votes = _ClaimVotes(majority(len(voters)))
        timeout_s = min(_VOTER_TIMEOUT_S, max(0.001, call.remaining_s()))
        for reply in self._call_voters(
            voters, 'claim', record, timeout_s=timeout_s
        ):
            if votes.count_reply(reply):
                break
        known = votes.done or votes.held
        if votes.granted >= votes.needed:
            return None
        self._complete(record, None, waits_for_majority=False)
        if known is not None and known.request_digest != record.request_digest:
            raise bad_request(
                'idempotency_key_reused',
                'the Idempotency-Key was used for another request',
                remedy='send a new key with a new request',
                status=422,
            )
        if votes.done is not None:
            return Outcome(votes.done.outcome).response()
        if votes.held is not None:
            raise Refusal(
                'duplicate_in_progress',
                'a request with this Idempotency-Key is in progress',
                remedy='repeat it later to get its outcome',
                details=RefusalDetails(
                    status=409, not_run=False, retry_after_s=1.0
                ),
            )
        raise _unavailable_refusal(
            f'fewer than {votes.needed} of {len(voters)} control instances '
            'can keep the record'
        )

    def _complete(
        self,
        record: Record,
        outcome: Outcome | None,
        *,
        waits_for_majority: bool = True,
    ) -> None:
        voters = idempotency_voters(self.kernel)
        final = Record(
            name=record.name,
            account=record.account,
            claim_id=record.claim_id,
            request_digest=record.request_digest,
            is_done=outcome is not None,
            outcome=outcome.payload if outcome else b'',
        )
        confirmed = 0
        replies = self._call_voters(
            voters, 'complete', final, timeout_s=_VOTER_TIMEOUT_S
        )
        if not waits_for_majority:
            return
        for reply in replies:
            confirmed += reply is not None
            if confirmed >= majority(len(voters)):
                return
        EVENTS.labels('idempotency', 'outcome_not_kept').inc()

    def _call_voters(
        self,
        voters: tuple[tuple[str, str], ...],
        method: str,
        record: Record,
        *,
        timeout_s: float,
    ) -> Iterator[Any]:
        calls = [
            self._voter_call(name, address, method, record, timeout_s)
            for name, address in voters
        ]
        return self._fanout.run(calls, timeout_s=timeout_s)

    def _voter_call(
        self,
        name: str,
        address: str,
        method: str,
        record: Record,
        timeout_s: float,
    ) -> Callable[[], Any]:
        """Return a call whose result is None if the voter did not reply."""
        own_name = self.kernel.settings.instance.name

        def call() -> Any:
            try:
                if name == own_name and self.kernel.has(IdempotencyStore):
                    store = self.kernel.plugin(IdempotencyStore)
                    reply = getattr(store, method)(record)
                else:
                    reply = self._network.call(
                        address,
                        'Idempotency',
                        method,
                        record,
                        timeout_s=timeout_s,
                    )
            except (UnavailableError, TException):
                EVENTS.labels('idempotency', f'{method}_failed').inc()
                return None
            return True if reply is None else reply

        return call


def _new_record(call: Call, account: str) -> Record:
    key = call.request.idempotency_key
    text = '\n'.join((account, call.service.name, str(key)))
    return Record(
        name=hashlib.sha256(text.encode()).hexdigest(),
        account=account,
        claim_id=secrets.token_hex(_CLAIM_ID_BYTES),
        request_digest=call.fingerprint,
        is_done=False,
        outcome=b'',
    )


def _unavailable_refusal(problem: str) -> Refusal:
    return Refusal(
        'idempotency_unavailable',
        problem,
        remedy='try again later',
        details=RefusalDetails(retry_after_s=1.0),
    )
