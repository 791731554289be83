"""The leader hands over parts of small accounts' rates."""

from dataclasses import replace
from types import MappingProxyType, SimpleNamespace
from typing import Any

import pytest

from ...control.change import Change
from ...control.log import ControlLog
from ...control.machine import StateMachine
from ...control.state import ControlMember, PartOwners
from ...control.view import ControlView
from ...core.errors import UnavailableError
from ...core.settings import LimitsSettings
from ...limits.part_handover import PartHandover
from ...limits.part_owner import PartOwner
from ...membership.members import Status
from ...membership.peers import Peers
from ...testing import ManualClock
from ...wire.network import PeerNetwork

ADDRESSES = tuple(f'10.0.0.{number}:7220' for number in range(4))
LEASE_S = 30.0


class Leader:
    """Stands in for the kernel of a leader; the log commits at once."""

    def __init__(self) -> None:
        self.clock = ManualClock(0.0)
        self.settings = SimpleNamespace(
            listen=SimpleNamespace(peer=ADDRESSES[0]),
            limits=LimitsSettings(part_lease_s=LEASE_S),
        )
        self.machine = StateMachine()
        self.confirmed = dict.fromkeys(ADDRESSES, 0)
        self.silent: set[str] = set()
        self.has_lease = True
        infos = [
            SimpleNamespace(
                peer_address=address,
                region=f'r{number}',
                failure_domain=f'd{number}',
            )
            for number, address in enumerate(ADDRESSES)
        ]
        members = [
            SimpleNamespace(info=info, status=Status.alive, changed_s=0.0)
            for info in infos[1:]
        ]
        self.plugins: dict[Any, Any] = {
            ControlLog: SimpleNamespace(
                has_lease=lambda: self.has_lease, propose=self.propose
            ),
            ControlView: self,
            Peers: SimpleNamespace(
                table=SimpleNamespace(own=infos[0], members=lambda: members)
            ),
            PeerNetwork: SimpleNamespace(call=self.call),
            PartOwner: SimpleNamespace(
                applied_revision=lambda: self.confirmed[ADDRESSES[0]]
            ),
        }

    @property
    def state(self) -> Any:
        """The committed state."""
        return self.machine.state

    @property
    def revision(self) -> int:
        """Its revision."""
        return self.machine.revision

    @property
    def record(self) -> PartOwners:
        """The committed owners."""
        record: PartOwners = self.state.owners_of_parts
        return record

    def plugin(self, wanted: Any) -> Any:
        """Return a plug-in."""
        return self.plugins[wanted]

    def set_members(self, addresses: tuple[str, ...]) -> None:
        """Change the control group."""
        members = {
            address: ControlMember(address, address, address, is_voter=True)
            for address in addresses
        }
        self.machine.state = replace(
            self.state, members=MappingProxyType(members)
        )

    def propose(self, payload: bytes, *, timeout_s: float) -> Any:
        """Commit a change."""
        assert timeout_s > 0
        Change.decode(payload)
        return self.machine.apply(self.revision + 1, payload)

    def call(self, address: str, *_call: Any, timeout_s: float) -> int:
        """Return the revision that another instance has applied."""
        assert timeout_s > 0
        if address in self.silent:
            raise UnavailableError(f'{address} is silent')
        return self.confirmed[address]

    def confirm(self) -> None:
        """Let all instances that reply apply the committed state."""
        for address in self.confirmed.keys() - self.silent:
            self.confirmed[address] = self.revision


@pytest.fixture
def leader() -> Leader:
    """Return a leader of three instances that own all parts."""
    leader = Leader()
    leader.set_members(ADDRESSES[:3])
    PartHandover(leader).step()
    leader.confirm()
    return leader


def test_first_owners_need_no_hand_over(leader: Leader) -> None:
    """Guards against accounts without owners after the first start."""
    assert leader.record.is_settled
    assert set(leader.record.owners) == set(ADDRESSES[:3])


def test_added_instance_gets_its_part_when_all_owners_have_confirmed(
    leader: Leader,
) -> None:
    """Guards against parts that are divided anew while one owner is unaware."""
    handover = PartHandover(leader)
    leader.set_members(ADDRESSES)
    handover.step()
    assert set(leader.record.owners) == set(ADDRESSES[:3])
    assert set(leader.record.next_owners) == set(ADDRESSES)
    leader.silent.add(ADDRESSES[1])
    leader.confirm()
    handover.step()
    assert not leader.record.is_settled
    leader.silent.clear()
    leader.confirm()
    handover.step()
    assert set(leader.record.owners) == set(ADDRESSES)


def test_silent_owner_is_given_up_only_after_its_lease(leader: Leader) -> None:
    """Guards against an owner that is cut off and uses its part."""
    handover = PartHandover(leader)
    leader.set_members(ADDRESSES[:2])
    leader.silent.add(ADDRESSES[2])
    handover.step()
    leader.confirm()
    handover.step()
    leader.clock.advance(LEASE_S)
    handover.step()
    assert not leader.record.is_settled
    leader.clock.advance(1)
    handover.step()
    assert set(leader.record.owners) == set(ADDRESSES[:2])


def test_new_leader_waits_for_the_whole_lease(leader: Leader) -> None:
    """Guards against a wait that counts from before a change of the leader."""
    first, second = PartHandover(leader), PartHandover(leader)
    leader.set_members(ADDRESSES[:2])
    leader.silent.add(ADDRESSES[2])
    first.step()
    leader.confirm()
    leader.clock.advance(LEASE_S - 1)
    second.step()
    leader.clock.advance(2)
    second.step()
    assert not leader.record.is_settled
    leader.clock.advance(LEASE_S)
    second.step()
    assert leader.record.is_settled


def test_late_proposal_of_a_former_leader_changes_nothing(
    leader: Leader,
) -> None:
    """Guards against two leaders that hand over the same part."""
    former = PartHandover(leader)
    leader.set_members(ADDRESSES)
    number = leader.record.number
    PartHandover(leader).step()
    record = leader.record
    former._propose(PartOwners(number + 1, {}, {}), number)
    assert leader.record == record


def test_instance_that_does_not_lead_decides_nothing(leader: Leader) -> None:
    """Guards against decisions on an outdated state."""
    leader.set_members(ADDRESSES)
    leader.has_lease = False
    assert PartHandover(leader).step() is None


def test_record_survives_a_snapshot(leader: Leader) -> None:
    """Guards against owners that are forgotten in a restart."""
    restored = StateMachine.decode(leader.machine.encode())
    assert restored.state.owners_of_parts == leader.record
