"""Bytes and times of a gateway's requests, by leg and by part.

Tells a full link from a slow target and from a wait for a token of the rate:
an instance is short of a different resource in each case.
"""

import logging
import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Literal

from ..core.clock import monotonic_s
from ..core.metrics import GATEWAY_BYTES, REQUEST_PART_S, TOKEN_WAIT_S
from .messages import AccountKind

_LOG = logging.getLogger(__name__)
_LOG_INTERVAL_S = 2.0
_LOAD_INTERVAL_S = 0.5
_LOAD_TIME_CONSTANT_S = 1.5
_BYTES_PER_MBIT = 125_000

Leg = Literal[
    'from_callers',
    'unread_from_callers',
    'to_callers',
    'from_targets',
    'to_targets',
]
Part = Literal['rate', 'connect', 'target']


@dataclass(slots=True)
class _TokenWaits:
    """Waits for a token at accounts of one kind."""

    results: Counter[str] = field(default_factory=Counter)
    total_s: float = 0.0
    longest_s: float = 0.0

    def add(self, result: str, duration_s: float) -> None:
        """Count one request."""
        self.results[result] += 1
        self.total_s += duration_s
        self.longest_s = max(self.longest_s, duration_s)

    def fields(self) -> dict[str, object]:
        """Return the counts for a log line."""
        mean_s = self.total_s / self.results.total()
        return {
            'results': dict(self.results),
            'mean_ms': round(mean_s * 1000, 1),
            'longest_ms': round(self.longest_s * 1000, 1),
        }


@dataclass(slots=True)
class TrafficMeter:
    """Counts bytes by leg, times by part, waits for tokens, and responses.

    Not thread-safe; used on the event loop only.
    """

    total_bytes: defaultdict[str, int] = field(
        default_factory=lambda: defaultdict(int)
    )
    _load_bytes: dict[str, int] = field(default_factory=dict)
    _load_s: float = field(default_factory=monotonic_s)
    _link_load: float = 0.0
    _part_s: defaultdict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    _part_counts: defaultdict[str, int] = field(
        default_factory=lambda: defaultdict(int)
    )
    _statuses: defaultdict[int, int] = field(
        default_factory=lambda: defaultdict(int)
    )
    _tokens: defaultdict[AccountKind, _TokenWaits] = field(
        default_factory=lambda: defaultdict(_TokenWaits)
    )
    _logged_bytes: dict[str, int] = field(default_factory=dict)
    _logged_s: float = field(default_factory=monotonic_s)

    def add_bytes(self, leg: Leg, count: int) -> None:
        """Count bytes that were read, or handed to the kernel, on a leg."""
        self.total_bytes[leg] += count

    def add_time(self, part: Part, duration_s: float) -> None:
        """Count the time that a request spent in one part."""
        self._part_s[part] += duration_s
        self._part_counts[part] += 1
        REQUEST_PART_S.labels(part).observe(duration_s)

    def add_token_wait(
        self, kind: AccountKind, result: str, duration_s: float
    ) -> None:
        """Count the wait of a request of a limited account.

        Parameters
        ----------
        kind : str
            Kind of the account.
        result : str
            ``ok`` or the reason of the refusal.
        duration_s : float
            Time from the request for a token to the result.
        """
        self._tokens[kind].add(result, duration_s)
        TOKEN_WAIT_S.labels(kind, result).observe(duration_s)

    def add_response(self, status: int) -> None:
        """Count a response to a caller."""
        self._statuses[status] += 1

    def link_load(self, link_mbit_per_s: float) -> float:
        """Return the fraction of the link used, in the busier direction.

        Parameters
        ----------
        link_mbit_per_s : float
            Rate of the link in each direction.
        """
        now_s = monotonic_s()
        elapsed_s = now_s - self._load_s
        if elapsed_s < _LOAD_INTERVAL_S:
            return self._link_load
        sent = 0
        received = 0
        for leg, count in self.total_bytes.items():
            change = count - self._load_bytes.get(leg, 0)
            GATEWAY_BYTES.labels(leg).inc(change)
            if leg.startswith('to_'):
                sent += change
            else:
                received += change
        bytes_per_s = link_mbit_per_s * _BYTES_PER_MBIT
        load = max(sent, received) / elapsed_s / bytes_per_s
        weight = 1 - math.exp(-elapsed_s / _LOAD_TIME_CONSTANT_S)
        self._link_load += (load - self._link_load) * weight
        self._load_s = now_s
        self._load_bytes = dict(self.total_bytes)
        return self._link_load

    @property
    def is_log_due(self) -> bool:
        """Whether the last line is two seconds old."""
        return monotonic_s() - self._logged_s >= _LOG_INTERVAL_S

    def log(self, **fields: object) -> None:
        """Write the counts since the last line."""
        now_s = monotonic_s()
        elapsed_s = now_s - self._logged_s
        if self._statuses or self._part_counts:
            self._write(elapsed_s, fields)
        self._logged_s = now_s
        self._logged_bytes = dict(self.total_bytes)
        self._part_s.clear()
        self._part_counts.clear()
        self._tokens.clear()
        self._statuses.clear()

    def _write(self, elapsed_s: float, fields: dict[str, object]) -> None:
        bytes_per_s = {
            leg: int((count - self._logged_bytes.get(leg, 0)) / elapsed_s)
            for leg, count in self.total_bytes.items()
        }
        mean_ms = {
            part: int(total_s * 1000 / self._part_counts[part])
            for part, total_s in self._part_s.items()
        }
        _LOG.info(
            'traffic',
            extra={
                'interval_ms': int(elapsed_s * 1000),
                'responses': dict(self._statuses),
                'bytes_per_s': bytes_per_s,
                'mean_ms': mean_ms,
                'counts': dict(self._part_counts),
                'tokens': {
                    kind: waits.fields() for kind, waits in self._tokens.items()
                },
                **fields,
            },
        )
