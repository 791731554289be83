"""Which instances keep the idempotency records."""

from typing import Any

from ..control.sources import control_members
from ..control.view import ControlView


def idempotency_voters(kernel: Any) -> tuple[tuple[str, str], ...]:
    """Return name and peer address of the control voters.

    Members change one at a time, so that the majorities before and after a
    change always have a voter in common.
    """
    state = kernel.plugin(ControlView).state
    return tuple(
        (member.name, member.address)
        for member in control_members(kernel.settings, state)
        if member.is_voter
    )


def majority(count: int) -> int:
    """Return how many of ``count`` voters are a majority."""
    return count // 2 + 1
