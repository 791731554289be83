"""What attempts at targets came to."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from ..targets.table import Target

AttemptResult = Literal[
    'ok', 'target_error', 'no_connection', 'timeout', 'reset', 'shed'
]


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """What one attempt at a target came to."""

    result: AttemptResult
    first_byte_ms: float = 0.0
    status: int = 0


@dataclass(frozen=True, slots=True)
class Observation:
    """An attempt's outcome with its place, for statistics of versions."""

    service: str
    route: str
    target: Target
    outcome: AttemptOutcome


Observer = Callable[[Observation], None]
