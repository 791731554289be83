"""Builders of test data."""

import socket
from collections.abc import Sequence


def free_ports(count: int) -> list[int]:
    """Return ``count`` distinct free loopback TCP ports."""
    sockets = [socket.create_server(('127.0.0.1', 0)) for _each in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def settings_text(
    *,
    name: str,
    ports: Sequence[int],
    seeds: Sequence[int],
    control_members: Sequence[tuple[str, int]] = (),
    region: str = 'north',
    failure_domain: str = 'north-a',
    data_dir: str = '',
    extra: str = '',
) -> str:
    """Return the INI text of a loopback instance.

    Parameters
    ----------
    name : str
        Instance name.
    ports : sequence of int
        Caller, admin and peer port.
    seeds : sequence of int
        Peer ports of the instances to join through.
    control_members : sequence of (str, int)
        Name and peer port of the first control instances.
    region, failure_domain : str
        Place of the instance.
    data_dir : str
        Data folder; an instance with one also has the control role.
    extra : str
        Further INI text.
    """
    roles = 'entry, control' if data_dir else 'entry'
    members = ', '.join(
        f'{member}=127.0.0.1:{port}' for member, port in control_members
    )
    lines = [
        '[instance]',
        f'name = {name}',
        f'region = {region}',
        f'failure_domain = {failure_domain}',
        f'roles = {roles}',
        f'data_dir = {data_dir}' if data_dir else '',
        '[listen]',
        f'caller = 127.0.0.1:{ports[0]}',
        f'admin = 127.0.0.1:{ports[1]}',
        f'peer = 127.0.0.1:{ports[2]}',
        '[peers]',
        'seeds = ' + ', '.join(f'127.0.0.1:{port}' for port in seeds),
        '[control]',
        f'initial_members = {members}',
        extra,
    ]
    return '\n'.join(lines) + '\n'
