"""Rows of the target table and the order of their records."""

import json
import math
import time
from dataclasses import asdict, dataclass, replace
from typing import NamedTuple

from .announcement import Incarnation, Target

# Generation of a leave without generation that was sent to an instance that
# does not know the target. It ends whichever run the receivers know.
ANY_GENERATION = -1
_NOTICEABLE_LOAD_CHANGE_FRACTION = 0.2
# Announcements are delayed by less than this on their way.
_NOTICEABLE_COLD_CHANGE_S = 0.5


class Order(NamedTuple):
    """Order of two records of a target; the higher one is kept.

    ``start`` counts the starts of a target that sends no generation. Within
    one start a leave is final, regardless of later announcements.
    """

    generation: int = 0
    start: int = 0
    leaving: bool = False
    version: int = 0
    is_live: bool = True
    origin: str = ''

    def next_version(self, origin: str, *, is_live: bool = True) -> 'Order':
        """Return the order of the next record of the same start.

        The version is at least the wall-clock time in milliseconds, for an
        instance that does not know the last version, such as one that has
        just started. Otherwise it continues from the last version.
        """
        wall_clock_ms = time.time_ns() // 1_000_000
        return self._replace(
            version=max(self.version + 1, wall_clock_ms),
            is_live=is_live,
            origin=origin,
        )


@dataclass(slots=True)
class Row:
    """A target with its lease.

    ``announced_s`` is when the target last announced itself to this instance,
    on the monotonic clock. ``is_own`` is set if this process publishes the row.
    """

    target: Target
    order: Order
    expires_s: float
    first_seen_s: float
    announced_s: float = float('-inf')
    is_own: bool = False

    @property
    def accepts_requests(self) -> bool:
        """Whether the target is neither leaving nor withdrawn."""
        return self.order.is_live and not self.order.leaving

    @property
    def name(self) -> str:
        """Name of the row's record in the exchange."""
        return f'{self.target.service}/{self.target.target_id}'

    @property
    def incarnation(self) -> Incarnation:
        """Run of the target that the row describes."""
        return Incarnation(
            self.target.target_id, self.target.address, self.order.generation
        )

    def encode(self) -> bytes:
        """Return the row as JSON."""
        fields = asdict(self.target)
        seen_s = fields.pop('load_seen_s')
        cold_s = max(0.0, fields.pop('cold_until_s') - seen_s)
        fields['cold_s'] = cold_s if math.isfinite(cold_s) else 0.0
        return json.dumps(
            {'target': fields, 'order': self.order}, separators=(',', ':')
        ).encode()

    @classmethod
    def decode(cls, payload: bytes, *, load_seen_s: float) -> 'Row':
        """Read a row from JSON.

        Parameters
        ----------
        payload : bytes
            JSON from `encode`.
        load_seen_s : float
            Monotonic time at which the load was reported, in seconds.
        """
        document = json.loads(payload)
        fields = document['target']
        cold_until_s = load_seen_s + fields.pop('cold_s')
        target = Target(
            **fields, load_seen_s=load_seen_s, cold_until_s=cold_until_s
        )
        return cls(target, Order(*document['order']), 0.0, 0.0)

    def differs_noticeably(self, target: Target) -> bool:
        """Return whether ``target`` differs enough to notify other instances."""
        old_load, new_load = self.target.load, target.load
        limit = _NOTICEABLE_LOAD_CHANGE_FRACTION * max(old_load, new_load)
        if abs(new_load - old_load) > limit:
            return True
        known = self.target
        later_s = target.cold_until_s - known.cold_until_s
        if later_s > _NOTICEABLE_COLD_CHANGE_S and target.is_cold(
            target.load_seen_s
        ):
            return True
        same = replace(
            target,
            load=old_load,
            load_seen_s=known.load_seen_s,
            sequence=known.sequence,
            cold_until_s=known.cold_until_s,
        )
        return same != known
