"""Divides the request rates of cold and of limited targets among the gateways.

Load pattern: targets return cold to a fleet of many gateways. If each gateway
might send to a cold target at a low rate, the first requests of all would
arrive together and overload the target. Instead, all gateways choose the same
few of them for each target, by rendezvous hashing.
"""

import heapq
import math
from collections.abc import Iterable

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
_LIMIT_FRACTION = 0.8
# Gateways chosen for a target, for each request a second of its limit. Each may
# send one request at once and then its part of the rate: together the requests
# of about six seconds in any four.
_GATEWAYS_PER_LIMIT = 2.5


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

    @property
    def count(self) -> int:
        """Number of gateways to divide a rate by, including a minimum."""
        return max(len(self._names), _MIN_GATEWAYS)

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

    def limit_interval_s(self, target_id: str, limit_per_s: float) -> float:
        """Return the minimum time between requests to a limited target.

        Parameters
        ----------
        target_id : str
            The target.
        limit_per_s : float
            Requests a second that it takes from all gateways together.

        Returns
        -------
        float
            Seconds; infinite if other gateways are chosen for this target.
        """
        usable_per_s = limit_per_s * _LIMIT_FRACTION
        gateway_count = max(1, int(limit_per_s * _GATEWAYS_PER_LIMIT))
        if gateway_count >= self.count:
            return self.count / usable_per_s
        if not self._is_chosen(target_id, gateway_count):
            return math.inf
        return gateway_count / usable_per_s

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
