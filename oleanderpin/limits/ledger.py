"""A ledger that lends rates and bursts to holders under leases.

The ledger counts each holder with the most that it may hold: a reduction
takes effect when the holder has confirmed the sequence number of its grants,
or when its lease has expired. The holder starts its lease when it sends the
request, the ledger when it answers, so the holder's lease ends first. Both
clocks must advance at the same speed; their origins may differ.

A new ledger does not know what its predecessor lent. During a recovery period
of one lease time, holders claim what they hold, and no share grows. Recovery
ends early once all instances that may hold something have claimed, which
happens at once after a restart of all instances. The pool starts without
tokens, because earlier holders may have used them.
"""

import secrets
from collections import OrderedDict
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from ..core.clock import Clock
from .messages import Grant, Grants, Holding, Quota, Renewal
from .pool import Pool, Share

_ID_BITS = 62
_HolderKey = tuple[str, int]


@dataclass(slots=True)
class _Lease:
    key: _HolderKey
    lease_id: int
    is_adopted: bool
    number: int = 0
    sequence: int = 0
    expires_s: float = 0.0
    resources: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class _RenewalContext:
    """One renewal in progress."""

    lease: _Lease
    now_s: float
    holds_lease: bool
    applied: int
    is_recovering: bool
    may_grow: bool

    @property
    def can_grow(self) -> bool:
        """Whether more may be lent than the holder has already."""
        is_settled = self.holds_lease or not self.lease.is_adopted
        return self.may_grow and is_settled and not self.is_recovering

    def is_confirmed(self, holding: Holding, share: Share) -> bool:
        """Return whether the holder applied the last answer about a share.

        Tokens of an answer that was lost are repeated by the next one, so the
        share must not shrink before that.
        """
        applied = self.applied if holding.applied is None else holding.applied
        return self.holds_lease and applied == share.answered


def _random_id() -> int:
    return secrets.randbits(_ID_BITS) + 1


