"""Registries of named implementations, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from .errors import ValidationError

EntryT = TypeVar('EntryT')


class Registry(Generic[EntryT]):
    """Interchangeable implementations by name.

    Parameters
    ----------
    kind : str
        What the registry holds, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        """Create an empty registry."""
        self._kind = kind
        self._entries: dict[str, EntryT] = {}

    def register(self, name: str) -> Callable[[EntryT], EntryT]:
        """Return a decorator that registers an object under ``name``.

        Raises
        ------
        ValueError
            If the name is already registered.
        """

        def decorator(entry: EntryT) -> EntryT:
            if name in self._entries:
                raise ValueError(f'{self._kind} {name!r} is registered twice')
            self._entries[name] = entry
            return entry

        return decorator

    def get(self, name: str) -> EntryT:
        """Return the entry called ``name``.

        Raises
        ------
        ValidationError
            If there is no such entry; the message lists the valid names.
        """
        try:
            return self._entries[name]
        except KeyError:
            raise ValidationError(
                f'unknown {self._kind} {name!r}',
                remedy=f'use one of {sorted(self._entries)}',
            ) from None

    def __contains__(self, name: object) -> bool:
        """Return whether ``name`` is registered."""
        return name in self._entries

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names in order of registration."""
        return iter(self._entries)
