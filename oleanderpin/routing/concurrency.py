"""Concurrency limit of one target, as used by one instance."""

_DECREASE_FACTOR = 0.7
# An increase of 1 for each round gave twice as many shed answers at the same
# latency.
_INCREASE = 0.1
# Answers to requests that were sent before a decrease arrive for about one
# latency after it; they must not lower the limit again.
_MIN_HOLD_S = 0.05


class ConcurrencyLimit:
    """Additive increase and multiplicative decrease between 1 and slots.

    Parameters
    ----------
    slots : int
        Requests that the target runs at once.
    instances : int
        Instances that are expected to share the target; the limit starts at
        an equal part of the slots.
    """

    __slots__ = ('_equal_part', '_held_until_s', 'slots', 'value')

    def __init__(self, *, slots: int, instances: int = 1) -> None:
        """Start at an equal part of the slots."""
        self.slots = slots
        self._equal_part = max(1.0, slots / max(1, instances))
        self.value = self._equal_part
        self._held_until_s = float('-inf')

    def resize(self, slots: int) -> None:
        """Follow a changed number of slots."""
        self.slots = slots
        self.value = min(self.value, float(slots))

    def on_success(self, *, in_flight: int) -> None:
        """Raise the limit by a fixed part for each full round of successes.

        The limit stays as it is while less than half of it is in use, since
        such successes say nothing about a higher load.
        """
        if in_flight * 2 >= self.value:
            self.value = min(
                float(self.slots), self.value + _INCREASE / self.value
            )

    def on_reported_overload(self) -> None:
        """Lower the limit towards the equal part, never below it.

        A target that reports too much load then still gets the equal part.
        """
        lowered = max(self._equal_part, self.value * _DECREASE_FACTOR)
        self.value = min(self.value, lowered)

    def on_overload(self, now_s: float, *, latency_ms: float) -> None:
        """Lower the limit, at most once in the time of one answer."""
        if now_s < self._held_until_s:
            return
        self.value = max(1.0, self.value * _DECREASE_FACTOR)
        self._held_until_s = now_s + max(_MIN_HOLD_S, latency_ms / 1000)
