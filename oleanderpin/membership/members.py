"""Table of the members that an instance knows.

Updates about a member are merged by incarnation and status, as in SWIM, so that
a late update does not override a newer one. New updates are queued for
dissemination with the datagrams of the failure detector.
"""

import math
import threading
from dataclasses import dataclass
from enum import IntEnum

from thrift.protocol.TCompactProtocol import TCompactProtocolFactory
from thrift.TSerialization import deserialize, serialize

from ..core.clock import Clock
from ..core.metrics import EVENTS
from ..wire.generated.membership.ttypes import MemberUpdate, PeerInfo

PROTOCOL = TCompactProtocolFactory()
# Each update is sent this many times per doubling of the membership; SWIM
# shows that a small multiple of the logarithm reaches all members with near
# certainty.
_RETRANSMIT_FACTOR = 3
# Bounds the updates in a datagram, so that it fits into one packet.
_MAX_UPDATE_BYTES = 900
# Records of instances that are dead or have left are kept this long, so that
# late updates do not revive them. Dead ones are also probed now and then, in
# case a partition has healed.
_TOMBSTONE_S = 3600.0


class Status(IntEnum):
    """Status of a member; for equal incarnations, the higher value wins."""

    alive = 0
    suspect = 1
    dead = 2
    left = 3


@dataclass(slots=True)
class Member:
    """What is known about another instance."""

    info: PeerInfo
    incarnation: int
    status: Status
    changed_s: float

    @property
    def is_running(self) -> bool:
        """Whether the member is not known to be dead or to have left."""
        return self.status in {Status.alive, Status.suspect}


@dataclass(slots=True)
class _QueuedUpdate:
    """An update to disseminate."""

    encoded: bytes
    sends_left: int


