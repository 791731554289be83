"""A group of control instances in one process, for failure tests."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ...control.change import Change, Outcome
from ...control.distribution import Distribution
from ...control.log import ControlLog
from ...control.view import ControlView
from ...core.clock import monotonic_s
from ...core.errors import UnavailableError
from ...core.kernel import Kernel
from ...core.settings import load_settings
from ...operators import members  # noqa: F401
from ...testing import free_ports, settings_text
from ...testing.network import PartitionableNetwork

# Long enough for a busy machine; conditions are met much sooner.
WAIT_S = 60.0
MEMBER_TIMEOUT_S = 1.5
_EXTRA = """
heartbeat_interval_s = 0.1
election_timeout_min_s = 0.5
election_timeout_max_s = 1.0
leader_lease_s = 0.4
freshness_limit_s = 1.0
watch_hold_s = 0.2
snapshot_every_entries = 200
"""


def wait_until(what: str, condition: Callable[[], Any]) -> Any:
    """Return the first true value of ``condition``."""
    deadline_s = monotonic_s() + WAIT_S
    while monotonic_s() < deadline_s:
        found = condition()
        if found:
            return found
        time.sleep(0.02)
    raise AssertionError(f'{what}: not within {WAIT_S} s')


def account_change(number: int) -> Change:
    """Return a change whose request id is fixed by ``number``."""
    return Change(
        request_id=f'request-{number:06d}',
        command='account.put',
        arguments={'name': f'a{number}', 'rate_per_s': 10, 'burst': 5},
        expected_revision=0,
    )


class Group:
    """Control instances ``c0``, ``c1`` ...; the first ones form the group.

    Parameters
    ----------
    directory : Path
        Folder for settings and data.
    size : int
        Number of instances.
    initial : int
        Number of instances that form the initial group.
    joins_automatically : bool
        Whether instances ask the group to add them.
    """

    def __init__(
        self,
        directory: Path,
        *,
        size: int = 3,
        initial: int = 3,
        joins_automatically: bool = False,
    ):
        """Allocate the ports."""
        self._joins_automatically = joins_automatically
        ports = free_ports(size * 3)
        self.names = [f'c{number}' for number in range(size)]
        self.directory = directory
        self.kernels: dict[str, Kernel] = {}
        self.networks: dict[str, PartitionableNetwork] = {}
        self._ports = {
            name: ports[number * 3 : number * 3 + 3]
            for number, name in enumerate(self.names)
        }
        self._initial = self.names[:initial]

    def address(self, name: str) -> str:
        """Return the peer address of an instance."""
        return f'127.0.0.1:{self._ports[name][2]}'

    def start(self, *names: str) -> None:
        """Start instances, by default those of the initial group."""
        for name in names or self._initial:
            peer_ports = {each: port[2] for each, port in self._ports.items()}
            seeds = list(peer_ports.values())
            if self._joins_automatically:
                seeds = [
                    peer_ports[each] for each in (*self._initial, *self.kernels)
                ]
            text = settings_text(
                name=name,
                ports=self._ports[name],
                seeds=seeds,
                control_members=[
                    (each, peer_ports[each]) for each in self._initial
                ],
                data_dir=str(self.directory / name),
                extra=_EXTRA + self._join_settings(name),
            )
            path = self.directory / f'{name}.ini'
            path.write_text(text)
            kernel = Kernel(load_settings(path))
            self.networks[name] = PartitionableNetwork(kernel)
            self.kernels[name] = kernel
            kernel.start()

    def _join_settings(self, name: str) -> str:
        if not self._joins_automatically:
            return ''
        return (
            'join_automatically = true\n'
            f'form_from_seeds = {name in self._initial}\n'
            f'member_timeout_s = {MEMBER_TIMEOUT_S}\n'
        )

    def stop(self, *names: str) -> None:
        """Stop instances without draining them, by default all."""
        for name in names or tuple(self.kernels):
            self.kernels.pop(name).stop()

    def isolate(self, name: str) -> None:
        """Block the network between an instance and all others."""
        for other in self.kernels:
            if other != name:
                self.networks[other].block(self.address(name))
                self.networks[name].block(self.address(other))

    def heal(self) -> None:
        """End all partitions."""
        for network in self.networks.values():
            network.heal()

    def log(self, name: str) -> ControlLog:
        """Return the log of an instance."""
        return self.kernels[name].plugin(ControlLog)

    def view(self, name: str) -> ControlView:
        """Return the control view of an instance."""
        return self.kernels[name].plugin(ControlView)

    def leader(self, *, among: list[str] | None = None) -> str:
        """Wait for an instance with a valid lease and return its name."""
        return wait_until(
            'leader',
            lambda: next(
                (
                    name
                    for name in among or list(self.kernels)
                    if self.log(name).has_lease()
                ),
                None,
            ),
        )

    def change(self, number: int, *, through: str | None = None) -> Outcome:
        """Make a change, repeated with the same id until it is confirmed."""
        change = account_change(number)

        def answer() -> Outcome | None:
            name = through or next(iter(self.kernels))
            try:
                return self.kernels[name].plugin(Distribution).propose(change)
            except UnavailableError:
                return None

        return wait_until(f'change {number}', answer)

    def wait_for_same_revision(self) -> int:
        """Wait until all running instances have applied the same entries."""

        def revision() -> int | None:
            found = {self.view(name).revision for name in self.kernels}
            return found.pop() if len(found) == 1 else None

        return wait_until('same revision', revision)
