"""Parts of small accounts while the control group changes."""

import math
from collections.abc import Sequence
from dataclasses import replace
from types import MappingProxyType

import pytest

from ...control.state import (
    Account,
    ControlState,
    PartOwners,
    ShareHolderRecord,
)
from ...core.settings import LimitsSettings
from ...limits.division import is_owned_in_parts
from ...limits.floors import Floors
from ...limits.part_ownership import Candidate, choose_owners, next_record
from ...limits.parts import Parts
from ...testing import ManualClock
from ...testing.builders import settled_owners

ACCOUNT = 'small'
MEMBERS = tuple(f'10.0.0.{number}:7220' for number in range(6))
SPARE = '10.0.0.9:7220'
RATE_PER_S = 60.0
WAIT_S = 60.0


# Lease of parts, and the longer time after which the leader hands them over.
LEASE_S = 30.0
HANDOVER_S = 30.4
STEP_S = 0.25


class Owner:
    """A control instance with what it knows."""

    def __init__(self, address: str, group: 'Group') -> None:
        self.address = address
        self.number = 0
        self.fresh_as_of_s = -math.inf
        self._group = group
        self.parts = Parts(
            clock=group.clock,
            address=address,
            handover_s=0,
            may_use=lambda: group.clock.now_s() - self.fresh_as_of_s < LEASE_S,
        )

    def learn(self) -> None:
        """Read the committed record; it is current now."""
        self.number = self._group.record.number
        self.parts.update([self._group.limited], self._group.record)
        self.fresh_as_of_s = self._group.clock.now_s()


class Group:
    """Control instances that give each token at once to a flood of requests."""

    def __init__(self, limited: Account) -> None:
        self.clock = ManualClock(0.0)
        self.limited = limited
        self.record = PartOwners()
        self.chosen = dict.fromkeys(MEMBERS, 'north')
        self.owners: dict[str, Owner] = {}
        self.cut_off: set[str] = set()
        self.paused: set[str] = set()
        self.admitted_s: list[float] = []
        self._committed_s = 0.0

    def run(self, duration_s: float) -> None:
        """Let time pass; the leader is never cut off."""
        end_s = self.clock.now_s() + duration_s
        while self.clock.now_s() < end_s:
            self.clock.advance(STEP_S)
            self._decide()
            for address in {*self.record.owners, *self.record.next_owners}:
                self.owners.setdefault(address, Owner(address, self))
            for owner in self.owners.values():
                if owner.address in self.paused:
                    continue
                if owner.address not in self.cut_off:
                    owner.learn()
                taken = owner.parts.take(ACCOUNT, 1000) if owner.number else 0
                self.admitted_s += [self.clock.now_s()] * taken

    def restart_others(self) -> None:
        """Restart all instances that are not cut off."""
        self.owners = {
            address: owner
            for address, owner in self.owners.items()
            if address in self.cut_off
        }

    def rate_per_s(self, duration_s: float) -> float:
        """Return the rate of tokens in the last seconds."""
        start_s = self.clock.now_s() - duration_s
        return sum(at_s > start_s for at_s in self.admitted_s) / duration_s

    def _decide(self) -> None:
        waited_s = self.clock.now_s() - self._committed_s
        has_confirmed = all(
            address in self.owners
            and self.owners[address].number >= self.record.number
            for address in self.record.owners
        )
        record = next_record(
            self.record,
            dict(self.chosen),
            is_handed_over=has_confirmed or waited_s > HANDOVER_S,
        )
        if record is not None:
            self.record = record
            self._committed_s = self.clock.now_s()


def assert_within_rate(admitted_s: Sequence[float], limited: Account) -> None:
    """Assert that each window holds at most burst + rate x window."""
    tokens, updated_s = limited.burst, 0.0
    for at_s in admitted_s:
        earned = (at_s - updated_s) * limited.rate_per_s
        tokens = min(limited.burst, tokens + earned)
        updated_s = at_s
        # Sums of thousands of fractions are not exact.
        assert tokens > 1 - 1e-6
        tokens -= 1


def change_members(group: Group, change: str, cut_off: str) -> None:
    """Cut an instance off and change the group without it."""
    group.cut_off.add(cut_off)
    if change != 'added':
        group.chosen.pop(cut_off)
    if change in {'replaced', 'added'}:
        group.chosen[SPARE] = 'north'


@pytest.mark.parametrize('burst', [1, 4, 8, 60])
@pytest.mark.parametrize(
    'change', ['removed', 'replaced', 'restarted', 'added']
)
def test_instance_that_misses_a_change_adds_no_part(
    burst: float, change: str
) -> None:
    """Guards against more parts than the burst has been divided into.

    An instance that is cut off goes on using its part: it was removed and the
    others take its place, or a spare does, or they forget its part in a
    restart; or a spare was added. A flood takes each token at once.
    """
    limited = Account(ACCOUNT, rate_per_s=RATE_PER_S, burst=burst)
    for cut_off in MEMBERS:
        group = Group(limited)
        group.run(5)
        change_members(group, change, cut_off)
        group.run(1)
        if change == 'restarted':
            group.restart_others()
        group.run(WAIT_S)
        assert_within_rate(group.admitted_s, limited)
        # After the hand-over nothing of the rate is lost but the part of an
        # owner that is cut off. With a lower burst, a step earns more than a
        # part holds.
        if burst == RATE_PER_S:
            parts = len(group.record.owners)
            usable = parts - (change == 'added')
            assert group.rate_per_s(10) >= 0.95 * RATE_PER_S * usable / parts
        group.cut_off.clear()
        group.run(5)
        assert_within_rate(group.admitted_s, limited)


