"""Records received from other instances, by origin, kind and name."""

import threading
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from ..core.clock import Clock
from ..wire.generated.exchange.ttypes import Push, SoftRecord

# A renewal implies that the target has renewed within its lease of 3 s and that
# its load is close to the published one. The push may take another 1 s.
_RENEWED_AGE_MS = 4000
_MAX_AGE_MS = 2**31 - 1


@dataclass(slots=True)
class _ReceivedRecord:
    record: SoftRecord
    incarnation: int
    start_id: int
    received_s: float
    published_s: float

    def remaining_s(self, now_s: float) -> float:
        return self.received_s + self.record.ttl_ms / 1000 - now_s


class ReceivedRecords:
    """The newest record of each origin, kind and name.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without records."""
        self._clock = clock
        self._lock = threading.Lock()
        self._records: dict[tuple[str, str, str], _ReceivedRecord] = {}

    def accept(self, update: Push) -> list[SoftRecord]:
        """Keep the records of a push that are newer than those known.

        Returns
        -------
        list of SoftRecord
            The newer ones. A record that its origin has withdrawn is stored,
            so that older ones are ignored, but not returned.
        """
        with self._lock:
            return [
                record
                for record in update.records
                if self._store_if_newer(update, record) and record.payload
            ]

    def renew(self, update: Push) -> list[SoftRecord]:
        """Restart the leases of the records of the pushing process.

        Returns
        -------
        list of SoftRecord
            The renewed records.
        """
        now_s = self._clock.now_s()
        renewed = []
        with self._lock:
            for (origin, _kind, _name), received in self._records.items():
                is_same_process = received.start_id == update.start_id
                if origin != update.origin or not is_same_process:
                    continue
                if received.record.is_renewed and received.received_s < now_s:
                    received.received_s = now_s
                    received.record.age_ms = _RENEWED_AGE_MS
                    renewed.append(received.record)
        return renewed

    def pushes(self) -> Iterator[Push]:
        """Yield all unexpired records, one push for each origin process."""
        now_s = self._clock.now_s()
        grouped: defaultdict[tuple[str, int, int], list[SoftRecord]]
        grouped = defaultdict(list)
        with self._lock:
            self._drop_expired(now_s)
            for (origin, _kind, _name), received in self._records.items():
                record = received.record
                # Not the age that a renewal gives the load: the end of a cold
                # start is counted from the publication.
                age_s = now_s - received.published_s
                group = (origin, received.incarnation, received.start_id)
                grouped[group].append(
                    SoftRecord(
                        kind=record.kind,
                        name=record.name,
                        version=record.version,
                        payload=record.payload,
                        ttl_ms=int(received.remaining_s(now_s) * 1000),
                        age_ms=min(int(age_s * 1000), _MAX_AGE_MS),
                        is_renewed=record.is_renewed,
                    )
                )
        for (origin, incarnation, start_id), records in grouped.items():
            yield Push(origin, incarnation, records, start_id)

    def _store_if_newer(self, update: Push, record: SoftRecord) -> bool:
        key = (update.origin, record.kind, record.name)
        known = self._records.get(key)
        order = (update.incarnation, record.version)
        if known is not None:
            if order <= (known.incarnation, known.record.version):
                return False
        now_s = self._clock.now_s()
        self._records[key] = _ReceivedRecord(
            record,
            update.incarnation,
            update.start_id,
            received_s=now_s,
            published_s=now_s - record.age_ms / 1000,
        )
        return True

    def _drop_expired(self, now_s: float) -> None:
        self._records = {
            key: received
            for key, received in self._records.items()
            if received.remaining_s(now_s) > 0
        }
