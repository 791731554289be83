"""Exchange of soft state between instances.

Each instance pushes its own records to all live peers. A new instance also
pulls all records from one peer.
"""

import logging
import random
import threading
from collections.abc import Callable, Collection, Sequence
from typing import Any

from ..core.background import background_thread
from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..core.places import distance
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peer, Peers
from ..wire.generated.exchange import Exchange as ExchangeService
from ..wire.generated.exchange.ttypes import Push, PushReply, SoftRecord
from ..wire.network import PeerNetwork
from ..wire.server import PeerServer
from .published import PublishedRecords
from .pusher import Pusher
from .received import ReceivedRecords

_LOG = logging.getLogger(__name__)
_PULL_TIMEOUT_S = 3.0
_MAX_PULLS = 3
_UPDATE_INTERVAL_S = 0.5
# Interval of pushes to a peer that only renew records. It grows with the number
# of peers, so that an instance sends at most five such pushes per second.
_MIN_RENEW_INTERVAL_S = 2.0
_RENEW_INTERVAL_PER_PEER_S = 0.2
_TTL_RENEW_INTERVALS = 3
# Long enough for a peer that was unreachable to receive the withdrawal.
_WITHDRAWN_TTL_S = 600.0

Receiver = Callable[[SoftRecord], None]


class _ExchangeHandler:
    """Serves the Thrift service ``Exchange``."""

    def __init__(self, exchange: 'Exchange') -> None:
        self._exchange = exchange

    def push(self, update: Push) -> PushReply:
        self._exchange.receive(update)
        return PushReply(start_id=self._exchange.start_id)

    def pull(self) -> list[Push]:
        return self._exchange.all_pushes()


