"""Parts of small accounts while the control group changes."""

from collections.abc import Sequence
from types import MappingProxyType

import pytest

from ...control.state import Account, ControlState, ShareHolderRecord
from ...core.settings import LimitsSettings
from ...limits.division import is_owned_in_parts
from ...limits.floors import Floors
from ...limits.parts import Parts
from ...testing import ManualClock

ACCOUNT = 'small'
MEMBERS = tuple(f'10.0.0.{number}:7220' for number in range(6))
SPARE = '10.0.0.9:7220'
RATE_PER_S = 60.0
WAIT_S = 60.0


def parts_of(
    address: str, clock: ManualClock, limited: Account, members: Sequence[str]
) -> Parts:
    """Return the parts of an instance that has just started."""
    parts = Parts(clock=clock, address=address, handover_s=0)
    parts.update([limited], members)
    return parts


def all_tokens(group: Sequence[Parts]) -> int:
    """Return the tokens that can be taken at all instances."""
    return sum(parts.take(ACCOUNT, 1000) for parts in group)


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
    restart; or a spare was added.
    """
    limited = Account(ACCOUNT, rate_per_s=RATE_PER_S, burst=burst)
    worst = 0
    for removed in MEMBERS:
        clock = ManualClock(0.0)
        others = [each for each in MEMBERS if each != removed]
        group = [parts_of(each, clock, limited, MEMBERS) for each in others]
        cut_off = parts_of(removed, clock, limited, MEMBERS)
        if change != 'added':
            for parts in group:
                parts.update([limited], others)
        if change in {'replaced', 'added'}:
            members = [*(MEMBERS if change == 'added' else others), SPARE]
            group.append(parts_of(SPARE, clock, limited, members))
            for parts in group:
                parts.update([limited], members)
        if change == 'restarted':
            group = [parts_of(each, clock, limited, others) for each in others]
        clock.advance(WAIT_S)
        worst = max(worst, all_tokens([*group, cut_off]))
    assert worst <= burst


def test_member_with_a_lost_disk_takes_no_part_from_the_others() -> None:
    """Guards against a part without an owner.

    The control group has two members at one address until the learner that
    replaces the one with the lost disk is promoted.
    """
    limited = Account(ACCOUNT, rate_per_s=RATE_PER_S, burst=60)
    clock = ManualClock(0.0)
    group = [parts_of(each, clock, limited, MEMBERS) for each in MEMBERS]
    for parts in group:
        parts.update([limited], [*MEMBERS, MEMBERS[0]])
        parts.update([limited], MEMBERS)
    clock.advance(WAIT_S)
    assert all_tokens(group) == limited.burst


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
