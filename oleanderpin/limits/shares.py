"""Share holder: keeps this instance's shares and renews them at the leader."""

import logging
import threading
from collections import deque
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import Any, Literal

from ..control.leader import LeaderClient
from ..control.state import Account, ControlState
from ..control.view import ControlView
from ..core.background import background_thread
from ..core.errors import Refusal, RefusalDetails, UnavailableError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..core.settings import LimitsSettings
from ..membership.peers import Peers
from .allocator import account_resource
from .codec import decode_grants, encode_renewal
from .division import is_owned_in_parts
from .holder import Holder

_LOG = logging.getLogger(__name__)
_CALL_TIMEOUT_S = 1.0
_LEAVE_TIMEOUT_S = 0.5
# Minimum time between two renewals for waiting requests, from request to
# request and from an answer to the next request. Large fleets leave more time,
# so that the leader answers a limited number of renewals.
EARLY_INTERVAL_S = 0.06
MIN_GAP_S = 0.01
_MAX_EARLY_RENEWALS_PER_S = 500
# Renewals in the time of one lease while nothing changes.
_RENEWALS_PER_LEASE = 4
# Minimum time between two renewals for shares that run low.
LOW_GAP_S = 0.2
# Requests of one burst arrive within this time and share one renewal.
COLLECT_S = 0.01
# Validity of the leader's answer that it has nothing to lend.
EXHAUSTED_VALID_S = 0.25

# Callers' requests come to these roles only; shares of other instances would
# stay unused.
_SERVING_ROLES = frozenset(('entry', 'gateway'))

AcquireResult = Literal['ok', 'exhausted', 'crowded', 'timeout']


class _WaitQueue:
    """FIFO queue of the requests that wait for a unit of one resource."""

    def __init__(self, max_waiting: int) -> None:
        self._max_waiting = max_waiting
        self._lock = threading.Lock()
        self._waiting: deque[threading.Event] = deque()

    def enter(self) -> threading.Event | None:
        event = threading.Event()
        with self._lock:
            if len(self._waiting) >= self._max_waiting:
                return None
            self._waiting.append(event)
        return event

    def is_first(self, event: threading.Event) -> bool:
        with self._lock:
            return self._waiting[0] is event

    def is_empty(self) -> bool:
        return not self._waiting

    def leave(self, event: threading.Event) -> None:
        with self._lock:
            self._waiting.remove(event)
        self.wake_first()

    def wake_first(self) -> None:
        with self._lock:
            if self._waiting:
                self._waiting[0].set()


