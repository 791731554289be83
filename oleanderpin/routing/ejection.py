"""Outlier ejection of failing targets, bounded per failure domain."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from ..targets.table import Target
from .outcome import AttemptOutcome

_CONSECUTIVE_FAILURES = 3
_BASE_EJECTION_S = 2.0
_MAX_EJECTION_S = 60.0
_MAX_DOUBLINGS = 10
_TARGETS_PER_EJECTION = 3
_REPEATED_FAILURE_RESULTS = frozenset(('target_error', 'timeout', 'reset'))


@dataclass(slots=True)
class _Record:
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_s: float = float('-inf')


class Ejection:
    """Tracks failing targets of one service.

    A target is unhealthy for 2 s after a failed connection or three other
    consecutive failures. The time doubles with each further ejection, up to
    60 s, and a success resets it. At most a third of the targets in a failure
    domain are ejected, and none when all of them are unhealthy.
    """

    def __init__(self) -> None:
        """Start without failures."""
        self._records: dict[str, _Record] = {}

    def record_outcome(
        self, address: str, outcome: AttemptOutcome, *, now_s: float
    ) -> bool:
        """Record the outcome of an attempt.

        Returns
        -------
        bool
            Whether the target has just become unhealthy.
        """
        if outcome.result == 'ok':
            self._records.pop(address, None)
            return False
        if outcome.result == 'shed':
            # Load shedding lowers the concurrency limit; it is not a failure.
            return False
        record = self._records.setdefault(address, _Record())
        record.consecutive_failures += 1
        limit = (
            _CONSECUTIVE_FAILURES
            if outcome.result in _REPEATED_FAILURE_RESULTS
            else 1
        )
        if (
            record.consecutive_failures < limit
            or now_s < record.ejected_until_s
        ):
            return False
        doublings = min(record.ejections, _MAX_DOUBLINGS)
        duration_s = min(_MAX_EJECTION_S, _BASE_EJECTION_S * 2**doublings)
        record.ejected_until_s = now_s + duration_s
        record.ejections += 1
        record.consecutive_failures = 0
        return True

    def ejected(
        self, targets: Iterable[Target], *, now_s: float
    ) -> frozenset[str]:
        """Return the addresses of the ejected targets.

        Parameters
        ----------
        targets : iterable of Target
            All live targets of the service.
        now_s : float
            Monotonic time.
        """
        if not self._records:
            return frozenset()
        domains: dict[str, list[str]] = defaultdict(list)
        for target in targets:
            domains[target.failure_domain].append(target.address)
        ejected: list[str] = []
        for addresses in domains.values():
            ejected.extend(self._worst(addresses, now_s=now_s))
        return frozenset(ejected)

    def remove_absent(self, addresses: Iterable[str]) -> None:
        """Remove the records of targets that are not in ``addresses``."""
        kept = set(addresses)
        for address in [each for each in self._records if each not in kept]:
            self._records.pop(address)

    def _worst(self, addresses: list[str], *, now_s: float) -> list[str]:
        unhealthy = [
            address
            for address in addresses
            if address in self._records
            and self._records[address].ejected_until_s > now_s
        ]
        if len(unhealthy) == len(addresses):
            return []
        unhealthy.sort(key=lambda each: (-self._records[each].ejections, each))
        return unhealthy[: len(addresses) // _TARGETS_PER_EJECTION]
