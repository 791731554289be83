"""Assigns objects of one region's callers to home regions.

Load pattern: a region has too few targets for its callers. If each request
left the region whenever its target was full, objects would change targets
often, cross-region traffic would follow every load spike, and some requests
would go to a region that is overloaded itself. Instead, a share of the objects
has its home in regions with spare capacity. The shares follow the loads of all
regions slowly, and the fraction of requests that leave their home region is
limited.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

import xxhash

# Load of the own region's targets, as a fraction of their slots, up to which
# all objects stay and from which on none does. Instances that see the same load
# compute the same share.
_ALL_LOCAL_LOAD = 0.65
_NONE_LOCAL_LOAD = 0.95
_LOAD_SPAN = _NONE_LOCAL_LOAD - _ALL_LOCAL_LOAD
# Smallest load span, used when other regions are busy too; a smaller one makes
# the shares oscillate.
_MIN_LOAD_SPAN = 0.15
# Limit on the change of the shares. Two adjacent windows of 2 s then differ by
# at most 0.05.
_MAX_SHARE_CHANGE_PER_S = 0.025
# The same while the own region holds more requests than slots. It applies after
# some seconds of this, when what leaves for lack of capacity no longer grows.
_OVERLOADED_SHARE_CHANGE_PER_S = 0.05
_OVERLOADED_S = 2.0
# Load of all targets together, assumed before the first requests.
_ASSUMED_LOAD = 0.6
# Number of requests after which the measured load is meaningful.
_MIN_REQUESTS = 20
# After a restart of all instances the targets announce themselves again one
# after another; the estimate follows them for this long.
_ANNOUNCEMENTS_S = 5.0
_LOAD_TIME_CONSTANT_S = 1.5
# Fraction of requests that may leave their home region for lack of capacity.
_MAX_OVERFLOW_FRACTION = 0.08
_OVERFLOW_TIME_CONSTANT_S = 1.0
# For this long after targets of the own region were lost, its requests may go
# wherever there is spare capacity.
_TARGET_LOSS_WINDOW_S = 6.0
# Limit on the fall of that fraction afterwards. With the change of the shares,
# two adjacent windows of 2 s differ by at most 0.11.
_MAX_OVERFLOW_CHANGE_PER_S = 0.03
# Smallest share of objects that is moved, since every moved object has to be
# loaded again.
_MIN_SHARE_CHANGE = 0.1
_HASH_RANGE = 2.0**64


@dataclass(frozen=True, slots=True)
class RegionCapacity:
    """Slots and requests in flight of a service's targets in one region."""

    slots: float
    in_flight: float

    @property
    def load(self) -> float:
        """Requests in flight as a fraction of the slots."""
        return self.in_flight / self.slots if self.slots else math.inf


def desired_shares(
    own_region: str, capacities: Mapping[str, RegionCapacity]
) -> dict[str, float]:
    """Return the share of a region's objects that each region should have.

    Parameters
    ----------
    own_region : str
        Region of the callers.
    capacities : mapping of str to RegionCapacity
        All regions with targets, under the present shares.

    Returns
    -------
    dict of str to float
        Shares by region, which add up to 1.
    """
    own = capacities.get(own_region)
    load = own.load if own else math.inf
    receivers = {
        region: capacity
        for region, capacity in capacities.items()
        if region != own_region and capacity.load < load
    }
    if not receivers:
        return {own_region: 1.0}
    slots = sum(capacity.slots for capacity in receivers.values())
    in_flight = sum(capacity.in_flight for capacity in receivers.values())
    # Objects leave only for spare capacity; if all regions are overloaded, they
    # stay.
    all_local_load = max(_ALL_LOCAL_LOAD, in_flight / slots)
    span = max(_MIN_LOAD_SPAN, _NONE_LOCAL_LOAD - all_local_load)
    local_share = min(max((all_local_load + span - load) / span, 0.0), 1.0)
    spare = {
        region: max(0.0, capacity.slots * _NONE_LOCAL_LOAD - capacity.in_flight)
        for region, capacity in receivers.items()
    }
    if not any(spare.values()):
        spare = {
            region: capacity.slots for region, capacity in receivers.items()
        }
    total = sum(spare.values())
    shares = {
        region: (1.0 - local_share) * capacity / total
        for region, capacity in spare.items()
    }
    return {**shares, own_region: local_share}


