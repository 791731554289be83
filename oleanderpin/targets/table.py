"""Table of the targets that have announced themselves to any instance.

Leaves and withdrawals are kept as tombstones, so that delayed announcements
and records do not restore a target that has left or stopped.
"""

import threading
from dataclasses import replace
from typing import Any

from ..core.background import background_thread
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peers
from ..wire.generated.exchange.ttypes import SoftRecord
from .announcement import Announcement, Departure, Incarnation, Target
from .exchange import Exchange
from .rows import ANY_GENERATION, Order, Row

# Default of ``[targets] lease_s`` in the settings.
TARGET_LEASE_S = 3.0
# A leave stays in force for this long after the target's last announcement,
# unless the target starts again.
LEAVE_LEASE_S = 60.0
_EXPIRE_INTERVAL_S = 0.5
_RECORD_KIND = 'target'

_Key = tuple[str, str]

__all__ = (
    'Announcement',
    'Departure',
    'Incarnation',
    'Target',
    'TargetTable',
)


@plugins.register('target-table')
class TargetTable(Plugin):
    """Targets by service, each under a lease.

    The instance that a target announces itself to owns its record. It notifies
    the others of noticeable changes only and withdraws the record when the
    target stops renewing.
    """

    def __init__(self, kernel: Any) -> None:
        """Start with an empty table."""
        super().__init__(kernel)
        self._lock = threading.RLock()
        self._rows: dict[_Key, Row] = {}
        self._own_name = kernel.settings.instance.name
        self._lease_s = kernel.settings.targets.lease_s
        self.version = 0
        self._peers = kernel.plugin(Peers)
        self._exchange = kernel.plugin(Exchange)
        self._exchange.on_record(_RECORD_KIND, self._merge)

    def start(self) -> None:
        """Start the thread that expires leases."""
        background_thread(
            self.kernel, self._expire_loop, name='target-leases'
        ).start()

    def announce(self, announcement: Announcement) -> Target:
        """Record or renew a target that announced itself to this instance.

        Parameters
        ----------
        announcement : Announcement
            Announcement sent by the target.

        Returns
        -------
        Target
            The target as recorded; ``leaving`` while a leave is in force.
        """
        now_s = self.kernel.clock.now_s()
        fields = announcement.model_dump(
            exclude={'generation', 'sequence', 'cold_s'}
        )
        target = Target(
            **fields,
            load_seen_s=now_s,
            sequence=announcement.sequence or 0,
            cold_until_s=now_s + announcement.cold_s,
        )
        order = Order(generation=announcement.generation or 0)
        with self._lock:
            row = self._current(target.service, target.target_id)
            if row is not None and row.order.generation == ANY_GENERATION:
                row.order = row.order._replace(generation=order.generation)
            if row is None or order.generation > row.order.generation:
                self._store_own(target, order.next_version(self._own_name))
                return target
            if order.generation < row.order.generation:
                return row.target
            if _is_outdated(announcement, row):
                return row.target
            if row.order.leaving:
                return self._announce_after_leave(row, target)
            return self._renew(row, target)

    def leave(self, departure: Departure) -> int | None:
        """Stop new requests to a target.

        Returns
        -------
        int or None
            Version of the published record; None if the target has started
            again since the departure.
        """
        with self._lock:
            row = self._current(departure.service, departure.target_id)
            generation = departure.generation
            if row is None or (generation or 0) > row.order.generation:
                target = row.target if row else _placeholder_target(departure)
                order = Order(
                    ANY_GENERATION if generation is None else generation
                )
            elif generation is not None and generation < row.order.generation:
                return None
            else:
                target, order = row.target, row.order
            order = order.next_version(self._own_name)._replace(leaving=True)
            return self._store_own(replace(target, leaving=True), order)

    def targets(self, service: str) -> tuple[Target, ...]:
        """Return the live targets of a service that accept new requests."""
        now_s = self.kernel.clock.now_s()
        with self._lock:
            return tuple(
                row.target
                for row in self._rows.values()
                if row.target.service == service
                and row.expires_s > now_s
                and row.accepts_requests
            )

    def every_incarnation(self) -> tuple[tuple[Target, Incarnation], ...]:
        """Return the live targets of all services that accept new requests."""
        now_s = self.kernel.clock.now_s()
        with self._lock:
            return tuple(
                (row.target, row.incarnation)
                for row in self._rows.values()
                if row.expires_s > now_s and row.accepts_requests
            )

    def service_of(self, target_id: str) -> str:
        """Return the service of a target; empty if the target is unknown."""
        with self._lock:
            for service, known_id in self._rows:
                if known_id == target_id:
                    return service
        return ''

    def expire(self) -> None:
        """Withdraw own targets that stopped renewing; remove expired rows."""
        now_s = self.kernel.clock.now_s()
        with self._lock:
            expired = [
                (key, row)
                for key, row in self._rows.items()
                if row.expires_s <= now_s
            ]
            for key, row in expired:
                self._rows.pop(key)
                self.version += 1
                if row.is_own and row.accepts_requests:
                    order = row.order.next_version(
                        self._own_name, is_live=False
                    )
                    self._store_own(row.target, order)

    def _current(self, service: str, target_id: str) -> Row | None:
        row = self._rows.get((service, target_id))
        if row is None or row.expires_s <= self.kernel.clock.now_s():
            return None
        return row

    def _renew(self, row: Row, target: Target) -> Target:
        now_s = self.kernel.clock.now_s()
        last_announced_s = row.announced_s
        row.announced_s = now_s
        if row.order.is_live and not row.differs_noticeably(target):
            if row.is_own:
                row.expires_s = now_s + self._lease_s
                row.target = replace(row.target, sequence=target.sequence)
                return row.target
            # This instance takes over the record if its owner is not alive or
            # if the target keeps announcing itself here.
            is_repeated = now_s - last_announced_s < self._lease_s
            if not is_repeated and self._is_alive(row.order.origin):
                return row.target
        self._store_own(target, row.order.next_version(self._own_name))
        return target

    def _announce_after_leave(self, row: Row, target: Target) -> Target:
        if row.target.address not in {target.address, ''}:
            # Without a generation, a new address indicates a new start.
            order = Order(row.order.generation, row.order.start + 1)
            self._store_own(target, order.next_version(self._own_name))
            return target
        remaining_s = row.expires_s - self.kernel.clock.now_s()
        if remaining_s < LEAVE_LEASE_S / 2:
            # Renew the leave, so that a target that keeps announcing itself does
            # not return when the leave expires.
            order = row.order.next_version(self._own_name)
            self._store_own(replace(target, leaving=True), order)
        return row.target

    def _store_own(self, target: Target, order: Order) -> int:
        now_s = self.kernel.clock.now_s()
        is_tombstone = order.leaving or not order.is_live
        lease_s = LEAVE_LEASE_S if is_tombstone else self._lease_s
        row = Row(target, order, now_s + lease_s, now_s, now_s, is_own=True)
        self._store(row)
        return self._exchange.publish(
            _RECORD_KIND,
            row.name,
            row.encode(),
            ttl_s=lease_s if is_tombstone else None,
            is_urgent=is_tombstone,
        )

    def _merge(self, record: SoftRecord) -> None:
        now_s = self.kernel.clock.now_s()
        row = Row.decode(
            record.payload, load_seen_s=now_s - record.age_ms / 1000
        )
        row.expires_s = now_s + record.ttl_ms / 1000
        with self._lock:
            known = self._current(row.target.service, row.target.target_id)
            if known is None:
                self._store(row)
                return
            _resolve_generation(row, known)
            if row.order < known.order or (
                known.is_own and row.order == known.order
            ):
                return
            if row.order == known.order:
                # A renewal carries no newer information about the start.
                cold_until_s = known.target.cold_until_s
                row.target = replace(row.target, cold_until_s=cold_until_s)
            self._store(row)
            if known.is_own:
                self._exchange.withdraw(_RECORD_KIND, known.name)
            self._reclaim(row, known)

    def _reclaim(self, row: Row, known: Row) -> None:
        """Take over a withdrawn target that still announces itself here."""
        row.announced_s = known.announced_s
        now_s = self.kernel.clock.now_s()
        is_announced = now_s - known.announced_s < self._lease_s
        is_withdrawn = not row.order.is_live and not row.order.leaving
        if is_announced and is_withdrawn:
            order = row.order.next_version(self._own_name)
            self._store_own(row.target, order)

    def _store(self, row: Row) -> None:
        key = (row.target.service, row.target.target_id)
        known = self._current(*key)
        # A returning target counts as first seen now, since it starts cold.
        row.first_seen_s = self.kernel.clock.now_s()
        if known is not None and known.accepts_requests:
            row.first_seen_s = known.first_seen_s
        self._rows[key] = row
        self.version += 1

    def _is_alive(self, name: str) -> bool:
        return any(peer.name == name for peer in self._peers.alive())

    def _expire_loop(self) -> None:
        while self.kernel.wait_while_running(_EXPIRE_INTERVAL_S):
            self.expire()


def _resolve_generation(row: Row, known: Row) -> None:
    """Apply a leave without generation to the run that the other row names."""
    if row.order.generation == ANY_GENERATION:
        row.order = row.order._replace(
            generation=known.order.generation, start=known.order.start
        )
        row.target = replace(known.target, leaving=True)
    elif known.order.generation == ANY_GENERATION:
        known.order = known.order._replace(
            generation=row.order.generation, start=row.order.start
        )


def _is_outdated(announcement: Announcement, row: Row) -> bool:
    """Return whether a later announcement of the same run arrived first."""
    sequence = announcement.sequence
    return sequence is not None and sequence < row.target.sequence


def _placeholder_target(departure: Departure) -> Target:
    return Target(
        service=departure.service,
        target_id=departure.target_id,
        address='',
        region='',
        failure_domain='',
        version='',
        slots=1,
        connections=1,
        load=0,
    )
