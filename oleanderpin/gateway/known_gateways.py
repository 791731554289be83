"""The gateways that share what is bounded over the fleet.

Load pattern: targets return cold to a fleet of many gateways. If each of them
may send to a cold target now and then, the first requests of all arrive
together and exceed what the target stands; so a few gateways are chosen for
each target, the same ones by all.
"""

import heapq
import math
from collections.abc import Iterable

import xxhash

# An instance that has just started does not know the others yet.
_LEAST_SHARERS = 8
# Part of a cold target's rate that is used; the rest covers requests that were
# on their way when an instance learned that the target is cold.
_COLD_PART = 0.8
# Gateways are chosen so that each may send about one request in this time.
_TURN_S = 1.0


class KnownGateways:
    """Remembers all gateways that were ever seen.

    Those that are gone still count, so that gateways that cannot hear of each
    other keep a bound together.

    Parameters
    ----------
    own_name : str
        Name of this gateway.
    """

    def __init__(self, own_name: str) -> None:
        """Know only this gateway."""
        self._own_name = own_name
        self._names = {own_name}
        self._chosen: dict[tuple[str, int], bool] = {}

    @property
    def count(self) -> int:
        """Number of gateways that share a bound, at least."""
        return max(len(self._names), _LEAST_SHARERS)

    def note(self, names: Iterable[str]) -> None:
        """Take the names of live gateways."""
        before = len(self._names)
        self._names.update(names)
        if len(self._names) != before:
            self._chosen.clear()

    def cold_interval_s(self, target_id: str, rate_per_s: float) -> float:
        """Return the least time between requests of this gateway.

        Parameters
        ----------
        target_id : str
            A cold target.
        rate_per_s : float
            Requests per second that it stands from all gateways together; 0
            without a bound.

        Returns
        -------
        float
            Seconds; infinite if other gateways are chosen for this target.
        """
        if not rate_per_s:
            return 0.0
        usable_per_s = rate_per_s * _COLD_PART
        wanted = max(1, int(usable_per_s * _TURN_S))
        if wanted >= self.count:
            return self.count / usable_per_s
        if not self._is_chosen(target_id, wanted):
            return math.inf
        return wanted / usable_per_s

    def _is_chosen(self, target_id: str, wanted: int) -> bool:
        key = (target_id, wanted)
        found = self._chosen.get(key)
        if found is None:
            first = heapq.nsmallest(
                wanted,
                self._names,
                key=lambda name: xxhash.xxh3_64_intdigest(
                    f'{target_id}/{name}'.encode()
                ),
            )
            found = self._own_name in first
            self._chosen[key] = found
        return found
