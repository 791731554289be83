"""What operators can ask of the system, for every interface that they use."""

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
from ..core.errors import OleanderpinError
from ..core.plugin import Plugin, plugins
from ..wire.generated.common.ttypes import NotLeader, Unavailable

_LOG = logging.getLogger(__name__)
_ID_BYTES = 8
# Old targets may be stopped once a move is reported as done: the last changes
# of shares are in force everywhere and requests of before have ended.
_SETTLE_S = 2.5

MoveState = Literal['running', 'completed', 'rolled_back']


class NotNewestError(OleanderpinError):
    """This instance cannot tell whether its state is the newest.

    Parameters
    ----------
    leader_address : str
        Peer address of the leader, empty if it is not known.
    """

    kind = 'not_newest'

    def __init__(self, leader_address: str) -> None:
        """Keep the address of the leader."""
        super().__init__(
            'this instance cannot confirm that its state is the newest',
            remedy=f'ask the leader at {leader_address!r}, or try again',
        )
        self.leader_address = leader_address


@plugins.register('operator-actions')
class OperatorActions(Plugin):
    """Changes and reads the control state on behalf of operators.

    All methods block; they may be called from any thread.
    """

    roles = frozenset(('control',))

    def __init__(self, kernel: Any) -> None:
        """Keep the plug-ins that carry the changes."""
        super().__init__(kernel)
        self._distribution = kernel.plugin(Distribution)
        self._log = kernel.plugin(ControlLog)
        self._view = kernel.plugin(ControlView)
        self._ended_s: dict[tuple[str, float], float] = {}
        self._view.subscribe(self._note_ended_moves)

    def replace_configuration(self, change: ConfigurationReplace) -> Outcome:
        """Put a whole configuration in place of the one in force."""
        return self._propose(REPLACE, change.model_dump(mode='json'))

    def edit_configuration(self, change: ConfigurationEdit) -> Outcome:
        """Change and remove objects of the configuration in force."""
        return self._propose(EDIT, change.model_dump(mode='json'))

    def drain_failure_domain(self, name: str) -> Outcome:
        """Give the targets of a failure domain no new work."""
        return self._propose(
            'drain.start', {'name': name, 'kind': 'failure_domain'}
        )

    def return_failure_domain(self, name: str) -> Outcome:
        """Give the targets of a drained failure domain work again."""
        outcome = self._propose('drain.cancel', {'name': name})
        if outcome.kind == 'not_found':
            # Sent again, or never drained: nothing is left to do.
            return Outcome('ok', outcome.revision)
        return outcome

    def start_move(
        self, service: str, to_version: str, *, deadline_s: float
    ) -> Outcome:
        """Start to move a service to another version.

        A move to the same version that runs or has ended is left as it is,
        so that the command may be sent again.
        """
        known = self._view.state.moves.get(service)
        if known is not None and known.to_version == to_version:
            return Outcome('ok', self._view.revision)
        outcome = self._propose(
            'move.start',
            {
                'service': service,
                'to_version': to_version,
                'deadline_s': deadline_s,
            },
        )
        known = self._view.state.moves.get(service)
        if known is not None and known.to_version == to_version:
            return Outcome('ok', outcome.revision)
        return outcome

    def newest(self, *, timeout_s: float) -> ControlState:
        """Return a state that holds all changes accepted before the call.

        Raises
        ------
        NotNewestError
            If this instance cannot be sure of that.
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
        """Return what operators are told of a move.

        A move that is done counts as running for a while longer, since the
        old targets may be stopped as soon as it is reported.
        """
        if move.status == 'taken_back':
            return 'rolled_back'
        if move.status == 'running':
            return 'running'
        ended_s = self._ended_s.get((move.service, move.started_unix_s))
        now_s = self.kernel.clock.now_s()
        if ended_s is None or now_s - ended_s < _SETTLE_S:
            return 'running'
        return 'completed'

    def _propose(self, command: str, arguments: dict[str, Any]) -> Outcome:
        change = Change(
            request_id=secrets.token_hex(_ID_BYTES),
            command=command,
            arguments=arguments,
            operator='operator',
            proposed_unix_s=time.time(),
        )
        outcome = self._distribution.propose(change)
        _LOG.info(
            'change answered',
            extra={
                'command': command,
                'outcome': outcome.kind,
                'revision': outcome.revision,
                'problem': outcome.problem,
            },
        )
        return outcome

    def _note_ended_moves(self, state: ControlState) -> None:
        now_s = self.kernel.clock.now_s()
        for move in state.moves.values():
            if move.status == 'done':
                key = (move.service, move.started_unix_s)
                self._ended_s.setdefault(key, now_s)