def test_paused_owner_adds_no_part_when_it_wakes_up() -> None:
    """Guards against a part that is used after it was handed over."""
    limited = Account(ACCOUNT, rate_per_s=RATE_PER_S, burst=60)
    group = Group(limited)
    group.run(5)
    group.paused.add(MEMBERS[0])
    change_members(group, 'removed', MEMBERS[0])
    group.run(2 * LEASE_S)
    group.paused.clear()
    group.run(5)
    assert group.record.is_settled
    assert_within_rate(group.admitted_s, limited)


def test_parts_are_handed_over_at_once_when_all_owners_confirm() -> None:
    """Guards against a rate that is used in part for a whole lease."""
    limited = Account(ACCOUNT, rate_per_s=RATE_PER_S, burst=60)
    group = Group(limited)
    group.run(5)
    group.chosen.pop(MEMBERS[0])
    group.run(3)
    assert group.record.is_settled
    assert MEMBERS[0] not in group.record.owners
    group.run(2)
    assert group.rate_per_s(2) >= 0.95 * RATE_PER_S


def candidates(domains: int, per_domain: int) -> list[Candidate]:
    """Return control instances, three failure domains to a region."""
    return [
        Candidate(f'10.{domain}.0.{index}', f'r{domain // 3}', f'd{domain}')
        for domain in range(domains)
        for index in range(per_domain)
    ]


@pytest.mark.parametrize(
    ('domains', 'per_domain', 'count'),
    [(1, 1, 1), (3, 1, 3), (6, 1, 6), (9, 1, 9), (9, 2, 9), (6, 3, 6)]
    + [(1, 3, 3), (2, 2, 3)],
)
def test_each_failure_domain_has_one_owner(
    domains: int, per_domain: int, count: int
) -> None:
    """Guards against parts that grow smaller with each control instance."""
    group = candidates(domains, per_domain)
    owners = choose_owners(group, ())
    assert len(owners) == count
    chosen = [each for each in group if each.address in owners]
    assert {each.failure_domain for each in chosen} == {
        each.failure_domain for each in group
    }
    # Each instance decides alike, and keeps its choice.
    assert choose_owners(reversed(group), owners) == owners


def test_owner_that_is_away_is_replaced_in_its_failure_domain_only() -> None:
    """Guards against parts that move while an instance restarts."""
    group = candidates(3, 2)
    owners = choose_owners(group, ())
    lost = next(iter(owners))
    away = [replace(each, is_available=each.address != lost) for each in group]
    changed = choose_owners(away, owners)
    assert len(owners.keys() - changed.keys()) == 1
    # Its failure domain has no other instance.
    single = [each for each in away if each.address in owners]
    assert choose_owners(single, owners) == owners


def test_member_with_a_lost_disk_takes_no_part_from_the_others() -> None:
    """Guards against a part without an owner.

    The control group has two members at one address until the learner that
    replaces the one with the lost disk is promoted.
    """
    limited = Account(ACCOUNT, rate_per_s=RATE_PER_S, burst=60)
    group = Group(limited)
    found = candidates(6, 1)
    group.chosen = choose_owners([*found, found[0]], ())
    group.run(5)
    assert len(group.record.owners) == len(MEMBERS)
    for owner in group.owners.values():
        owner.fresh_as_of_s = math.inf
    group.clock.advance(WAIT_S)
    parts = [owner.parts for owner in group.owners.values()]
    assert all_tokens(parts) == limited.burst


def all_tokens(group: Sequence[Parts]) -> int:
    """Return the tokens that can be taken at all instances."""
    return sum(parts.take(ACCOUNT, 1000) for parts in group)


def parts_of(
    address: str, clock: ManualClock, limited: Account, members: Sequence[str]
) -> Parts:
    """Return the parts of an instance that has just started."""
    parts = Parts(clock=clock, address=address, handover_s=0)
    parts.update([limited], settled_owners(members))
    return parts


def test_instance_without_a_part_draws_no_more_than_it_keeps() -> None:
    """Guards against drawn tokens that are lost.

    An instance without a part keeps one token, and draws one for each request
    that waits.
    """
    limited = Account(ACCOUNT, rate_per_s=8, burst=8)
    clock = ManualClock(0.0)
    group = [parts_of(each, clock, limited, MEMBERS) for each in MEMBERS]
    clock.advance(WAIT_S)
    without = [parts for parts in group if not parts.left(ACCOUNT)]
    assert len(without) == 2
    drawn = without[0].start_draw(ACCOUNT, 3)
    without[0].add(ACCOUNT, drawn)
    assert without[0].take(ACCOUNT, 3) == drawn


def state_with(gateways: int) -> ControlState:
    """Return a state with registered gateways."""
    names = [f'g{number}' for number in range(gateways)]
    return ControlState(
        share_holders=MappingProxyType(
            {name: ShareHolderRecord(name) for name in names}
        )
    )


def test_floors_of_gateways_that_miss_a_change_to_parts_end() -> None:
    """Guards against a rate that is divided into floors and into parts.

    One gateway more is registered while a third of the others is cut off; these
    go on using floors, the control instances give parts of the whole rate.
    """
    limited = Account(ACCOUNT, rate_per_s=262, burst=262)
    settings = LimitsSettings(floor_percent=75)
    assert not is_owned_in_parts(limited, state_with(65), settings)
    assert is_owned_in_parts(limited, state_with(66), settings)
    cut_off = [Floors(settings.floor_percent) for _gateway in range(22)]
    for floors in cut_off:
        floors.note_instances(65)
        floors.take(limited, 0.0)
    clock = ManualClock(0.0)
    group = [parts_of(each, clock, limited, MEMBERS) for each in MEMBERS]
    clock.advance(WAIT_S)
    admitted = all_tokens(group)
    for floors in cut_off:
        while floors.take(limited, clock.now_s()):
            admitted += 1
    assert admitted <= limited.burst
