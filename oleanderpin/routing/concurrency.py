"""Adaptive concurrency limit of one target at one instance.

It keeps instances that share a target from overloading it together.
"""

_DECREASE_FACTOR = 0.7
# An increase of 1 per round gave twice as many load-shedding responses at the
# same latency.
_INCREASE_PER_ROUND = 0.1
# Responses to requests sent before a decrease keep arriving for about one
# latency; they must not lower the limit again.
_MIN_HOLD_S = 0.05


class ConcurrencyLimit:
    """Additive-increase/multiplicative-decrease (AIMD) limit, 1 to ``slots``.

    Parameters
    ----------
    slots : int
        Requests that the target runs concurrently.
    instances : int
        Instances that are expected to share the target; the limit starts at
        an equal share of the slots.
    """

    __slots__ = ('_equal_share', '_held_until_s', 'slots', 'value')

    def __init__(self, *, slots: int, instances: int = 1) -> None:
        """Start at an equal share of the slots."""
        self.slots = slots
        self._equal_share = max(1.0, slots / max(1, instances))
        self.value = self._equal_share
        self._held_until_s = float('-inf')

    def resize(self, slots: int) -> None:
        """Apply a changed number of slots."""
        self.slots = slots
        self.value = min(self.value, float(slots))

    def on_success(self, *, in_flight: int) -> None:
        """Raise the limit by a fixed amount per full round of successes.

        The limit does not change while less than half of it is in use, since
        such successes say nothing about a higher load.
        """
        if in_flight * 2 >= self.value:
            self.value = min(
                float(self.slots), self.value + _INCREASE_PER_ROUND / self.value
            )

    def on_reported_overload(self) -> None:
        """Lower the limit towards the equal share, never below it.

        A target that reports too much load still gets its equal share.
        """
        lowered = max(self._equal_share, self.value * _DECREASE_FACTOR)
        self.value = min(self.value, lowered)

    def on_overload(self, now_s: float, *, latency_ms: float) -> None:
        """Lower the limit, at most once per response latency."""
        if now_s < self._held_until_s:
            return
        self.value = max(1.0, self.value * _DECREASE_FACTOR)
        self._held_until_s = now_s + max(_MIN_HOLD_S, latency_ms / 1000)
