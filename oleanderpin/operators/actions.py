"""Operator commands and reads of the control state, for all interfaces."""

import logging
import secrets
import time
from typing import Any, Literal

from ..control.change import Change, Outcome
from ..control.configuration import (
    EDIT,
    REPLACE,
    ConfigurationEdit,
    ConfigurationReplace,
)
from ..control.distribution import Distribution
from ..control.log import ControlLog
from ..control.state import ControlState, Move
from ..control.view import ControlView
from ..core.errors import OleanderpinError, UnavailableError
from ..core.plugin import Plugin, plugins
from ..wire.generated.common.ttypes import NotLeader, Unavailable

_LOG = logging.getLogger(__name__)
_REQUEST_ID_BYTES = 8
# Operators may stop the old targets once a move is reported as completed. By
# then the last share changes are in force on all instances and the requests
# that were routed before them have ended.
_MOVE_SETTLE_S = 2.5

MoveState = Literal['running', 'completed', 'rolled_back']


class NotNewestError(OleanderpinError):
    """This instance cannot confirm that its control state is up to date.

    Parameters
    ----------
    leader_address : str
        Peer address of the leader, empty if unknown.
    """

    kind = 'not_newest'

    def __init__(self, leader_address: str) -> None:
        """Build the message and store the address of the leader."""
        super().__init__(
            'this instance cannot confirm that its state is the newest',
            remedy=f'ask the leader at {leader_address!r}, or try again',
        )
        self.leader_address = leader_address


@plugins.register('operator-actions')
class OperatorActions(Plugin):
    """Proposes changes and reads the control state on behalf of operators.

    All methods are blocking and thread-safe.
    """

    roles = frozenset(('control',))

    def __init__(self, kernel: Any) -> None:
        """Look up the control plug-ins and subscribe to state updates."""
        super().__init__(kernel)
        self._distribution = kernel.plugin(Distribution)
        self._log = kernel.plugin(ControlLog)
        self._view = kernel.plugin(ControlView)
        self._move_ended_s: dict[tuple[str, float], float] = {}
        self._view.subscribe(self._record_ended_moves)

    def replace_configuration(self, change: ConfigurationReplace) -> Outcome:
        """Replace the entire configuration."""
        return self._propose(REPLACE, change.model_dump(mode='json'))

    def edit_configuration(self, change: ConfigurationEdit) -> Outcome:
        """Update and remove individual objects of the current configuration."""
        return self._propose(EDIT, change.model_dump(mode='json'))

    def drain_failure_domain(
        self, name: str, *, valid_until_s: float
    ) -> Outcome:
        """Stop sending new requests to the targets of a failure domain.

        Parameters
        ----------
        name : str
            The failure domain.
        valid_until_s : float
            Monotonic time at which the operator gives up the order.

        Raises
        ------
        UnavailableError
            If the order may have been given up, or no leader is reached.
        """
        return self._propose_order(
            'drain.start',
            {'name': name, 'kind': 'failure_domain'},
            valid_until_s,
        )

    def return_failure_domain(
        self, name: str, *, valid_until_s: float
    ) -> Outcome:
        """Resume sending requests to targets of a drained failure domain.

        Takes the same parameters as `drain_failure_domain` and raises the same
        errors.
        """
        outcome = self._propose_order(
            'drain.cancel', {'name': name}, valid_until_s
        )
        if outcome.kind == 'not_found':
            # Idempotent: a repeated command, or a domain that was not drained.
            return Outcome('ok', outcome.revision)
        return outcome

    def start_move(
        self,
        service: str,
        to_version: str,
        *,
        deadline_s: float,
        valid_until_s: float,
    ) -> Outcome:
        """Start moving a service to another version.

        The command is idempotent: an existing move to the same version,
        running or ended, is left unchanged.

        Parameters
        ----------
        service, to_version : str
            The service and its new version.
        deadline_s : float
            Time for the move, in seconds.
        valid_until_s : float
            Monotonic time at which the operator gives up the order.

        Raises
        ------
        UnavailableError
            If the order may have been given up, or no leader is reached.
        """
        current = self._view.state.moves.get(service)
        if current is not None and current.to_version == to_version:
            return Outcome('ok', self._view.revision)
        outcome = self._propose_order(
            'move.start',
            {
                'service': service,
                'to_version': to_version,
                'deadline_s': deadline_s,
            },
            valid_until_s,
        )
        current = self._view.state.moves.get(service)
        if current is not None and current.to_version == to_version:
            return Outcome('ok', outcome.revision)
        return outcome

    def newest(self, *, timeout_s: float) -> ControlState:
        """Return a state that includes all changes accepted before the call.

        Raises
        ------
        NotNewestError
            If this instance cannot confirm that its state is up to date.
        """
        try:
            revision = self._log.read_barrier(timeout_s=timeout_s)
        except (NotLeader, Unavailable) as error:
            address = getattr(error, 'leader_address', '') or ''
            raise NotNewestError(address) from error
        if not self._view.wait_for(revision, timeout_s=timeout_s):
            raise NotNewestError('')
        return self._view.state

    def move_state(self, move: Move) -> MoveState:
        """Return the state of a move as reported to operators.

        A finished move is reported as running until the settling time has
        passed, because operators may stop the old targets as soon as it is
        reported as completed.
        """
        if move.status == 'taken_back':
            return 'rolled_back'
        if move.status == 'running':
            return 'running'
        ended_s = self._move_ended_s.get((move.service, move.started_unix_s))
        now_s = self.kernel.clock.now_s()
        if ended_s is None or now_s - ended_s < _MOVE_SETTLE_S:
            return 'running'
        return 'completed'

    def _propose_order(
        self, command: str, arguments: dict[str, Any], valid_until_s: float
    ) -> Outcome:
        """Propose an order that must not act after its sender gave it up.

        The sender may have sent the order, and later ones, to other instances
        by then. Hence the change refers to the revision that was known while
        the order was valid, and the log refuses it if its object was changed
        since then: a pause at any later moment does no harm.
        """
        unchanged_since = self._view.revision
        while True:
            if self.kernel.clock.now_s() > valid_until_s:
                raise UnavailableError(
                    f'{command} came too late: its sender may have given it up',
                    remedy='send it again',
                )
            outcome = self._propose(command, arguments, unchanged_since)
            if outcome.kind != 'conflict':
                return outcome
            # The own copy of the state was older than the order.
            unchanged_since = outcome.revision

    def _propose(
        self,
        command: str,
        arguments: dict[str, Any],
        unchanged_since: int | None = None,
    ) -> Outcome:
        change = Change(
            request_id=secrets.token_hex(_REQUEST_ID_BYTES),
            command=command,
            arguments=arguments,
            unchanged_since=unchanged_since,
            operator='operator',
            proposed_unix_s=time.time(),
        )
        outcome = self._distribution.propose(change)
        _LOG.info(
            'operator change processed',
            extra={
                'command': command,
                'outcome': outcome.kind,
                'revision': outcome.revision,
                'problem': outcome.problem,
            },
        )
        return outcome

    def _record_ended_moves(self, state: ControlState) -> None:
        now_s = self.kernel.clock.now_s()
        for move in state.moves.values():
            if move.status == 'done':
                key = (move.service, move.started_unix_s)
                self._move_ended_s.setdefault(key, now_s)
