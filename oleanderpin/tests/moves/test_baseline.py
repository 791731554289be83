"""Which version a service adopts before its first move."""

import logging
from pathlib import Path

import pytest

from ... import daemon  # noqa: F401  registers all plug-ins
from ...control.state import ControlState, Service
from ...control.view import ControlView
from ...core.kernel import Kernel
from ...moves.baseline import version_to_adopt
from ...targets.announcement import Announcement
from ...targets.table import TargetTable
from ...testing import free_ports
from ...testing.fleet import build_settings
from ...testing.gateway import configuration, configure, gateway_settings
from ...testing.routing import make_target
from ..control.group import wait_until


def adopted(
    version: str, present: list[str], *, without_targets_s: float
) -> str:
    service = Service('desk', 'counter', version=version)
    targets = [
        make_target(
            f't{number}', failure_domain='north-a', version=target_version
        )
        for number, target_version in enumerate(present)
    ]
    return version_to_adopt(
        service, targets, without_targets_s=without_targets_s
    )


def test_first_version_is_the_most_common_one() -> None:
    """Guards against requests to targets of a new version before a move."""
    assert adopted('', ['v1', 'v2', 'v1'], without_targets_s=0) == 'v1'


def test_version_in_use_stays() -> None:
    """Guards against a change of version without a move."""
    assert not adopted('v1', ['v1', 'v2', 'v2'], without_targets_s=60)


def test_version_without_targets_is_replaced_after_a_delay() -> None:
    """Guards against a service that rejects all requests permanently."""
    assert not adopted('v1', ['v2'], without_targets_s=1)
    assert adopted('v1', ['v2'], without_targets_s=10) == 'v2'


def test_every_service_adopts_a_version(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a step that ends after the first service.

    The line about the first one could not be logged. The second service kept
    no version, so that a bad one got requests before its move.
    """
    caplog.set_level(logging.INFO)
    ports = free_ports(3)
    kernel = Kernel(build_settings(gateway_settings(ports, tmp_path)))
    kernel.start()
    services = ('desk', 'vault')
    table = kernel.plugin(TargetTable)
    for name in services:
        announcement = Announcement(
            service=name,
            target_id=f't-{name}',
            address='127.0.0.1:1',
            region='north',
            failure_domain='north-a',
            version='v1',
            slots=1,
        )
        table.announce(announcement)
    try:
        configure(kernel, configuration(services=services, weights=(1.0, 1.0)))
        state = wait_until(
            'both versions', lambda: _state_with_versions(kernel, services)
        )
    finally:
        kernel.drain(timeout_s=0)
        kernel.stop()
    assert {state.services[name].version for name in services} == {'v1'}


def _state_with_versions(
    kernel: Kernel, services: tuple[str, ...]
) -> ControlState | None:
    state = kernel.plugin(ControlView).state
    found = [state.services.get(name) for name in services]
    return state if all(each and each.version for each in found) else None
