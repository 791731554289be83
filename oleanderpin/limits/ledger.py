"""A ledger that lends rates and bursts to holders under leases.

The ledger counts each holder with the most that it may hold: a reduction
counts when the holder has confirmed the sequence number of its grants, or
when its lease has expired. The holder counts its lease from the time it sent
the request, the ledger from the time of its answer, so the holder's lease
ends first. Both need clocks that measure elapsed time alike; their origins
may differ.

A new ledger does not know what its predecessor lent. For one lease time
holders claim what they hold, and nothing grows. That ends sooner when all
instances that may hold something have claimed; it does so at once after a
restart of all. The pool starts without tokens, because earlier holders may
have used them.
"""

import secrets
from collections import OrderedDict
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from ..core.clock import Clock
from .messages import Grant, Grants, Holding, Renewal, Quota
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
    answered: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class _Step:
    """One renewal in progress."""

    lease: _Lease
    now_s: float
    is_joined: bool
    is_confirmed: bool
    is_recovering: bool
    may_grow: bool

    @property
    def can_grow(self) -> bool:
        """Whether more may be lent than the holder has already."""
        is_settled = self.is_joined or not self.lease.is_adopted
        return self.may_grow and is_settled and not self.is_recovering


def _random_id() -> int:
    return secrets.randbits(_ID_BITS) + 1