@plugins.register('exchange')
class Exchange(Plugin):
    """Pushes the records of this instance to all live peers."""

    def __init__(self, kernel: Any) -> None:
        """Register the Thrift service."""
        super().__init__(kernel)
        self.start_id = random.getrandbits(31)
        self.published = PublishedRecords(
            kernel.clock, renewed_ttl_s=self._renewed_ttl_s
        )
        self._peers = kernel.plugin(Peers)
        self._network = kernel.plugin(PeerNetwork)
        self._received = ReceivedRecords(kernel.clock)
        self._receivers: dict[str, Receiver] = {}
        self._pushers: dict[str, Pusher] = {}
        self._has_first_record = threading.Event()
        # Failure domains in which an instance was asked for all records.
        self._asked_domains: set[str] = set()
        self._has_pulled = False
        # Notified when a peer has replied to a push.
        self.confirmed = threading.Condition()
        kernel.plugin(PeerServer).register(
            'Exchange', ExchangeService.Processor(_ExchangeHandler(self))
        )

    def start(self) -> None:
        """Start pulling the records of peers and pushing own ones."""
        background_thread(
            self.kernel, self._update_loop, name='exchange'
        ).start()

    def stop(self) -> None:
        """Wake up the threads so that they end."""
        self._has_first_record.set()
        with self.published.changed:
            self.published.changed.notify_all()

    def on_record(self, kind: str, receiver: Receiver) -> None:
        """Call ``receiver`` with each record of ``kind`` that peers publish.

        It is called again when a record is renewed, with a new time to live.
        """
        self._receivers[kind] = receiver

    def publish(
        self,
        kind: str,
        name: str,
        payload: bytes,
        *,
        ttl_s: float | None,
        is_urgent: bool = False,
    ) -> int:
        """Publish a record to all live peers and to those that join later.

        Parameters
        ----------
        kind : str
            Kind of record, as given to `on_record`.
        name : str
            Identifies the record within its kind.
        payload : bytes
            JSON of the record.
        ttl_s : float or None
            Seconds after which receivers forget the record; None to keep it
            for as long as this instance renews it with its pushes.
        is_urgent : bool
            Whether to push at once instead of with the next batch.

        Returns
        -------
        int
            Version of the record, as for `confirmed_by`.
        """
        version = self.published.put(
            (kind, name), payload, ttl_s=ttl_s, is_urgent=is_urgent
        )
        self._has_first_record.set()
        return version

    def confirmed_by(self, version: int) -> set[str]:
        """Return the peers that have confirmed own records up to ``version``."""
        return {
            name
            for name, pusher in list(self._pushers.items())
            if pusher.sent_version >= version
        }

    def recent_peers(self, role: str) -> set[str]:
        """Return the recently alive peers that have a role."""
        return {
            name
            for name, pusher in list(self._pushers.items())
            if role in pusher.roles
        }

    def wait_for_confirmations(
        self,
        version: int,
        is_enough: Callable[[set[str]], bool],
        *,
        timeout_s: float,
    ) -> bool:
        """Wait until enough peers have confirmed own records.

        Parameters
        ----------
        version : int
            Version as returned by `publish`.
        is_enough : callable
            Takes the names of the peers that have confirmed it.
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        bool
            Whether enough peers confirmed in time.
        """
        with self.confirmed:
            return self.confirmed.wait_for(
                lambda: is_enough(self.confirmed_by(version)), timeout_s
            )

    def withdraw(self, kind: str, name: str) -> None:
        """Stop renewing a record that another instance now owns."""
        self.published.put(
            (kind, name), b'', ttl_s=_WITHDRAWN_TTL_S, is_urgent=False
        )

    def receive(self, update: Push) -> None:
        """Dispatch the new and the renewed records of a push to receivers."""
        for record in self._received.accept(update):
            self._dispatch(record)
        for record in self._received.renew(update):
            self._dispatch(record)

    def all_pushes(self) -> list[Push]:
        """Return all known records, as one push for each origin."""
        return [self.update_after(0), *self._received.pushes()]

    def update_after(self, version: int) -> Push:
        """Return a push with the own records above ``version``."""
        own = self._peers.own()
        return Push(
            origin=own.name,
            incarnation=own.incarnation,
            records=self.published.after(version),
            start_id=self.start_id,
        )

    @property
    def has_all_records(self) -> bool:
        """Whether the records that existed at the start are known here."""
        own_address = self.kernel.settings.listen.peer
        seeds = self.kernel.settings.peers.seed_addresses()
        return self._has_pulled or set(seeds) <= {own_address}

    def renew_interval_s(self) -> float:
        """Return the interval of pushes to a peer while nothing changes."""
        count = len(self._pushers)
        return max(_MIN_RENEW_INTERVAL_S, count * _RENEW_INTERVAL_PER_PEER_S)

    def pull_from(self, peer: Peer) -> int | None:
        """Pull all records that a peer has.

        Returns
        -------
        int or None
            Number of records that were new here; None if the peer did not
            answer.
        """
        try:
            updates = self._network.call(
                peer.peer_address,
                'Exchange',
                'pull',
                timeout_s=_PULL_TIMEOUT_S,
            )
        except UnavailableError:
            EVENTS.labels('exchange', 'pull_failed').inc()
            return None
        new_count = 0
        for update in updates:
            for record in self._received.accept(update):
                self._dispatch(record)
                new_count += 1
        return new_count

    def pull_step(self) -> bool:
        """Pull from the next source; return whether the pulls are finished.

        A near instance may have lost its records in the same loss of power, so
        that another failure domain is asked too, until one has nothing new.
        """
        own, *others = self._peers.alive()
        source = pull_source(own, others, asked=self._asked_domains)
        if source is None:
            return bool(self._asked_domains)
        is_first = not self._asked_domains
        self._asked_domains.add(source.failure_domain)
        new_count = self.pull_from(source)
        is_complete = new_count == 0 and not is_first
        return is_complete or len(self._asked_domains) >= _MAX_PULLS

    def _renewed_ttl_s(self) -> float:
        return self.renew_interval_s() * _TTL_RENEW_INTERVALS

    def _dispatch(self, record: SoftRecord) -> None:
        receiver = self._receivers.get(record.kind)
        if receiver is None:
            EVENTS.labels('exchange', 'unknown_kind').inc()
            return
        try:
            receiver(record)
        except Exception:
            EVENTS.labels('exchange', 'malformed_record').inc()
            _LOG.exception(
                'receiver failed to process record %s/%s',
                record.kind,
                record.name,
            )

    def _update_loop(self) -> None:
        is_running = True
        while is_running:
            _own, *others = self._peers.alive()
            # Most instances never publish a record, and a thread per peer at
            # each of them is too many for a large fleet.
            if self._has_first_record.is_set():
                self._update_pushers(others)
                is_running = self.kernel.wait_while_running(_UPDATE_INTERVAL_S)
            else:
                self._has_first_record.wait(_UPDATE_INTERVAL_S)
            if others and not self._has_pulled:
                self._has_pulled = self.pull_step()
            is_running = is_running and not self.kernel.stopping.is_set()

    def _update_pushers(self, others: list[Peer]) -> None:
        for peer in others:
            pusher = self._pushers.get(peer.name)
            if pusher is None or not pusher.is_recently_alive():
                pusher = Pusher(self.kernel, self, self._network)
                self._pushers[peer.name] = pusher
                pusher.note_alive(peer)
                pusher.start()
            pusher.note_alive(peer)
        self._pushers = {
            name: pusher
            for name, pusher in self._pushers.items()
            if pusher.is_recently_alive()
        }


def pull_source(
    own: Peer, others: Sequence[Peer], *, asked: Collection[str]
) -> Peer | None:
    """Return the peer to pull all records from next; None if there is none.

    Load pattern: several hundred instances start, each of which needs the
    records of all targets. The nearest one has them too, so that they cross no
    border; control instances have them first, since targets announce themselves
    there.

    Parameters
    ----------
    own : Peer
        The new instance.
    others : sequence of Peer
        Live instances.
    asked : collection of str
        Failure domains in which an instance was asked already.
    """
    candidates = [peer for peer in others if peer.failure_domain not in asked]

    def preference(peer: Peer) -> tuple[int, bool]:
        return (distance(own, peer), 'control' not in peer.roles)

    best = min(map(preference, candidates), default=None)
    nearest = [peer for peer in candidates if preference(peer) == best]
    return random.choice(nearest) if nearest else None
