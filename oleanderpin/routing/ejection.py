"""Ejection of targets that fail, bounded in each failure domain."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from ..targets.table import Target
from .outcome import AttemptOutcome

_CONSECUTIVE_FAILURES = 3
_FIRST_EJECTION_S = 2.0
_MAX_EJECTION_S = 60.0
_MAX_DOUBLINGS = 10
_DOMAIN_PARTS = 3
_FAILURES = frozenset(('target_error', 'timeout', 'reset'))


@dataclass(slots=True)
class _Record:
    consecutive: int = 0
    ejections: int = 0
    until_s: float = float('-inf')


class Ejection:
    """Failing targets of one service.

    A target looks bad for 2 s after a failed connection or three other
    failures in a row, twice as long each next time, up to 60 s. A success
    resets the time. At most a third of the targets in a failure domain are
    ejected, and none when all of them look bad.
    """

    def __init__(self) -> None:
        """Start without failures."""
        self._records: dict[str, _Record] = {}

    def note_outcome(
        self, address: str, outcome: AttemptOutcome, *, now_s: float
    ) -> bool:
        """Record what an attempt came to.

        Returns
        -------
        bool
            Whether the target looks bad from now on.
        """
        if outcome.result == 'ok':
            self._records.pop(address, None)
            return False
        if outcome.result == 'shed':
            # Overload lowers the concurrency limit; the target works.
            return False
        record = self._records.setdefault(address, _Record())
        record.consecutive += 1
        limit = _CONSECUTIVE_FAILURES if outcome.result in _FAILURES else 1
        if record.consecutive < limit or now_s < record.until_s:
            return False
        doublings = min(record.ejections, _MAX_DOUBLINGS)
        duration_s = min(_MAX_EJECTION_S, _FIRST_EJECTION_S * 2**doublings)
        record.until_s = now_s + duration_s
        record.ejections += 1
        record.consecutive = 0
        return True

    def ejected(
        self, targets: Iterable[Target], *, now_s: float
    ) -> frozenset[str]:
        """Return the addresses that get no work at present.

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

    def forget_absent(self, addresses: Iterable[str]) -> None:
        """Drop the records of targets that are no longer announced."""
        kept = set(addresses)
        for address in [each for each in self._records if each not in kept]:
            self._records.pop(address)

    def _worst(self, addresses: list[str], *, now_s: float) -> list[str]:
        bad = [
            address
            for address in addresses
            if address in self._records
            and self._records[address].until_s > now_s
        ]
        if len(bad) == len(addresses):
            return []
        bad.sort(key=lambda each: (-self._records[each].ejections, each))
        return bad[: len(addresses) // _DOMAIN_PARTS]
