"""Control instance as an owner of parts of small accounts' rates."""

import logging
import threading
from collections import defaultdict, deque
from collections.abc import Collection, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from ..control.state import Account, ControlState
from ..control.view import ControlView
from ..core.errors import UnavailableError
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peer, Peers
from ..wire.generated.parts import Parts as PartsService
from ..wire.generated.parts.ttypes import Drawn, Given, Need
from ..wire.network import PeerNetwork
from ..wire.server import PeerServer
from .division import is_owned_in_parts
from .part_activity import PartActivity
from .parts import MAX_HOLD_S, Parts

_LOG = logging.getLogger(__name__)
_CALL_TIMEOUT_S = 0.5
# An owner that did not reply is not asked again for this time.
_SILENT_S = 1.0
_MAX_DRAWS = 8
# Until its first reply, another owner is taken to be in another region.
_FIRST_ROUND_TRIP_S = 0.12
# Added to the mean round trip, so that a request does not ask too early.
_ROUND_TRIP_MARGIN_S = 0.003
_ROUND_TRIP_WEIGHT = 0.2
# Longest wait that is named; it is the time to come back after a refusal too.
_MAX_WAIT_S = 5.0
# Keeps a request from asking again all the time.
_MIN_WAIT_S = 0.005
# Wait for a draw that takes longer than usual; a held reply ends with the draw.
_OVERDUE_WAIT_S = 0.05


class _PartsHandler:
    """Serves the Thrift service ``Parts``."""

    def __init__(self, owner: 'PartOwner') -> None:
        self._owner = owner

    def take(self, needs: list[Need]) -> list[Given]:
        return self._owner.give(needs)

    def draw(self, account: str, count: int) -> Drawn:
        return self._owner.give_owner(account, count)

    def applied_revision(self) -> int:
        return self._owner.applied_revision()


