"""Simulated network partitions between instances, for tests."""

import threading
from typing import Any

from ..core.kernel import Kernel
from ..wire.network import PeerCallError, PeerNetwork


class PartitionableNetwork:
    """Intercepts the outgoing peer calls of one instance.

    Calls to a blocked address behave as in a partition that drops packets:
    they fail only when their timeout expires. A call also fails if the
    address is blocked before its answer arrives. To isolate an instance,
    block both directions.

    Parameters
    ----------
    kernel : Kernel
        Kernel of the instance; the calls of its plug-ins are intercepted.
    """

    def __init__(self, kernel: Kernel) -> None:
        """Replace the call method of the kernel's peer network."""
        network = kernel.plugin(PeerNetwork)
        self._call = network.call
        self._lock = threading.Condition()
        self._blocked: set[str] = set()
        network.call = self.call  # type: ignore[method-assign]

    def block(self, address: str) -> None:
        """Drop all calls to ``address`` and their answers."""
        with self._lock:
            self._blocked.add(address)

    def heal(self) -> None:
        """Unblock all addresses; calls already dropped still time out."""
        with self._lock:
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
        self._time_out_if_blocked(address, timeout_s)
        answer = self._call(
            address, service_name, method, *arguments, timeout_s=timeout_s
        )
        self._time_out_if_blocked(address, timeout_s)
        return answer

    def _time_out_if_blocked(self, address: str, timeout_s: float) -> None:
        with self._lock:
            if address not in self._blocked:
                return
        threading.Event().wait(timeout_s)
        raise PeerCallError(
            f'{address} is blocked by a simulated partition', sent=True
        )
