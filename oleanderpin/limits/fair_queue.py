"""The queue in front of the targets of a service."""

import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from ..control.state import Service, TrafficClass
from ..core.errors import Refusal, RefusalDetails
from ..core.plugin import Plugin, plugins
from ..routing.router import Router


@plugins.register('fair-queue')
class FairQueue(Plugin):
    """Bounds how many requests of a service run at once."""

    def __init__(self, kernel: Any) -> None:
        """Start without requests."""
        super().__init__(kernel)
        self._router = kernel.plugin(Router)
        self._changed = threading.Condition()
        self._running: Counter[str] = Counter()

    @contextmanager
    def enter(
        self,
        service: Service,
        account_name: str,
        *,
        traffic_class: TrafficClass,
        deadline_s: float,
    ) -> Iterator[None]:
        """Wait for the right to dispatch and hold it.

        Parameters
        ----------
        service : Service
            Service that is asked for.
        account_name : str
            Client account; empty on open services.
        traffic_class : str
            ``small`` or ``bulk``.
        deadline_s : float
            Monotonic time until which the request may wait.

        Raises
        ------
        Refusal
            If the deadline passes first.
        """
        slots = max(1, self._router.slots(service))
        timeout_s = deadline_s - self.kernel.clock.now_s()
        with self._changed:
            is_free = self._changed.wait_for(
                lambda: self._running[service.name] < slots, timeout_s
            )
            if not is_free:
                raise Refusal(
                    'queue_timeout',
                    f'all targets of {service.name!r} are busy',
                    remedy='try again later',
                    details=RefusalDetails(retry_after_s=1.0),
                )
            self._running[service.name] += 1
        try:
            yield
        finally:
            with self._changed:
                self._running[service.name] -= 1
                self._changed.notify_all()
