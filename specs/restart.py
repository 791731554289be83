"""Standing of copies across a loss of all power: no denial by an old copy.

The model has a control group that stores which entries are committed a while
after it confirms them, a relay that asks the group, and an entry instance that
asks the relay. One change is committed. All may lose power at any time, after
which the group hands out what it stored until there is a leader. The entry
denies what it does not know only by a copy that is known to be current.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

AGED_AFTER_TICKS = 3
_OLDEST_TICKS = AGED_AFTER_TICKS + 1
_NO_COPY = -1
_NONE = -1

FAULTS = (
    'stored copy counts as confirmed',
    'source does not tell its age',
    'age counted from the reply',
    'age outlives a restart',
)


class State(NamedTuple):
    """One state of the model.

    Ages are in ticks, capped at one above the limit; an unconfirmed copy has
    the highest one. ``revision`` is 1 once the change is committed, and
    ``since_commit`` the ticks since then. ``asked`` and ``arrived`` are the
    ticks since the entry's request was sent and since it arrived; -1 if not.
    """

    is_led: bool
    revision: int
    stored_revision: int
    since_commit: int
    relay_revision: int
    relay_age: int
    entry_revision: int
    entry_age: int
    asked: int
    arrived: int


_INITIAL = State(
    is_led=True,
    revision=0,
    stored_revision=0,
    since_commit=_NONE,
    relay_revision=_NO_COPY,
    relay_age=_OLDEST_TICKS,
    entry_revision=_NO_COPY,
    entry_age=_OLDEST_TICKS,
    asked=_NONE,
    arrived=_NONE,
)


def build(fault: str = '') -> Protocol:
    """Return the model, with the seeded fault ``fault`` unless it is empty."""

    def transitions(values: tuple) -> list:
        state = State(*values)
        return [(name, tuple(after)) for name, after in _steps(state, fault)]

    return Protocol(
        name='restart',
        candidate=False,
        fields=State._fields,
        initial=tuple(_INITIAL),
        transitions=transitions,
        invariants={
            'nothing is denied by an old copy': lambda each: (
                not (
                    each['entry_age'] < AGED_AFTER_TICKS
                    and each['entry_revision'] < each['revision']
                    and each['since_commit'] >= AGED_AFTER_TICKS
                )
            ),
        },
    )


def _steps(state: State, fault: str) -> Iterator[tuple[str, State]]:
    yield 'tick', _tick(state)
    if state.is_led:
        if state.revision == 0:
            yield 'commit', state._replace(revision=1, since_commit=0)
        yield 'store commit', state._replace(stored_revision=state.revision)
    else:
        yield 'elect', state._replace(is_led=True)
    yield 'lose all power', _lose_power(state, fault)
    yield 'relay asks', _ask_group(state, fault)
    yield from _entry_steps(state, fault)


def _tick(state: State) -> State:
    def add(ticks: int) -> int:
        return ticks if ticks == _NONE else min(_OLDEST_TICKS, ticks + 1)

    return state._replace(
        since_commit=add(state.since_commit),
        relay_age=add(state.relay_age),
        entry_age=add(state.entry_age),
        asked=add(state.asked),
        arrived=add(state.arrived),
    )


def _lose_power(state: State, fault: str) -> State:
    keeps_age = fault == 'age outlives a restart'
    return state._replace(
        is_led=False,
        relay_revision=_NO_COPY,
        relay_age=state.relay_age if keeps_age else _OLDEST_TICKS,
        entry_revision=_NO_COPY,
        entry_age=state.entry_age if keeps_age else _OLDEST_TICKS,
        asked=_NONE,
        arrived=_NONE,
    )


def _ask_group(state: State, fault: str) -> State:
    if state.is_led:
        return state._replace(relay_revision=state.revision, relay_age=0)
    is_trusted = fault == 'stored copy counts as confirmed'
    return state._replace(
        relay_revision=max(state.relay_revision, state.stored_revision),
        relay_age=0 if is_trusted else state.relay_age,
    )


def _entry_steps(state: State, fault: str) -> Iterator[tuple[str, State]]:
    if state.asked == _NONE:
        yield 'entry asks', state._replace(asked=0)
        return
    if state.arrived == _NONE:
        yield 'request arrives', state._replace(arrived=0)
        return
    # The entry counts from its request, and the relay from the arrival.
    in_transit = max(0, state.asked - state.arrived)
    if fault == 'age counted from the reply':
        in_transit = -state.arrived
    relay_age = state.relay_age
    if fault == 'source does not tell its age':
        relay_age = 0
    age = min(_OLDEST_TICKS, max(0, in_transit + relay_age))
    # A held request is answered when the relay has a copy.
    if state.relay_revision == _NO_COPY:
        return
    yield (
        'relay replies',
        state._replace(
            entry_revision=max(state.entry_revision, state.relay_revision),
            entry_age=min(state.entry_age, age),
            asked=_NONE,
            arrived=_NONE,
        ),
    )
