"""Divides the request rates of cold and of limited targets among the gateways.

Load pattern: targets return cold to a fleet of many gateways. If each gateway
might send to a cold target at a low rate, the first requests of all would
arrive together and overload the target. Instead, all gateways choose the same
few of them for each target, by rendezvous hashing.
"""

import heapq
import math
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

# Assumed fleet size while an instance that has just started does not know the
# others yet.
_MIN_GATEWAYS = 8
# Fraction of a cold target's rate that is used; the rest covers requests that
# were in transit when an instance learned that the target is cold.
_COLD_RATE_FRACTION = 0.8
# So many gateways are chosen that each may send about one request in this time.
_SEND_INTERVAL_S = 1.0
# Fraction of a target's limit that is used; the rest covers gateways that do
# not know each other yet.
_LIMIT_FRACTION = 0.95
# Requests that all gateways together may send at once to a target, beside its
# rate: the users allow one and a half times the limit in 4 s, and 5 requests.
_BURST_PER_LIMIT = 2.2
_MIN_BURST = 5.0
# Requests that each gateway chosen for a limited target may send at once. With
# a single one, half of those that arrive at random would find it used up.
_GATEWAY_BURST = 2


class RateShare(NamedTuple):
    """Part of a target's limit that one gateway may use.

    Parameters
    ----------
    rate_per_s : float
        Requests a second; 0 if other gateways are chosen for the target.
    burst : float
        Requests at once.
    """

    rate_per_s: float
    burst: float


class KnownGateways:
    """All gateways that were ever seen.

    Gateways that left still count, so that both sides of a network partition
    together stay within the rate.

    Parameters
    ----------
    own_name : str
        Name of this gateway.
    """

    def __init__(self, own_name: str) -> None:
        """Start with this gateway only."""
        self._own_name = own_name
        self._names = {own_name}
        self._chosen: dict[tuple[str, int], bool] = {}
        self._knows_all = False

    @property
    def count(self) -> int:
        """Number of gateways to divide a rate by, including a minimum."""
        return max(len(self._names), _MIN_GATEWAYS)

    @property
    def rank(self) -> int:
        """Position of this gateway among all, in the order of their names."""
        return sum(name < self._own_name for name in self._names)

    def note_complete(self) -> None:
        """Record that this gateway had time to learn of all others."""
        self._knows_all = True

    def add(self, names: Iterable[str]) -> None:
        """Add the names of live gateways."""
        before = len(self._names)
        self._names.update(names)
        if len(self._names) != before:
            self._chosen.clear()

    def cold_interval_s(self, target_id: str, rate_per_s: float) -> float:
        """Return the minimum time between requests of this gateway.

        Parameters
        ----------
        target_id : str
            A cold target.
        rate_per_s : float
            Limit on its request rate, over all gateways; 0 for no limit.

        Returns
        -------
        float
            Seconds; infinite if other gateways are chosen for this target.
        """
        if not rate_per_s:
            return 0.0
        usable_per_s = rate_per_s * _COLD_RATE_FRACTION
        gateway_count = max(1, int(usable_per_s * _SEND_INTERVAL_S))
        if gateway_count >= self.count:
            return self.count / usable_per_s
        if not self._is_chosen(target_id, gateway_count):
            return math.inf
        return gateway_count / usable_per_s

    def limit_share(self, target_id: str, limit_per_s: float) -> RateShare:
        """Return the part of a target's limit that this gateway may use.

        Parameters
        ----------
        target_id : str
            The target.
        limit_per_s : float
            Requests a second that it takes from all gateways together.
        """
        usable_per_s = limit_per_s * _LIMIT_FRACTION
        burst = limit_per_s * _BURST_PER_LIMIT + _MIN_BURST
        gateway_count = max(1, int(burst / _GATEWAY_BURST))
        count = len(self._names) if self._knows_all else self.count
        if gateway_count >= count:
            gateway_count = count
        elif not self._is_chosen(target_id, gateway_count):
            return RateShare(0.0, 0.0)
        return RateShare(usable_per_s / gateway_count, burst // gateway_count)

    def _is_chosen(self, target_id: str, gateway_count: int) -> bool:
        key = (target_id, gateway_count)
        found = self._chosen.get(key)
        if found is None:
            first = heapq.nsmallest(
                gateway_count,
                self._names,
                key=lambda name: xxhash.xxh3_64_intdigest(
                    f'{target_id}/{name}'.encode()
                ),
            )
            found = self._own_name in first
            self._chosen[key] = found
        return found
