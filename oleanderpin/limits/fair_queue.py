"""Fair queue in front of the targets of each service."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from ..control.state import Service, TrafficClass
from ..core.errors import Refusal, RefusalDetails
from ..core.plugin import Plugin, plugins
from ..routing.router import Router
from .round_robin import Waiter
from .slots import ServiceSlots

_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 5.0


@plugins.register('fair-queue')
class FairQueue(Plugin):
    """Grants the slots of each service to its client accounts in turn."""

    def __init__(self, kernel: Any) -> None:
        """Start without queues."""
        super().__init__(kernel)
        self._router = kernel.plugin(Router)
        self._lock = threading.Lock()
        self._services: dict[str, ServiceSlots] = {}
        # Waiting requests occupy threads of the caller listener; those of one
        # service may occupy half of them.
        self._max_waiting = kernel.settings.forwarding.threads // 2

    @contextmanager
    def enter(
        self,
        service: Service,
        account_name: str,
        *,
        traffic_class: TrafficClass,
        deadline_s: float,
    ) -> Iterator[None]:
        """Wait for a slot and hold it while the context is active.

        Parameters
        ----------
        service : Service
            Requested service.
        account_name : str
            Client account; empty on open services.
        traffic_class : str
            ``small`` or ``bulk``.
        deadline_s : float
            Monotonic time until which the request may wait.

        Raises
        ------
        Refusal
            ``queue_full`` if the queue is full, for the account or as a
            whole; ``queue_timeout`` if the deadline passes first.
        """
        self._acquire_slot(service, account_name, traffic_class, deadline_s)
        started_s = self.kernel.clock.now_s()
        try:
            yield
        finally:
            self._release_slot(service, account_name, traffic_class, started_s)

    def _release_slot(
        self,
        service: Service,
        account_name: str,
        traffic_class: TrafficClass,
        started_s: float,
    ) -> None:
        now_s = self.kernel.clock.now_s()
        slots = self._router.slots(service)
        with self._lock:
            queue = self._services[service.name]
            queue.release(account_name, traffic_class, now_s - started_s)
            self._dispatch(queue, slots, now_s)

    def _acquire_slot(
        self,
        service: Service,
        account_name: str,
        traffic_class: TrafficClass,
        deadline_s: float,
    ) -> None:
        slots = self._router.slots(service)
        now_s = self.kernel.clock.now_s()
        waiter = Waiter(account_name, deadline_s)
        with self._lock:
            queue = self._services.setdefault(
                service.name, ServiceSlots(places=self._max_waiting)
            )
            # Further targets may have been announced since the last call.
            self._dispatch(queue, slots, now_s)
            if queue.start_at_once(traffic_class, now_s):
                return
            if not queue.push(waiter, traffic_class):
                raise self._refusal('queue_full', service, queue)
        waiter.event.wait(max(0.0, deadline_s - now_s))
        with self._lock:
            if not waiter.is_granted:
                queue.remove(waiter, traffic_class)
                raise self._refusal('queue_timeout', service, queue)

    def _dispatch(self, queue: ServiceSlots, slots: int, now_s: float) -> None:
        queue.set_slots(slots)
        for waiter in queue.dispatch(now_s):
            waiter.event.set()

    def _refusal(
        self, reason: str, service: Service, queue: ServiceSlots
    ) -> Refusal:
        retry_after_s = min(
            _MAX_RETRY_AFTER_S,
            max(_MIN_RETRY_AFTER_S, queue.expected_wait_s()),
        )
        return Refusal(
            reason,
            f'all targets of {service.name!r} are busy',
            remedy='try again later',
            details=RefusalDetails(retry_after_s=retry_after_s),
        )
