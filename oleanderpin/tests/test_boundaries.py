"""Tests of the boundary between the package and the platform adapter."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = ROOT / 'oleanderpin'
ADAPTER = ROOT / 'platform'
# Names from the platform's wire protocol, settings and bench.
PLATFORM_NAMES = re.compile(
    'heartbeatAddress|coldRemaining|coldPerS|coldStart|faultTolerance|'
    'baseVersion|targetLatency|targetVersion|pathPrefix|maxAttempts|'
    'allowedRegions|ratePerS|apiKeys|[Tt]enant|fleetbench|internalPorts|'
    'OLEANDERPIN_BOOT|[Ee]vacuat|X-Deadline-Ms|X-Affinity|X-Instance|'
    'X-Response-Seal|X-Not-Executed',
    re.IGNORECASE,
)
MAX_ADAPTER_LINES = 900
# Decisions are made by the control log, the share allocation and the target
# exchange; the adapter may only use these public interfaces.
ALLOWED_IMPORTS = re.compile(
    r'oleanderpin(\.(control\.(authority|change|configuration|state)|core\.\w+|'
    r'gateway\.(dialect|listener|messages)|lookup\.gateways|'
    r'operators\.actions|targets\.(announcement|departures|table)))?$'
)


def package_files() -> list[Path]:
    return sorted(
        path
        for path in PACKAGE.rglob('*.py')
        if path != Path(__file__) and 'generated' not in path.parts
    )


def test_package_holds_no_name_of_the_platform() -> None:
    """Guards against platform names outside the adapter."""
    found = [
        f'{path.relative_to(ROOT)}:{number}: {line.strip()}'
        for path in package_files()
        for number, line in enumerate(
            path.read_text(encoding='utf-8').splitlines(), 1
        )
        if PLATFORM_NAMES.search(line)
    ]
    assert not found


def test_adapter_stays_small() -> None:
    """Guards against moving decision logic of the package into the adapter."""
    lines = sum(
        len(path.read_text(encoding='utf-8').splitlines())
        for path in ADAPTER.rglob('*')
        if path.suffix in {'.py', '.ini'}
    )
    assert lines <= MAX_ADAPTER_LINES


@pytest.mark.parametrize(
    'path', sorted(ADAPTER.rglob('*.py')), ids=lambda path: path.name
)
def test_adapter_uses_public_interfaces(path: Path) -> None:
    """Guards against an adapter that depends on internals of the package."""
    imports = re.findall(
        r'^from (oleanderpin[\w.]*) import', path.read_text('utf-8'), re.M
    )
    assert [each for each in imports if not ALLOWED_IMPORTS.match(each)] == []
