"""Tells targets that respond without end from requests with large responses.

Load pattern: one caller asks again and again for what every target answers with
a response beyond the limits. If that counted against the targets, all of them
would be set aside, and the requests of others refused.
"""

from collections import OrderedDict

# Paths that are remembered; each takes less than a kilobyte.
_MAX_PATHS = 256
_MAX_PATH_BYTES = 512
# So many targets that exceed a limit for one path point to the path.
_MIN_TARGETS = 2


class ExcessPaths:
    """Paths for which responses exceeded a limit, with the targets.

    Not thread-safe: used on the event loop.
    """

    def __init__(self) -> None:
        """Start without paths."""
        self._targets: OrderedDict[tuple[str, bytes], set[str]] = OrderedDict()

    def is_of_target(self, service: str, path: bytes, target_id: str) -> bool:
        """Record a response beyond a limit; return whether the target is why.

        Parameters
        ----------
        service : str
            Service of the request.
        path : bytes
            Request target; its query is left out.
        target_id : str
            The target.
        """
        key = _key(service, path)
        targets = self._targets.setdefault(key, set())
        self._targets.move_to_end(key)
        if len(self._targets) > _MAX_PATHS:
            self._targets.popitem(last=False)
        if len(targets) < _MIN_TARGETS:
            targets.add(target_id)
            return True
        return False

    def note_success(self, service: str, path: bytes) -> None:
        """Record a response within the limits: the path is not the reason."""
        if self._targets:
            self._targets.pop(_key(service, path), None)


def _key(service: str, path: bytes) -> tuple[str, bytes]:
    return service, path.partition(b'?')[0][:_MAX_PATH_BYTES]
