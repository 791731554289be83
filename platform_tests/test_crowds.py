"""Clients of the platform's listeners that do not behave.

The machine of a control instance has 296 MB.
"""

import http.client
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from oleanderpin.testing.control_crowds import (
    CrowdPlan,
    all_at_once,
    operator_plans,
    peer_plans,
)
from oleanderpin.testing.listener_crowds import (
    answers_operators,
    answers_peers,
    control_daemon,
    crowd_at,
    is_alive,
    memory_mb,
)
from oleanderpin.testing.processes import DaemonProcess

CONTROL_PORT = 7001
DIRECTORY_PORT = 7002
MAX_MEMORY_MB = 200
MACHINE_MEMORY_MB = 296
MB = 1024 * 1024
PUT = b'PUT /config HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'
PATCH = PUT.replace(b'PUT', b'PATCH')
EMPTY_LISTS = b'{"routes": {"a": {"x": [[]%s]}}}' % (b',[]' * 600_000)
# The error of each number refers to the long name.
ERRORS_WITH_LONG_NAMES = b'{"version": 1, "remove": {"%s": [1%s]}}' % (
    b'k' * 900_000,
    b',1' * 500,
)


def start_adapter(daemon: DaemonProcess) -> None:
    """Start the daemon with the adapter's plug-ins."""
    code = 'import sys; from adapter.main import main; sys.exit(main())'
    with daemon.settings.with_suffix('.log').open('ab') as log_file:
        daemon.process = subprocess.Popen(
            [
                sys.executable,
                '-c',
                code,
                '--control',
                f'{daemon.host}:{CONTROL_PORT}',
                '--directory',
                f'{daemon.host}:{DIRECTORY_PORT}',
            ],
            env=os.environ
            | {
                'OLEANDERPIN_BOOT': str(daemon.settings),
                'PYTHONPATH': os.pathsep.join(sys.path),
            },
            stderr=log_file,
        )


def call(daemon: DaemonProcess, method: str, path: str, body: bytes) -> int:
    """Return the status of a call at the control interface."""
    client = http.client.HTTPConnection(daemon.host, CONTROL_PORT, timeout=20)
    client.request(method, path, body)
    status = client.getresponse().status
    client.close()
    return status


def configuration(routes: int) -> bytes:
    """Return a legal configuration with as many routes."""
    route = {
        'pathPrefix': '/orders',
        'kind': 'safe',
        'timeout': '1500ms',
        'service': 'desk',
        'allowedRegions': ['north', 'south'],
    }
    return json.dumps(
        {
            'version': 1,
            'routes': {
                f'route-{number}': route | {'host': f'shop-{number}.example'}
                for number in range(routes)
            },
            'services': {'desk': {'healthPath': '/health'}},
        }
    ).encode()


@pytest.mark.parametrize('port', [CONTROL_PORT, DIRECTORY_PORT])
def test_unfinished_bodies_take_bounded_memory(
    tmp_path: Path, port: int
) -> None:
    """Guards against bodies that no call of the platform has."""
    with control_daemon(tmp_path, start=start_adapter) as daemon:
        before_mb = memory_mb(daemon)
        with crowd_at(daemon, port) as crowd:
            crowd.connect(4)
            crowd.send(PUT % (60 * MB) + b' ' * 50 * MB)
            assert answers_operators(daemon)
            assert memory_mb(daemon) < before_mb + 30
        assert is_alive(daemon)


def test_documents_of_empty_lists_take_bounded_memory(tmp_path: Path) -> None:
    """Guards against items that take three bytes, and a hundred in memory."""
    document = EMPTY_LISTS
    with control_daemon(tmp_path, start=start_adapter) as daemon:
        with crowd_at(daemon, CONTROL_PORT) as crowd:
            crowd.connect(4)
            crowd.send(PUT % len(document) + document)
            crowd.await_ends()
            assert call(daemon, 'GET', '/rollouts/desk', b'') == 404
            assert memory_mb(daemon) < MAX_MEMORY_MB
        assert is_alive(daemon)


def test_errors_in_a_document_take_bounded_memory(tmp_path: Path) -> None:
    """Guards against errors that take a thousand times the document."""
    document = ERRORS_WITH_LONG_NAMES
    with control_daemon(tmp_path, start=start_adapter) as daemon:
        with crowd_at(daemon, CONTROL_PORT) as crowd:
            crowd.connect(1)
            crowd.send(PATCH % len(document) + document)
            crowd.await_ends()
            assert memory_mb(daemon) < MAX_MEMORY_MB
            assert call(daemon, 'GET', '/rollouts/desk', b'') == 404
        assert is_alive(daemon)


def test_large_documents_at_once_take_bounded_memory(tmp_path: Path) -> None:
    """Guards against documents that are decoded and applied side by side."""
    document = configuration(5000)
    assert len(document) > 0.7 * MB
    with control_daemon(tmp_path, start=start_adapter) as daemon:
        with crowd_at(daemon, CONTROL_PORT) as crowd:
            crowd.connect(8)
            crowd.send(PUT % len(document) + document)
            crowd.await_ends()
            assert call(daemon, 'GET', '/config', b'') == 200
            assert memory_mb(daemon) < MAX_MEMORY_MB
        assert is_alive(daemon)


def platform_plans() -> list[CrowdPlan]:
    """Return the crowds of this module."""
    unfinished = PUT % (60 * MB) + b' ' * 50 * MB
    document = configuration(5000)
    return [
        CrowdPlan(CONTROL_PORT, 4, unfinished),
        CrowdPlan(DIRECTORY_PORT, 4, unfinished),
        CrowdPlan(CONTROL_PORT, 4, PUT % len(EMPTY_LISTS) + EMPTY_LISTS),
        CrowdPlan(CONTROL_PORT, 8, PUT % len(document) + document),
    ]


def test_all_crowds_at_once_take_bounded_memory(tmp_path: Path) -> None:
    """Guards against bounds that hold one by one, but not together.

    Crowds at all ports of an instance send at the same time.
    """
    plans = [*peer_plans(), *operator_plans(), *platform_plans()]
    memory = [f'memory_mb = {MACHINE_MEMORY_MB}']
    with control_daemon(
        tmp_path, instance=memory, start=start_adapter
    ) as daemon:
        with all_at_once(daemon, plans) as crowds:
            # The last one changes the configuration.
            crowds[-1].await_ends()
            assert answers_operators(daemon)
            assert answers_peers(daemon)
            assert call(daemon, 'GET', '/config', b'') == 200
            assert memory_mb(daemon) < MACHINE_MEMORY_MB
        assert is_alive(daemon)
