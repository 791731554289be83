"""Requests that wait for the rest of their bodies, and the bytes they hold."""

import re
import threading
from typing import Any

from .http_head import bad_request
from .http_stream import ChunkScanner
from .metrics import EVENTS

# Fields in the bytes of a head that is not parsed yet.
CONTENT_LENGTH = re.compile(
    rb'\ncontent-length:[ \t]*(\d{1,15})[ \t]*\r\n', re.IGNORECASE
)
_CHUNKED = re.compile(
    rb'\ntransfer-encoding:[ \t]*chunked[ \t]*\r\n', re.IGNORECASE
)
EXPECT = re.compile(rb'\nexpect:', re.IGNORECASE)
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Chunk sizes may take as many bytes as the body.
_MAX_CHUNKED_FACTOR = 2


class WholeBodies:
    """Decides whether the body of a request has arrived.

    Parameters
    ----------
    max_body_bytes : int
        Largest body; a longer one is refused.
    """

    def __init__(self, *, max_body_bytes: int) -> None:
        """Store the limit."""
        self._max_body_bytes = max_body_bytes
        self._max_chunked_bytes = max_body_bytes * _MAX_CHUNKED_FACTOR

    def has_arrived(self, conn: Any, head_end: int) -> bool:
        """Return whether a thread can read the body, or refuse it, at once.

        Parameters
        ----------
        conn : CallerConnection
            Has a complete head in its buffer.
        head_end : int
            Length of the head.
        """
        head = conn.rfile.peek(head_end)
        if _CHUNKED.search(head):
            has_arrived = self._has_last_chunk(conn, head_end)
        else:
            match = CONTENT_LENGTH.search(head)
            length = int(match.group(1)) if match else 0
            self._check_length(conn, length, limit=self._max_body_bytes)
            conn.awaited_bytes = head_end + length
            has_arrived = head_end + length <= len(conn.rfile)
        if has_arrived or conn.pending_refusal is not None:
            return True
        if EXPECT.search(head) and not conn.has_continued:
            conn.ask_for_body(_CONTINUE)
        return False

    def _has_last_chunk(self, conn: Any, head_end: int) -> bool:
        if conn.chunks is None:
            conn.chunks = ChunkScanner(head_end)
            conn.awaited_bytes = head_end + self._max_chunked_bytes
        has_arrived: bool = conn.rfile.scan(conn.chunks)
        if not has_arrived:
            self._check_length(
                conn,
                conn.chunks.position - head_end,
                limit=self._max_chunked_bytes,
            )
        return has_arrived

    def _check_length(self, conn: Any, length: int, *, limit: int) -> None:
        if length > limit:
            conn.pending_refusal = bad_request(
                'body_too_large',
                f'body of {length} bytes or more',
                remedy=f'send at most {self._max_body_bytes} bytes',
                status=413,
            )


class WaitingBytes:
    """Counts the bytes that the connections of a listener hold.

    Parameters
    ----------
    max_bytes : int
        Beyond it, waiting connections are given up, the largest first.
    """

    def __init__(self, *, max_bytes: int) -> None:
        """Start without connections."""
        self._max_bytes = max_bytes
        self._sizes: dict[Any, int] = {}
        self._total_bytes = 0
        self._lock = threading.Lock()

    def count(self, conn: Any, size_bytes: int) -> None:
        """Set what a connection holds; give up others if that is too much."""
        with self._lock:
            self._total_bytes += size_bytes - self._sizes.pop(conn, 0)
            if size_bytes:
                self._sizes[conn] = size_bytes
            while self._total_bytes > self._max_bytes and self._give_up():
                EVENTS.labels('http', 'bodies_too_large').inc()

    def end_wait(self, conn: Any) -> bool:
        """Keep a connection from being given up while a thread uses it.

        Returns
        -------
        bool
            False if it has been given up; its buffer is empty then.
        """
        with self._lock:
            conn.is_waiting = False
            return not conn.is_given_up

    def _give_up(self) -> bool:
        waiting = [each for each in self._sizes if each.is_waiting]
        if not waiting:
            return False
        largest = max(waiting, key=self._sizes.__getitem__)
        self._total_bytes -= self._sizes.pop(largest)
        # The accepting thread closes it only after others have received more.
        largest.rfile.close()
        largest.give_up()
        return True
