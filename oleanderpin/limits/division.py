"""Which instances hold the rate of a client account.

The rate of a large account is divided among the gateways (floors) and lent by
the leader. A burst without a few tokens for each gateway cannot be divided that
way: its parts are owned by control instances, whose number does not grow with
the fleet.
"""

from ..control.state import Account, ControlState
from ..core.settings import LimitsSettings
from .floors import floor_instance_count, has_floor


def is_owned_in_parts(
    account: Account, state: ControlState, settings: LimitsSettings
) -> bool:
    """Return whether control instances own the rate of an account in parts.

    Parameters
    ----------
    account : Account
        Client account; one without a rate limit has no parts.
    state : ControlState
        Source of the number of gateways.
    settings : LimitsSettings
        Without floors, the leader lends all rates.
    """
    if account.rate_per_s <= 0 or not settings.floor_percent:
        return False
    return not has_floor(
        account.burst,
        settings.floor_percent / 100,
        floor_instance_count(state),
    )
