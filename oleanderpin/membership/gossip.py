"""SWIM: probes over datagrams with piggybacked updates."""

import itertools
import random
import threading
from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from thrift.TSerialization import deserialize, serialize

from ..wire.datagrams import PeerDatagrams
from ..wire.generated.membership.ttypes import GossipMessage
from .members import PROTOCOL, Member, MemberTable, Status, decode, encode

_INDIRECT_PROBES = 3
# Relayed probes that got no answer are forgotten beyond this number.
_MAX_RELAYED = 256
_MAX_SEQUENCE = 2**31 - 1


class Kind(IntEnum):
    """Kind of a datagram."""

    ping = 0
    ack = 1
    ping_req = 2
    notice = 3


@dataclass(frozen=True, slots=True)
class _Relayed:
    """A ping sent on behalf of another instance."""

    asker_address: str
    sequence: int


class Gossip:
    """Exchanges datagrams and merges what they carry.

    Parameters
    ----------
    kernel : Kernel
        Gives the datagram socket.
    table : MemberTable
        Known members.
    """

    def __init__(self, kernel: Any, table: MemberTable) -> None:
        """Receive the datagrams of this instance."""
        self._datagrams = kernel.plugin(PeerDatagrams)
        self._table = table
        self._sequences = itertools.count(random.randrange(2**30))
        self._lock = threading.Lock()
        self._waiting: dict[int, threading.Event] = {}
        self._relayed: OrderedDict[int, _Relayed] = OrderedDict()
        self._datagrams.on_datagram(self._receive)

    def ping(self, address: str, *, name: str = '') -> threading.Event:
        """Send a ping.

        Parameters
        ----------
        address : str
            Peer address to probe.
        name : str
            Its name if known; a suspicion is then told to the suspect.

        Returns
        -------
        Event
            Set when an answer has come, directly or through another member.
            Give it back through `forget`.
        """
        sequence = self._next_sequence()
        answered = threading.Event()
        with self._lock:
            self._waiting[sequence] = answered
        self._send(address, Kind.ping, sequence, about=name)
        return answered

    def ping_through(
        self, members: list[Member], address: str, answered: threading.Event
    ) -> None:
        """Ask other members to probe ``address``; set ``answered`` if it acks.

        Parameters
        ----------
        members : list of Member
            Members to choose from.
        address : str
            Address to probe.
        answered : Event
            Event of the direct probe.
        """
        count = min(_INDIRECT_PROBES, len(members))
        for member in random.sample(members, count):
            sequence = self._next_sequence()
            with self._lock:
                self._waiting[sequence] = answered
            self._send(
                member.info.peer_address,
                Kind.ping_req,
                sequence,
                subject_address=address,
            )

    def forget(self, answered: threading.Event) -> None:
        """Stop waiting for the answers that would set ``answered``."""
        with self._lock:
            self._waiting = {
                sequence: event
                for sequence, event in self._waiting.items()
                if event is not answered
            }

    def notify(self, address: str, status: Status = Status.alive) -> None:
        """Tell one peer about this instance without awaiting an answer."""
        own = encode(self._table.own_update(status))
        self._send(address, Kind.notice, 0, extra=own)

    def notify_suspicion(self, members: list[Member], name: str) -> None:
        """Tell ``members`` at once that ``name`` is suspected."""
        for member in members:
            address = member.info.peer_address
            self._send(address, Kind.notice, 0, about=name)

    def _next_sequence(self) -> int:
        return next(self._sequences) % _MAX_SEQUENCE

    def _send(
        self,
        address: str,
        kind: Kind,
        sequence: int,
        *,
        about: str = '',
        subject_address: str | None = None,
        extra: bytes | None = None,
        wants_info: bool | None = None,
    ) -> None:
        updates = self._table.piggyback()
        if extra is not None:
            updates.append(extra)
        belief = self._table.update_about(about) if about else None
        if belief is not None and belief.status != Status.alive:
            updates.append(encode(belief))
        message = GossipMessage(
            kind=int(kind),
            sequence=sequence,
            sender=self._table.own.name,
            sender_incarnation=self._table.own.incarnation,
            subject_address=subject_address,
            updates=updates,
            wants_info=wants_info,
        )
        self._datagrams.send(address, serialize(message, PROTOCOL))

    def _receive(self, address: str, payload: bytes) -> None:
        message = deserialize(
            GossipMessage(), payload, protocol_factory=PROTOCOL
        )
        for encoded in message.updates:
            self._table.merge(decode(encoded))
        if message.kind == Kind.ping:
            self._answer(address, message)
        elif message.kind == Kind.ack:
            self._take_ack(message)
        elif message.kind == Kind.ping_req:
            self._relay(address, message)
        if message.wants_info:
            self.notify(address)

    def _answer(self, address: str, message: GossipMessage) -> None:
        belief = self._table.update_about(message.sender)
        incarnation = belief.incarnation if belief else 0
        # After a restart with a clock that was set back, the sender learns
        # its old incarnation and takes a higher one.
        is_ahead = incarnation > message.sender_incarnation
        self._send(
            address,
            Kind.ack,
            message.sequence,
            about=message.sender,
            extra=encode(belief) if belief and is_ahead else None,
            wants_info=incarnation < message.sender_incarnation or None,
        )

    def _take_ack(self, message: GossipMessage) -> None:
        with self._lock:
            answered = self._waiting.pop(message.sequence, None)
            relayed = self._relayed.pop(message.sequence, None)
        if answered is not None:
            answered.set()
        if relayed is not None:
            self._send(relayed.asker_address, Kind.ack, relayed.sequence)

    def _relay(self, address: str, message: GossipMessage) -> None:
        sequence = self._next_sequence()
        with self._lock:
            self._relayed[sequence] = _Relayed(address, message.sequence)
            if len(self._relayed) > _MAX_RELAYED:
                self._relayed.popitem(last=False)
        self._send(message.subject_address, Kind.ping, sequence)
