"""Holder side of the share protocol, without threads or network."""

import threading

from ..core.clock import Clock
from .bucket import Bucket
from .messages import Grant, Grants, Renewal

_MAX_OUTSTANDING_RENEWALS = 16
# Interval of renewals that list all resources, by which the ledger follows a
# demand that falls. Renewals between them list only what changed: with many
# accounts, most of them are idle at most instances.
_FULL_INTERVAL_S = 2.0


class Holder:
    """Holds shares of resources under one lease; thread-safe.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    name : str
        Name of the instance.
    incarnation : int
        Higher at each start of the instance.
    lease_s : float
        Length of a lease, in seconds; the same at the ledger.
    """

    def __init__(
        self, *, clock: Clock, name: str, incarnation: int, lease_s: float
    ) -> None:
        """Start without shares."""
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._lock = threading.RLock()
        self._buckets: dict[str, Bucket] = {}
        self._untracked: dict[str, Bucket] = {}
        self._now_s = float('-inf')
        self._expires_s = float('-inf')
        self._number = 0
        self._applied_number = 0
        self._lease_id = 0
        self._sequence = 0
        self._sent: dict[int, float] = {}
        self._last_full_s = float('-inf')

    def track(self, resource: str, *, is_permit: bool = False) -> None:
        """Request shares of ``resource`` with the next renewals."""
        with self._lock:
            self._bucket(resource).is_permit = is_permit

    def untrack(self, resource: str) -> None:
        """Give up the share of ``resource``."""
        with self._lock:
            bucket = self._buckets.pop(resource, None)
            if bucket is not None:
                # Its counts remain valid until the lease ends.
                bucket.clear()
                self._untracked[resource] = bucket
                self.list_all()

    def list_all(self) -> None:
        """List all resources with the next renewal.

        Only such a renewal tells the ledger which resources are no longer
        tracked, and this holder what has changed for idle ones.
        """
        with self._lock:
            self._last_full_s = float('-inf')

    def resources(self) -> tuple[str, ...]:
        """Return the names of the tracked resources."""
        with self._lock:
            return tuple(self._buckets)

    def note_arrival(self, resource: str) -> None:
        """Count a request that needs a unit, to estimate the demand."""
        with self._lock:
            self._bucket(resource).note_arrival(self._update_now())

    def take(self, resource: str) -> bool:
        """Take one unit; return whether there was one."""
        with self._lock:
            return self._bucket(resource).take()

    def give_back(self, resource: str) -> None:
        """Return one permit after use, or one token that was not used."""
        with self._lock:
            bucket = self._buckets.get(resource)
            if bucket is not None:
                bucket.give_back()

    def note_waiting(self, resource: str, change: int) -> int:
        """Change the number of requests that wait; return the new number."""
        with self._lock:
            bucket = self._bucket(resource)
            bucket.waiting = max(0, bucket.waiting + change)
            return bucket.waiting

    def is_low(self, resource: str) -> bool:
        """Return whether an early renewal is due."""
        with self._lock:
            return self._bucket(resource).is_low

    def is_renewal_urgent(self) -> bool:
        """Return whether requests wait for units or units are in excess."""
        with self._lock:
            return any(
                bucket.has_excess
                or (bucket.waiting and not bucket.is_exhausted)
                for bucket in self._buckets.values()
            )

    def has_changes(self) -> bool:
        """Return whether the next renewal lists any resource."""
        with self._lock:
            now_s = self._update_now()
            return not self._may_be_partial(now_s) or any(
                bucket.is_changed(now_s) for bucket in self._buckets.values()
            )

    def exhausted_age_s(self, resource: str) -> float | None:
        """Return how long ago the ledger answered that it is exhausted.

        Returns
        -------
        float or None
            None if the last answer did not say so, or there was none.
        """
        with self._lock:
            bucket = self._bucket(resource)
            if not bucket.is_exhausted:
                return None
            return self._now_s - bucket.answered_s

    def answered_s(self, resource: str) -> float:
        """Return when a recovered ledger last answered for ``resource``."""
        with self._lock:
            return self._bucket(resource).answered_s

    def next_unit_s(self, resource: str) -> float | None:
        """Return the seconds until the share has earned a unit.

        Returns
        -------
        float or None
            None if the share earns nothing.
        """
        with self._lock:
            bucket = self._bucket(resource)
            if bucket.rate_per_s <= 0 or bucket.burst < 1:
                return None
            return max(0.0, 1 - bucket.tokens) / bucket.rate_per_s

    def held(self, resource: str) -> tuple[float, float, float]:
        """Return rate, burst and tokens held of ``resource``."""
        with self._lock:
            bucket = self._bucket(resource)
            return bucket.rate_per_s, bucket.burst, bucket.tokens

    def request(self, *, is_leaving: bool = False) -> Renewal:
        """Return the next renewal; the lease that it extends starts now.

        It is partial while the ledger is known to know the lease.

        Parameters
        ----------
        is_leaving : bool
            Return all shares; the holder must not be used afterwards.
        """
        with self._lock:
            now_s = self._update_now()
            is_partial = not is_leaving and self._may_be_partial(now_s)
            if not is_partial:
                self._last_full_s = now_s
            if is_leaving:
                self._release_all()
            self._number += 1
            self._sent[self._number] = now_s
            while len(self._sent) > _MAX_OUTSTANDING_RENEWALS:
                self._sent.pop(next(iter(self._sent)))
            for bucket in self._buckets.values():
                bucket.refill(now_s)
            return Renewal(
                self._name,
                self._incarnation,
                self._number,
                self._lease_id,
                self._sequence,
                holdings=tuple(
                    bucket.report(resource, now_s)
                    for resource, bucket in self._buckets.items()
                    if not is_partial or bucket.is_changed(now_s)
                ),
                is_leaving=is_leaving,
                is_partial=is_partial,
            )

    def apply(self, grants: Grants) -> bool:
        """Apply an answer of the ledger.

        Answers may be lost, repeated and reordered: an answer is ignored if it
        does not belong to the last request or arrives after its lease has
        expired. The holder thus never uses more than the last request claimed.

        Returns
        -------
        bool
            Whether the grants were applied.
        """
        with self._lock:
            now_s = self._update_now()
            sent_s = self._sent.get(grants.number)
            if sent_s is None or grants.incarnation != self._incarnation:
                return False
            expires_s = sent_s + self._lease_s
            is_older = (
                grants.number < self._number
                or grants.number <= self._applied_number
            )
            if is_older or not grants.sequence or expires_s <= now_s:
                return False
            self._expires_s = expires_s
            self._applied_number = grants.number
            self._sequence = grants.sequence
            if grants.lease_id != self._lease_id:
                self._start_lease(grants)
            for grant in grants.grants:
                bucket = self._buckets.get(grant.resource)
                if bucket is None:
                    self._record_untracked(grant)
                    continue
                bucket.refill(now_s)
                bucket.apply(
                    grant,
                    sequence=grants.sequence,
                    is_adopted=grants.is_adopted,
                )
                if not grants.is_recovering:
                    bucket.answered_s = now_s
            self._discard_sent(grants.number)
            return True

    def _may_be_partial(self, now_s: float) -> bool:
        is_last_applied = (
            self._lease_id > 0 and self._number == self._applied_number
        )
        is_lease_valid = now_s < self._expires_s
        is_recent = now_s < self._last_full_s + _FULL_INTERVAL_S
        return is_last_applied and is_lease_valid and is_recent

    def _start_lease(self, grants: Grants) -> None:
        self._lease_id = grants.lease_id
        self._untracked.clear()
        for bucket in self._buckets.values():
            bucket.reset_counts()
            if not grants.is_adopted:
                bucket.clear()

    def _record_untracked(self, grant: Grant) -> None:
        # Tokens granted for a resource that is no longer tracked are lost.
        untracked = self._untracked.get(grant.resource)
        if untracked is None:
            untracked = Bucket()
            self._untracked[grant.resource] = untracked
        untracked.given = grant.given

    def _discard_sent(self, applied_number: int) -> None:
        for number in list(self._sent):
            if number <= applied_number:
                self._sent.pop(number)

    def _release_all(self) -> None:
        for bucket in self._buckets.values():
            bucket.returned += bucket.tokens
            bucket.clear()
        self._expires_s = float('-inf')

    def _bucket(self, resource: str) -> Bucket:
        now_s = self._update_now()
        bucket = self._buckets.get(resource)
        if bucket is None:
            bucket = self._untracked.pop(resource, None) or Bucket()
            self._buckets[resource] = bucket
        bucket.refill(now_s)
        return bucket

    def _update_now(self) -> float:
        now_s = self._clock.now_s()
        if now_s < self._now_s:
            # After a backward clock step the lease would seem to last longer.
            self._expires_s = float('-inf')
            self._sent.clear()
        self._now_s = now_s
        if now_s >= self._expires_s:
            for bucket in self._buckets.values():
                bucket.clear()
        return now_s
