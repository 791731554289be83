"""Versions of shared entries, so that each gateway is told only what is new."""

import secrets
from dataclasses import dataclass, field
from typing import Generic, TypeVar

KeyT = TypeVar('KeyT')

_VERSION_BITS = 31


def is_same_numbering(version: int, other: int) -> bool:
    """Return whether one process has numbered both versions."""
    bits = _VERSION_BITS + 1
    return version >> bits == other >> bits


def _random_version() -> int:
    return secrets.randbits(_VERSION_BITS) << (_VERSION_BITS + 1)


@dataclass(slots=True)
class ChangeVersions(Generic[KeyT]):
    """The version of the last change of each key. Not thread-safe.

    The first version is random, so that a gateway whose version another
    instance has numbered is told everything.
    """

    version: int = field(default_factory=_random_version)
    _first_version: int = 0
    _changed: dict[KeyT, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Remember the first version."""
        self._first_version = self.version

    def note(self, key: KeyT) -> None:
        """Record that an entry was added or has changed."""
        self.version += 1
        self._changed[key] = self.version

    def has(self, key: KeyT) -> bool:
        """Return whether an entry is shared."""
        return key in self._changed

    def forget(self, key: KeyT) -> None:
        """Drop an entry that is no longer shared."""
        self._changed.pop(key, None)

    def changed_since(self, version: int) -> list[KeyT]:
        """Return the keys to tell a gateway that was told a version last."""
        if version == self.version:
            return []
        is_known = self._first_version <= version <= self.version
        return [
            key
            for key, changed in self._changed.items()
            if not is_known or changed > version
        ]