class Ledger:
    """Lends wholes, each under an opaque resource name. Not thread-safe.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    lease_s : float
        Length of a lease, in seconds; the same at all holders.
    may_hold : collection of str, optional
        Names of all instances to which an earlier ledger may have lent; None
        if they are not known.
    new_id : callable, optional
        Returns identifiers of leases that no earlier ledger has used.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        lease_s: float,
        may_hold: Collection[str] | None = None,
        new_id: Callable[[], int] = _random_id,
    ) -> None:
        """Start without leases; nothing grows for one lease time."""
        self._clock = clock
        self._lease_s = lease_s
        self._new_id = new_id
        self._unclaimed = None if may_hold is None else set(may_hold)
        wait_s = 0.0 if self._unclaimed == set() else lease_s
        self._recovered_s = clock.now_s() + wait_s
        self._sequence = 0
        self._pools: dict[str, Pool] = {}
        self._known: set[str] = set()
        # All leases have the same length, so the first one expires first.
        self._leases: OrderedDict[_HolderKey, _Lease] = OrderedDict()

    @property
    def is_recovering(self) -> bool:
        """Whether leases of an earlier ledger may still be in force."""
        return self._clock.now_s() < self._recovered_s

    def set_whole(self, resource: str, whole: Quota) -> None:
        """Define a resource or change it while shares are lent.

        A resource that is new to a recovered ledger starts with all of its
        tokens. A raised burst fills up at the rate; a lowered one reaches
        the holders with their next grants, at the latest when their leases
        expire.

        Parameters
        ----------
        resource : str
            Name of the resource.
        whole : Whole
            Rate and burst of the whole fleet.
        """
        now_s = self._clock.now_s()
        pool = self._pools.get(resource)
        if pool is None:
            is_new = resource not in self._known and not self.is_recovering
            pool = Pool(
                whole,
                max(now_s, self._recovered_s),
                tokens=whole.burst if is_new else 0,
            )
            self._pools[resource] = pool
            self._known.add(resource)
            return
        pool.refill(now_s)
        pool.replace_whole(whole)

    def remove(self, resource: str) -> None:
        """Take back all shares of a resource."""
        pool = self._pools.get(resource)
        if pool is None:
            return
        pool.replace_whole(Quota(0, 0))
        self._forget_unused(resource, pool)

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
        """Extend a holder's lease and adapt its shares.

        Parameters
        ----------
        renewal : Renewal
            What the holder holds and could use.
        may_grow : bool
            Whether the holder may be lent more than it has.

        Returns
        -------
        Grants
            What it may use from now on; sequence 0 if the request is older
            than one that was answered before, or the holder leaves.
        """
        now_s = self._clock.now_s()
        self._expire(now_s)
        key = (renewal.holder, renewal.incarnation)
        lease = self._leases.get(key)
        if lease is not None and renewal.number <= lease.number:
            return Grants(renewal.incarnation, renewal.number, 0, 0)
        if renewal.is_leaving:
            self._leave(lease, renewal, now_s)
            return Grants(renewal.incarnation, renewal.number, 0, 0)
        lease = lease or self._open(key)
        step = self._step(lease, renewal, now_s, may_grow=may_grow)
        listed = {holding.resource for holding in renewal.holdings}
        if step.is_confirmed:
            # Tokens given in an earlier answer are lost if the confirmed one
            # did not repeat them.
            self._keep_shares(step, lease.answered & listed)
        for holding in renewal.holdings:
            self._settle(step, holding)
        lease.answered = listed
        self._sequence += 1
        lease.number = renewal.number
        lease.sequence = self._sequence
        lease.expires_s = now_s + self._lease_s
        self._leases.move_to_end(key)
        self._note_claim(renewal.holder, now_s)
        grants = tuple(
            self._grant(step, holding.resource) for holding in renewal.holdings
        )
        return Grants(
            renewal.incarnation,
            renewal.number,
            lease.lease_id,
            lease.sequence,
            is_adopted=lease.is_adopted and not step.is_joined,
            is_recovering=step.is_recovering,
            grants=grants,
        )

    def _open(self, key: _HolderKey) -> _Lease:
        lease = _Lease(key, self._new_id(), is_adopted=self.is_recovering)
        self._leases[key] = lease
        return lease

    def _note_claim(self, holder: str, now_s: float) -> None:
        """End the wait for claims once no instance can have another one."""
        if self._unclaimed is None or now_s >= self._recovered_s:
            return
        self._unclaimed.discard(holder)
        if not self._unclaimed:
            self._recovered_s = now_s
            for pool in self._pools.values():
                pool.now_s = min(pool.now_s, now_s)

    def _step(
        self, lease: _Lease, renewal: Renewal, now_s: float, *, may_grow: bool
    ) -> _Step:
        is_joined = renewal.lease_id == lease.lease_id
        return _Step(
            lease,
            now_s,
            is_joined=is_joined,
            is_confirmed=is_joined and renewal.applied == lease.sequence,
            is_recovering=now_s < self._recovered_s,
            may_grow=may_grow,
        )

    def _settle(self, step: _Step, holding: Holding) -> None:
        pool = self._pools.get(holding.resource)
        if pool is None:
            if not holding.rate_per_s and not holding.burst:
                return
            # Counted, in case the resource is defined while it is held.
            pool = Pool(Quota(0, 0), max(step.now_s, self._recovered_s))
            self._pools[holding.resource] = pool
            self._known.add(holding.resource)
        pool.refill(step.now_s)
        share = pool.shares.setdefault(step.lease.lease_id, Share())
        step.lease.resources.add(holding.resource)
        if step.is_confirmed:
            # Permits in use stay counted when they exceed the grant.
            is_permit = pool.whole.rate_per_s == 0
            pool.count(
                share,
                min(share.rate_per_s, holding.rate_per_s),
                holding.burst if is_permit else min(share.burst, holding.burst),
            )
        elif step.is_recovering and not step.is_joined:
            # An earlier claim may still be on its way back, so the larger
            # one counts.
            pool.count(
                share,
                max(share.rate_per_s, holding.rate_per_s),
                max(share.burst, holding.burst),
            )
        if step.is_joined and holding.returned > share.returned:
            pool.put_tokens(holding.returned - share.returned)
            share.returned = holding.returned
        pool.note_demand(
            share,
            demand_per_s=holding.demand_per_s,
            wanted_burst=holding.wanted_burst,
            reserve=holding.reserve,
        )

    def _grant(self, step: _Step, resource: str) -> Grant:
        pool = self._pools.get(resource)
        if pool is None:
            return Grant(resource, 0, 0, 0, is_exhausted=True)
        share = pool.shares[step.lease.lease_id]
        if step.can_grow:
            granted = pool.grow(share, pool.target(share))
        else:
            granted = Quota(
                min(share.rate_per_s, pool.whole.rate_per_s),
                min(share.burst, pool.whole.burst),
            )
        return Grant(
            resource,
            granted.rate_per_s,
            granted.burst,
            share.given,
            is_exhausted=step.can_grow and pool.is_exhausted,
            is_on_demand=pool.is_on_demand,
        )

    def _keep_shares(self, step: _Step, kept: set[str]) -> None:
        for resource in step.lease.resources - kept:
            self._end_share(step.lease, resource, step.now_s)
        step.lease.resources &= kept

    def _leave(
        self, lease: _Lease | None, renewal: Renewal, now_s: float
    ) -> None:
        if lease is None:
            return
        returned = {
            holding.resource: holding.returned for holding in renewal.holdings
        }
        is_joined = renewal.lease_id == lease.lease_id
        for resource in lease.resources:
            share = self._pools[resource].shares[lease.lease_id]
            counted = share.returned
            self._end_share(lease, resource, now_s)
            if is_joined and resource in self._pools:
                tokens = returned.get(resource, 0) - counted
                self._pools[resource].put_tokens(max(0.0, tokens))
        self._leases.pop(lease.key)

    def _expire(self, now_s: float) -> None:
        while self._leases:
            lease = next(iter(self._leases.values()))
            if lease.expires_s > now_s:
                return
            for resource in lease.resources:
                # The unlent rate grows from the end of the lease on.
                self._end_share(lease, resource, lease.expires_s)
            self._leases.pop(lease.key)

    def _end_share(self, lease: _Lease, resource: str, now_s: float) -> None:
        pool = self._pools[resource]
        pool.refill(now_s)
        pool.remove(lease.lease_id)
        self._forget_unused(resource, pool)

    def _forget_unused(self, resource: str, pool: Pool) -> None:
        if not pool.shares and pool.whole == Quota(0, 0):
            self._pools.pop(resource)
