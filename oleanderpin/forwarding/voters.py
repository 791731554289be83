"""The control voters that store idempotency records."""

from typing import Any

from ..control.sources import control_members
from ..control.view import ControlView


def idempotency_voters(kernel: Any) -> tuple[tuple[str, str], ...]:
    """Return the name and peer address of each control voter.

    Members change one at a time, so that any majority before a change and
    any majority after it have a voter in common.
    """
    state = kernel.plugin(ControlView).state
    return tuple(
        (member.name, member.address)
        for member in control_members(kernel.settings, state)
        if member.is_voter
    )


def majority(count: int) -> int:
    """Return the size of a majority of ``count`` voters."""
    return count // 2 + 1
