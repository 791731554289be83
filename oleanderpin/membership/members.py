"""What one instance knows about all others: states, merging, dissemination."""

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
# shows that a small multiple of the logarithm reaches all with near certainty.
_RETRANSMIT_FACTOR = 3
# Bounds the updates in one datagram, so that it fits into one packet.
_MAX_UPDATE_BYTES = 900
# A record of a dead instance keeps late updates from reviving it, and it is
# probed now and then in case a partition has healed.
_TOMBSTONE_S = 3600.0


class Status(IntEnum):
    """State of a member; in a tie of incarnations the higher one wins."""

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
class _Rumour:
    encoded: bytes
    sends_left: int


class MemberTable:
    """Merges updates by incarnation and status; thread-safe.

    Parameters
    ----------
    own : PeerInfo
        This instance; its incarnation is raised to refute suspicion.
    clock : Clock
        Monotonic clock.
    suspect_timeout_s : float
        Time that a suspected member has to refute.
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
        self._rumours: dict[str, _Rumour] = {}
        self._is_leaving = False
        # Changes with the table, so that what is derived from it can be kept.
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
        """Tell the others about this instance again.

        Parameters
        ----------
        draining : bool, optional
            New value of the flag; a change takes a new incarnation.
        """
        with self._lock:
            if draining is not None and draining != self.own.draining:
                self.own.draining = draining
                self.own.incarnation += 1
            self._spread(self.own_update())

    def leave(self) -> None:
        """Stop refuting, so that the leave of this instance is not contradicted."""
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
        """Return what is believed about ``name``, without its addresses."""
        member = self.find(name)
        if member is None:
            return None
        return MemberUpdate(
            name=name,
            incarnation=member.incarnation,
            status=int(member.status),
        )

    def merge(self, update: MemberUpdate, *, spread: bool = True) -> bool:
        """Take over an update if it is newer than what is known.

        Parameters
        ----------
        update : MemberUpdate
            The update.
        spread : bool
            Whether to pass it on; false for what the others know already.

        Returns
        -------
        bool
            Whether something has changed.
        """
        with self._lock:
            if update.name == self.own.name:
                return self._refute(update)
            known = self._members.get(update.name)
            if known is None:
                return self._add(update, spread=spread)
            if _order(update) <= (known.incarnation, known.status):
                return False
            if update.info is not None:
                known.info = update.info
            status = Status(update.status)
            self._change(known, status, update.incarnation, spread=spread)
            return True

    def suspect(self, name: str) -> None:
        """Suspect a member that answered neither directly nor indirectly."""
        with self._lock:
            member = self._members.get(name)
            if member is not None and member.status is Status.alive:
                EVENTS.labels('membership', 'suspected').inc()
                self._change(member, Status.suspect, member.incarnation)

    def expire(self) -> None:
        """Declare members dead whose suspicion was not refuted in time."""
        with self._lock:
            for member in list(self._members.values()):
                age_s = self._clock.now_s() - member.changed_s
                if member.status is Status.suspect:
                    self._expire_suspicion(member, age_s)
                elif not member.is_running and age_s > _TOMBSTONE_S:
                    self._members.pop(member.info.name)

    def piggyback(self) -> list[bytes]:
        """Return encoded updates to send along, least sent ones first."""
        chosen = []
        budget_bytes = _MAX_UPDATE_BYTES
        with self._lock:
            rumours = sorted(
                self._rumours.items(), key=lambda item: -item[1].sends_left
            )
            for name, rumour in rumours:
                if len(rumour.encoded) > budget_bytes:
                    break
                budget_bytes -= len(rumour.encoded)
                chosen.append(rumour.encoded)
                rumour.sends_left -= 1
                if rumour.sends_left <= 0:
                    self._rumours.pop(name)
        return chosen

    def _expire_suspicion(self, member: Member, age_s: float) -> None:
        if age_s >= self._suspect_timeout_s:
            EVENTS.labels('membership', 'declared_dead').inc()
            self._change(member, Status.dead, member.incarnation)

    def _add(self, update: MemberUpdate, *, spread: bool) -> bool:
        if update.info is None:
            return False
        for other in list(self._members.values()):
            # A new name at the same address replaces the process there.
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
        self._change(member, member.status, member.incarnation, spread=spread)
        return True

    def _change(
        self,
        member: Member,
        status: Status,
        incarnation: int,
        *,
        spread: bool = True,
    ) -> None:
        member.status = status
        member.incarnation = incarnation
        member.info.incarnation = incarnation
        member.changed_s = self._clock.now_s()
        if spread:
            self._spread(_as_update(member))
        else:
            self.version += 1
            # An older rumour about this member would be passed on otherwise.
            self._rumours.pop(member.info.name, None)

    def _refute(self, update: MemberUpdate) -> bool:
        order = _order(update)
        if self._is_leaving or order <= (self.own.incarnation, Status.alive):
            return False
        self.own.incarnation = update.incarnation + 1
        EVENTS.labels('membership', 'refuted').inc()
        self._spread(self.own_update())
        return True

    def _spread(self, update: MemberUpdate) -> None:
        self.version += 1
        count = len(self._members) + 2
        sends = _RETRANSMIT_FACTOR * math.ceil(math.log2(count))
        self._rumours[update.name] = _Rumour(encode(update), sends)


def encode(update: MemberUpdate) -> bytes:
    """Return an update in the compact protocol."""
    encoded: bytes = serialize(update, PROTOCOL)
    return encoded


def decode(encoded: bytes) -> MemberUpdate:
    """Read an update in the compact protocol."""
    return deserialize(MemberUpdate(), encoded, protocol_factory=PROTOCOL)


def as_alive(info: PeerInfo) -> MemberUpdate:
    """Return the update that reports an instance as alive."""
    return MemberUpdate(
        name=info.name,
        incarnation=info.incarnation,
        status=int(Status.alive),
        info=info,
    )


def _order(update: MemberUpdate) -> tuple[int, int]:
    return (update.incarnation, update.status)


def _as_update(member: Member) -> MemberUpdate:
    return MemberUpdate(
        name=member.info.name,
        incarnation=member.incarnation,
        status=int(member.status),
        info=member.info if member.status is Status.alive else None,
    )
