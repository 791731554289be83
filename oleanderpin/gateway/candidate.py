"""A target that may be chosen, and what a request needs of it."""

from dataclasses import dataclass

from ..core.logs import age_ms
from ..core.places import OTHER_REGION
from ..targets.announcement import Incarnation, Target
from .target_health import TargetHealth


@dataclass(slots=True)
class Candidate:
    """A target that may be chosen for a request.

    ``generation`` is that of its announcements, 0 if it sends none.
    """

    target: Target
    health: TargetHealth
    distance: int
    generation: int = 0

    @property
    def is_in_region(self) -> bool:
        """Whether the target is in the region of this instance."""
        return self.distance < OTHER_REGION

    @property
    def incarnation(self) -> Incarnation:
        """The run of the target to which the health belongs."""
        return Incarnation(
            self.target.target_id, self.target.address, self.generation
        )

    def announcement_age_ms(self, now_s: float) -> int | None:
        """Return the age of the target's last announcement."""
        return age_ms(now_s - self.target.load_seen_s)

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target is or may be cold."""
        return self.target.is_cold(now_s) or self.health.is_cold(now_s)


@dataclass(frozen=True, slots=True)
class Needs:
    """Requirements of a request on its target.

    Parameters
    ----------
    key : str
        Name of the object.
    left_s : float
        Time until the deadline.
    max_wait_s : float
        Longest wait for a slot that still meets the latency objective.
    usual_s : float
        Usual response time for an object that the target handled recently.
    cold_rate_per_s : float
        Limit on the request rate of a cold target, over all instances; 0
        for no limit.
    is_repeatable : bool
        Whether the request may serve as a trial of a slow or failing target.
    min_work_s : float
        Time that targets work at least on a request of this kind; 0 if it is
        unknown. Requests with less time left are rejected.
    uses_leaving : bool
        Whether the request may go to a leaving target.
    uses_degraded : bool
        Whether the request may go to a slow target, or be the trial of a
        failing one although it is not repeatable.
    """

    key: str
    left_s: float
    max_wait_s: float = 1.0
    usual_s: float = 0.0
    cold_rate_per_s: float = 0.0
    is_repeatable: bool = False
    min_work_s: float = 0.0
    uses_leaving: bool = False
    uses_degraded: bool = False
