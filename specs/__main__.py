"""Checks all specifications; ``--full`` checks them with larger bounds.

Exits with status 1 if an invariant fails without a fault or a seeded fault
is not found. ``make modelcheck`` passes ``--full``. A model that KNOWN-RED.txt
lists must violate an invariant; one that no longer does has to be taken off.
"""

import re
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from minicheck import Protocol, check_safety

from . import freshness, log, parts, restart, shares

_MAX_STATES = 3_000_000
# A seeded fault breaks an invariant within a few steps, so the search does not
# need to be exhaustive.
_MAX_STATES_WITH_FAULT = 40_000
_MAX_STATES_WITH_FAULT_FULL = 500_000
_KNOWN_RED_LIST = Path(__file__).parents[1] / 'KNOWN-RED.txt'
_KNOWN_RED_ENTRY = re.compile(
    '^[- ] check: python -m specs, (.+)$', re.MULTILINE
)


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of checking one model, with one seeded fault or with none."""

    spec: str
    fault: str
    states: int
    violated: tuple[str, ...]
    is_exhaustive: bool
    duration_s: float
    is_known_red: bool

    @property
    def is_expected(self) -> bool:
        """Whether the outcome is the required one.

        With a seeded fault, or a fault that is listed as known, an invariant
        must be violated. Without one, the search must be exhaustive and find
        no violation.
        """
        if self.fault or self.is_known_red:
            return bool(self.violated)
        return self.is_exhaustive and not self.violated


def check_all(*, is_full: bool) -> Iterator[Verdict]:
    """Check each specification without a fault and with each seeded fault."""
    total_units = 2 if is_full else 1
    limit = _MAX_STATES_WITH_FAULT
    if is_full:
        limit = _MAX_STATES_WITH_FAULT_FULL
    yield from _check('freshness', freshness.build, freshness.FAULTS, limit)
    yield from _check('restart', restart.build, restart.FAULTS, limit)
    yield from _check(
        'shares',
        lambda fault: shares.build(fault, total_units=total_units),
        shares.FAULTS,
        limit,
    )
    for parts_scope in parts.SCOPES:
        if is_full or parts_scope not in parts.FULL_SCOPES:
            yield from _check(
                f'parts {parts_scope}',
                lambda fault: parts.build(fault, scope_name=parts_scope),
                parts.FAULTS.get(parts_scope, ()),
                limit,
            )
    scopes = tuple(log.SCOPES) if is_full else ('terms', 'failures')
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
    known_red = _known_red()
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
            not fault and name in known_red,
        )


def _known_red() -> set[str]:
    """Return the names of the models that are listed as known to fail."""
    return set(
        _KNOWN_RED_ENTRY.findall(_KNOWN_RED_LIST.read_text(encoding='utf-8'))
    )


def main() -> int:
    """Print one line for each check; return the exit status."""
    failed = False
    for verdict in check_all(is_full='--full' in sys.argv):
        failed = failed or not verdict.is_expected
        outcome = 'ok' if verdict.is_expected else 'UNEXPECTED'
        if verdict.is_expected and verdict.is_known_red:
            outcome = 'KNOWN-RED'
        fault = verdict.fault or 'no fault'
        print(
            f'{outcome:11}{verdict.spec:26}{fault:42}{verdict.states:>8} states '
            f'{verdict.duration_s:6.1f} s  {", ".join(verdict.violated)}',
            flush=True,
        )
    return int(failed)


if __name__ == '__main__':
    sys.exit(main())
