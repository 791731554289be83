"""Limits retries to a percentage of requests, over all gateways together.

Load pattern: targets fail or refuse many requests at once. Without a limit,
retries multiply the load of a service that is already overloaded. Retries that
were earned earlier and not used are a reserve; what all gateways may store
together does not grow with their number.
"""

from ..core.clock import monotonic_s

# Reserve of a gateway that does not know how many others there are.
_DEFAULT_RESERVE = 1.0
# A gateway that starts has at most this much of its reserve.
_START_RETRIES = 3.0
# Fraction of the fleet's reserve that is divided; the rest covers gateways that
# do not know each other yet.
_USED_FRACTION = 0.9
# A gateway without a reserve keeps what it earned for this long, so that it can
# retry one of several requests that follow each other.
_EARNED_VALID_S = 1.0


def reserve_of(fleet_reserve: float, gateway_count: int, rank: int) -> float:
    """Return the retries that one gateway may store.

    Parameters
    ----------
    fleet_reserve : float
        Retries that all gateways together may store.
    gateway_count : int
        Number of gateways.
    rank : int
        Position of the gateway among all, from 0. Where there is less than one
        retry for each gateway, the first ones may store one.
    """
    usable = fleet_reserve * _USED_FRACTION
    if usable >= gateway_count:
        return usable / gateway_count
    return 1.0 if rank < int(usable) else 0.0


class RetryBudget:
    """Token bucket in which each request earns a fraction of a retry.

    Parameters
    ----------
    percent : float
        Retries for each hundred requests.
    """

    def __init__(self, percent: float) -> None:
        """Start with the reserve of a gateway that knows no others."""
        self._tokens_per_request = percent / 100
        self._reserve = _DEFAULT_RESERVE
        self._tokens = _DEFAULT_RESERVE
        self._earned_s = monotonic_s()
        self._has_reserve = False

    def set_reserve(self, reserve: float) -> None:
        """Set how many retries may be stored for later."""
        if not self._has_reserve:
            self._tokens = min(_START_RETRIES, reserve)
        self._has_reserve = True
        self._reserve = reserve
        self._tokens = min(self._tokens, max(1.0, reserve))

    def note_request(self) -> None:
        """Add the tokens of a first attempt."""
        self._forget_earned()
        self._earned_s = monotonic_s()
        # Room for the next fraction, so that a whole token loses nothing.
        max_tokens = max(1.0 + self._tokens_per_request, self._reserve)
        self._tokens = min(max_tokens, self._tokens + self._tokens_per_request)

    def take(self) -> bool:
        """Take the token of one retry; return whether there was one."""
        self._forget_earned()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _forget_earned(self) -> None:
        """Keep no more than the reserve from earlier requests."""
        if monotonic_s() - self._earned_s > _EARNED_VALID_S:
            self._tokens = min(self._tokens, self._reserve)
