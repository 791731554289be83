"""Records that this instance publishes, numbered for delta pushes."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from ..core.clock import Clock
from ..wire.generated.exchange.ttypes import SoftRecord

_Key = tuple[str, str]


@dataclass(slots=True)
class _PublishedRecord:
    record: SoftRecord
    published_s: float
    ttl_s: float | None


class PublishedRecords:
    """The last record of each kind and name, numbered by version.

    A peer that has all records up to a version needs only later ones, so
    nothing is queued for a peer that does not respond.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    renewed_ttl_s : callable
        Returns the time to live, in seconds, of records that pushes renew.
    """

    def __init__(
        self, clock: Clock, *, renewed_ttl_s: Callable[[], float]
    ) -> None:
        """Start without records."""
        self._clock = clock
        self._renewed_ttl_s = renewed_ttl_s
        self.changed = threading.Condition()
        self.version = 0
        self.urgent_version = 0
        self._records: dict[_Key, _PublishedRecord] = {}

    def put(
        self,
        key: _Key,
        payload: bytes,
        *,
        ttl_s: float | None,
        is_urgent: bool,
    ) -> int:
        """Publish a record, replacing the last one with the same key.

        Returns
        -------
        int
            Version of the record.
        """
        kind, name = key
        with self.changed:
            self.version += 1
            record = SoftRecord(
                kind=kind,
                name=name,
                version=self.version,
                payload=payload,
                is_renewed=ttl_s is None,
            )
            now_s = self._clock.now_s()
            self._records[key] = _PublishedRecord(record, now_s, ttl_s)
            if is_urgent:
                self.urgent_version = self.version
            self.changed.notify_all()
            return self.version

    def after(self, version: int) -> list[SoftRecord]:
        """Return the unexpired records above ``version``."""
        now_s = self._clock.now_s()
        with self.changed:
            self._drop_expired(now_s)
            return [
                self._as_sent(published, now_s)
                for published in self._records.values()
                if published.record.version > version
            ]

    def _as_sent(self, published: _PublishedRecord, now_s: float) -> SoftRecord:
        record = published.record
        age_s = now_s - published.published_s
        ttl_s = self._renewed_ttl_s()
        if published.ttl_s is not None:
            ttl_s = published.ttl_s - age_s
        return SoftRecord(
            kind=record.kind,
            name=record.name,
            version=record.version,
            payload=record.payload,
            ttl_ms=int(ttl_s * 1000),
            age_ms=min(int(age_s * 1000), 2**31 - 1),
            is_renewed=record.is_renewed,
        )

    def _drop_expired(self, now_s: float) -> None:
        self._records = {
            key: published
            for key, published in self._records.items()
            if published.ttl_s is None
            or now_s - published.published_s < published.ttl_s
        }
