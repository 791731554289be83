"""The ledger of all shares, on the control leader."""

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
from .floors import has_floor, floor_instance_count
from .holder_registrar import HolderRegistrar
from .codec import decode_renewal, encode_grants
from .ledger import Ledger
from .messages import Quota

# Floors count as in use until there are so many times more holders than for
# which they are.
_FLOOR_MARGIN = 0.8

_ACCOUNT_PREFIX = 'account/'


def account_resource(account_name: str) -> str:
    """Return the resource name of a client account."""
    return f'{_ACCOUNT_PREFIX}{account_name}'


class _SharesHandler:
    """Serves the Thrift service ``Shares``."""

    def __init__(self, allocator: 'ShareAllocator') -> None:
        self._allocator = allocator

    def renew(self, request: RenewRequest) -> RenewReply:
        return self._allocator.renew_here(request)


@plugins.register('share-allocator')
class ShareAllocator(Plugin):
    """Lends the accounts' rates and other wholes while this instance leads."""

    roles = frozenset(('control',))

    def __init__(self, kernel: Any) -> None:
        """Register the Thrift service."""
        super().__init__(kernel)
        self._log = kernel.plugin(ControlLog)
        self._view = kernel.plugin(ControlView)
        self._lock = threading.Lock()
        self._ledger: Ledger | None = None
        self._led_s = float('-inf')
        self._sharers = 0
        self._accounts: Mapping[str, Account] | None = None
        self._wholes: dict[str, Quota] = {}
        self._registrar = HolderRegistrar(kernel)
        kernel.plugin(PeerServer).register(
            'Shares', SharesService.Processor(_SharesHandler(self))
        )

    def start(self) -> None:
        """Start the thread that registers holders."""
        self._registrar.start()

    def set_whole(self, resource: str, whole: Quota) -> None:
        """Define a resource that is no client account.

        Call it on every control instance, so that a new leader knows the
        resource before holders claim what they hold.

        Parameters
        ----------
        resource : str
            Name that does not begin with ``account/``.
        whole : Whole
            What is lent; rate 0 and the number of permits for permits.
        """
        with self._lock:
            self._wholes[resource] = whole
            if self._ledger is not None:
                self._ledger.set_whole(resource, whole)

    def lent_burst(self, resource: str) -> float:
        """Return the most units of a resource that holders may hold."""
        with self._lock:
            if self._ledger is None or resource not in self._wholes:
                return 0.0
            return self._ledger.lent(resource).burst

    def remove(self, resource: str) -> None:
        """Take back a resource defined by `set_whole`."""
        with self._lock:
            self._wholes.pop(resource, None)
            if self._ledger is not None:
                self._ledger.remove(resource)

    def renew_here(self, request: RenewRequest) -> RenewReply:
        """Answer a holder's renewal.

        Raises
        ------
        NotLeader
            If this instance does not lead.
        """
        renewal = decode_renewal(request)
        with self._lock:
            ledger = self._current_ledger()
            if ledger is None:
                address = self._log.leadership().leader_address
                raise NotLeader(leader_address=address)
            self._take_over_accounts(ledger)
            is_known = renewal.holder in self._view.state.share_holders
            if not is_known:
                self._registrar.add(renewal.holder)
            return encode_grants(ledger.renew(renewal, may_grow=is_known))

    def _current_ledger(self) -> Ledger | None:
        if not self._log.has_lease():
            self._ledger = None
            return None
        settings = self.kernel.settings
        now_s = self.kernel.clock.now_s()
        unobserved_s = now_s - self._led_s
        self._led_s = now_s
        # Another instance can lead and lose the lead again only in a time
        # longer than the leader's lease, in which this ledger was not used.
        is_continuous = 0 <= unobserved_s < settings.control.leader_lease_s
        if self._ledger is None or not is_continuous:
            EVENTS.labels('limits', 'ledger_started').inc()
            self._ledger = Ledger(
                clock=self.kernel.clock,
                lease_s=settings.limits.lease_s,
                may_hold=self._view.state.share_holders,
            )
            self._accounts = None
            for resource, whole in self._wholes.items():
                self._ledger.set_whole(resource, whole)
        return self._ledger

    def _take_over_accounts(self, ledger: Ledger) -> None:
        state = self._view.state
        accounts = state.accounts
        is_same = len(state.share_holders) == self._sharers
        if accounts is self._accounts and is_same:
            return
        known = self._accounts or {}
        self._sharers = len(state.share_holders)
        for name, account in accounts.items():
            is_known = is_same and known.get(name) == account
            if account.rate_per_s > 0 and not is_known:
                lent = self._lent_part(account)
                ledger.set_whole(
                    account_resource(name),
                    Quota(account.rate_per_s * lent, account.burst * lent),
                )
        for name in known.keys() - accounts.keys():
            ledger.remove(account_resource(name))
        self._accounts = accounts

    def _lent_part(self, account: Account) -> float:
        """Return the part of an account's rate that has no floors."""
        part = self.kernel.settings.limits.floor_percent / 100
        # Instances that do not know the newest holders yet use floors longer.
        sharers = floor_instance_count(self._view.state) * _FLOOR_MARGIN
        if has_floor(account.burst, part, sharers):
            return 1 - part
        return 1.0
