"""Which objects an instance places in its own region, and which in others.

Load pattern: a region whose targets are too few for its callers. If each
request went elsewhere when its target is full, objects would wander and the
part that leaves the region would follow every wave of traffic. Instead a part
of the objects has its home in other regions; this part follows the load of the
region's own targets slowly, and requests that exceed it are bounded.
"""

import xxhash

# Load of the own targets, in parts of their slots, at which all objects stay
# and at which none does. Instances that see the same load choose the same part.
_ALL_STAY_LOAD = 0.65
_NONE_STAY_LOAD = 0.95
# Most change of the part that stays, a second. Two neighbouring windows of 2 s
# then differ by at most 0.05.
_SLOPE_PER_S = 0.025
# Load of all targets together that is assumed before the first request.
_ASSUMED_LOAD = 0.6
# Requests before which the load says nothing.
_ASSUMED_REQUESTS = 20
_LOAD_TIME_CONSTANT_S = 1.5
# Requests that may leave their home region for lack of room, in parts of all.
_MOST_OVERFLOW = 0.08
_OVERFLOW_TIME_CONSTANT_S = 1.0
# After a loss of own targets, requests follow the room that is left.
_LOSS_S = 6.0
# The part is not changed for less, since every object that moves has to be
# loaded again.
_LEAST_STEP = 0.1
_HASH_BITS = 64


class RegionSplit:
    """The part of the objects whose home is the own region.

    Parameters
    ----------
    now_s : float
        Monotonic time.
    """

    def __init__(self, now_s: float) -> None:
        """Let all objects stay."""
        self.staying_part = 1.0
        self._load = 0.0
        self._updated_s = now_s
        self._placed = 0
        self._lost_s = float('-inf')
        self._is_moving = False
        self._overflow = 0.0
        self._counted_s = now_s

    def is_at_home(self, key: str) -> bool:
        """Return whether an object's home is the own region."""
        if self.staying_part >= 1:
            return True
        position = xxhash.xxh3_64_intdigest(f'home/{key}'.encode())
        return position < self.staying_part * 2**_HASH_BITS

    def update(self, load: float, now_s: float) -> None:
        """Follow the load of the own targets.

        Parameters
        ----------
        load : float
            Requests at the own targets, in parts of their slots.
        now_s : float
            Monotonic time.
        """
        passed_s = now_s - self._updated_s
        self._updated_s = now_s
        weight = min(1.0, passed_s / _LOAD_TIME_CONSTANT_S)
        self._load += (load - self._load) * weight
        span = _NONE_STAY_LOAD - _ALL_STAY_LOAD
        wanted = (_NONE_STAY_LOAD - self._load) / span
        step = min(max(wanted, 0.0), 1.0) - self.staying_part
        self._is_moving = abs(step) > _LEAST_STEP or (
            self._is_moving and abs(step) > _LEAST_STEP / 2
        )
        if not self._is_moving:
            return
        most = _SLOPE_PER_S * passed_s
        self.staying_part += min(max(step, -most), most)

    def assume(self, own_part: float, region_count: int) -> None:
        """Choose the part that stays, before the first request.

        Parameters
        ----------
        own_part : float
            Slots of the own region, in parts of all.
        region_count : int
            Regions that ask for about the same amount of work each.
        """
        if self._placed >= _ASSUMED_REQUESTS:
            return
        span = _NONE_STAY_LOAD - _ALL_STAY_LOAD
        load = _ASSUMED_LOAD / max(own_part * region_count, 0.01)
        # Load times part equals the load at which that part stays.
        self.staying_part = min(1.0, _NONE_STAY_LOAD / (load + span))
        self._load = load * self.staying_part

    def note_loss(self, now_s: float) -> None:
        """Note that targets of the own region have gone."""
        self._lost_s = now_s

    def may_leave(self, now_s: float, *, is_near: bool) -> bool:
        """Return whether a request may be placed outside its home region.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        is_near : bool
            Whether the home is the own region.
        """
        if is_near and now_s - self._lost_s < _LOSS_S:
            return True
        return self._overflow < _MOST_OVERFLOW

    def note_placed(self, now_s: float, *, leaves: bool) -> None:
        """Count a request, and whether it leaves its home region."""
        self._placed += 1
        # Weight of one request at the usual rate of an instance.
        passed_s = now_s - self._counted_s
        self._counted_s = now_s
        weight = min(0.2, max(passed_s, 0.001) / _OVERFLOW_TIME_CONSTANT_S)
        self._overflow += (int(leaves) - self._overflow) * weight
