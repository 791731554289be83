"""Freshness and revocation: a revoked key stops within the limit.

A leader under a lease, a relay that asks it, and an instance that asks the
relay. One revocation is committed, by this leader or, after its lease has
run out, by its successor in another partition. Time passes in ticks; ages
are counted on the asker's side from when it asked.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

LIMIT_TICKS = 4
_LEASE_TICKS = 2
_OLD = LIMIT_TICKS + 1

FAULTS = (
    'age from reception',
    'relay drops age',
    'leader without lease',
    'successor does not wait',
    'revision behind freshness',
)


class State(NamedTuple):
    """One state; ages are in ticks, capped at one above the limit."""

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


_IDLE = -1
_INITIAL = State(
    _LEASE_TICKS, False, _IDLE, 0, 0, _OLD, _IDLE, 0, _OLD, _IDLE, 0, _IDLE
)


def build(fault: str = '') -> Protocol:
    """Return the model, with one seeded fault if one is named."""

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
                    each['since_commit'] >= LIMIT_TICKS
                    and each['entry_age'] < LIMIT_TICKS
                    and each['entry_revision'] == 0
                )
            ),
            'revoked key stops at the relay': lambda each: (
                not (
                    each['since_commit'] >= LIMIT_TICKS
                    and each['relay_age'] < LIMIT_TICKS
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
    yield from _commits(state, fault)
    yield from _relay_steps(state, fault)
    yield from _entry_steps(state, fault)


def _tick(state: State) -> State:
    def older(age: int) -> int:
        return age if age == _IDLE else min(_OLD, age + 1)

    return state._replace(
        lease=max(0, state.lease - 1),
        since_commit=older(state.since_commit),
        relay_age=older(state.relay_age),
        relay_asked=older(state.relay_asked),
        entry_age=older(state.entry_age),
        entry_asked=older(state.entry_asked),
        answer_age=state.answer_age,
    )


def _commits(state: State, fault: str) -> Iterator[tuple[str, State]]:
    if state.since_commit != _IDLE:
        return
    if not state.is_cut:
        yield 'commit', state._replace(since_commit=0, leader_revision=1)
    elif state.lease == 0 or fault == 'successor does not wait':
        yield 'successor commits', state._replace(since_commit=0)


def _relay_steps(state: State, fault: str) -> Iterator[tuple[str, State]]:
    if state.relay_asked == _IDLE:
        yield 'relay asks', state._replace(relay_asked=0)
        return
    yield 'relay answer lost', state._replace(relay_asked=_IDLE)
    if state.lease > 0 or fault == 'leader without lease':
        revision = state.leader_revision
        if fault == 'revision behind freshness':
            revision = state.relay_revision
        age = 0 if fault == 'age from reception' else state.relay_asked
        yield (
            'leader answers relay',
            state._replace(
                relay_asked=_IDLE,
                relay_revision=max(state.relay_revision, revision),
                relay_age=min(state.relay_age, age),
            ),
        )


def _entry_steps(state: State, fault: str) -> Iterator[tuple[str, State]]:
    if state.entry_asked == _IDLE:
        yield 'entry asks', state._replace(entry_asked=0, answer_age=_IDLE)
        return
    yield (
        'entry answer lost',
        state._replace(entry_asked=_IDLE, answer_age=_IDLE),
    )
    if state.answer_age == _IDLE:
        age = 0 if fault == 'relay drops age' else state.relay_age
        yield (
            'relay answers',
            state._replace(
                answer_revision=state.relay_revision, answer_age=age
            ),
        )
        return
    asked = 0 if fault == 'age from reception' else state.entry_asked
    yield (
        'entry receives',
        state._replace(
            entry_asked=_IDLE,
            answer_age=_IDLE,
            entry_revision=max(state.entry_revision, state.answer_revision),
            entry_age=min(state.entry_age, _OLD, asked + state.answer_age),
        ),
    )
