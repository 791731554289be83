"""Per-request data shared by all attempts, and waiting for targets."""

import select
import socket
from dataclasses import dataclass
from typing import Any

from ..control.state import Profile, Service
from ..core.clock import Clock
from ..core.errors import Refusal, RefusalDetails
from .body import RequestBody
from .request import DEADLINE_HEADER, REQUEST_ID_HEADER, CallerRequest

# A caller that only half-closes its connection counts as disconnected.
_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR

_METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the response was complete."""


@dataclass(slots=True)
class Call:
    """A request with the data that all its attempts share.

    ``caller`` is the caller's socket; None if disconnects are not watched.
    """

    request: CallerRequest
    service: Service
    profile: Profile
    body: RequestBody
    deadline_s: float
    request_id: str
    clock: Clock
    caller: socket.socket | None = None
    fingerprint: str = ''

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline_s - self.clock.now_s()

    def extend_deadline(self) -> None:
        """Restart the default request time-out after a streamed upload."""
        if self.request.deadline_ms is None:
            self.deadline_s = max(
                self.deadline_s,
                self.clock.now_s() + self.profile.request_timeout_s,
            )


def request_head(call: Call) -> bytes:
    """Return the request line and headers for a target."""
    request = call.request
    remaining_ms = max(1, int(call.remaining_s() * 1000))
    lines = [
        f'{request.method} {request.path_and_query} HTTP/1.1',
        f'Host: {request.service_name}',
        f'{DEADLINE_HEADER}: {remaining_ms}',
        f'{REQUEST_ID_HEADER}: {call.request_id}',
    ]
    length = call.body.length
    if length is None:
        lines.append('Transfer-Encoding: chunked')
    elif length or request.method in _METHODS_WITH_BODY:
        lines.append(f'Content-Length: {length}')
    lines.extend(
        f'{name}: {header_value}' for name, header_value in request.headers
    )
    return '\r\n'.join((*lines, '', '')).encode('latin-1')


def deadline_refusal(*, not_run: bool) -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    return Refusal(
        'deadline_exceeded',
        'no answer before the deadline',
        remedy='allow more time'
        if not_run
        else 'the request may have run; check before repeating it',
        details=RefusalDetails(status=504, not_run=not_run),
    )


def wait_readable(
    sockets: list[socket.socket],
    caller: socket.socket | None,
    *,
    timeout_s: float,
) -> list[socket.socket]:
    """Wait until a target socket is readable.

    Parameters
    ----------
    sockets : list of socket
        Sockets of targets.
    caller : socket or None
        Socket of the caller.
    timeout_s : float
        Maximum wait in seconds.

    Returns
    -------
    list of socket
        The readable sockets; empty after the time-out.

    Raises
    ------
    CallerDisconnectedError
        If the caller closed its connection.
    """
    poller = select.poll()
    by_descriptor: dict[int, Any] = {}
    for sock in sockets:
        by_descriptor[sock.fileno()] = sock
        poller.register(sock, select.POLLIN)
    if caller is not None:
        poller.register(caller, _DISCONNECT_EVENTS)
    events = poller.poll(max(0, timeout_s) * 1000)
    ready = [
        by_descriptor[descriptor]
        for descriptor, _event in events
        if descriptor in by_descriptor
    ]
    if not ready and events:
        raise CallerDisconnectedError
    return ready