class RegionSplit:
    """Shares of the own region's objects by home region.

    Parameters
    ----------
    own_region : str
        Region of this instance.
    now_s : float
        Monotonic time.
    """

    def __init__(self, own_region: str, now_s: float) -> None:
        """Start with all objects in the own region."""
        self.shares = {own_region: 1.0}
        self.own_region = own_region
        self._reported_shares = self.shares
        self._started_s = now_s
        self._estimated_slots: dict[str, float] = {}
        self._capacities: dict[str, RegionCapacity] = {}
        self._updated_s = now_s
        self._placed_requests = 0
        self._targets_lost_s = float('-inf')
        self._is_adjusting = False
        self._overloaded_since_s = math.inf
        self._overflow_fraction = 0.0
        self._overflow_updated_s = now_s
        self._overflow_limit = _MAX_OVERFLOW_FRACTION

    @property
    def local_share(self) -> float:
        """Share of the objects whose home is the own region."""
        return self.shares.get(self.own_region, 0.0)

    def home_region(self, key: str, regions: Collection[str]) -> str:
        """Return the home region of an object.

        The choice is by weighted rendezvous hashing, so that a change of the
        shares moves as few objects as possible.

        Parameters
        ----------
        key : str
            Name of the object.
        regions : collection of str
            Regions whose targets may be used.
        """
        best = self.own_region
        best_score = math.inf
        for region in regions:
            share = self.shares.get(region, 0.0)
            if share <= 0:
                continue
            digest = xxhash.xxh3_64_intdigest(f'{region}/{key}'.encode())
            score = -math.log((digest + 1) / _HASH_RANGE) / share
            if score < best_score:
                best, best_score = region, score
        return best

    def update(
        self, capacities: Mapping[str, RegionCapacity], now_s: float
    ) -> None:
        """Adjust the shares to the loads of all regions.

        Parameters
        ----------
        capacities : mapping of str to RegionCapacity
            All regions with targets.
        now_s : float
            Monotonic time.
        """
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        self._update_overflow_limit(elapsed_s, now_s)
        self._smooth_capacities(
            capacities, min(1.0, elapsed_s / _LOAD_TIME_CONSTANT_S)
        )
        desired = desired_shares(self.own_region, self._capacities)
        regions = desired.keys() | self.shares.keys()
        changes = {
            region: desired.get(region, 0.0) - self.shares.get(region, 0.0)
            for region in regions
        }
        # Half of the sum is the share of objects that would move.
        moved = sum(abs(change) for change in changes.values()) / 2
        self._is_adjusting = moved > _MIN_SHARE_CHANGE or (
            self._is_adjusting and moved > _MIN_SHARE_CHANGE / 2
        )
        if not self._is_adjusting:
            return
        limit = self._share_change_per_s(desired, now_s) * elapsed_s
        fraction = min(1.0, limit / moved)
        self.shares = {
            region: self.shares.get(region, 0.0) + change * fraction
            for region, change in changes.items()
        }

    def _share_change_per_s(
        self, desired: Mapping[str, float], now_s: float
    ) -> float:
        """Return the limit; objects leave an overloaded region sooner."""
        if self.load_of(self.own_region) <= 1:
            self._overloaded_since_s = math.inf
        elif math.isinf(self._overloaded_since_s):
            self._overloaded_since_s = now_s
        is_lasting = now_s - self._overloaded_since_s >= _OVERLOADED_S
        is_leaving = desired.get(self.own_region, 0.0) < self.local_share
        if is_lasting and is_leaving:
            return _OVERLOADED_SHARE_CHANGE_PER_S
        return _MAX_SHARE_CHANGE_PER_S

    def estimate_from_slots(
        self, slots: Mapping[str, float], now_s: float
    ) -> None:
        """Choose the first shares from the slots alone.

        Parameters
        ----------
        slots : mapping of str to float
            Slots by region; the same demand is assumed from the callers of
            each.
        now_s : float
            Monotonic time.
        """
        if not any(slots.values()) or not self._is_estimate_due(slots, now_s):
            return
        self._estimated_slots = dict(slots)
        demand = _ASSUMED_LOAD * sum(slots.values()) / len(slots)
        own_slots = slots.get(self.own_region, 0.0)
        load = demand / own_slots if own_slots else math.inf
        # Fixed point: load times share is the load that yields this share.
        local_share = min(1.0, _NONE_LOCAL_LOAD / (load + _LOAD_SPAN))
        spare = {
            region: max(0.0, count - demand)
            for region, count in slots.items()
            if region != self.own_region
        }
        total = sum(spare.values())
        if not total:
            local_share = 1.0
        self.shares = {
            region: (1.0 - local_share) * capacity / total
            for region, capacity in spare.items()
            if capacity
        }
        self.shares[self.own_region] = local_share
        self._capacities = {
            region: RegionCapacity(count, min(demand, count * _ALL_LOCAL_LOAD))
            for region, count in slots.items()
        }
        if own_slots:
            self._capacities[self.own_region] = RegionCapacity(
                own_slots, demand * local_share
            )

    def _is_estimate_due(
        self, slots: Mapping[str, float], now_s: float
    ) -> bool:
        if self._placed_requests < _MIN_REQUESTS:
            return True
        is_starting = now_s - self._started_s < _ANNOUNCEMENTS_S
        return is_starting and slots != self._estimated_slots

    def note_target_loss(self, now_s: float) -> None:
        """Record that targets of the own region were lost."""
        self._targets_lost_s = now_s

    def may_leave(self, now_s: float, *, home: str) -> bool:
        """Return whether a request may be placed outside its home region.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        home : str
            Home region of the object.
        """
        if home == self.own_region and self._has_lost_targets(now_s):
            return True
        return self._overflow_fraction < self._overflow_limit

    def note_placed(self, now_s: float, *, leaves: bool) -> None:
        """Record a request, and whether it leaves its home region."""
        self._placed_requests += 1
        # Weight of one request by the time since the last one, with bounds for
        # bursts and pauses.
        elapsed_s = now_s - self._overflow_updated_s
        self._overflow_updated_s = now_s
        weight = min(0.2, max(elapsed_s, 0.001) / _OVERFLOW_TIME_CONSTANT_S)
        self._overflow_fraction += (
            int(leaves) - self._overflow_fraction
        ) * weight

    def take_change(self) -> bool:
        """Return whether the shares changed noticeably since the last report."""
        regions = self.shares.keys() | self._reported_shares.keys()
        moved = sum(
            abs(
                self.shares.get(each, 0.0)
                - self._reported_shares.get(each, 0.0)
            )
            for each in regions
        )
        if moved / 2 < _MIN_SHARE_CHANGE:
            return False
        self._reported_shares = self.shares
        return True

    def load_of(self, region: str) -> float:
        """Return the smoothed load of a region, 0 if it is unknown."""
        capacity = self._capacities.get(region)
        return capacity.load if capacity else 0.0

    def _has_lost_targets(self, now_s: float) -> bool:
        return now_s - self._targets_lost_s < _TARGET_LOSS_WINDOW_S

    def _update_overflow_limit(self, elapsed_s: float, now_s: float) -> None:
        """Follow the fraction after a loss, and let it fall slowly then."""
        if self._has_lost_targets(now_s):
            weight = min(1.0, elapsed_s / _LOAD_TIME_CONSTANT_S)
            change = self._overflow_fraction - self._overflow_limit
            limit = self._overflow_limit + change * weight
        else:
            limit = (
                self._overflow_limit - _MAX_OVERFLOW_CHANGE_PER_S * elapsed_s
            )
        self._overflow_limit = max(_MAX_OVERFLOW_FRACTION, limit)

    def _smooth_capacities(
        self, capacities: Mapping[str, RegionCapacity], weight: float
    ) -> None:
        self._capacities = {
            region: _smoothed(self._capacities.get(region), capacity, weight)
            for region, capacity in capacities.items()
        }


def _smoothed(
    last: RegionCapacity | None, capacity: RegionCapacity, weight: float
) -> RegionCapacity:
    """Smooth the requests in flight; slots apply at once."""
    if last is None:
        return capacity
    change = capacity.in_flight - last.in_flight
    return RegionCapacity(capacity.slots, last.in_flight + change * weight)
