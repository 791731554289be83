"""Home regions of objects, with simulated loads and no I/O."""

from collections import Counter

import pytest

from ...gateway.region_split import RegionCapacity, RegionSplit, desired_shares

# Targets as in one deployment: one region has a tenth of the slots and a
# third of the callers.
SLOTS = {'north': 126.0, 'central': 36.0, 'south': 108.0}
KEYS = [f'o{number}' for number in range(2000)]


def busy_split(own_region: str = 'north') -> RegionSplit:
    """Return a split that has placed enough requests to follow loads."""
    split = RegionSplit(own_region, 0.0)
    for _request in range(50):
        split.note_placed(0.0, leaves=False)
    return split


def capacities(**loads: float) -> dict[str, RegionCapacity]:
    """Return capacities of a hundred slots with the given loads."""
    return {
        region: RegionCapacity(100, load * 100)
        for region, load in loads.items()
    }


class Regions:
    """Gateways of three regions that learn the loads of all."""

    def __init__(self, demand: dict[str, float]) -> None:
        self.demand = demand
        self.splits = {region: RegionSplit(region, 0.0) for region in SLOTS}
        self.now_s = 0.0
        for split in self.splits.values():
            split.estimate_from_slots(SLOTS, 0.0)
            for _request in range(50):
                split.note_placed(0.0, leaves=False)

    def loads(self) -> dict[str, float]:
        """Return the load of each region as a fraction of its slots."""
        in_flight = dict.fromkeys(SLOTS, 0.0)
        for origin, split in self.splits.items():
            for region, share in split.shares.items():
                in_flight[region] += self.demand[origin] * share
        return {region: in_flight[region] / SLOTS[region] for region in SLOTS}

    def run(self, duration_s: float) -> None:
        """Update the splits for a duration."""
        for _step in range(int(duration_s * 4)):
            self.now_s += 0.25
            seen = {
                region: RegionCapacity(SLOTS[region], load * SLOTS[region])
                for region, load in self.loads().items()
            }
            for split in self.splits.values():
                split.update(seen, self.now_s)


def test_shares_change_slowly() -> None:
    """Guards against cross-region traffic that follows every load spike."""
    split = busy_split()
    shares = []
    for step in range(200):
        load = 3.0 if step % 40 < 20 else 0.1
        split.update(capacities(north=load, south=0.2), step * 0.25)
        shares.append(split.local_share)
    changes = [
        abs(later - earlier)
        for earlier, later in zip(shares, shares[8:], strict=False)
    ]
    assert max(changes) <= 0.15


def test_objects_leave_a_region_that_has_lost_targets_soon() -> None:
    """Guards against callers refused for long while others have room.

    Half of the targets of a region have left: the others hold 1.4 requests a
    slot, and those of other regions a third of one.
    """
    split = busy_split()
    below_s = float('inf')
    for step in range(200):
        now_s = step * 0.25
        load = split.local_share * 1.4
        if load < 1.0:
            below_s = min(below_s, now_s)
        split.update(capacities(north=load, south=0.3), now_s)
    # After 2 s of overload, 0.29 of the objects leave at 0.05 a second.
    assert below_s <= 8.0


def test_share_settles_below_full_load() -> None:
    """Guards against a small region that is kept at full load."""
    split = busy_split()
    for step in range(2000):
        load = split.local_share * 2.0
        split.update(capacities(north=load, south=0.2), step * 0.25)
    assert 0.65 <= split.local_share * 2.0 <= 0.95


@pytest.mark.parametrize('demand', [50.0, 60.0, 80.0])
def test_small_region_sheds_to_regions_with_room(demand: float) -> None:
    """Guards against work that is sent to a region without spare capacity."""
    regions = Regions(dict.fromkeys(SLOTS, demand))
    regions.run(60)
    loads = regions.loads()
    assert max(loads.values()) < 1.0
    for origin in ('north', 'south'):
        assert regions.splits[origin].shares.get('central', 0.0) == 0


def test_load_moves_from_one_large_region_to_the_other() -> None:
    """Guards against a full region although another one has spare capacity."""
    regions = Regions({'north': 140.0, 'central': 20.0, 'south': 30.0})
    regions.run(60)
    loads = regions.loads()
    assert loads['north'] < 1.0
    assert loads['south'] < 1.0


def test_objects_stay_where_all_regions_are_overloaded() -> None:
    """Guards against moving objects although no region has spare capacity."""
    wanted = desired_shares(
        'north', capacities(north=1.2, central=1.3, south=1.18)
    )
    assert wanted['north'] > 0.8


def test_new_instance_divides_by_slots() -> None:
    """Guards against a start at which all objects of a small region stay."""
    split = RegionSplit('central', 0.0)
    split.estimate_from_slots(SLOTS, 0.0)
    assert split.local_share < 0.7
    assert sum(split.shares.values()) == pytest.approx(1.0)
    large = RegionSplit('north', 0.0)
    large.estimate_from_slots(SLOTS, 0.0)
    assert large.shares.get('central', 0.0) == 0


