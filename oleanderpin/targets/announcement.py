"""Target announcements and departures, and the target record."""

from dataclasses import dataclass
from typing import Annotated, NamedTuple

from pydantic import BaseModel, ConfigDict, Field

from ..core.settings import Address, Name

_Generation = Annotated[int, Field(ge=0, le=2**62)]
_TargetId = Annotated[str, Field(min_length=1, max_length=128)]


class Announcement(BaseModel):
    """Announcement of a target; renewed every second.

    ``generation`` increases with each start of the target, so that a target
    that has left can return, while a delayed announcement of an earlier run
    is ignored. ``sequence`` increases with each announcement of a run.
    ``cold_s`` is the remaining time for which the target is slow after its
    start.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    service: Name
    target_id: _TargetId
    address: Address
    region: Name
    failure_domain: Name
    version: Annotated[str, Field(max_length=64)] = ''
    slots: Annotated[int, Field(ge=1, le=100000)] = 1
    connections: Annotated[int, Field(ge=1, le=1000000)] = 100
    load: Annotated[float, Field(ge=0, le=1e6)] = 0.0
    generation: _Generation | None = None
    sequence: Annotated[int, Field(ge=0, le=2**62)] | None = None
    cold_s: Annotated[float, Field(ge=0, le=3600)] = 0.0


class Departure(BaseModel):
    """A target's notice that it accepts no new requests."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    service: Name
    target_id: _TargetId
    generation: _Generation | None = None


@dataclass(frozen=True, slots=True)
class Target:
    """A target as last announced.

    ``load`` was reported at ``load_seen_s``, in seconds of this instance's
    monotonic clock; it becomes less reliable with age. The target is cold
    until ``cold_until_s``, on the same clock.
    """

    service: str
    target_id: str
    address: str
    region: str
    failure_domain: str
    version: str
    slots: int
    connections: int
    load: float
    leaving: bool = False
    load_seen_s: float = float('-inf')
    sequence: int = 0
    cold_until_s: float = float('-inf')

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target is still warming up."""
        return now_s < self.cold_until_s


class Incarnation(NamedTuple):
    """One run of a target, from its start to its end.

    Parameters
    ----------
    target_id : str
        Identifier of the target.
    address : str
        Where it listens.
    generation : int
        Generation of its announcements; 0 if it sends none.
    """

    target_id: str
    address: str
    generation: int
