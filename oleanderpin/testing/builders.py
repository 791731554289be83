"""Free ports and settings for loopback instances in tests."""

import errno
import fcntl
import functools
import itertools
import os
import socket
import tempfile
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import BinaryIO

from ..control.state import PartOwners
from ..membership.peers import Peer

_FIRST_PORT = 10000
_LAST_PORT = 32000
_PORTS_PER_PROCESS = 97
_NETWORKS = range(80, 200)


def free_ports(count: int) -> list[int]:
    """Return ``count`` distinct free loopback TCP and UDP ports.

    The ports lie below the system's ephemeral port range, so that no outgoing
    connection can take one before it is bound. A process does not get the same
    port twice, and no other process gets it while this one runs.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_CANDIDATES)
        if _reserve(port) and _is_free(port):
            ports.append(port)
    return ports


def _candidates() -> Iterator[int]:
    # Test processes that run at the same time start at different offsets.
    span = _LAST_PORT - _FIRST_PORT
    start = os.getpid() * _PORTS_PER_PROCESS
    for offset in itertools.count(start):
        yield _FIRST_PORT + offset % span


def free_network() -> str:
    """Return the first two numbers of a loopback network for this process.

    No other process gets it while this one runs.

    Raises
    ------
    OSError
        If all networks are taken.
    """
    for number in _NETWORKS:
        if _reserve(_LAST_PORT + number):
            return f'127.{number}'
    raise OSError(
        errno.EADDRNOTAVAIL, f'all {len(_NETWORKS)} loopback networks are taken'
    )


@functools.cache
def _reservations() -> BinaryIO:
    """Return a file that test processes share.

    It has a byte for each port and, after the last one, for each network.
    """
    path = Path(tempfile.gettempdir()) / f'oleanderpin-ports-{os.getuid()}'
    return path.open('ab')


def _reserve(position: int) -> bool:
    """Lock a byte for this process; return whether no other one has it."""
    try:
        fcntl.lockf(_reservations(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, position)
    except BlockingIOError:
        return False
    return True


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                return False
    return True


_CANDIDATES = _candidates()


def make_peers(failure_domain: str, count: int) -> list[Peer]:
    """Return gateways of a failure domain; its region precedes the dash."""
    return [
        Peer(
            name=f'{failure_domain}-{number}',
            region=failure_domain.partition('-')[0],
            failure_domain=failure_domain,
            site=failure_domain,
            caller_address=f'{failure_domain}-{number}:80',
            admin_address='',
            peer_address='',
            incarnation=1,
            roles=('gateway',),
        )
        for number in range(count)
    ]


def settled_owners(
    addresses: Iterable[str], *, number: int = 1, region: str = 'north'
) -> PartOwners:
    """Return owners of parts in one region, with no hand-over in progress."""
    owners = dict.fromkeys(addresses, region)
    return PartOwners(number, owners, owners)


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
        Peer ports of the seed instances.
    control_members : sequence of (str, int)
        Name and peer port of the initial control members.
    region, failure_domain : str
        Location of the instance.
    data_dir : str
        Data directory; an instance with one also has the control role.
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