def test_homes_follow_the_shares_and_move_little() -> None:
    """Guards against objects that change their home region unnecessarily."""
    split = RegionSplit('north', 0.0)
    split.shares = {'north': 0.5, 'central': 0.2, 'south': 0.3}
    before = {key: split.home_region(key, SLOTS) for key in KEYS}
    counts = Counter(before.values())
    assert counts['north'] == pytest.approx(1000, abs=100)
    assert counts['central'] == pytest.approx(400, abs=80)
    split.shares = {'north': 0.45, 'central': 0.2, 'south': 0.35}
    moved = [
        key for key in KEYS if split.home_region(key, SLOTS) != before[key]
    ]
    assert len(moved) <= 0.1 * len(KEYS)


def test_change_is_reported_once() -> None:
    """Guards against a log line for each step of a slow change."""
    split = busy_split()
    reported = 0
    for step in range(200):
        split.update(capacities(north=3.0, south=0.2), step * 0.25)
        reported += split.take_change()
    assert split.local_share < 0.2
    assert 1 <= reported <= 10


def test_home_is_an_allowed_region() -> None:
    """Guards against a home that the account's regions exclude."""
    split = RegionSplit('north', 0.0)
    split.shares = {'north': 0.5, 'south': 0.5}
    homes = {split.home_region(key, ('south',)) for key in KEYS}
    assert homes == {'south'}


def test_overflow_of_a_region_is_bounded() -> None:
    """Guards against requests that all leave a region with full targets."""
    split = RegionSplit('north', 0.0)
    left = 0
    for request in range(1000):
        now_s = request * 0.01
        leaves = split.may_leave(now_s, home='north')
        left += leaves
        split.note_placed(now_s, leaves=leaves)
    assert left <= 150


def test_first_shares_follow_targets_that_announce_themselves_late() -> None:
    """Guards against an overload that lasts after a restart of all instances.

    A gateway of a small region that knew only its own region's targets when
    its first requests came kept all objects there, and the limit on changes
    held them for half a minute.
    """
    split = RegionSplit('central', 0.0)
    split.estimate_from_slots({'central': SLOTS['central']}, 0.1)
    assert split.local_share == 1.0
    for _request in range(50):
        split.note_placed(0.2, leaves=False)
    split.estimate_from_slots(SLOTS, 1.5)
    expected = RegionSplit('central', 0.0)
    expected.estimate_from_slots(SLOTS, 0.0)
    assert split.shares == expected.shares
    assert split.local_share < 0.6


def test_first_shares_stay_once_all_targets_had_time_to_announce() -> None:
    """Guards against a jump of traffic when targets are added later."""
    split = RegionSplit('central', 0.0)
    split.estimate_from_slots(SLOTS, 0.0)
    for _request in range(50):
        split.note_placed(0.2, leaves=False)
    shares = split.shares
    split.estimate_from_slots(SLOTS | {'south': 540.0}, 20.0)
    assert split.shares == shares


# Of the requests of a region, at most this part may run in another region from
# one window to the next.
WINDOW_S = 2.0
MAX_SHIFT = 0.15


def largest_change(fractions: list[float]) -> float:
    """Return the largest change from one window to the next."""
    return max(
        abs(later - earlier)
        for earlier, later in zip(fractions, fractions[1:], strict=False)
    )


def test_requests_return_slowly_after_targets_were_lost() -> None:
    """Guards against half of a region's requests returning at once.

    Half of the region's targets have left, and half of the requests find no
    room there, long after the time in which they may all go elsewhere.
    """
    split = busy_split()
    split.note_target_loss(0.0)
    left = Counter[int]()
    asked = Counter[int]()
    for number in range(4000):
        now_s = number / 100
        if not number % 25:
            split.update(capacities(north=0.6, central=0.5, south=0.5), now_s)
        leaves = bool(number % 2) and split.may_leave(now_s, home='north')
        split.note_placed(now_s, leaves=leaves)
        window = int(now_s / WINDOW_S)
        left[window] += leaves
        asked[window] += 1
    fractions = [left[window] / asked[window] for window in sorted(asked)]
    assert largest_change(fractions) <= MAX_SHIFT
    assert fractions[0] > 0.4
    assert fractions[-1] < 0.15


def test_requests_leave_an_overloaded_region_slowly() -> None:
    """Guards against a jump when objects and single requests leave at once."""
    split = busy_split()
    elsewhere = Counter[int]()
    asked = Counter[int]()
    for number in range(4000):
        now_s = number / 100
        if not number % 25:
            load = 0.5 if now_s < 4 else 1.4 * split.local_share
            split.update(capacities(north=load, south=0.3), now_s)
        # Requests whose home is elsewhere, and those that find no room.
        has_left = number % 100 >= split.local_share * 100
        wants_to_leave = not has_left and now_s > 4 and bool(number % 2)
        leaves = wants_to_leave and split.may_leave(now_s, home='north')
        split.note_placed(now_s, leaves=leaves)
        window = int(now_s / WINDOW_S)
        elsewhere[window] += has_left or leaves
        asked[window] += 1
    fractions = [elsewhere[window] / asked[window] for window in sorted(asked)]
    assert largest_change(fractions) <= MAX_SHIFT
    assert fractions[-1] > 0.2
