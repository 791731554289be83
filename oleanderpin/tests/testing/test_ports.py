"""Ports of tests that run in several processes at the same time."""

import subprocess
import sys

from ...testing import builders

_PORTS = 50
_CHILD = """
import itertools, sys
from oleanderpin.testing import builders
builders._CANDIDATES = itertools.count(int(sys.argv[1]))
print(*builders.free_ports(int(sys.argv[2])), builders.free_network())
sys.stdin.read()
"""


def test_processes_get_different_ports_and_networks() -> None:
    """Guards against two test runs that take the same ports or network.

    Both processes look for ports from the same one on, and neither has bound
    those that it got.
    """
    first = builders.free_ports(1)[0]
    processes = [
        subprocess.Popen(
            [sys.executable, '-c', _CHILD, str(first), str(_PORTS)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(2)
    ]
    found: list[str] = []
    for process in processes:
        assert process.stdout is not None
        found.extend(process.stdout.readline().split())
    for process in processes:
        process.communicate()
    assert len(found) == 2 * _PORTS + 2
    assert len(set(found)) == len(found)
    assert str(first) not in found
