"""Header names used by callers and targets."""

from dataclasses import dataclass

from ..core.registry import Registry


@dataclass(frozen=True, slots=True)
class Dialect:
    """Header names in lower case; an empty one means that there is none.

    Parameters
    ----------
    key : bytes
        Header with the caller's key.
    key_prefix : bytes
        Scheme before the key in that header.
    deadline_ms : bytes
        Header with the time, in milliseconds, that the caller will wait.
    request_id : bytes
        Header with the request id, which targets echo.
    object_cookie : bytes
        Cookie that names the object of a request.
    account : bytes
        Header that passes the client account to the target.
    expected_target : bytes
        Header with the id of the intended target.
    not_executed : bytes
        Header by which a target states that it did not run a request.
    load : bytes
        Header with a target's running and waiting requests and its slots.
    target_id : bytes
        Header with the id of the responding target.
    cold_ms : bytes
        Header in health responses with the milliseconds that the target stays
        cold.
    limit_per_s : bytes
        Header in which a target names the requests a second that it takes from
        all instances together.
    leaving : bytes
        Header in which a target states with ``1`` that it leaves.
    pause_s : bytes
        Header in which a target that responds with status 503 names the
        seconds for which it wants no request from this instance.
    seal : bytes
        Header that marks a successful response as complete; empty if targets
        set none.
    has_retry_fractions : bool
        Whether callers accept fractional seconds in ``Retry-After``.
    """

    key: bytes
    key_prefix: bytes
    deadline_ms: bytes
    request_id: bytes
    object_cookie: bytes
    account: bytes
    expected_target: bytes
    not_executed: bytes
    load: bytes
    target_id: bytes
    cold_ms: bytes
    limit_per_s: bytes
    leaving: bytes
    pause_s: bytes
    seal: bytes = b''
    has_retry_fractions: bool = False

    def managed_headers(self) -> frozenset[bytes]:
        """Return the headers that the gateway sets or removes itself."""
        return frozenset(
            (self.key, self.deadline_ms, self.account, self.expected_target)
        )


dialects: Registry[Dialect] = Registry('dialect')

dialects.register('bearer')(
    Dialect(
        key=b'authorization',
        key_prefix=b'Bearer ',
        deadline_ms=b'x-request-deadline-ms',
        request_id=b'x-request-id',
        object_cookie=b'object',
        account=b'x-client-account',
        expected_target=b'x-expected-target',
        not_executed=b'x-not-run',
        load=b'x-target-load',
        target_id=b'x-target-id',
        cold_ms=b'x-target-cold-ms',
        limit_per_s=b'x-target-limit',
        leaving=b'x-target-leaving',
        pause_s=b'x-target-pause-s',
    )
)