class Ledger:
    """Lends quotas, each under an opaque resource name. Not thread-safe.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    lease_s : float
        Length of a lease, in seconds; the same at all holders.
    possible_holders : collection of str, optional
        Names of all instances to which an earlier ledger may have lent; None
        if they are unknown.
    new_id : callable, optional
        Returns identifiers of leases that no earlier ledger has used.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        lease_s: float,
        possible_holders: Collection[str] | None = None,
        new_id: Callable[[], int] = _random_id,
    ) -> None:
        """Start without leases, in recovery for up to one lease time."""
        self._clock = clock
        self._lease_s = lease_s
        self._new_id = new_id
        self._unclaimed_holders = (
            None if possible_holders is None else set(possible_holders)
        )
        wait_s = 0.0 if self._unclaimed_holders == set() else lease_s
        self._recovery_end_s = clock.now_s() + wait_s
        self._sequence = 0
        self._pools: dict[str, Pool] = {}
        self._known_resources: set[str] = set()
        # Sorted by expiry: all leases have the same length, and a renewed lease
        # moves to the end.
        self._leases: OrderedDict[_HolderKey, _Lease] = OrderedDict()

    @property
    def is_recovering(self) -> bool:
        """Whether leases of an earlier ledger may still be in force."""
        return self._clock.now_s() < self._recovery_end_s

    def set_whole(self, resource: str, quota: Quota) -> None:
        """Define a resource or change it while shares are lent.

        A resource that is new to a recovered ledger starts with all of its
        tokens. A raised burst fills up at the rate; a lowered one takes effect
        at the holders with their next grants, at the latest when their leases
        expire.

        Parameters
        ----------
        resource : str
            Name of the resource.
        quota : Quota
            Rate and burst for all instances together.
        """
        now_s = self._clock.now_s()
        pool = self._pools.get(resource)
        if pool is None:
            is_new = (
                resource not in self._known_resources and not self.is_recovering
            )
            pool = Pool(
                quota,
                max(now_s, self._recovery_end_s),
                tokens=quota.burst if is_new else 0,
            )
            self._pools[resource] = pool
            self._known_resources.add(resource)
            return
        pool.refill(now_s)
        pool.set_quota(quota)

    def remove(self, resource: str) -> None:
        """Take back all shares of a resource."""
        # Its tokens may be in use elsewhere; it starts empty if it comes back.
        self._known_resources.add(resource)
        pool = self._pools.get(resource)
        if pool is None:
            return
        pool.set_quota(Quota(0, 0))
        self._discard_if_unused(resource, pool)

    def lent(self, resource: str) -> Quota:
        """Return the most that holders may hold of a resource."""
        self._expire(self._clock.now_s())
        pool = self._pools[resource]
        return Quota(pool.lent_per_s, pool.lent_burst)

    def tokens(self, resource: str) -> float:
        """Return the tokens that are not lent."""
        pool = self._pools[resource]
        self._expire(self._clock.now_s())
        pool.refill(self._clock.now_s())
        return pool.tokens

    def renew(self, renewal: Renewal, *, may_grow: bool = True) -> Grants:
        """Extend a holder's lease and adjust its shares.

        Parameters
        ----------
        renewal : Renewal
            What the holder holds and could use.
        may_grow : bool
            Whether the holder may be lent more than it has.

        Returns
        -------
        Grants
            What the holder may use from now on; sequence 0 if the request is
            older than one that was answered before, if the holder leaves, or
            if a partial request extends a lease that is not known here.
        """
        now_s = self._clock.now_s()
        self._expire(now_s)
        key = (renewal.holder, renewal.incarnation)
        lease = self._leases.get(key)
        if lease is not None and renewal.number <= lease.number:
            return Grants(renewal.incarnation, renewal.number, 0, 0)
        if renewal.is_leaving:
            self._release_lease(lease, renewal, now_s)
            return Grants(renewal.incarnation, renewal.number, 0, 0)
        if renewal.is_partial:
            if lease is None or lease.lease_id != renewal.lease_id:
                return Grants(renewal.incarnation, renewal.number, 0, 0)
        lease = lease or self._open_lease(key)
        context = self._renewal_context(
            lease, renewal, now_s, may_grow=may_grow
        )
        is_confirmed = context.holds_lease and renewal.applied == lease.sequence
        if is_confirmed and not renewal.is_partial:
            listed = {holding.resource for holding in renewal.holdings}
            self._end_unlisted_shares(context, listed)
        for holding in renewal.holdings:
            self._record_holding(context, holding)
        self._sequence += 1
        lease.number = renewal.number
        lease.sequence = self._sequence
        lease.expires_s = now_s + self._lease_s
        self._leases.move_to_end(key)
        self._record_claim(renewal.holder, now_s)
        grants = tuple(
            self._grant(context, holding.resource)
            for holding in renewal.holdings
        )
        return Grants(
            renewal.incarnation,
            renewal.number,
            lease.lease_id,
            lease.sequence,
            is_adopted=lease.is_adopted and not context.holds_lease,
            is_recovering=context.is_recovering,
            grants=grants,
        )

    def _open_lease(self, key: _HolderKey) -> _Lease:
        lease = _Lease(key, self._new_id(), is_adopted=self.is_recovering)
        self._leases[key] = lease
        return lease

    def _record_claim(self, holder: str, now_s: float) -> None:
        """End the recovery once all possible holders have claimed."""
        if self._unclaimed_holders is None or now_s >= self._recovery_end_s:
            return
        self._unclaimed_holders.discard(holder)
        if not self._unclaimed_holders:
            self._recovery_end_s = now_s
            for pool in self._pools.values():
                pool.now_s = min(pool.now_s, now_s)

    def _renewal_context(
        self, lease: _Lease, renewal: Renewal, now_s: float, *, may_grow: bool
    ) -> _RenewalContext:
        holds_lease = renewal.lease_id == lease.lease_id
        return _RenewalContext(
            lease,
            now_s,
            holds_lease=holds_lease,
            applied=renewal.applied,
            is_recovering=now_s < self._recovery_end_s,
            may_grow=may_grow,
        )

    def _record_holding(
        self, context: _RenewalContext, holding: Holding
    ) -> None:
        pool = self._pools.get(holding.resource)
        if pool is None:
            if not holding.rate_per_s and not holding.burst:
                return
            # Counted, because the resource may be defined while it is held.
            pool = Pool(Quota(0, 0), max(context.now_s, self._recovery_end_s))
            self._pools[holding.resource] = pool
            self._known_resources.add(holding.resource)
        pool.refill(context.now_s)
        share = self._share(context, pool, holding)
        if context.is_confirmed(holding, share):
            # Permits in use stay counted even if they exceed the grant.
            is_permit = pool.quota.rate_per_s == 0
            pool.set_lent(
                share,
                min(share.rate_per_s, holding.rate_per_s),
                holding.burst if is_permit else min(share.burst, holding.burst),
            )
        elif context.is_recovering and not context.holds_lease:
            # The answer to an earlier claim may still be in transit, so the
            # larger claim counts.
            pool.set_lent(
                share,
                max(share.rate_per_s, holding.rate_per_s),
                max(share.burst, holding.burst),
            )
        if context.holds_lease and holding.returned > share.returned:
            pool.add_tokens(holding.returned - share.returned)
            share.returned = holding.returned
        pool.update_demand(
            share,
            demand_per_s=holding.demand_per_s,
            wanted_burst=holding.wanted_burst,
            reserve=holding.reserve,
        )

    def _share(
        self, context: _RenewalContext, pool: Pool, holding: Holding
    ) -> Share:
        share = pool.shares.get(context.lease.lease_id)
        if share is None:
            share = Share()
            if context.holds_lease:
                # The pool already has the tokens that were returned before the
                # resource was last untracked.
                share.returned = holding.returned
            pool.shares[context.lease.lease_id] = share
            context.lease.resources.add(holding.resource)
        return share

    def _grant(self, context: _RenewalContext, resource: str) -> Grant:
        pool = self._pools.get(resource)
        if pool is None:
            return Grant(resource, 0, 0, 0, is_exhausted=True)
        share = pool.shares[context.lease.lease_id]
        share.answered = context.lease.sequence
        if context.can_grow:
            granted = pool.grow(share, pool.desired_quota(share))
        else:
            granted = Quota(
                min(share.rate_per_s, pool.quota.rate_per_s),
                min(share.burst, pool.quota.burst),
            )
        return Grant(
            resource,
            granted.rate_per_s,
            granted.burst,
            share.given,
            is_exhausted=context.can_grow and pool.is_exhausted,
            is_on_demand=pool.is_on_demand,
        )

    def _end_unlisted_shares(
        self, context: _RenewalContext, listed: set[str]
    ) -> None:
        for resource in context.lease.resources - listed:
            self._end_share(context.lease, resource, context.now_s)
        context.lease.resources &= listed

    def _release_lease(
        self, lease: _Lease | None, renewal: Renewal, now_s: float
    ) -> None:
        if lease is None:
            return
        returned = {
            holding.resource: holding.returned for holding in renewal.holdings
        }
        holds_lease = renewal.lease_id == lease.lease_id
        for resource in lease.resources:
            share = self._pools[resource].shares[lease.lease_id]
            counted = share.returned
            self._end_share(lease, resource, now_s)
            if holds_lease and resource in self._pools:
                tokens = returned.get(resource, 0) - counted
                self._pools[resource].add_tokens(max(0.0, tokens))
        self._leases.pop(lease.key)

    def _expire(self, now_s: float) -> None:
        while self._leases:
            lease = next(iter(self._leases.values()))
            if lease.expires_s > now_s:
                return
            for resource in lease.resources:
                # The returned rate earns tokens from the end of the lease on.
                self._end_share(lease, resource, lease.expires_s)
            self._leases.pop(lease.key)

    def _end_share(self, lease: _Lease, resource: str, now_s: float) -> None:
        pool = self._pools[resource]
        pool.refill(now_s)
        pool.remove(lease.lease_id)
        self._discard_if_unused(resource, pool)

    def _discard_if_unused(self, resource: str, pool: Pool) -> None:
        if not pool.shares and pool.quota == Quota(0, 0):
            self._pools.pop(resource)
