"""HTTP requests of callers and responses of targets."""

import asyncio
from dataclasses import dataclass, field
from typing import Any, Literal, Protocol

from ..core.clock import monotonic_s

Header = tuple[bytes, bytes]
Body = bytes | bytearray
# Memory of a header field beside its bytes.
FIELD_BYTES = 160
# A smaller body is copied behind its head, which costs less than a second buffer.
_SMALL_BODY_BYTES = 16384
# Where the rate token of a request comes from; empty if it needs none.
TokenSource = Literal['', 'floor', 'share', 'part']
# Whether gateways and the leader divide the rate of a limited account, or
# control instances own it in parts.
AccountKind = Literal['divided', 'small']

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


class Limits(Protocol):
    """Size limits and time-outs for a caller's requests."""

    @property
    def max_header_bytes(self) -> int:
        """Largest size of a head, or of all trailers."""
        ...

    @property
    def max_body_bytes(self) -> int:
        """Largest size of a body."""
        ...

    @property
    def header_timeout_s(self) -> float:
        """Longest time for a head."""
        ...

    @property
    def idle_timeout_s(self) -> float:
        """Longest time without a request."""
        ...


@dataclass(slots=True)
class CallerRequest:
    """A complete request as received; header names are in lower case.

    ``received_s`` is the monotonic time at which its first byte was read.
    ``must_finish`` is set during an attempt that must not be cancelled when
    the caller disconnects. ``caller_host`` is the caller's IP address.
    ``admission`` is the task that decides about the request before its body is
    read, and ``admitted`` its result for the handler.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    received_s: float
    body: Body = b''
    keeps_alive: bool = True
    must_finish: bool = False
    caller_disconnected: bool = False
    caller_host: str = ''
    declared_body_bytes: int = 0
    admission: 'asyncio.Task[Response | None] | None' = None
    admitted: Any = None

    @property
    def body_bytes(self) -> int:
        """Size of the body, also while it has not been read."""
        return max(len(self.body), self.declared_body_bytes)

    @property
    def may_have_body(self) -> bool:
        """Whether a body may follow the head."""
        is_chunked = self.header(b'transfer-encoding') is not None
        return is_chunked or self.declared_body_bytes > 0

    def forget_decision(self) -> None:
        """Forget the task and the result of the decision about the request.

        Both refer to the request, whose body would wait for a collection of
        cycles.
        """
        self.admission = None
        self.admitted = None

    def age_s(self) -> float:
        """Return the time since the first byte was read."""
        return monotonic_s() - self.received_s

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if there is none."""
        return _first_value(self.headers, name)

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
    """A complete response to a caller."""

    status: int
    reason: bytes = b''
    headers: list[Header] = field(default_factory=list)
    body: Body = b''
    closes: bool = False

    @property
    def held_bytes(self) -> int:
        """Memory that the response takes."""
        fields = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + fields + len(self.headers) * FIELD_BYTES


@dataclass(frozen=True, slots=True)
class EncodedRequest:
    """Head and body of a request as sent to a target."""

    head: bytes
    body: Body

    @property
    def size_bytes(self) -> int:
        """Size of head and body."""
        return len(self.head) + len(self.body)

    def parts(self) -> tuple[Body, ...]:
        """Return the buffers to send; a large body is not copied."""
        return buffers(self.head, self.body)


@dataclass(slots=True)
class TargetResponse:
    """A complete response of a target; header names are in lower case."""

    status: int
    reason: bytes
    headers: list[Header]
    body: Body
    is_reusable: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if there is none."""
        return _first_value(self.headers, name)


def buffers(head: bytes, body: Body) -> tuple[Body, ...]:
    """Return a message as few buffers, without copying a large body."""
    if len(body) < _SMALL_BODY_BYTES:
        return (head + body,)
    return (head, body)


def _first_value(headers: list[Header], name: bytes) -> bytes | None:
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def hop_by_hop(headers: list[Header]) -> frozenset[bytes]:
    """Return the names of the hop-by-hop headers."""
    named = [
        part.strip().lower()
        for name, value in headers
        if name == b'connection'
        for part in value.split(b',')
    ]
    return HOP_BY_HOP.union(named) if named else HOP_BY_HOP


def cookie(header: bytes | None, name: bytes) -> bytes:
    """Return the value of a cookie; empty if it is missing."""
    if not header or name not in header:
        return b''
    for pair in header.split(b';'):
        key, _equals, value = pair.strip().partition(b'=')
        if key == name:
            return value
    return b''


class TargetFailure(Exception):  # noqa: N818
    """An attempt that ended without a complete response.

    Parameters
    ----------
    result : str
        ``no_connection``, ``reset``, ``timeout``, ``bad_answer``,
        ``too_large`` or ``too_fragmented``, or ``no_memory`` if the process
        may hold no more.
    may_have_run : bool
        Whether any byte of the request may have reached the target.
    """

    def __init__(self, result: str, *, may_have_run: bool) -> None:
        """Store the result of the attempt."""
        super().__init__(result)
        self.result = result
        self.may_have_run = may_have_run

    @property
    def is_of_target(self) -> bool:
        """Whether the target, not this process, is the reason."""
        return self.result != 'no_memory'


class TargetDeclinedError(Exception):
    """An attempt that was not sent, since its target declines requests now.

    Parameters
    ----------
    reason : str
        ``leaving`` or ``paused``.
    """

    def __init__(self, reason: str) -> None:
        """Store the reason."""
        super().__init__(f'the target is {reason}; place the request again')
        self.reason = reason


__all__ = (
    'Response',
    'CallerRequest',
    'EncodedRequest',
    'Limits',
    'TargetResponse',
    'TargetDeclinedError',
    'TargetFailure',
    'cookie',
    'hop_by_hop',
)
