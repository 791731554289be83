"""Traces recorded under fault injection, and the invariants they must meet.

A trace is a JSON Lines file with one event per line, in order of time. Times
are seconds of the recorder's monotonic clock.
"""

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter

from ..core.registry import Registry

# Limits stated in sections 2 and 7 of the design page.
REVOCATION_LIMIT_S = 6.0
LEAVE_LIMIT_S = 3.0
# Tolerance for the time from the acceptance of a change to its answer at the
# recorder, and from the last check of a key to the target.
_TOLERANCE_S = 0.5


class _Event(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)

    t_s: float


class AccountEvent(_Event):
    """Rate and burst of a client account, and number of its callers."""

    event: Literal['account'] = 'account'
    account: str
    rate_per_s: float
    burst: float
    callers: int


class RequestEvent(_Event):
    """A caller's request, recorded at the end of its answer.

    ``not_run`` is true if the refusal stated that the request did not run;
    ``is_whole`` is true if the answer was complete and belonged to this
    request.
    """

    event: Literal['request'] = 'request'
    request: str
    account: str
    key: str
    method: str
    instance: str
    status: int
    not_run: bool = False
    is_whole: bool = True


class RanEvent(_Event):
    """A target started to run a request."""

    event: Literal['ran'] = 'ran'
    request: str
    target: str
    has_key: bool


class RevokedEvent(_Event):
    """The revocation of a key was accepted."""

    event: Literal['revoked'] = 'revoked'
    key: str


class DrainedEvent(_Event):
    """The drain of a target was accepted."""

    event: Literal['drained'] = 'drained'
    target: str


class RevisionEvent(_Event):
    """Revision in use at an instance; ``start`` counts the process starts."""

    event: Literal['revision'] = 'revision'
    instance: str
    start: int
    revision: int


class FaultEvent(_Event):
    """A fault that the recorder injected."""

    event: Literal['fault'] = 'fault'
    fault: str
    instance: str


Event = Annotated[
    AccountEvent
    | RequestEvent
    | RanEvent
    | RevokedEvent
    | DrainedEvent
    | RevisionEvent
    | FaultEvent,
    Field(discriminator='event'),
]

_ADAPTER: TypeAdapter[Event] = TypeAdapter(Event)
Check = Callable[[list[Event]], Iterable[str]]
checks: Registry[Check] = Registry('trace check')


def read_trace(path: Path) -> list[Event]:
    """Return the events of a trace file, sorted by time.

    Raises
    ------
    pydantic.ValidationError
        If a line is not a valid event.
    """
    lines = path.read_text(encoding='utf-8').splitlines()
    events = [_ADAPTER.validate_json(line) for line in lines]
    return sorted(events, key=lambda event: event.t_s)


def violations(events: list[Event]) -> list[str]:
    """Return a message for each violation of an invariant in the trace."""
    found: list[str] = []
    for name in checks:
        found.extend(
            f'{name}: {problem}' for problem in checks.get(name)(events)
        )
    return found


def _events_of_type(events: list[Event], kind: type) -> list:
    return [event for event in events if isinstance(event, kind)]


@checks.register('non-idempotent requests run at most once')
def _check_at_most_once(events: list[Event]) -> Iterable[str]:
    runs = Counter(event.request for event in _events_of_type(events, RanEvent))
    for request in _events_of_type(events, RequestEvent):
        if request.method == 'POST' and runs[request.request] > 1:
            yield f'{request.request} ran {runs[request.request]} times'


@checks.register('a refusal that says not run is true')
def _check_not_run(events: list[Event]) -> Iterable[str]:
    runs = Counter(event.request for event in _events_of_type(events, RanEvent))
    for request in _events_of_type(events, RequestEvent):
        if request.not_run and runs[request.request]:
            yield (
                f'{request.request} ran, although its refusal stated that it '
                'did not'
            )


@checks.register('a caller gets the whole answer to its own request')
def _check_answers(events: list[Event]) -> Iterable[str]:
    for request in _events_of_type(events, RequestEvent):
        if not request.is_whole:
            yield (
                f'incomplete or foreign answer to {request.request} at '
                f'{request.instance}'
            )


@checks.register('no target sees a key')
def _check_keys(events: list[Event]) -> Iterable[str]:
    for ran in _events_of_type(events, RanEvent):
        if ran.has_key:
            yield f'{ran.target} received the key of {ran.request}'


@checks.register('a revoked key stops')
def _check_revoked(events: list[Event]) -> Iterable[str]:
    limits = {
        event.key: event.t_s + REVOCATION_LIMIT_S + _TOLERANCE_S
        for event in _events_of_type(events, RevokedEvent)
    }
    keys = {
        event.request: event.key
        for event in _events_of_type(events, RequestEvent)
    }
    for ran in _events_of_type(events, RanEvent):
        limit_s = limits.get(keys.get(ran.request, ''))
        if limit_s is not None and ran.t_s > limit_s:
            yield f'{ran.request} ran {ran.t_s - limit_s:.2f} s after the limit'


@checks.register('a drained target gets no new work')
def _check_drained(events: list[Event]) -> Iterable[str]:
    limits = {
        event.target: event.t_s + LEAVE_LIMIT_S + _TOLERANCE_S
        for event in _events_of_type(events, DrainedEvent)
    }
    for ran in _events_of_type(events, RanEvent):
        if ran.t_s > limits.get(ran.target, float('inf')):
            yield f'{ran.request} ran at {ran.target} after the limit'


@checks.register('an instance never acts on a lower revision')
def _check_revisions(events: list[Event]) -> Iterable[str]:
    last: dict[str, int] = {}
    for seen in _events_of_type(events, RevisionEvent):
        if seen.revision < last.get(seen.instance, 0):
            yield f'{seen.instance} went back to revision {seen.revision}'
        last[seen.instance] = max(seen.revision, last.get(seen.instance, 0))


@checks.register('no account exceeds its rate and burst')
def _check_rates(events: list[Event]) -> Iterable[str]:
    accounts = {
        event.request: event.account
        for event in _events_of_type(events, RequestEvent)
    }
    for account in _events_of_type(events, AccountEvent):
        seen: set[str] = set()
        times = []
        for ran in _events_of_type(events, RanEvent):
            is_first = ran.request not in seen
            if is_first and accounts.get(ran.request) == account.account:
                times.append(ran.t_s)
                seen.add(ran.request)
        yield from _rate_violations(account, times)


def _rate_violations(
    account: AccountEvent, times: list[float]
) -> Iterable[str]:
    # Each caller may have one request in flight that was admitted before the
    # window starts.
    allowance = account.burst + account.callers
    for position, start_s in enumerate(times):
        for window_s in (0.1, 1.0, 5.0, times[-1] - start_s):
            end = bisect_right(times, start_s + window_s)
            count = end - position
            if count > allowance + account.rate_per_s * window_s:
                yield (
                    f'{account.account} ran {count} requests '
                    f'within {window_s:.2f} s'
                )