@plugins.register('part-owner')
class PartOwner(Plugin):
    """Gives tokens of its parts to gateways and to other owners."""

    roles = frozenset(('control',))

    def __init__(self, kernel: Any) -> None:
        """Register the Thrift service."""
        super().__init__(kernel)
        self._view = kernel.plugin(ControlView)
        self._peers = kernel.plugin(Peers)
        self._network = kernel.plugin(PeerNetwork)
        # Notified when tokens were drawn.
        self._lock = threading.Condition()
        self._parts = Parts(
            clock=kernel.clock,
            address=kernel.settings.listen.peer,
            handover_s=kernel.settings.limits.lease_s,
            may_use=self._may_use,
        )
        self._tables: tuple[Any, ...] = ()
        # Ends of the waits of requests that were told to ask again.
        self._waits: dict[str, deque[float]] = defaultdict(deque)
        self._draws_end_s: dict[str, float] = {}
        self._round_trips_s: dict[str, float] = {}
        self._silent_until_s: dict[str, float] = {}
        self._near: tuple[tuple[Peer, ...], set[str]] = ((), set())
        self._executor = ThreadPoolExecutor(
            _MAX_DRAWS, thread_name_prefix='token-draw'
        )
        self._activity = PartActivity(kernel)
        kernel.plugin(PeerServer).register(
            'Parts', PartsService.Processor(_PartsHandler(self))
        )
        self._view.subscribe(self._update)

    def start(self) -> None:
        """Read the accounts that are known at the start."""
        self._update(self._view.state)
        self._activity.start()

    def stop(self) -> None:
        """Stop drawing tokens from other owners."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def give(self, needs: list[Need]) -> list[Given]:
        """Return tokens for requests at a gateway.

        Parameters
        ----------
        needs : list of Need
            Accounts, and how many requests wait for a token of each.

        Returns
        -------
        list of Given
            Whole tokens, and when to ask again for those that are missing.
        """
        with self._lock:
            if not self._is_ready():
                return [_refused(need) for need in needs]
            for need in needs:
                if need.returned and need.account in self._parts:
                    self._parts.add(need.account, need.returned)
            given = [self._give(need) for need in needs]
            held_s = self._hold(given)
            if held_s:
                given = [self._give(need) for need in needs]
        for need, reply in zip(needs, given, strict=True):
            reply.held_ms = int(held_s * 1000)
            self._note_given(need, reply)
        return given

    def _hold(self, given: list[Given]) -> float:
        """Wait until tokens come; return the time for which it waited."""
        wait_s = _first_wait_s(given)
        if not 0 < wait_s <= MAX_HOLD_S:
            return 0.0
        started_s = self.kernel.clock.now_s()
        self._lock.wait(wait_s)
        return max(0.001, self.kernel.clock.now_s() - started_s)

    def _note_given(self, need: Need, reply: Given) -> None:
        if reply.is_unknown:
            self._activity.note_unknown(need.count)
            return
        missing = max(0, need.count - reply.count)
        self._activity.note_given(reply.count, missing=missing)

    def give_owner(self, account: str, count: int) -> Drawn:
        """Return tokens for requests that wait at another owner."""
        with self._lock:
            if not self._is_ready() or account not in self._parts:
                return Drawn(count=0, left=0.0)
            taken = self._parts.take(account, count)
            self._activity.note_given_owner(taken)
            return Drawn(count=taken, left=self._parts.left(account))

    def applied_revision(self) -> int:
        """Return the revision by which parts are used from now on."""
        with self._lock:
            # The state that is used next is at least as new.
            revision = self._view.revision
            self._use_state(self._view.state)
            return revision

    def _is_ready(self) -> bool:
        """Use the newest state; return whether the parts may be used."""
        state = self._view.state
        self._use_state(state)
        has_owners = state.owners_of_parts.number > 0
        return has_owners and self._may_use()

    def _may_use(self) -> bool:
        lease_s = self.kernel.settings.limits.part_lease_s
        return self._view.freshness_age_s() < lease_s

    def _give(self, need: Need) -> Given:
        name = need.account
        if name not in self._parts:
            return Given(account=name, count=0, is_unknown=True)
        taken = self._parts.take(name, need.count)
        missing = need.count - taken
        if missing <= 0:
            if self._parts.is_low(name):
                self._start_draw(name, 0)
            return Given(account=name, count=taken)
        draw_s = self._draw_wait_s(name, missing)
        wait_s = draw_s or self._earn_wait_s(need, missing)
        return Given(
            account=name,
            count=taken,
            wait_ms=int(wait_s * 1000) + 1,
            is_exhausted=(draw_s is None and not self._silent_owners()) or None,
        )

    def _earn_wait_s(self, need: Need, missing: int) -> float:
        """Return the time until tokens are earned for all that wait."""
        now_s = self.kernel.clock.now_s()
        waits = self._waits[need.account]
        while waits and waits[0] <= now_s:
            waits.popleft()
        owner_per_s = self._parts.owner_per_s(need.account)
        first_s = self._parts.next_token_s(
            need.account, silent=self._silent_owners()
        )
        wait_s = first_s + (len(waits) + missing - 1) / owner_per_s
        # Requests that cannot wait that long are refused and come back later.
        if wait_s * 1000 < (need.max_wait_ms or 0):
            waits.extend(now_s + wait_s for _request in range(missing))
        return max(_MIN_WAIT_S, min(wait_s, _MAX_WAIT_S))

    def _draw_wait_s(self, name: str, missing: int) -> float | None:
        """Return when drawn tokens arrive; None if no owner has any."""
        if not self._start_draw(name, missing):
            return None
        left_s = self._draws_end_s[name] - self.kernel.clock.now_s()
        return max(_OVERDUE_WAIT_S, left_s)

    def _start_draw(self, name: str, missing: int) -> bool:
        """Draw tokens unless this is in progress; False if no owner has any."""
        if name in self._draws_end_s:
            return True
        owner = self._next_source(name)
        if owner is None:
            return False
        count = self._parts.start_draw(name, missing)
        end_s = self.kernel.clock.now_s() + self._round_trip_s(owner)
        self._draws_end_s[name] = end_s
        self._executor.submit(self._draw, name, count)
        return True

    def _round_trip_s(self, owner: str) -> float:
        mean_s = self._round_trips_s.get(owner, _FIRST_ROUND_TRIP_S)
        return mean_s + _ROUND_TRIP_MARGIN_S

    def _next_source(
        self, name: str, *, asked: Collection[str] = ()
    ) -> str | None:
        """Return the owner to draw from; None if none should have a token."""
        return self._parts.next_source(
            name,
            near=self._addresses_in_region(),
            silent=self._silent_owners().union(asked),
        )

    def _silent_owners(self) -> set[str]:
        now_s = self.kernel.clock.now_s()
        return {
            owner
            for owner, until_s in self._silent_until_s.items()
            if until_s > now_s
        }

    def _addresses_in_region(self) -> set[str]:
        peers = self._peers.alive()
        known, addresses = self._near
        if known is not peers:
            own = self._peers.own()
            addresses = {
                peer.peer_address
                for peer in peers
                if peer.region == own.region and 'control' in peer.roles
            }
            self._near = (peers, addresses)
        return addresses

    def _draw(self, name: str, count: int) -> None:
        try:
            self._draw_from_sources(name, count)
        except Exception:
            # The executor would keep the error to itself.
            _LOG.exception('tokens were not drawn', extra={'account': name})
        finally:
            with self._lock:
                self._draws_end_s.pop(name, None)
                self._lock.notify_all()

    def _draw_from_sources(self, name: str, count: int) -> None:
        """Ask owners in turn, each once, until one of them has tokens."""
        asked: list[str] = []
        while not self.kernel.stopping.is_set():
            with self._lock:
                if name not in self._parts:
                    return
                owner = self._next_source(name, asked=asked)
                if owner is None:
                    return
                end_s = self.kernel.clock.now_s() + self._round_trip_s(owner)
                self._draws_end_s[name] = end_s
            if self._draw_from(owner, name, count):
                return
            asked.append(owner)

    def _draw_from(self, owner: str, name: str, count: int) -> int:
        started_s = self.kernel.clock.now_s()
        try:
            drawn = self._network.call(
                owner, 'Parts', 'draw', name, count, timeout_s=_CALL_TIMEOUT_S
            )
        except UnavailableError as error:
            self._note_silent(owner, error)
            return 0
        now_s = self.kernel.clock.now_s()
        self._activity.note_draw(drawn.count, now_s - started_s)
        with self._lock:
            self._note_round_trip(owner, now_s - started_s)
            self._parts.note_level(name, owner, drawn.left)
            if name in self._parts:
                self._parts.add(name, drawn.count)
        return int(drawn.count)

    def _note_round_trip(self, owner: str, round_trip_s: float) -> None:
        mean_s = self._round_trips_s.get(owner, round_trip_s)
        change_s = (round_trip_s - mean_s) * _ROUND_TRIP_WEIGHT
        self._round_trips_s[owner] = mean_s + change_s
        if self._silent_until_s.pop(owner, None) is not None:
            _LOG.info('owner of rate parts replies again: %s', owner)

    def _note_silent(self, owner: str, error: UnavailableError) -> None:
        self._activity.note_failed_draw()
        with self._lock:
            is_new = owner not in self._silent_until_s
            until_s = self.kernel.clock.now_s() + _SILENT_S
            self._silent_until_s[owner] = until_s
        if is_new:
            _LOG.warning('owner of rate parts does not reply: %s', error)

    def _update(self, state: ControlState) -> None:
        with self._lock:
            self._use_state(state)

    def _use_state(self, state: ControlState) -> None:
        tables = (state.accounts, state.part_owners, state.share_holders)
        if _are_same(tables, self._tables):
            return
        self._tables = tables
        owned, lent = self._divide(state)
        self._parts.update(owned, state.owners_of_parts, lent=lent)

    def _divide(self, state: ControlState) -> tuple[list[Account], list[str]]:
        """Return the accounts with parts, and the names of the others."""
        settings = self.kernel.settings.limits
        accounts: Mapping[str, Account] = state.accounts
        owned = [
            account
            for account in accounts.values()
            if is_owned_in_parts(account, state, settings)
        ]
        names = {account.name for account in owned}
        return owned, [name for name in accounts if name not in names]


def _are_same(tables: tuple[Any, ...], others: tuple[Any, ...]) -> bool:
    return len(tables) == len(others) and all(
        one is other for one, other in zip(tables, others, strict=True)
    )


def _refused(need: Need) -> Given:
    """Return the reply of an instance that may not use its parts."""
    return Given(account=need.account, count=0, is_unknown=True)


def _first_wait_s(given: list[Given]) -> float:
    """Return the shortest wait; 0 if a reply has tokens or is final."""
    if any(reply.count for reply in given):
        return 0.0
    return min((reply.wait_ms or 0 for reply in given), default=0) / 1000
