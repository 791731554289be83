"""A peer network that can be partitioned, for tests."""

import threading
from typing import Any

from ..core.kernel import Kernel
from ..wire.network import PeerCallError, PeerNetwork


class PartitionableNetwork:
    """Replaces the outgoing calls of one instance.

    A blocked address behaves as behind a silent partition: calls neither
    fail nor return until their timeout. A call is also lost when the address
    is blocked before its answer arrives. Block both directions to isolate
    an instance.

    Parameters
    ----------
    kernel : Kernel
        The instance; its plug-ins then call through this object.
    """

    def __init__(self, kernel: Kernel) -> None:
        """Take over the calls of the kernel's peer network."""
        network = kernel.plugin(PeerNetwork)
        self._call = network.call
        self._changed = threading.Condition()
        self._blocked: set[str] = set()
        network.call = self.call  # type: ignore[method-assign]

    def block(self, address: str) -> None:
        """Lose all calls to ``address`` and the answers to them."""
        with self._changed:
            self._blocked.add(address)

    def heal(self) -> None:
        """Let all calls through again; calls already lost stay lost."""
        with self._changed:
            self._blocked.clear()

    def call(
        self,
        address: str,
        service_name: str,
        method: str,
        *arguments: Any,
        timeout_s: float,
    ) -> Any:
        """Call a peer unless its address is blocked.

        Raises
        ------
        PeerCallError
            After ``timeout_s`` seconds if the address is blocked, or as the
            peer network raises it.
        """
        self._lose_if_blocked(address, timeout_s)
        answer = self._call(
            address, service_name, method, *arguments, timeout_s=timeout_s
        )
        self._lose_if_blocked(address, timeout_s)
        return answer

    def _lose_if_blocked(self, address: str, timeout_s: float) -> None:
        with self._changed:
            if address not in self._blocked:
                return
        threading.Event().wait(timeout_s)
        raise PeerCallError(f'{address} is blocked', sent=True)
