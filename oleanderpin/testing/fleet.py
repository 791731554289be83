"""Several instances in one process on loopback, with link fault injection."""

import configparser
import threading
from collections.abc import Sequence
from typing import Any

from ..core.clock import Clock
from ..core.kernel import Kernel
from ..core.settings import Settings
from ..wire.datagrams import PeerDatagrams
from ..wire.network import PeerCallError, PeerNetwork
from .builders import free_ports, settings_text


class LinkFaults:
    """Injects faults into the links from one instance to its peers.

    Parameters
    ----------
    kernel : Kernel
        Kernel of the sending instance.
    """

    def __init__(self, kernel: Kernel) -> None:
        """Intercept the peer calls and datagrams that the instance sends."""
        self._cut_addresses: set[str] = set()
        self._silent_addresses: set[str] = set()
        self._hung_addresses: set[str] = set()
        self._restored = threading.Event()
        self.hung_calls = 0
        self._clock = kernel.clock
        network: Any = kernel.plugin(PeerNetwork)
        datagrams: Any = kernel.plugin(PeerDatagrams)
        self._call = network.call
        self._send = datagrams.send
        network.call = self.call
        datagrams.send = self.send

    def cut(self, *kernels: Kernel) -> None:
        """Cut the links to ``kernels``: calls fail, datagrams are dropped."""
        self._cut_addresses |= {each.settings.listen.peer for each in kernels}

    def silence(self, *kernels: Kernel) -> None:
        """Make calls to ``kernels`` time out on the clock of the instance."""
        self._silent_addresses |= {
            each.settings.listen.peer for each in kernels
        }

    def hang(self, *kernels: Kernel) -> None:
        """Hold calls to ``kernels`` without a time-out until `restore`."""
        self._restored.clear()
        self._hung_addresses |= {each.settings.listen.peer for each in kernels}

    def restore(self) -> None:
        """Restore all links."""
        self._cut_addresses.clear()
        self._silent_addresses.clear()
        self._hung_addresses.clear()
        self._restored.set()

    def call(self, address: str, *arguments: Any, timeout_s: float) -> Any:
        """Make a peer call, or fail if the link is cut.

        The failure is immediate; on a real cut link the call would time out.
        """
        if address in self._cut_addresses:
            raise PeerCallError(f'link to {address} is cut', sent=True)
        if address in self._silent_addresses:
            self._clock.sleep(timeout_s)
            raise PeerCallError(f'{address} is silent', sent=True)
        if address in self._hung_addresses:
            self.hung_calls += 1
            self._restored.wait()
            raise PeerCallError(f'{address} hung', sent=True)
        return self._call(address, *arguments, timeout_s=timeout_s)

    def send(self, address: str, payload: bytes) -> None:
        """Send a datagram, or drop it if the link is cut."""
        if address not in self._cut_addresses | self._silent_addresses:
            self._send(address, payload)


def build_settings(text: str) -> Settings:
    """Return the validated settings of an INI text."""
    # Not strict: `extra` may repeat sections that `settings_text` writes.
    parser = configparser.ConfigParser(interpolation=None, strict=False)
    parser.read_string(text)
    return Settings.model_validate(
        {name: dict(parser[name]) for name in parser.sections()}
    )


def build_fleet(
    failure_domains: Sequence[str],
    *,
    data_dir: str = '',
    clock: Clock | None = None,
    extra: str = '',
) -> list[Kernel]:
    """Create one instance for each failure domain, without starting any.

    Parameters
    ----------
    failure_domains : sequence of str
        Failure domain of each instance; the region is the part before '-'.
    data_dir : str
        Data directory of the first instance, which then has the control role.
    clock : Clock, optional
        Clock that all instances share.
    extra : str
        Further INI text for all instances.

    Returns
    -------
    list of Kernel
        Instances named ``i0``, ``i1`` and so on.
    """
    ports = free_ports(len(failure_domains) * 3)
    control_members = [('i0', ports[2])]
    kernels = []
    for number, failure_domain in enumerate(failure_domains):
        own_ports = ports[number * 3 : number * 3 + 3]
        text = settings_text(
            name=f'i{number}',
            ports=own_ports,
            seeds=[ports[2]],
            control_members=control_members,
            region=failure_domain.partition('-')[0],
            failure_domain=failure_domain,
            data_dir=data_dir if number == 0 else '',
            extra=extra,
        )
        kernels.append(Kernel(build_settings(text), clock=clock))
    return kernels
