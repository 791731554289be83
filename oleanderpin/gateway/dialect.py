"""Names of the headers that callers and targets speak."""

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
        Header with the milliseconds that the caller will wait.
    request_id : bytes
        Header with the id of the request, which targets echo.
    object_cookie : bytes
        Cookie that names the object a request concerns.
    account : bytes
        Header that tells the target the client account.
    expected_target : bytes
        Header with the id of the target that a request is meant for.
    not_executed : bytes
        Header by which a target tells that it did not run a request.
    load : bytes
        Header with a target's running and waiting requests and its slots.
    target_id : bytes
        Header with the id of the target that answers.
    cold_ms : bytes
        Header by which a target tells how much longer it is cold, in answers
        to questions about its health.
    seal : bytes
        Header that every complete answer of a target carries.
    has_retry_fractions : bool
        Whether callers understand fractions in ``Retry-After``.
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
    seal: bytes = b''
    has_retry_fractions: bool = False

    def own_headers(self) -> frozenset[bytes]:
        """Return the headers that this system sets or removes itself."""
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
    )
)
