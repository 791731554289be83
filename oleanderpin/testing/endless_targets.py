"""Targets that respond without end, until the other side closes.

Each form is a beginning and a part that is sent again and again. The head
echoes the request id, so that the response belongs to the request.
"""

import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass

from ..core.registry import Registry
from .gateway import LoopbackTarget, answer_bytes, header_of, read_message

_PART_BYTES = 262144
# More than any instance may hold.
_HUGE_LENGTH = 10**15


@dataclass(frozen=True, slots=True)
class EndlessForm:
    """What follows the status line and the request id of a response.

    Parameters
    ----------
    beginning : bytes
        Rest of the head, and what is sent once behind it.
    part : bytes
        Sent again and again.
    has_head : bool
        Whether a status line and the request id come first.
    """

    beginning: bytes
    part: bytes
    has_head: bool = True


_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_EVENTS = b'Content-Type: text/event-stream\r\n' + _CHUNKED

endless_forms: Registry[Callable[[], EndlessForm]] = Registry('endless form')


def _repeated(part: bytes) -> bytes:
    return part * (_PART_BYTES // len(part))


def _chunk(payload: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(payload), payload)


@endless_forms.register('header-line')
def _header_line() -> EndlessForm:
    return EndlessForm(b'X-Long: ', _repeated(b'v'))


@endless_forms.register('junk-for-a-chunk-size')
def _junk_size() -> EndlessForm:
    return EndlessForm(_CHUNKED, _repeated(b'junk'))


@endless_forms.register('zeros-for-a-chunk-size')
def _zero_size() -> EndlessForm:
    return EndlessForm(_CHUNKED, _repeated(b'0'))


@endless_forms.register('one-chunk')
def _one_chunk() -> EndlessForm:
    return EndlessForm(_CHUNKED + b'%x\r\n' % _HUGE_LENGTH, _repeated(b'x'))


@endless_forms.register('chunks-of-one-byte')
def _small_chunks() -> EndlessForm:
    return EndlessForm(_CHUNKED, _repeated(_chunk(b'x')))


@endless_forms.register('huge-length')
def _huge_length() -> EndlessForm:
    head = b'Content-Length: %d\r\n\r\n' % _HUGE_LENGTH
    return EndlessForm(head, _repeated(b'x'))


@endless_forms.register('no-length')
def _no_length() -> EndlessForm:
    return EndlessForm(b'Connection: close\r\n\r\n', _repeated(b'x'))


@endless_forms.register('pieces-of-an-event')
def _event_pieces() -> EndlessForm:
    return EndlessForm(_EVENTS, _repeated(_chunk(b'data: x\n')))


@endless_forms.register('whole-events')
def _whole_events() -> EndlessForm:
    return EndlessForm(_EVENTS, _repeated(_chunk(b'data: x\n\n')))


@endless_forms.register('interim-responses')
def _interim_responses() -> EndlessForm:
    interim = b'HTTP/1.1 100 Continue\r\n\r\n'
    return EndlessForm(b'', _repeated(interim), has_head=False)


@endless_forms.register('chunk-extension')
def _chunk_extension() -> EndlessForm:
    return EndlessForm(_CHUNKED + b'1;a=', _repeated(b'v'))


class EndlessTarget(LoopbackTarget):
    """Responds with a beginning and then one part again and again.

    ``closed`` is set once the caller has closed a connection, and ``requests``
    counts what was answered so.

    Parameters
    ----------
    beginning : bytes
        Sent once; ``%s`` in it is replaced by the id of the request.
    part : bytes
        Sent until the caller closes the connection.
    answers_checks : bool
        Whether health checks get a proper response.
    """

    def __init__(
        self, beginning: bytes, part: bytes, *, answers_checks: bool = True
    ) -> None:
        """Store what to send."""
        super().__init__()
        self.closed = threading.Event()
        self.requests = 0
        self._beginning = beginning
        self._part = part
        self._answers_checks = answers_checks
        self._stopped = threading.Event()

    def stop(self) -> None:
        """Stop listening and sending."""
        self._stopped.set()
        super().stop()

    def serve(self, connection: socket.socket) -> None:
        """Send until the caller closes the connection."""
        buffer = bytearray()
        request = read_message(connection, buffer)
        while self._answers_checks and request.startswith(b'GET /health'):
            connection.sendall(answer_bytes(request))
            request = read_message(connection, buffer)
        if not request:
            return
        self.requests += 1
        request_id = header_of(request, b'x-request-id')
        try:
            connection.sendall(self._beginning.replace(b'%s', request_id))
            while not self._stopped.is_set():
                connection.sendall(self._part)
        finally:
            self.closed.set()


def endless_target(
    name: str, status: int, *, answers_checks: bool = True
) -> EndlessTarget:
    """Return a target that responds in a registered form.

    Raises
    ------
    ValidationError
        If no form has this name.
    """
    form = endless_forms.get(name)()
    head = b'HTTP/1.1 %d Status\r\nX-Request-Id: %%s\r\n' % status
    if not form.has_head:
        head = b''
    return EndlessTarget(
        head + form.beginning, form.part, answers_checks=answers_checks
    )
