"""Requests of callers and answers to them."""

from dataclasses import dataclass, field

Header = tuple[bytes, bytes]

HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)


@dataclass(slots=True)
class CallerRequest:
    """A whole request as it came; header names are in lower case.

    ``received_s`` is the monotonic time at which its first byte was read.
    ``must_finish`` is set once the request is on its way to a target and must
    not be broken off; ``is_gone`` once its caller has left.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    received_s: float
    body: bytes = b''
    keeps_alive: bool = True
    must_finish: bool = False
    is_gone: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if there is none."""
        return _first(self.headers, name)

    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')

    def host(self) -> str:
        """Return the host name without the port, in lower case."""
        host = (self.header(b'host') or b'').decode('latin-1').lower()
        name, colon, port = host.rpartition(':')
        return name if colon and port.isdigit() else host


@dataclass(slots=True)
class Response:
    """An answer to a caller, complete with its body."""

    status: int
    reason: bytes = b''
    headers: list[Header] = field(default_factory=list)
    body: bytes = b''
    closes: bool = False


@dataclass(slots=True)
class TargetAnswer:
    """A complete answer of a target; header names are in lower case."""

    status: int
    reason: bytes
    headers: list[Header]
    body: bytes
    is_reusable: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if there is none."""
        return _first(self.headers, name)


def _first(headers: list[Header], name: bytes) -> bytes | None:
    for known, value in headers:
        if known == name:
            return value
    return None


def hop_by_hop(headers: list[Header]) -> frozenset[bytes]:
    """Return the names of headers that concern only one connection."""
    named = [
        part.strip().lower()
        for name, value in headers
        if name == b'connection'
        for part in value.split(b',')
    ]
    return HOP_BY_HOP.union(named) if named else HOP_BY_HOP


def cookie(header: bytes | None, name: bytes) -> bytes:
    """Return the value of a cookie, empty if it is not there."""
    if not header or name not in header:
        return b''
    for pair in header.split(b';'):
        key, _equals, value = pair.strip().partition(b'=')
        if key == name:
            return value
    return b''


class TargetFailure(Exception):  # noqa: N818
    """An attempt that brought no complete answer.

    Parameters
    ----------
    result : str
        ``no_connection``, ``reset``, ``timeout`` or ``bad_answer``.
    may_have_run : bool
        Whether any byte of the request may have reached the target.
    """

    def __init__(self, result: str, *, may_have_run: bool) -> None:
        """Keep what is known of the attempt."""
        super().__init__(result)
        self.result = result
        self.may_have_run = may_have_run


__all__ = (
    'Response',
    'CallerRequest',
    'TargetAnswer',
    'TargetFailure',
    'cookie',
    'hop_by_hop',
)
