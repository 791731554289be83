"""Records received from other instances, by origin."""

import threading
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from ..core.clock import Clock
from ..wire.generated.exchange.ttypes import Push, SoftRecord

# A renewal says that the target has renewed within its lease of 3 s and that
# its load is about the one published; the push may take 1 s.
_RENEWED_AGE_MS = 4000


@dataclass(slots=True)
class _Received:
    record: SoftRecord
    incarnation: int
    start_id: int
    received_s: float

    def left_s(self, now_s: float) -> float:
        return self.received_s + self.record.ttl_ms / 1000 - now_s


class Received:
    """The newest record of each origin and name.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without records."""
        self._clock = clock
        self._lock = threading.Lock()
        self._records: dict[tuple[str, str, str], _Received] = {}

    def take(self, update: Push) -> list[SoftRecord]:
        """Keep the records of a push that are newer than those known.

        Returns
        -------
        list of SoftRecord
            The newer ones; one that its origin has withdrawn is only kept
            against older ones.
        """
        with self._lock:
            return [
                record
                for record in update.records
                if self._is_taken(update, record) and record.payload
            ]

    def renew(self, update: Push) -> list[SoftRecord]:
        """Start the leases of the pushing process's records again.

        Returns
        -------
        list of SoftRecord
            The renewed records.
        """
        now_s = self._clock.now_s()
        renewed = []
        with self._lock:
            for (origin, _kind, _name), received in self._records.items():
                is_same = received.start_id == update.start_id
                if origin != update.origin or not is_same:
                    continue
                if received.record.is_renewed and received.received_s < now_s:
                    received.received_s = now_s
                    received.record.age_ms = _RENEWED_AGE_MS
                    renewed.append(received.record)
        return renewed

    def pushes(self) -> Iterator[Push]:
        """Yield all valid records, one push for each origin's process."""
        now_s = self._clock.now_s()
        grouped: defaultdict[tuple[str, int, int], list[SoftRecord]]
        grouped = defaultdict(list)
        with self._lock:
            self._drop_expired(now_s)
            for (origin, _kind, _name), received in self._records.items():
                record = received.record
                age_s = now_s - received.received_s
                group = (origin, received.incarnation, received.start_id)
                grouped[group].append(
                    SoftRecord(
                        kind=record.kind,
                        name=record.name,
                        version=record.version,
                        payload=record.payload,
                        ttl_ms=int(received.left_s(now_s) * 1000),
                        age_ms=record.age_ms + int(age_s * 1000),
                        is_renewed=record.is_renewed,
                    )
                )
        for (origin, incarnation, start_id), records in grouped.items():
            yield Push(origin, incarnation, records, start_id)

    def _is_taken(self, update: Push, record: SoftRecord) -> bool:
        key = (update.origin, record.kind, record.name)
        known = self._records.get(key)
        order = (update.incarnation, record.version)
        if known is not None:
            if order <= (known.incarnation, known.record.version):
                return False
        self._records[key] = _Received(
            record, update.incarnation, update.start_id, self._clock.now_s()
        )
        return True

    def _drop_expired(self, now_s: float) -> None:
        self._records = {
            key: received
            for key, received in self._records.items()
            if received.left_s(now_s) > 0
        }
