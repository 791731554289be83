"""Requests that targets have answered a short time ago.

Load pattern: many copies of a request run on a target that fails. Those that
other targets have answered did not cause the failure.
"""

from array import array

import xxhash

# A gateway of the planned size answers fewer requests within a minute.
_SLOTS = 8192
_SECOND_DIGEST_SHIFT = 32
_NEVER_S = float('-inf')


class RecentAnswers:
    """Times of the last answers, in a table of fixed size.

    Each request has two slots. A new one displaces the older entry of both, so
    that those of the last seconds stay.
    """

    def __init__(self) -> None:
        """Start without answers."""
        self._fingerprints = [b'' for _ in range(_SLOTS)]
        self._times_s = array('d', (_NEVER_S,)) * _SLOTS

    def note(self, fingerprint: bytes, now_s: float) -> None:
        """Record an answer to a request."""
        first, second = _slots_of(fingerprint)
        slot = (
            first if self._times_s[first] <= self._times_s[second] else second
        )
        if self._fingerprints[first] == fingerprint:
            slot = first
        elif self._fingerprints[second] == fingerprint:
            slot = second
        self._fingerprints[slot] = fingerprint
        self._times_s[slot] = now_s

    def answered_s(self, fingerprint: bytes) -> float:
        """Return when a request was answered; minus infinity if unknown."""
        for slot in _slots_of(fingerprint):
            if self._fingerprints[slot] == fingerprint:
                return self._times_s[slot]
        return _NEVER_S


def _slots_of(fingerprint: bytes) -> tuple[int, int]:
    digest = xxhash.xxh3_64_intdigest(fingerprint)
    return digest % _SLOTS, (digest >> _SECOND_DIGEST_SHIFT) % _SLOTS
