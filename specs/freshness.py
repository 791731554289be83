"""Freshness and revocation: no revoked key is accepted past the limit.

The model has a leader with a lease, a relay that polls the leader, and an
entry instance that polls the relay. One revocation is committed, either by
this leader or, after the leader's lease has expired, by its successor in
another partition. Time advances in ticks. The requester computes the age of a
response from the time at which it sent the request.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

FRESHNESS_LIMIT_TICKS = 4
_LEASE_TICKS = 2
_EXPIRED_AGE_TICKS = FRESHNESS_LIMIT_TICKS + 1

FAULTS = (
    'age from reception',
    'relay drops age',
    'leader without lease',
    'successor does not wait',
    'revision behind freshness',
)


class State(NamedTuple):
    """One state of the model.

    Ages are in ticks, capped at one above the freshness limit. ``relay_asked``
    and ``entry_asked`` are the ticks since the request in flight was sent, and
    ``since_commit`` the ticks since the revocation was committed; -1 if there
    is none.
    """

    lease: int
    is_cut: bool
    since_commit: int
    leader_revision: int
    relay_revision: int
    relay_age: int
    relay_asked: int
    entry_revision: int
    entry_age: int
    entry_asked: int
    answer_revision: int
    answer_age: int


_NONE = -1
_INITIAL = State(
    _LEASE_TICKS,
    False,
    _NONE,
    0,
    0,
    _EXPIRED_AGE_TICKS,
    _NONE,
    0,
    _EXPIRED_AGE_TICKS,
    _NONE,
    0,
    _NONE,
)


def build(fault: str = '') -> Protocol:
    """Return the model, with the seeded fault ``fault`` unless it is empty."""

    def transitions(values: tuple) -> list:
        state = State(*values)
        return [(name, tuple(after)) for name, after in _steps(state, fault)]

    return Protocol(
        name='freshness',
        candidate=False,
        fields=State._fields,
        initial=tuple(_INITIAL),
        transitions=transitions,
        invariants={
            'revoked key stops at the entry': lambda each: (
                not (
                    each['since_commit'] >= FRESHNESS_LIMIT_TICKS
                    and each['entry_age'] < FRESHNESS_LIMIT_TICKS
                    and each['entry_revision'] == 0
                )
            ),
            'revoked key stops at the relay': lambda each: (
                not (
                    each['since_commit'] >= FRESHNESS_LIMIT_TICKS
                    and each['relay_age'] < FRESHNESS_LIMIT_TICKS
                    and each['relay_revision'] == 0
                )
            ),
        },
    )


def _steps(state: State, fault: str) -> Iterator[tuple[str, State]]:
    yield 'tick', _tick(state)
    if not state.is_cut:
        yield 'cut off leader', state._replace(is_cut=True)
        yield 'renew lease', state._replace(lease=_LEASE_TICKS)
    yield from _commit_steps(state, fault)
    yield from _relay_steps(state, fault)
    yield from _entry_steps(state, fault)


def _tick(state: State) -> State:
    def increment_age(age: int) -> int:
        return age if age == _NONE else min(_EXPIRED_AGE_TICKS, age + 1)

    return state._replace(
        lease=max(0, state.lease - 1),
        since_commit=increment_age(state.since_commit),
        relay_age=increment_age(state.relay_age),
        relay_asked=increment_age(state.relay_asked),
        entry_age=increment_age(state.entry_age),
        entry_asked=increment_age(state.entry_asked),
        answer_age=state.answer_age,
    )


def _commit_steps(state: State, fault: str) -> Iterator[tuple[str, State]]:
    if state.since_commit != _NONE:
        return
    if not state.is_cut:
        yield 'commit', state._replace(since_commit=0, leader_revision=1)
    elif state.lease == 0 or fault == 'successor does not wait':
        yield 'successor commits', state._replace(since_commit=0)


def _relay_steps(state: State, fault: str) -> Iterator[tuple[str, State]]:
    if state.relay_asked == _NONE:
        yield 'relay asks', state._replace(relay_asked=0)
        return
    yield 'relay answer lost', state._replace(relay_asked=_NONE)
    if state.lease > 0 or fault == 'leader without lease':
        revision = state.leader_revision
        if fault == 'revision behind freshness':
            revision = state.relay_revision
        age = 0 if fault == 'age from reception' else state.relay_asked
        yield (
            'leader answers relay',
            state._replace(
                relay_asked=_NONE,
                relay_revision=max(state.relay_revision, revision),
                relay_age=min(state.relay_age, age),
            ),
        )


def _entry_steps(state: State, fault: str) -> Iterator[tuple[str, State]]:
    if state.entry_asked == _NONE:
        yield 'entry asks', state._replace(entry_asked=0, answer_age=_NONE)
        return
    yield (
        'entry answer lost',
        state._replace(entry_asked=_NONE, answer_age=_NONE),
    )
    if state.answer_age == _NONE:
        age = 0 if fault == 'relay drops age' else state.relay_age
        yield (
            'relay answers',
            state._replace(
                answer_revision=state.relay_revision, answer_age=age
            ),
        )
        return
    ticks_since_request = (
        0 if fault == 'age from reception' else state.entry_asked
    )
    yield (
        'entry receives',
        state._replace(
            entry_asked=_NONE,
            answer_age=_NONE,
            entry_revision=max(state.entry_revision, state.answer_revision),
            entry_age=min(
                state.entry_age,
                _EXPIRED_AGE_TICKS,
                ticks_since_request + state.answer_age,
            ),
        ),
    )
