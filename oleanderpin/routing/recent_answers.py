"""Requests that targets have answered a short time ago.

Load pattern: many copies of a request run on a target that fails. Those that
other targets have answered did not cause the failure.
"""

from array import array

# A gateway of the planned size answers fewer requests within a minute.
_SLOTS = 8192
_NEVER_S = float('-inf')


class RecentAnswers:
    """Times of the last answers, in a table of fixed size.

    An entry is overwritten when another request falls into its slot.
    """

    def __init__(self) -> None:
        """Start without answers."""
        self._fingerprints = [b'' for _ in range(_SLOTS)]
        self._times_s = array('d', (_NEVER_S,)) * _SLOTS

    def note(self, fingerprint: bytes, now_s: float) -> None:
        """Record an answer to a request."""
        slot = hash(fingerprint) % _SLOTS
        self._fingerprints[slot] = fingerprint
        self._times_s[slot] = now_s

    def answered_s(self, fingerprint: bytes) -> float:
        """Return when a request was answered; minus infinity if unknown."""
        slot = hash(fingerprint) % _SLOTS
        if self._fingerprints[slot] != fingerprint:
            return _NEVER_S
        return self._times_s[slot]
