"""A request with its route, and the state of its attempts."""

from dataclasses import dataclass, field

from ..control.state import Account, Service
from ..core.clock import monotonic_s
from .messages import CallerRequest, TokenSource
from .routes import WeightedRoute

# No attempt is started with less time left than this, since no response could
# arrive in time.
MIN_ATTEMPT_TIME_S = 0.02


@dataclass(slots=True)
class RoutedRequest:
    """A request with its route, and the state of its attempts.

    ``deadline_s`` is the monotonic time at which the response is due.
    """

    request: CallerRequest
    request_id: bytes
    route: WeightedRoute
    service: Service
    account: Account | None
    regions: tuple[str, ...]
    deadline_s: float
    rank: int
    object_key: str
    attempts: int = 0
    may_have_run: bool = False
    has_waited: bool = False
    wait_s: float = 0.0
    rejection: str = ''
    rate_token: TokenSource = ''
    tried: set[str] = field(default_factory=set)

    @property
    def is_repeatable(self) -> bool:
        """Whether the request is safe to run more than once."""
        return self.route.profile.is_repeatable

    def left_s(self) -> float:
        """Return the time until the deadline."""
        return self.deadline_s - monotonic_s()

    def can_retry(self) -> bool:
        """Return whether another attempt is safe and can still be useful."""
        is_allowed = self.is_repeatable or not self.may_have_run
        is_useful = (
            not self.request.caller_disconnected
            and self.left_s() > MIN_ATTEMPT_TIME_S
        )
        max_attempts = self.route.profile.max_attempts
        return is_allowed and is_useful and self.attempts < max_attempts
