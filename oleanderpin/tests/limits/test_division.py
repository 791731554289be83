"""Which accounts control instances own in parts."""

from types import MappingProxyType

import pytest

from ...control.state import Account, ControlState, ShareHolderRecord
from ...core.settings import LimitsSettings
from ...limits.division import is_owned_in_parts


def state_with(gateways: int) -> ControlState:
    """Return a state with registered gateways."""
    names = [f'g{number}' for number in range(gateways)]
    return ControlState(
        share_holders=MappingProxyType(
            {name: ShareHolderRecord(name) for name in names}
        )
    )


@pytest.mark.parametrize(
    ('gateways', 'burst', 'is_owned'),
    [(10, 39, True), (10, 40, False), (66, 263, True), (66, 264, False)],
)
def test_account_without_tokens_for_each_gateway_has_parts(
    gateways: int, burst: float, is_owned: bool
) -> None:
    """Guards against accounts that have neither floors nor parts."""
    settings = LimitsSettings(floor_percent=75)
    account = Account('shop', rate_per_s=20, burst=burst)
    found = is_owned_in_parts(account, state_with(gateways), settings)
    assert found == is_owned


def test_leader_lends_all_rates_without_floors() -> None:
    """Guards against parts at instances that ask the leader only."""
    account = Account('shop', rate_per_s=20, burst=1)
    assert not is_owned_in_parts(account, state_with(66), LimitsSettings())


def test_account_without_a_limit_has_no_parts() -> None:
    """Guards against refusals of accounts without a rate limit."""
    account = Account('shop', rate_per_s=0, burst=0)
    settings = LimitsSettings(floor_percent=75)
    assert not is_owned_in_parts(account, state_with(66), settings)
