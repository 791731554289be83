"""Checks all specifications; ``--full`` checks them with larger bounds.

Exits with status 1 if an invariant fails without a fault or a seeded fault
is not found. ``make modelcheck`` passes ``--full``.
"""

import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from minicheck import Protocol, check_safety

from . import freshness, log, shares

_MAX_STATES = 3_000_000
# A seeded fault breaks an invariant within a few steps, so the search does not
# need to be exhaustive.
_MAX_STATES_WITH_FAULT = 40_000
_MAX_STATES_WITH_FAULT_FULL = 500_000


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of checking one model, with one seeded fault or with none."""

    spec: str
    fault: str
    states: int
    violated: tuple[str, ...]
    is_exhaustive: bool
    duration_s: float

    @property
    def is_expected(self) -> bool:
        """Whether the outcome is the required one.

        With a seeded fault an invariant must be violated. Without one, the
        search must be exhaustive and find no violation.
        """
        if self.fault:
            return bool(self.violated)
        return self.is_exhaustive and not self.violated


def check_all(*, is_full: bool) -> Iterator[Verdict]:
    """Check each specification without a fault and with each seeded fault."""
    total_units = 2 if is_full else 1
    limit = _MAX_STATES_WITH_FAULT
    if is_full:
        limit = _MAX_STATES_WITH_FAULT_FULL
    yield from _check('freshness', freshness.build, freshness.FAULTS, limit)
    yield from _check(
        'shares',
        lambda fault: shares.build(fault, total_units=total_units),
        shares.FAULTS,
        limit,
    )
    scopes = ('terms', 'failures', 'full') if is_full else ('terms', 'failures')
    for scope_name in scopes:
        yield from _check(
            f'log {scope_name}',
            lambda fault: log.build(fault, scope_name=scope_name),
            log.FAULTS[scope_name],
            limit,
        )


def _check(
    name: str,
    build: Callable[[str], Protocol],
    faults: tuple[str, ...],
    fault_limit: int,
) -> Iterator[Verdict]:
    for fault in ('', *faults):
        started_s = time.monotonic()
        limit = fault_limit if fault else _MAX_STATES
        checked = check_safety(build(fault), max_states=limit)
        violated = tuple(
            invariant
            for invariant, result in checked['properties'].items()
            if result['holds'] is False
        )
        yield Verdict(
            name,
            fault,
            checked['reachable_states'],
            violated,
            checked['exhaustive'],
            time.monotonic() - started_s,
        )


def main() -> int:
    """Print one line for each check; return the exit status."""
    failed = False
    for verdict in check_all(is_full='--full' in sys.argv):
        failed = failed or not verdict.is_expected
        outcome = 'ok' if verdict.is_expected else 'UNEXPECTED'
        fault = verdict.fault or 'no fault'
        print(
            f'{outcome:11}{verdict.spec:14}{fault:36}{verdict.states:>8} states '
            f'{verdict.duration_s:6.1f} s  {", ".join(verdict.violated)}',
            flush=True,
        )
    return int(failed)


if __name__ == '__main__':
    sys.exit(main())
