"""Invariant checks on a recorded trace and on modified copies of it.

``traces/leader_killed.jsonl`` was recorded by ``bench/record_trace.py`` with
three daemons. The control leader was killed and restarted, a key was revoked
while its callers continued, and a target was drained.
"""

from collections.abc import Callable
from pathlib import Path

import pytest

from ...testing.trace import (
    DrainedEvent,
    Event,
    FaultEvent,
    RanEvent,
    RequestEvent,
    RevisionEvent,
    RevokedEvent,
    read_trace,
    violations,
)

TRACE = Path(__file__).parent.parent / 'traces' / 'leader_killed.jsonl'


@pytest.fixture(scope='module')
def events() -> list[Event]:
    return read_trace(TRACE)


def test_recorded_run_meets_all_invariants(events: list[Event]) -> None:
    kinds = {type(event) for event in events}
    assert {FaultEvent, RevokedEvent, DrainedEvent, RevisionEvent} <= kinds
    assert sum(isinstance(event, RanEvent) for event in events) > 500
    assert not violations(events)


def find(events: list[Event], kind: type, **fields: object) -> Event:
    """Return the last event of a kind whose fields match."""
    return next(
        event
        for event in reversed(events)
        if isinstance(event, kind)
        and all(getattr(event, name) == each for name, each in fields.items())
    )


def run_twice(events: list[Event]) -> Event:
    request = find(events, RequestEvent, method='POST', status=200)
    return RanEvent(
        t_s=request.t_s, request=request.request, target='t-0', has_key=False
    )


def false_not_run(events: list[Event]) -> Event:
    request = find(events, RequestEvent, status=200)
    return request.model_copy(update={'status': 503, 'not_run': True})


def incomplete_answer(events: list[Event]) -> Event:
    request = find(events, RequestEvent, status=200)
    return request.model_copy(update={'is_whole': False})


def exposed_key(events: list[Event]) -> Event:
    ran = find(events, RanEvent)
    return ran.model_copy(update={'has_key': True})


def late_revocation(events: list[Event]) -> Event:
    revoked = find(events, RevokedEvent)
    request = find(events, RequestEvent, key=revoked.key)
    return RanEvent(
        t_s=revoked.t_s + 7,
        request=request.request,
        target='t-0',
        has_key=False,
    )


def late_drain(events: list[Event]) -> Event:
    drained = find(events, DrainedEvent)
    return RanEvent(
        t_s=drained.t_s + 4,
        request='9-9',
        target=drained.target,
        has_key=False,
    )


def older_revision(events: list[Event]) -> Event:
    seen = find(events, RevisionEvent)
    return seen.model_copy(update={'t_s': seen.t_s + 1, 'revision': 1})


@pytest.mark.parametrize(
    ('modify', 'broken'),
    [
        (run_twice, 'at most once'),
        (false_not_run, 'not run is true'),
        (incomplete_answer, 'whole answer'),
        (exposed_key, 'no target sees a key'),
        (late_revocation, 'revoked key'),
        (late_drain, 'drained target'),
        (older_revision, 'lower revision'),
    ],
)
def test_each_check_finds_its_fault(
    events: list[Event], modify: Callable[[list[Event]], Event], broken: str
) -> None:
    """Guards against checks that never report a violation."""
    modified = sorted([*events, modify(events)], key=lambda event: event.t_s)
    assert any(broken in problem for problem in violations(modified))


def test_excess_over_the_rate_is_found(events: list[Event]) -> None:
    """Guards against a rate check that tolerates too many requests."""
    extra: list[Event] = []
    for number in range(200):
        request = f'extra-{number}'
        extra.append(
            RanEvent(t_s=10.0, request=request, target='t-0', has_key=False)
        )
        done = find(events, RequestEvent).model_copy(
            update={'request': request, 't_s': 10.1}
        )
        extra.append(done)
    modified = sorted([*events, *extra], key=lambda event: event.t_s)
    assert any('exceeds' in problem for problem in violations(modified))
