"""How fast callers take their responses."""

import pytest

from ...core.memory_budget import MemoryBudget
from ...gateway import response_output
from ...gateway.response_output import ResponseOutput

PERIOD_S = 10.0
MIN_BYTES_PER_S = 100.0


class Clock:
    """A monotonic clock that tests set."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    made = Clock()
    monkeypatch.setattr(response_output, 'monotonic_s', made)
    return made


@pytest.fixture
def budget() -> MemoryBudget:
    return MemoryBudget(1_000_000)


@pytest.fixture
def output(budget: MemoryBudget) -> ResponseOutput:
    return ResponseOutput(budget.share())


def is_too_slow(output: ResponseOutput, unsent_bytes: int) -> bool:
    return output.is_too_slow(
        unsent_bytes, period_s=PERIOD_S, min_bytes_per_s=MIN_BYTES_PER_S
    )


@pytest.mark.parametrize(
    ('taken_bytes', 'expected'), [(0, True), (999, True), (1000, False)]
)
def test_rate_counts_over_a_period(
    output: ResponseOutput, clock: Clock, taken_bytes: int, expected: bool
) -> None:
    """Guards against a caller that takes single bytes without end."""
    output.note_written(50_000, 50_000)
    assert not is_too_slow(output, 50_000)
    clock.now_s = PERIOD_S - 1
    assert not is_too_slow(output, 50_000)
    clock.now_s = PERIOD_S
    assert is_too_slow(output, 50_000 - taken_bytes) == expected


def test_caller_that_has_taken_all_begins_anew(
    output: ResponseOutput, clock: Clock
) -> None:
    """Guards against a pause between responses that counts as slow reading."""
    output.note_written(5000, 5000)
    assert not is_too_slow(output, 5000)
    output.update(0)
    clock.now_s = 10 * PERIOD_S
    output.note_written(5000, 5000)
    assert not is_too_slow(output, 5000)


def test_what_is_unsent_is_held(
    output: ResponseOutput, budget: MemoryBudget
) -> None:
    """Guards against responses that are not counted once they are written."""
    output.note_written(5000, 5000)
    assert budget.held_bytes == 5000
    output.update(1000)
    assert budget.held_bytes == 1000
    output.update(0)
    assert budget.held_bytes == 0
