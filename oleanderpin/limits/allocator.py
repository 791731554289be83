"""Share allocator: keeps the ledger of all shares on the control leader."""

import threading
from collections.abc import Mapping
from typing import Any

from ..control.log import ControlLog
from ..control.state import Account
from ..control.view import ControlView
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..wire.generated.common.ttypes import NotLeader
from ..wire.generated.shares import Shares as SharesService
from ..wire.generated.shares.ttypes import RenewReply, RenewRequest
from ..wire.server import PeerServer
from .division import is_owned_in_parts
from .holder_registrar import HolderRegistrar
from .codec import decode_renewal, encode_grants
from .ledger import Ledger
from .messages import Quota

_ACCOUNT_PREFIX = 'account/'


def account_resource(account_name: str) -> str:
    """Return the resource name of a client account."""
    return f'{_ACCOUNT_PREFIX}{account_name}'


class _SharesHandler:
    """Serves the Thrift service ``Shares``."""

    def __init__(self, allocator: 'ShareAllocator') -> None:
        self._allocator = allocator

    def renew(self, request: RenewRequest) -> RenewReply:
        return self._allocator.handle_renewal(request, is_partial=False)

    def renew_changes(self, request: RenewRequest) -> RenewReply:
        return self._allocator.handle_renewal(request, is_partial=True)


@plugins.register('share-allocator')
class ShareAllocator(Plugin):
    """Lends account rates and other quotas while this instance leads."""

    roles = frozenset(('control',))

    def __init__(self, kernel: Any) -> None:
        """Register the Thrift service."""
        super().__init__(kernel)
        self._log = kernel.plugin(ControlLog)
        self._view = kernel.plugin(ControlView)
        self._lock = threading.Lock()
        self._ledger: Ledger | None = None
        self._last_led_s = float('-inf')
        self._holder_count = 0
        self._accounts: Mapping[str, Account] | None = None
        self._quotas: dict[str, Quota] = {}
        self._registrar = HolderRegistrar(kernel)
        kernel.plugin(PeerServer).register(
            'Shares', SharesService.Processor(_SharesHandler(self))
        )

    def start(self) -> None:
        """Start the thread that registers holders."""
        self._registrar.start()

    def set_whole(self, resource: str, quota: Quota) -> None:
        """Define a resource that is not a client account.

        Call it on every control instance, so that a new leader knows the
        resource before holders claim what they hold.

        Parameters
        ----------
        resource : str
            Name that does not begin with ``account/``.
        quota : Quota
            Quota to lend; for permits, rate 0 and their number as burst.
        """
        with self._lock:
            self._quotas[resource] = quota
            if self._ledger is not None:
                self._ledger.set_whole(resource, quota)

    def lent_burst(self, resource: str) -> float:
        """Return the most units of a resource that holders may hold."""
        with self._lock:
            if self._ledger is None or resource not in self._quotas:
                return 0.0
            return self._ledger.lent(resource).burst

    def remove(self, resource: str) -> None:
        """Remove a resource defined by `set_whole`."""
        with self._lock:
            self._quotas.pop(resource, None)
            if self._ledger is not None:
                self._ledger.remove(resource)

    def handle_renewal(
        self, request: RenewRequest, *, is_partial: bool
    ) -> RenewReply:
        """Answer a holder's renewal of all or of the changed resources.

        Raises
        ------
        NotLeader
            If this instance does not lead.
        """
        renewal = decode_renewal(request, is_partial=is_partial)
        with self._lock:
            ledger = self._current_ledger()
            if ledger is None:
                address = self._log.leadership().leader_address
                raise NotLeader(leader_address=address)
            self._update_accounts(ledger)
            is_registered = renewal.holder in self._view.state.share_holders
            if not is_registered:
                self._registrar.add(renewal.holder)
            return encode_grants(ledger.renew(renewal, may_grow=is_registered))

    def _current_ledger(self) -> Ledger | None:
        if not self._log.has_lease():
            self._ledger = None
            return None
        settings = self.kernel.settings
        now_s = self.kernel.clock.now_s()
        unobserved_s = now_s - self._last_led_s
        self._last_led_s = now_s
        # Another instance can become leader and lose leadership again only
        # while this ledger is unused for longer than the leader's lease.
        is_continuous = 0 <= unobserved_s < settings.control.leader_lease_s
        if self._ledger is None or not is_continuous:
            EVENTS.labels('limits', 'ledger_started').inc()
            self._ledger = Ledger(
                clock=self.kernel.clock,
                lease_s=settings.limits.lease_s,
                possible_holders=self._view.state.share_holders,
            )
            self._accounts = None
            for resource, quota in self._quotas.items():
                self._ledger.set_whole(resource, quota)
        return self._ledger

    def _update_accounts(self, ledger: Ledger) -> None:
        state = self._view.state
        accounts = state.accounts
        has_same_holders = len(state.share_holders) == self._holder_count
        if accounts is self._accounts and has_same_holders:
            return
        previous = self._accounts or {}
        self._holder_count = len(state.share_holders)
        settings = self.kernel.settings.limits
        fraction = 1 - settings.floor_percent / 100
        for name, account in accounts.items():
            is_unchanged = has_same_holders and previous.get(name) == account
            if is_owned_in_parts(account, state, settings):
                ledger.remove(account_resource(name))
            elif account.rate_per_s > 0 and not is_unchanged:
                ledger.set_whole(
                    account_resource(name),
                    Quota(
                        account.rate_per_s * fraction,
                        account.burst * fraction,
                    ),
                )
        for name in previous.keys() - accounts.keys():
            ledger.remove(account_resource(name))
        self._accounts = accounts
