"""The leader's part in handing over parts of small accounts' rates."""

import logging
import math
from dataclasses import asdict, dataclass, field
from typing import Any

from ..control.commands import PART_OWNERS_SET
from ..control.log import ControlLog
from ..control.proposals import propose_as_leader
from ..control.state import ControlState, PartOwners
from ..control.view import ControlView
from ..core.background import background_thread
from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..membership.members import Status
from ..membership.peers import Peers
from ..wire.network import PeerNetwork
from .part_owner import PartOwner
from .part_ownership import Candidate, choose_owners, next_record

_LOG = logging.getLogger(__name__)
_INTERVAL_S = 0.5
_CALL_TIMEOUT_S = 0.5
# A restart takes less time, and keeps the part.
_REPLACE_AFTER_S = 10.0
# Quartz clocks differ by less than 0.1%; the margin covers the time between
# reading a clock and using the result.
_LEASE_MARGIN = 1.01
_LEASE_MARGIN_S = 0.05


@dataclass(slots=True)
class _Observed:
    """A committed record, and who has confirmed it.

    ``revision`` is that of a state with the record, and ``seen_s`` a time at
    which it was committed already.
    """

    number: int
    revision: int
    seen_s: float
    confirmed: set[str] = field(default_factory=set)


@plugins.register('part-handover')
class PartHandover(Plugin):
    """Commits the owners of parts while this instance leads."""

    roles = frozenset(('control',))

    def __init__(self, kernel: Any) -> None:
        """Start without an observed record."""
        super().__init__(kernel)
        self._log = kernel.plugin(ControlLog)
        self._view = kernel.plugin(ControlView)
        self._peers = kernel.plugin(Peers)
        self._network = kernel.plugin(PeerNetwork)
        self._owner = kernel.plugin(PartOwner)
        self._observed: _Observed | None = None

    def start(self) -> None:
        """Start the thread that decides."""
        background_thread(self.kernel, self._run, name='part-handover').start()

    def step(self) -> PartOwners | None:
        """Propose the next record, if one is due.

        Returns
        -------
        PartOwners or None
            The proposed record.
        """
        if not self._log.has_lease():
            self._observed = None
            return None
        revision = self._view.revision
        state = self._view.state
        record = state.owners_of_parts
        observed = self._observe(record, revision)
        if not record.is_settled:
            self._ask_owners(record, observed)
        current = {**record.owners, **record.next_owners}
        following = next_record(
            record,
            choose_owners(self._candidates(state, current), current),
            is_handed_over=self._is_handed_over(record, observed),
        )
        if following is not None:
            self._propose(following, record.number)
        return following

    def _run(self) -> None:
        while self.kernel.wait_while_running(_INTERVAL_S):
            self.step()

    def _observe(self, record: PartOwners, revision: int) -> _Observed:
        observed = self._observed
        if observed is None or observed.number != record.number:
            now_s = self.kernel.clock.now_s()
            observed = _Observed(record.number, revision, now_s)
            self._observed = observed
        return observed

    def _ask_owners(self, record: PartOwners, observed: _Observed) -> None:
        for address in record.owners.keys() - observed.confirmed:
            if self._applied_revision(address) >= observed.revision:
                observed.confirmed.add(address)

    def _applied_revision(self, address: str) -> float:
        if address == self.kernel.settings.listen.peer:
            return self._owner.applied_revision()
        try:
            return float(
                self._network.call(
                    address,
                    'Parts',
                    'applied_revision',
                    timeout_s=_CALL_TIMEOUT_S,
                )
            )
        except UnavailableError:
            EVENTS.labels('limits', 'part_owner_unconfirmed').inc()
            return -math.inf

    def _is_handed_over(self, record: PartOwners, observed: _Observed) -> bool:
        if observed.confirmed >= record.owners.keys():
            return True
        lease_s = self.kernel.settings.limits.part_lease_s
        waited_s = self.kernel.clock.now_s() - observed.seen_s
        return waited_s > lease_s * _LEASE_MARGIN + _LEASE_MARGIN_S

    def _candidates(
        self, state: ControlState, current: dict[str, str]
    ) -> list[Candidate]:
        addresses = {member.address for member in state.members.values()}
        own = self._peers.table.own
        found = {
            own.peer_address: Candidate(
                own.peer_address, own.region, own.failure_domain
            )
        }
        for member in self._peers.table.members():
            info = member.info
            away_s = self.kernel.clock.now_s() - member.changed_s
            found[info.peer_address] = Candidate(
                info.peer_address,
                info.region,
                info.failure_domain,
                is_available=(
                    member.status is Status.alive or away_s < _REPLACE_AFTER_S
                ),
            )
        for address, region in current.items():
            unknown = Candidate(address, region, '', is_available=False)
            found.setdefault(address, unknown)
        return [each for each in found.values() if each.address in addresses]

    def _propose(self, record: PartOwners, expected_number: int) -> None:
        arguments = asdict(record)
        arguments.pop('number')
        arguments['expected_number'] = expected_number
        problem = propose_as_leader(
            self._log, PART_OWNERS_SET, arguments, operator='part-handover'
        )
        if problem:
            EVENTS.labels('limits', 'part_owners_not_set').inc()
            _LOG.warning(
                'owners of rate parts not set', extra={'problem': problem}
            )
            return
        _LOG.info(
            'owners of rate parts changed',
            extra={
                'number': record.number,
                'owners': sorted(record.owners),
                'next_owners': sorted(record.next_owners),
            },
        )
