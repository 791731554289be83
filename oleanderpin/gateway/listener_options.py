"""Limits and hooks of an HTTP listener."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..core.memory_budget import MemoryBudget
from .messages import CallerRequest, Limits, Response
from .traffic import TrafficMeter

_MIN_DELIVERY_BYTES_PER_S = 64.0


@dataclass(frozen=True, slots=True)
class StaticLimits:
    """Fixed size limits and time-outs for clients of an interface."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


Admit = Callable[[CallerRequest], Awaitable[Response | None]]


@dataclass(frozen=True, slots=True)
class ListenerOptions:
    """What a listener may be given beside its handler.

    Parameters
    ----------
    limits : callable
        Returns the limits in force.
    memory : MemoryBudget, optional
        Budget of the memory held for the connections.
    max_connections : int, optional
        Limit on the open connections; left out, a part of the process's limit
        on descriptors.
    min_delivery_bytes_per_s : float
        A caller that takes its responses more slowly over an idle time-out is
        closed.
    meter : TrafficMeter, optional
        Counts the bytes of the connections.
    admit : callable, optional
        Decides about a request with a large body before the body is read;
        returns the response if it is refused, else None.
    abandon : callable, optional
        Told of an admitted request whose body will not come.
    body_time_limit_s : callable, optional
        Returns how long a request may take until its body is complete; left
        out, the idle time-out.
    """

    limits: Callable[[], Limits] = StaticLimits
    memory: MemoryBudget | None = None
    max_connections: int | None = None
    min_delivery_bytes_per_s: float = _MIN_DELIVERY_BYTES_PER_S
    meter: TrafficMeter | None = None
    admit: Admit | None = None
    abandon: Callable[[CallerRequest], None] | None = None
    body_time_limit_s: Callable[[CallerRequest], float] | None = None


def bounded_options(
    *, max_body_bytes: int, max_held_bytes: int
) -> ListenerOptions:
    """Return options for an interface with small requests.

    Parameters
    ----------
    max_body_bytes : int
        Largest body.
    max_held_bytes : int
        Limit on the memory held for all connections.
    """
    limits = StaticLimits(max_body_bytes=max_body_bytes)
    return ListenerOptions(
        limits=lambda: limits, memory=MemoryBudget(max_held_bytes)
    )
