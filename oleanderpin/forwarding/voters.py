"""Which instances keep the idempotency records."""

from typing import Any


def idempotency_voters(kernel: Any) -> tuple[tuple[str, str], ...]:
    """Return name and peer address of the control voters.

    These are the configured first members until the log tells its own.
    """
    members = kernel.settings.control.initial_members
    pairs = (member.partition('=') for member in members)
    return tuple((name, address) for name, _equals, address in pairs)


def majority(count: int) -> int:
    """Return how many of ``count`` voters are a majority."""
    return count // 2 + 1
