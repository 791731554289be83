"""Outcomes of attempts at targets."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from ..targets.table import Target

AttemptResult = Literal[
    'ok', 'target_error', 'no_connection', 'timeout', 'reset', 'shed'
]


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """Outcome of one attempt at a target."""

    result: AttemptResult
    first_byte_ms: float = 0.0
    status: int = 0


@dataclass(frozen=True, slots=True)
class Observation:
    """An attempt's outcome with its context, for per-version statistics."""

    service: str
    route: str
    target: Target
    outcome: AttemptOutcome


Observer = Callable[[Observation], None]