class MemberTable:
    """Known members, merged from updates by incarnation and status.

    Thread-safe.

    Parameters
    ----------
    own : PeerInfo
        This instance; its incarnation is raised to refute suspicion.
    clock : Clock
        Monotonic clock.
    suspect_timeout_s : float
        Time that a suspected member has to refute the suspicion.
    """

    def __init__(
        self, own: PeerInfo, *, clock: Clock, suspect_timeout_s: float
    ) -> None:
        """Start with this instance alone."""
        self.own = own
        self._clock = clock
        self._suspect_timeout_s = suspect_timeout_s
        self._lock = threading.RLock()
        self._members: dict[str, Member] = {}
        self._queued_updates: dict[str, _QueuedUpdate] = {}
        self._is_leaving = False
        # Incremented on each change, so that derived data can be cached.
        self.version = 0
        self.announce_own()

    def members(self) -> list[Member]:
        """Return all known members except this instance."""
        with self._lock:
            return list(self._members.values())

    def find(self, name: str) -> Member | None:
        """Return the member called ``name``, if known."""
        with self._lock:
            return self._members.get(name)

    def announce_own(self, *, draining: bool | None = None) -> None:
        """Queue the update about this instance for dissemination.

        Parameters
        ----------
        draining : bool, optional
            New value of the flag; a change raises the incarnation.
        """
        with self._lock:
            if draining is not None and draining != self.own.draining:
                self.own.draining = draining
                self.own.incarnation += 1
            self._enqueue(self.own_update())

    def leave(self) -> None:
        """Stop refuting, so that peers accept that this instance leaves."""
        with self._lock:
            self._is_leaving = True

    def own_update(self, status: Status = Status.alive) -> MemberUpdate:
        """Return the update that describes this instance."""
        return MemberUpdate(
            name=self.own.name,
            incarnation=self.own.incarnation,
            status=int(status),
            info=self.own,
        )

    def updates(self) -> list[MemberUpdate]:
        """Return the whole table, this instance included."""
        with self._lock:
            return [
                self.own_update(),
                *(_as_update(member) for member in self._members.values()),
            ]

    def update_about(self, name: str) -> MemberUpdate | None:
        """Return the known status of ``name`` without its addresses."""
        member = self.find(name)
        if member is None:
            return None
        return MemberUpdate(
            name=name,
            incarnation=member.incarnation,
            status=int(member.status),
        )

    def merge(self, update: MemberUpdate, *, disseminate: bool = True) -> bool:
        """Apply an update if it is newer than the known status.

        Parameters
        ----------
        update : MemberUpdate
            Status, incarnation and possibly addresses of a member.
        disseminate : bool
            Whether to queue it for dissemination; false if other members know
            it already.

        Returns
        -------
        bool
            Whether the update was applied; for one about this instance, whether
            it was refuted.
        """
        with self._lock:
            if update.name == self.own.name:
                return self._refute(update)
            known = self._members.get(update.name)
            if known is None:
                return self._add(update, disseminate=disseminate)
            if _precedence(update) <= (known.incarnation, known.status):
                return False
            if update.info is not None:
                known.info = update.info
            status = Status(update.status)
            self._change(
                known, status, update.incarnation, disseminate=disseminate
            )
            return True

    def suspect(self, name: str) -> None:
        """Mark a member as suspect after direct and indirect probes failed."""
        with self._lock:
            member = self._members.get(name)
            if member is not None and member.status is Status.alive:
                EVENTS.labels('membership', 'suspected').inc()
                self._change(member, Status.suspect, member.incarnation)

    def postpone_expiry(self, stalled_s: float) -> None:
        """Leave out time in which this process could read no refutations."""
        with self._lock:
            for member in self._members.values():
                if member.status is Status.suspect:
                    member.changed_s += stalled_s

    def expire(self) -> None:
        """Declare members dead that did not refute a suspicion in time.

        Old records of members that are dead or have left are removed.
        """
        with self._lock:
            for member in list(self._members.values()):
                age_s = self._clock.now_s() - member.changed_s
                if member.status is Status.suspect:
                    self._expire_suspicion(member, age_s)
                elif not member.is_running and age_s > _TOMBSTONE_S:
                    self._members.pop(member.info.name)

    def piggyback(self) -> list[bytes]:
        """Return encoded updates for one datagram, least sent ones first."""
        chosen = []
        budget_bytes = _MAX_UPDATE_BYTES
        with self._lock:
            queued_updates = sorted(
                self._queued_updates.items(),
                key=lambda item: -item[1].sends_left,
            )
            for name, queued in queued_updates:
                if len(queued.encoded) > budget_bytes:
                    break
                budget_bytes -= len(queued.encoded)
                chosen.append(queued.encoded)
                queued.sends_left -= 1
                if queued.sends_left <= 0:
                    self._queued_updates.pop(name)
        return chosen

    def _expire_suspicion(self, member: Member, age_s: float) -> None:
        if age_s >= self._suspect_timeout_s:
            EVENTS.labels('membership', 'declared_dead').inc()
            self._change(member, Status.dead, member.incarnation)

    def _add(self, update: MemberUpdate, *, disseminate: bool) -> bool:
        if update.info is None:
            return False
        for other in list(self._members.values()):
            # A member with a new name at the same address replaces the old one.
            if other.info.peer_address != update.info.peer_address:
                continue
            if not other.is_running:
                continue
            if other.incarnation > update.incarnation:
                return False
            self._change(other, Status.left, other.incarnation)
        member = Member(
            update.info, update.incarnation, Status(update.status), 0
        )
        self._members[update.name] = member
        self._change(
            member, member.status, member.incarnation, disseminate=disseminate
        )
        return True

    def _change(
        self,
        member: Member,
        status: Status,
        incarnation: int,
        *,
        disseminate: bool = True,
    ) -> None:
        member.status = status
        member.incarnation = incarnation
        member.info.incarnation = incarnation
        member.changed_s = self._clock.now_s()
        if disseminate:
            self._enqueue(_as_update(member))
        else:
            self.version += 1
            # Else an older update about this member would still be sent.
            self._queued_updates.pop(member.info.name, None)

    def _refute(self, update: MemberUpdate) -> bool:
        received = _precedence(update)
        if self._is_leaving or received <= (self.own.incarnation, Status.alive):
            return False
        self.own.incarnation = update.incarnation + 1
        EVENTS.labels('membership', 'refuted').inc()
        self._enqueue(self.own_update())
        return True

    def _enqueue(self, update: MemberUpdate) -> None:
        self.version += 1
        count = len(self._members) + 2
        sends = _RETRANSMIT_FACTOR * math.ceil(math.log2(count))
        self._queued_updates[update.name] = _QueuedUpdate(encode(update), sends)


def encode(update: MemberUpdate) -> bytes:
    """Serialize an update in the compact protocol."""
    encoded: bytes = serialize(update, PROTOCOL)
    return encoded


def decode(encoded: bytes) -> MemberUpdate:
    """Deserialize an update in the compact protocol."""
    return deserialize(MemberUpdate(), encoded, protocol_factory=PROTOCOL)


def as_alive(info: PeerInfo) -> MemberUpdate:
    """Return the update that reports an instance as alive."""
    return MemberUpdate(
        name=info.name,
        incarnation=info.incarnation,
        status=int(Status.alive),
        info=info,
    )


def _precedence(update: MemberUpdate) -> tuple[int, int]:
    return (update.incarnation, update.status)


def _as_update(member: Member) -> MemberUpdate:
    return MemberUpdate(
        name=member.info.name,
        incarnation=member.incarnation,
        status=int(member.status),
        info=member.info if member.status is Status.alive else None,
    )
