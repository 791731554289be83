"""SWIM messages: probes over datagrams with piggybacked updates.

A member that does not answer a direct ping is probed through other members, so
that the failure of a single link does not make it suspect.
"""

import itertools
import random
import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from thrift.TSerialization import deserialize, serialize

from ..wire.datagrams import PeerDatagrams
from ..wire.generated.membership.ttypes import GossipMessage
from .members import PROTOCOL, Member, MemberTable, Status, decode, encode

_INDIRECT_PROBES = 3
# Beyond this number, the oldest relayed pings without an ack are dropped.
_MAX_RELAYED = 256
_MAX_SEQUENCE = 2**31 - 1


class MessageKind(IntEnum):
    """Type of a gossip message."""

    ping = 0
    ack = 1
    ping_req = 2
    notice = 3


@dataclass(frozen=True, slots=True)
class _RelayedPing:
    """A ping sent on behalf of another instance."""

    requester_address: str
    sequence: int


class Gossip:
    """Exchanges datagrams and merges the updates that they carry.

    Parameters
    ----------
    kernel : Kernel
        Kernel with the plug-in for datagrams.
    table : MemberTable
        Known members.
    """

    def __init__(self, kernel: Any, table: MemberTable) -> None:
        """Register the handler of received datagrams."""
        self._datagrams = kernel.plugin(PeerDatagrams)
        self._table = table
        self._sequences = itertools.count(random.randrange(2**30))
        self._lock = threading.Lock()
        self._pending: dict[int, threading.Event] = {}
        self._relayed: OrderedDict[int, _RelayedPing] = OrderedDict()
        self._own_revision: Callable[[], int] = int
        self._note_revision: Callable[[int, str], None] = _ignore_revision
        self._datagrams.on_datagram(self._handle_datagram)

    def share_revision(
        self, own: Callable[[], int], note: Callable[[int, str], None]
    ) -> None:
        """Exchange revisions of the control state with each datagram.

        Parameters
        ----------
        own : callable
            Returns the revision of the own copy.
        note : callable
            Told of the revision and the address of each peer that is heard
            from; revision 0 for peers that send none.
        """
        self._own_revision = own
        self._note_revision = note

    def ping(self, address: str, *, name: str = '') -> threading.Event:
        """Send a ping.

        Parameters
        ----------
        address : str
            Peer address to probe.
        name : str
            Its name if known; if it is suspect or dead here, the ping tells it
            so, and it can refute that.

        Returns
        -------
        Event
            Set when an ack arrives, directly or through another member. Pass it
            to `forget` after use.
        """
        sequence = self._next_sequence()
        answered = threading.Event()
        with self._lock:
            self._pending[sequence] = answered
        self._send(address, MessageKind.ping, sequence, member_name=name)
        return answered

    def ping_through(
        self, members: list[Member], address: str, answered: threading.Event
    ) -> None:
        """Ask other members to ping ``address``; set ``answered`` on an ack.

        Parameters
        ----------
        members : list of Member
            Members to choose from.
        address : str
            Address to probe.
        answered : Event
            Event that `ping` returned for the direct probe.
        """
        count = min(_INDIRECT_PROBES, len(members))
        for member in random.sample(members, count):
            sequence = self._next_sequence()
            with self._lock:
                self._pending[sequence] = answered
            self._send(
                member.info.peer_address,
                MessageKind.ping_req,
                sequence,
                subject_address=address,
            )

    def forget(self, answered: threading.Event) -> None:
        """Stop waiting for the acks that would set ``answered``."""
        with self._lock:
            self._pending = {
                sequence: event
                for sequence, event in self._pending.items()
                if event is not answered
            }

    def ask_revision(self, address: str) -> None:
        """Ask a peer for its revision; the answer is told like any other."""
        self._send(
            address, MessageKind.ping, self._next_sequence(), is_short=True
        )

    def notify(self, address: str, status: Status = Status.alive) -> None:
        """Send the status of this instance to one peer; no ack is expected."""
        own = encode(self._table.own_update(status))
        self._send(address, MessageKind.notice, 0, extra=own)

    def notify_suspicion(self, members: list[Member], name: str) -> None:
        """Send the suspicion of ``name`` to ``members`` directly."""
        for member in members:
            address = member.info.peer_address
            self._send(address, MessageKind.notice, 0, member_name=name)

    def _next_sequence(self) -> int:
        return next(self._sequences) % _MAX_SEQUENCE

    def _send(
        self,
        address: str,
        kind: MessageKind,
        sequence: int,
        *,
        member_name: str = '',
        subject_address: str | None = None,
        extra: bytes | None = None,
        wants_info: bool | None = None,
        is_short: bool = False,
    ) -> None:
        updates = [] if is_short else self._table.piggyback()
        if extra is not None:
            updates.append(extra)
        known_update = (
            self._table.update_about(member_name) if member_name else None
        )
        if known_update is not None and known_update.status != Status.alive:
            updates.append(encode(known_update))
        message = GossipMessage(
            kind=int(kind),
            sequence=sequence,
            sender=self._table.own.name,
            sender_incarnation=self._table.own.incarnation,
            subject_address=subject_address,
            updates=updates,
            wants_info=wants_info,
            revision=self._own_revision() or None,
        )
        self._datagrams.send(address, serialize(message, PROTOCOL))

    def _handle_datagram(self, address: str, payload: bytes) -> None:
        message = deserialize(
            GossipMessage(), payload, protocol_factory=PROTOCOL
        )
        for encoded in message.updates:
            self._table.merge(decode(encoded))
        self._note_revision(message.revision or 0, address)
        if message.kind == MessageKind.ping:
            self._handle_ping(address, message)
        elif message.kind == MessageKind.ack:
            self._handle_ack(message)
        elif message.kind == MessageKind.ping_req:
            self._handle_ping_request(address, message)
        if message.wants_info:
            self.notify(address)

    def _handle_ping(self, address: str, message: GossipMessage) -> None:
        known_update = self._table.update_about(message.sender)
        incarnation = known_update.incarnation if known_update else 0
        # After a restart with a clock that was set back, the incarnation of the
        # sender is too low. It learns its old one from the ack and takes a
        # higher one.
        is_ahead = incarnation > message.sender_incarnation
        self._send(
            address,
            MessageKind.ack,
            message.sequence,
            member_name=message.sender,
            extra=encode(known_update) if known_update and is_ahead else None,
            wants_info=incarnation < message.sender_incarnation or None,
        )

    def _handle_ack(self, message: GossipMessage) -> None:
        with self._lock:
            answered = self._pending.pop(message.sequence, None)
            relayed = self._relayed.pop(message.sequence, None)
        if answered is not None:
            answered.set()
        if relayed is not None:
            self._send(
                relayed.requester_address, MessageKind.ack, relayed.sequence
            )

    def _handle_ping_request(
        self, address: str, message: GossipMessage
    ) -> None:
        sequence = self._next_sequence()
        with self._lock:
            self._relayed[sequence] = _RelayedPing(address, message.sequence)
            if len(self._relayed) > _MAX_RELAYED:
                self._relayed.popitem(last=False)
        self._send(message.subject_address, MessageKind.ping, sequence)


def _ignore_revision(_revision: int, _address: str) -> None:
    """Stand for a receiver until there is one."""
