"""The replicated log of accepted changes on a control instance."""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..core.background import background_thread
from ..core.errors import StorageAccessError, StorageError, ValidationError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..wire.generated.common.ttypes import Unavailable
from .applying import Applying
from .bootstrap import Bootstrap
from .change import Change, Outcome
from .members import MemberChanges, OwnMember, describe_own_member
from .raft import RaftNode
from .raft_service import RaftHandler
from .receiver import Receiver
from .records import EntryKind
from .replication import Replication
from .storage import LogStorage, StoredState
from .view import ControlView
from .view_entries import is_written_by_log
from .voting import Voting

_LOG = logging.getLogger(__name__)
_UPKEEP_INTERVAL_S = 0.05
_START_RETRY_INTERVAL_S = 0.5
_THREAD_JOIN_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class Leadership:
    """The leader as far as this instance knows."""

    leader_address: str
    is_self: bool


@plugins.register('control-log')
class ControlLog(Plugin):
    """Replicates changes to a majority and applies them to the view."""

    roles = frozenset(('control',))

    _members: MemberChanges

    def __init__(self, kernel: Any) -> None:
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)
        self._node: RaftNode | None = None
        self._failure: StorageError | None = None
        self._apply_thread: threading.Thread | None = None
        self._loading_thread: threading.Thread | None = None

    def start(self) -> None:
        """Load the log from the disk and take part in the group.

        If the disk is unusable, the instance runs without its log and reports
        the reason in ``problem``. It tries again while the disk refuses
        access; damaged files need an operator.
        """
        if not self._try_start():
            self._loading_thread = self._start_thread(
                self._retry_start, 'log-start'
            )

    def stop(self) -> None:
        """Stop taking part in the group and close the files."""
        if self._loading_thread is not None:
            self._loading_thread.join(_THREAD_JOIN_TIMEOUT_S)
        node = self._node
        if node is None:
            return
        node.mark_failed(
            StorageError('the instance is stopping', remedy='try another one')
        )
        if self._apply_thread is not None:
            self._apply_thread.join(_THREAD_JOIN_TIMEOUT_S)
        node.disk.stop()

    @property
    def problem(self) -> str:
        """Why this instance cannot maintain the log; empty if it can."""
        failure = self._failure
        if failure is None and self._node is not None:
            failure = self._node.state.failure
        return str(failure or '')

    @property
    def members(self) -> MemberChanges:
        """Membership changes, which only the leader can make.

        Raises
        ------
        Unavailable
            If this instance cannot maintain the log.
        """
        self._require_node()
        return self._members

    def own_member(self) -> OwnMember:
        """Return the status that this member reports about itself."""
        return describe_own_member(self._require_node())

    def leadership(self) -> Leadership:
        """Return the leader, with an empty address if it is not known."""
        address = (
            self._node.known_leader_address() if self._node is not None else ''
        )
        own_address = self.kernel.settings.listen.peer
        return Leadership(address, is_self=address == own_address)

    def has_lease(self) -> bool:
        """Return whether this instance holds the leader lease.

        While it does, no other instance can have become the leader. The lease
        requires that an entry of the leader's own term is applied.
        """
        return self._node is not None and self._node.has_lease()

    def read_barrier(self, *, timeout_s: float) -> int:
        """Return a revision that includes all changes accepted before the call.

        Waits until a majority has confirmed the leader since the call, and
        until all entries committed before it are applied.

        Raises
        ------
        NotLeader, Unavailable
            If this instance is not the leader or no majority replies in time.
        """
        node = self._require_node()
        with node.lock:
            node.require_lease()
            requested_s = node.now_s()
            term = node.state.hard_state.term
            revision = node.state.commit_index
            node.state.read_barrier_s = requested_s
            node.lock.notify_all()
            node.lock.wait_for(
                lambda: (
                    not node.is_leading(term)
                    or node.is_read_confirmed(requested_s, revision)
                ),
                timeout_s,
            )
            node.require_lease()
            if node.is_read_confirmed(requested_s, revision):
                return revision
        raise Unavailable(
            problem='no majority confirmed the leader in time',
            maybe_applied=False,
        )

    def propose(self, payload: bytes, *, timeout_s: float) -> Outcome:
        """Replicate a change to a majority and apply it.

        Parameters
        ----------
        payload : bytes
            JSON of a `Change`.
        timeout_s : float
            Longest wait for the commit, in seconds.

        Returns
        -------
        Outcome
            The result, which is the same for each repetition of the request.

        Raises
        ------
        NotLeader
            If another instance leads.
        Unavailable
            If there is no majority; the change may have been accepted when
            ``maybe_applied`` says so.
        """
        try:
            change = Change.decode(payload)
        except ValidationError as error:
            return Outcome(
                'invalid_input',
                self._view.revision,
                problem=error.problem,
                remedy=error.remedy,
            )
        if is_written_by_log(change):
            return Outcome(
                'invalid_input',
                self._view.revision,
                problem=f'{change.command!r} is written by the log itself',
                remedy='use the members commands to add or remove a member',
            )
        node = self._require_node()
        with node.lock:
            node.require_lease()
            earlier_outcome = self._view.answer_to(change.request_id)
            if earlier_outcome is not None:
                return earlier_outcome
            entry = node.append_entry(EntryKind.CHANGE, payload)
        if node.wait_until_applied(entry, timeout_s=timeout_s):
            outcome = self._view.answer_to(change.request_id)
            if outcome is not None:
                EVENTS.labels('control', 'committed').inc()
                return outcome
        EVENTS.labels('control', 'unconfirmed').inc()
        raise Unavailable(
            problem='the change is not confirmed by a majority',
            maybe_applied=True,
        )

    def _retry_start(self) -> None:
        while self.kernel.wait_while_running(_START_RETRY_INTERVAL_S):
            if self._try_start():
                return

    def _try_start(self) -> bool:
        """Load the log; return False if a later try may succeed."""
        data_dir = self.kernel.settings.instance.data_dir or Path()
        storage = LogStorage(data_dir / 'log')
        try:
            contents = storage.load()
        except StorageError as error:
            storage.close()
            if self._failure is None:
                EVENTS.labels('control', 'disk_failed').inc()
                _LOG.error(
                    'cannot load the control log, running without it: %s', error
                )
            self._failure = error
            return not isinstance(error, StorageAccessError)
        if self._failure is not None:
            _LOG.warning('the control log is loaded after a failed start')
        self._start_node(storage, contents)
        self._failure = None
        return True

    def _start_node(self, storage: LogStorage, contents: StoredState) -> None:
        if contents.snapshot:
            self._view.install(contents.snapshot)
        node = RaftNode(self.kernel, storage, contents)
        receiver = Receiver(node, self._view.install)
        voting = Voting(node, receiver)
        members = MemberChanges(node)
        self._members = members
        Replication(node)
        handler = RaftHandler(
            node, voting=voting, receiver=receiver, members=members
        )
        self._node = node
        handler.register()
        node.disk.start()
        applying = Applying(node, self._view)
        self._apply_thread = self._start_thread(applying.run, 'log-apply')
        self._start_thread(lambda: self._upkeep(members), 'log-upkeep')
        voting.start()
        Bootstrap(node).start()

    def _require_node(self) -> RaftNode:
        if self._node is None:
            raise Unavailable(
                problem=self.problem or 'the instance is starting',
                maybe_applied=False,
            )
        return self._node

    def _upkeep(self, members: MemberChanges) -> None:
        while self.kernel.wait_while_running(_UPKEEP_INTERVAL_S):
            # The time is read before the lease is checked, so that the lease
            # proves that no other instance accepted a change before that time.
            now_s = self.kernel.clock.now_s()
            if self.has_lease():
                self._view.note_fresh(now_s)
                members.maintain()

    def _start_thread(
        self, loop: Callable[[], None], name: str
    ) -> threading.Thread:
        thread = background_thread(self.kernel, loop, name=name)
        thread.start()
        return thread
