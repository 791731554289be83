"""Several instances in one process over loopback, with links that can be cut."""

import configparser
from collections.abc import Sequence
from typing import Any

from ..core.clock import Clock
from ..core.kernel import Kernel
from ..core.settings import Settings
from ..wire.datagrams import PeerDatagrams
from ..wire.network import PeerCallError, PeerNetwork
from .builders import free_ports, settings_text


class LinkFaults:
    """Cuts what one instance sends to others.

    Parameters
    ----------
    kernel : Kernel
        The sending instance.
    """

    def __init__(self, kernel: Kernel) -> None:
        """Put itself in front of the instance's network."""
        self._cut: set[str] = set()
        network: Any = kernel.plugin(PeerNetwork)
        datagrams: Any = kernel.plugin(PeerDatagrams)
        self._call = network.call
        self._send = datagrams.send
        network.call = self.call
        datagrams.send = self.send

    def cut(self, *kernels: Kernel) -> None:
        """Lose whatever is sent to ``kernels``."""
        self._cut |= {each.settings.listen.peer for each in kernels}

    def restore(self) -> None:
        """Deliver again."""
        self._cut.clear()

    def call(self, address: str, *arguments: Any, timeout_s: float) -> Any:
        """Fail at once in place of the time-out that a cut link causes."""
        if address in self._cut:
            raise PeerCallError(f'link to {address} is cut', sent=True)
        return self._call(address, *arguments, timeout_s=timeout_s)

    def send(self, address: str, payload: bytes) -> None:
        """Drop datagrams on a cut link."""
        if address not in self._cut:
            self._send(address, payload)


def build_settings(text: str) -> Settings:
    """Return the validated settings of an INI text."""
    # Sections of `extra` may repeat those of the builder.
    parser = configparser.ConfigParser(interpolation=None, strict=False)
    parser.read_string(text)
    return Settings.model_validate(
        {name: dict(parser[name]) for name in parser.sections()}
    )


def build_fleet(
    places: Sequence[str],
    *,
    data_dir: str = '',
    clock: Clock | None = None,
    extra: str = '',
) -> list[Kernel]:
    """Build one instance for each place, none of them started.

    Parameters
    ----------
    places : sequence of str
        Failure domain of each instance; the region is the part before '-'.
    data_dir : str
        Data folder of the first instance, which then has the control role.
    clock : Clock, optional
        Clock that all instances share.
    extra : str
        Further INI text for all instances.

    Returns
    -------
    list of Kernel
        Instances named ``i0``, ``i1`` and so on.
    """
    ports = free_ports(len(places) * 3)
    first = [('i0', ports[2])]
    kernels = []
    for number, failure_domain in enumerate(places):
        own_ports = ports[number * 3 : number * 3 + 3]
        text = settings_text(
            name=f'i{number}',
            ports=own_ports,
            seeds=[ports[2]],
            control_members=first,
            region=failure_domain.partition('-')[0],
            failure_domain=failure_domain,
            data_dir=data_dir if number == 0 else '',
            extra=extra,
        )
        kernels.append(Kernel(build_settings(text), clock=clock))
    return kernels
