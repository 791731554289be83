"""A gateway and a control instance that lends tokens to it, over loopback."""

from pathlib import Path

import pytest

from ... import daemon  # noqa: F401  registers all plug-ins
from ...control.view import ControlView
from ...core.kernel import Kernel
from ...limits.floors import LENDER_PREFIX
from ...limits.shares import ShareHolder
from ...testing import free_ports
from ...testing.fleet import build_settings
from ...testing.gateway import (
    GatewayFixture,
    ScriptedHttpTarget,
    configuration,
    configure,
    request_bytes,
)
from ..control.group import wait_until
from .test_plugin import status_of

RATE_PER_S = 5.0


def settings(name: str, roles: str, ports: list[int], folder: Path) -> str:
    """Return the INI text of an instance; the first one is the only seed."""
    own = ports[:3] if name == 'c1' else ports[3:]
    lines = [
        '[instance]',
        f'name = {name}',
        'region = north',
        'failure_domain = north-a',
        f'roles = {roles}',
        '[listen]',
        f'caller = 127.0.0.1:{own[0]}',
        f'admin = 127.0.0.1:{own[1]}',
        f'peer = 127.0.0.1:{own[2]}',
        '[peers]',
        f'seeds = 127.0.0.1:{ports[2]}',
        '[control]',
        f'initial_members = c1=127.0.0.1:{ports[2]}',
        '[gateway]',
        'grace_s = 1',
        'lookup_ttl_s = 0',
    ]
    if name == 'c1':
        lines.insert(5, f'data_dir = {folder}')
    return '\n'.join(lines)


@pytest.fixture
def kernels(tmp_path: Path):
    ports = free_ports(6)
    started = []
    for name, roles in (('c1', 'control'), ('g1', 'gateway')):
        kernel = Kernel(build_settings(settings(name, roles, ports, tmp_path)))
        kernel.start()
        started.append(kernel)
    yield started
    for kernel in reversed(started):
        kernel.drain(timeout_s=0)
        kernel.stop()


def test_control_instance_lends_to_a_gateway(kernels: list[Kernel]) -> None:
    """Guards against a lender that the leader lends nothing.

    Its name was not a valid one, so that it was never registered, and all small
    accounts were refused.
    """
    control, gateway = kernels
    configure(control, configuration(rate_per_s=RATE_PER_S))
    fixture = GatewayFixture(
        gateway, int(gateway.settings.listen.caller.rpartition(':')[2])
    )
    fixture.announce(ScriptedHttpTarget().start(), 't1')
    wait_until(
        'a request served',
        lambda: status_of(fixture.ask(request_bytes())[0]) == 200,
    )
    holders = control.plugin(ControlView).state.share_holders
    assert f'{LENDER_PREFIX}c1' in holders
    served = [status_of(fixture.ask(request_bytes())[0]) for _each in range(5)]
    assert served == [200] * 5
    # The gateway has not borrowed for itself.
    assert not gateway.plugin(ShareHolder).holder.held('account/shop')[2]