@plugins.register('share-holder')
class ShareHolder(Plugin):
    """Holds shares of rates and permits, which one thread renews."""

    def __init__(self, kernel: Any) -> None:
        """Start without shares."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)
        self._leader = kernel.plugin(LeaderClient)
        self._holder = Holder(
            clock=kernel.clock,
            name=kernel.settings.instance.name,
            incarnation=kernel.plugin(Peers).own().incarnation,
            lease_s=kernel.settings.limits.lease_s,
        )
        # Waiting requests occupy threads of the caller listener. A limit of
        # half of them is too low for bursts of 35 requests at one instance.
        self._max_waiting = kernel.settings.forwarding.threads * 3 // 4
        self._queues: dict[str, _WaitQueue] = {}
        self._renewal_due = threading.Event()
        self._last_renewal_s = float('-inf')
        self._is_cut_off = False
        self._accounts: Mapping[str, Account] = {}
        self._holder_count = 0
        self._tracked: set[str] = set()
        self._thread = background_thread(
            self.kernel, self._renew_loop, name='share-renewal'
        )

    @property
    def holder(self) -> Holder:
        """Shares that this instance holds."""
        return self._holder

    @property
    def is_cut_off(self) -> bool:
        """Whether the last renewal did not reach a leader."""
        return self._is_cut_off

    def start(self) -> None:
        """Start renewing, if callers' requests come to this instance."""
        if _SERVING_ROLES & set(self.kernel.settings.instance.roles):
            self._thread.start()

    def stop(self) -> None:
        """Stop renewing and return all shares."""
        self._renewal_due.set()
        if self._thread.is_alive():
            self._thread.join(_CALL_TIMEOUT_S)
            self._renew(is_leaving=True)

    def acquire(self, resource: str, *, deadline_s: float) -> AcquireResult:
        """Take one unit, requesting more from the leader when none is left.

        Parameters
        ----------
        resource : str
            Name of the resource.
        deadline_s : float
            Monotonic time until which the request may wait.

        Returns
        -------
        str
            ``ok``, or why there is no unit: ``exhausted`` if the leader has
            none to lend, ``crowded`` if too many requests wait at this
            instance, or ``timeout``.
        """
        self._holder.note_arrival(resource)
        queue = self._queue(resource)
        if queue.is_empty() and self._holder.take(resource):
            if self._holder.is_low(resource):
                self._request_early_renewal()
            return 'ok'
        if self._is_exhausted(resource):
            return 'exhausted'
        if self._is_cut_off and self._holder.next_unit_s(resource) is None:
            # Neither the leader nor the share can provide a unit; waiting would
            # only occupy a thread.
            return 'timeout'
        event = queue.enter()
        if event is None:
            return 'crowded'
        self._holder.note_waiting(resource, 1)
        self._renewal_due.set()
        requested_s = self.kernel.clock.now_s()
        try:
            result = self._wait(resource, event, deadline_s)
        finally:
            self._holder.note_waiting(resource, -1)
            queue.leave(event)
        if (
            result == 'timeout'
            and self._holder.answered_s(resource) > requested_s
        ):
            return 'exhausted'
        return result

    def take_now(self, resource: str) -> Literal['ok', 'exhausted', 'short']:
        """Take one unit without waiting, for callers on an event loop.

        Call `note_arrival` of the holder once for each request. While the
        result is ``short``, a renewal is due; retry after a short delay.
        """
        if self._holder.take(resource):
            if self._holder.is_low(resource):
                self._request_early_renewal()
            return 'ok'
        if self._is_exhausted(resource):
            return 'exhausted'
        self._renewal_due.set()
        return 'short'

    @contextmanager
    def permit(self, resource: str, *, deadline_s: float) -> Iterator[None]:
        """Hold one concurrency permit of ``resource``.

        Parameters
        ----------
        resource : str
            Resource that the allocator lends with rate 0.
        deadline_s : float
            Monotonic time until which the request may wait.

        Raises
        ------
        Refusal
            ``no_permit`` if no permit is available in time.
        """
        self._holder.track(resource, is_permit=True)
        result = self.acquire(resource, deadline_s=deadline_s)
        if result != 'ok':
            raise Refusal(
                'no_permit',
                f'no permit of {resource!r} is available ({result})',
                remedy='try again later',
                details=RefusalDetails(retry_after_s=1.0),
            )
        try:
            yield
        finally:
            self._holder.give_back(resource)
            self._queue(resource).wake_first()

    def _wait(
        self, resource: str, event: threading.Event, deadline_s: float
    ) -> AcquireResult:
        queue = self._queue(resource)
        while not self.kernel.stopping.is_set():
            is_first = queue.is_first(event)
            if is_first and self._holder.take(resource):
                return 'ok'
            if self._is_exhausted(resource):
                return 'exhausted'
            left_s = deadline_s - self.kernel.clock.now_s()
            if left_s <= 0:
                return 'timeout'
            next_s = self._holder.next_unit_s(resource) if is_first else None
            event.wait(left_s if next_s is None else min(left_s, next_s))
            event.clear()
        return 'timeout'

    def _queue(self, resource: str) -> _WaitQueue:
        queue = self._queues.get(resource)
        if queue is None:
            # Concurrent callers must get the same queue.
            queue = self._queues.setdefault(
                resource, _WaitQueue(self._max_waiting)
            )
        return queue

    def _is_exhausted(self, resource: str) -> bool:
        age_s = self._holder.exhausted_age_s(resource)
        return age_s is not None and age_s < EXHAUSTED_VALID_S

    def _renew_loop(self) -> None:
        interval_s = 0.0
        while not self.kernel.stopping.is_set():
            if self._renewal_due.wait(interval_s):
                self.kernel.wait_while_running(COLLECT_S)
            self._renewal_due.clear()
            self._track_accounts()
            if self._is_renewal_needed():
                self._renew()
            gap_s = early_gap_s(
                len(self._view.state.share_holders),
                self.kernel.clock.now_s() - self._last_renewal_s,
            )
            if self.kernel.wait_while_running(gap_s):
                interval_s = self._interval_s(gap_s)

    def _is_renewal_needed(self) -> bool:
        """Return whether there is news for the leader or the lease grows old."""
        age_s = self.kernel.clock.now_s() - self._last_renewal_s
        lease_s = self.kernel.settings.limits.lease_s
        return (
            self._holder.has_changes() or age_s > lease_s / _RENEWALS_PER_LEASE
        )

    def _interval_s(self, gap_s: float) -> float:
        if self._holder.is_renewal_urgent():
            return 0.0
        return max(0.0, self.kernel.settings.limits.renew_interval_s - gap_s)

    def _request_early_renewal(self) -> None:
        if self.kernel.clock.now_s() - self._last_renewal_s > LOW_GAP_S:
            self._renewal_due.set()

    def _renew(self, *, is_leaving: bool = False) -> None:
        self._last_renewal_s = self.kernel.clock.now_s()
        renewal = self._holder.request(is_leaving=is_leaving)
        try:
            reply = self._leader.call(
                'Shares',
                'renew_changes' if renewal.is_partial else 'renew',
                encode_renewal(renewal),
                timeout_s=_LEAVE_TIMEOUT_S if is_leaving else _CALL_TIMEOUT_S,
            )
        except UnavailableError as error:
            EVENTS.labels('limits', 'renewal_failed').inc()
            if not self._is_cut_off:
                _LOG.warning('shares are no longer renewed: %s', error)
            self._is_cut_off = True
            return
        if self._is_cut_off:
            _LOG.info('shares are renewed again')
        self._is_cut_off = False
        EVENTS.labels('limits', 'renewed').inc()
        if self._holder.apply(decode_grants(reply)):
            for queue in list(self._queues.values()):
                queue.wake_first()

    def _track_accounts(self) -> None:
        state = self._view.state
        has_same_holders = len(state.share_holders) == self._holder_count
        if state.accounts is self._accounts and has_same_holders:
            return
        lent = _lent_accounts(state, self.kernel.settings.limits)
        for name in lent - self._tracked:
            self._holder.track(account_resource(name))
        for name in self._tracked - lent:
            self._holder.untrack(account_resource(name))
        self._accounts = state.accounts
        self._holder_count = len(state.share_holders)
        self._tracked = lent
        self._holder.list_all()


def _lent_accounts(state: ControlState, settings: LimitsSettings) -> set[str]:
    """Return the names of the accounts whose rate the leader lends."""
    return {
        name
        for name, account in state.accounts.items()
        if account.rate_per_s > 0
        and not is_owned_in_parts(account, state, settings)
    }


def early_gap_s(holder_count: int, elapsed_s: float) -> float:
    """Return the time until the next renewal may be sent.

    It counts from the last request, not from its answer: otherwise instances
    far from the leader would get fewer tokens than near ones.

    Parameters
    ----------
    holder_count : int
        Number of instances that renew at the leader.
    elapsed_s : float
        Time since the last request, in seconds.
    """
    interval_s = max(EARLY_INTERVAL_S, holder_count / _MAX_EARLY_RENEWALS_PER_S)
    return max(MIN_GAP_S, interval_s - elapsed_s)
