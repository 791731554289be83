"""A request that is being read, and what it costs.

Load pattern: callers send heads, trailers or bodies without end, or in pieces
that cost more than their bytes.
"""

from http import HTTPStatus

from .messages import FIELD_BYTES, CallerRequest, Limits

# Memory of a request beside its bytes and fields.
_REQUEST_BYTES = 1024
_FIELD_SEPARATOR_BYTES = 4
# A chunked body may come in so many pieces of any size, and beyond them in pieces
# of so many bytes on average: each takes processor time.
_MAX_SMALL_PIECES = 65536
_MIN_PIECE_BYTES = 16


class IncomingRequest:
    """Collects the parts of one request.

    Parameters
    ----------
    request : CallerRequest
        The request; its body is set once it is complete.
    limits : Limits
        Limits in force when it began.
    """

    def __init__(self, request: CallerRequest, limits: Limits) -> None:
        """Start with an empty head."""
        self.request = request
        self.limits = limits
        self.is_in_head = True
        self.body = bytearray()
        # What is charged for the request.
        self.charged_bytes = 0
        self._fields_bytes = 0
        self._pieces = 0
        self._trailer_bytes = 0
        self._unparsed_bytes = 0
        self._has_parsed = True

    @property
    def cost_bytes(self) -> int:
        """Memory of the request, estimated from its parts."""
        fields = len(self.request.headers)
        return (
            _REQUEST_BYTES
            + fields * FIELD_BYTES
            + self._fields_bytes
            + len(self.body)
            + self._unparsed_bytes
        )

    def add_target(self, part: bytes) -> None:
        """Append a part of the request target."""
        self._has_parsed = True
        self.request.target += part
        self._fields_bytes += len(part)

    def add_field(self, name: bytes, value: bytes) -> None:
        """Append a header field; trailers are counted and dropped.

        A target would take trailers for headers of the request, see RFC 9110,
        section 6.5.1.
        """
        self._has_parsed = True
        size_bytes = len(name) + len(value) + _FIELD_SEPARATOR_BYTES
        if not self.is_in_head:
            self._trailer_bytes += size_bytes
            return
        self._fields_bytes += size_bytes
        if self._fields_bytes <= self.limits.max_header_bytes:
            self.request.headers.append((name.lower(), value))

    def add_piece(self, piece: bytes) -> None:
        """Append a piece of the body."""
        self._has_parsed = True
        self._pieces += 1
        self.body += piece

    def note_read(self, size_bytes: int) -> None:
        """Record that bytes were read and parsed.

        Bytes from which no part of the request has resulted belong to a field
        or a chunk extension that has not ended.
        """
        if self._has_parsed:
            self._unparsed_bytes = 0
        else:
            self._unparsed_bytes += size_bytes
        self._has_parsed = False

    def violation(self) -> HTTPStatus | None:
        """Return the status for a request beyond the limits, else None."""
        max_bytes = self.limits.max_header_bytes
        if (
            self._fields_bytes > max_bytes
            or self._trailer_bytes > max_bytes
            or self._unparsed_bytes > max_bytes
        ):
            return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        if len(self.body) > self.limits.max_body_bytes:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        max_pieces = _MAX_SMALL_PIECES + len(self.body) // _MIN_PIECE_BYTES
        is_chunked = not self.request.declared_body_bytes
        if is_chunked and self._pieces > max_pieces:
            return HTTPStatus.BAD_REQUEST
        return None
