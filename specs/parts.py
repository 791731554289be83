"""Parts of small accounts: use stays within rate and burst.

Up to three control instances own equal parts of one account. An owner gives
tokens to requests, and a draw takes tokens from one owner for another
instance. A request for a draw can be repeated or late, and a reply lost or late
by any time. Gateways return tokens that no request used. Instances restart with
any earlier state on disk.

The owners change once, in two steps: the record of the hand-over names the
earlier and the next owners, and the next record follows once each earlier owner
has confirmed the first one or its lease has ended. A record reaches each
instance at any time or never. An instance may be paused at any point; its lease
ends meanwhile, and it is asked for a token after it wakes up.

Use is counted as the excess over the rate: it falls by the rate in each tick
and never below zero, so that it is the most that was used in any window beyond
rate x window.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

_MIN_PART_TOKENS = 2
_MAX_KEPT_TOKENS = 2
# Tokens that an instance without a part keeps for a waiting request.
_MAX_TOKENS_WITHOUT_PART = 1

_STAYS_IN_SOURCE = 'drawn token stays in the source'
_STORED_BEYOND_PART = 'drawn token is stored beyond the part'
_LATE_RETURN = 'unused token is returned at any time'
_TAKEN_BACK = 'source takes back tokens of a late reply'
_BESIDE_A_DRAW = 'draws beside a draw in progress'
_NO_CHECK_AT_USE = 'lease is checked before a pause, not at the use'
_DISK_IS_FRESH = 'uses the state on disk after a restart'
_NO_WAIT = 'parts are handed over without waiting'
_ONE_STEP = 'next owners earn at the first step'

_DRAW_FAULTS = (
    _STAYS_IN_SOURCE,
    'part starts full after a restart',
    _STORED_BEYOND_PART,
    'asked tokens are added, not given ones',
    _TAKEN_BACK,
    _BESIDE_A_DRAW,
    'returned token is sent again',
    _LATE_RETURN,
)
FAULTS = {
    'two parts': _DRAW_FAULTS,
    'one part': (_STAYS_IN_SOURCE, _STORED_BEYOND_PART),
    'three instances': _DRAW_FAULTS,
    'removed': (_NO_WAIT, _NO_CHECK_AT_USE),
    'removed, restart': (_NO_WAIT, _NO_CHECK_AT_USE, _DISK_IS_FRESH),
    'removed, few parts': (_NO_WAIT, _NO_CHECK_AT_USE, _ONE_STEP),
    'replaced': (_NO_WAIT, _NO_CHECK_AT_USE, _ONE_STEP),
    'added': (_NO_WAIT, _NO_CHECK_AT_USE, _ONE_STEP),
}
# Scopes that only the check with larger bounds searches.
FULL_SCOPES = ('three instances',)


class Scope(NamedTuple):
    """Change of the owners that is searched, and what else happens.

    ``members`` and ``later_members`` are in the order in which the account
    prefers them as owners.
    """

    members: tuple[int, ...]
    later_members: tuple[int, ...] = ()
    burst: int = 4
    rate: int = 2
    can_draw: bool = False
    can_return: bool = False
    can_restart: bool = False
    can_restart_after_change: bool = False


SCOPES = {
    'two parts': Scope(
        (0, 1), can_draw=True, can_return=True, can_restart=True
    ),
    # An owner, and an instance without a part.
    'one part': Scope(
        (0, 1),
        burst=2,
        rate=1,
        can_draw=True,
        can_return=True,
        can_restart=True,
    ),
    # Two owners, and an instance without a part.
    'three instances': Scope(
        (0, 1, 2), can_draw=True, can_return=True, can_restart=True
    ),
    'removed': Scope((0, 1), (0,), can_draw=True, can_restart=True),
    'removed, restart': Scope((0, 1), (0,), can_restart_after_change=True),
    'removed, few parts': Scope((0, 1, 2), (0, 2)),
    'replaced': Scope((0, 1), (0, 2)),
    'added': Scope((0, 1), (0, 1, 2), burst=6, rate=6),
}


# Records of the control state, in the order of their commits.
_EARLIER, _HANDOVER, _NEXT = range(3)


class Instance(NamedTuple):
    """One control instance.

    ``record`` is the newest record that it knows, and ``has_lease`` tells
    whether it may use its part by it. ``drawn`` are the tokens in the reply to
    its draw in flight.
    """

    record: int = _EARLIER
    has_lease: bool = True
    tokens: int = 0
    drawn: int = 0


class State(NamedTuple):
    """All instances, the excess in use, and unused tokens at gateways."""

    instances: tuple[Instance, ...]
    excess: int = 0
    kept: int = 0
    committed: int = _EARLIER


def build(fault: str = '', *, scope_name: str = 'three instances') -> Protocol:
    """Return the model, with the seeded fault ``fault`` unless it is empty."""
    scope = SCOPES[scope_name]
    model = _Model(scope, fault)

    def transitions(values: tuple) -> list:
        state = State(*values)
        if not model.is_within(state):
            return []
        return [(name, tuple(after)) for name, after in model.steps(state)]

    return Protocol(
        name='parts',
        candidate=False,
        fields=State._fields,
        initial=tuple(model.initial()),
        transitions=transitions,
        invariants={
            'use stays within rate and burst': lambda each: model.is_within(
                State(**each)
            ),
            'stored tokens stay within the part': lambda each: all(
                instance.tokens <= model.part(instance)
                for instance in each['instances']
            ),
        },
    )


class _Model:
    def __init__(self, scope: Scope, fault: str) -> None:
        self._scope = scope
        self._fault = fault

    def initial(self) -> State:
        """Return the state in which no part has a token."""
        scope = self._scope
        numbers = {*scope.members, *scope.later_members}
        return State((Instance(),) * len(numbers))

    def is_within(self, state: State) -> bool:
        """Return whether tokens and use are within the stated bound.

        One draw of at most a part for each instance may be in transit, and
        what an instance without a part keeps.
        """
        in_transit = 0
        tokens = state.excess
        for number, each in enumerate(state.instances):
            tokens += each.drawn
            if self._may_use(each):
                tokens += each.tokens
            if self._scope.can_draw:
                in_transit += self.part(each)
                if not self._is_owner(number, each):
                    in_transit += _MAX_TOKENS_WITHOUT_PART
        return tokens <= self._scope.burst + in_transit

    def part(self, instance: Instance) -> int:
        """Return the tokens of one part as an instance knows it."""
        return self._scope.burst // self._part_count(instance)

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Return all next states with the names of the steps."""
        yield 'tick', self._tick(state)
        yield from self._commit_steps(state)
        for number, instance in enumerate(state.instances):
            yield from self._use_steps(state, number, instance)
            yield from self._member_steps(state, number, instance)
            if self._scope.can_draw:
                yield from self._draw_steps(state, number, instance)
            if state.kept:
                after = _set(state, number, self._add(number, instance, 1))
                if self._fault != 'returned token is sent again':
                    after = after._replace(kept=state.kept - 1)
                yield f'gateway returns a token to {number}', after
        if state.kept:
            yield 'returned token lost', state._replace(kept=state.kept - 1)

    def _commit_steps(self, state: State) -> Iterator[tuple[str, State]]:
        scope = self._scope
        if scope.later_members and state.committed == _EARLIER:
            yield 'hand-over begins', state._replace(committed=_HANDOVER)
        is_waiting = any(
            state.instances[number].record == _EARLIER
            and state.instances[number].has_lease
            for number in scope.members
        )
        if state.committed == _HANDOVER and (
            not is_waiting or self._fault == _NO_WAIT
        ):
            yield 'hand-over ends', state._replace(committed=_NEXT)

    def _may_use(self, instance: Instance) -> bool:
        return instance.has_lease or self._fault == _NO_CHECK_AT_USE

    def _owners(self, record: int) -> tuple[int, ...]:
        earlier = self._chosen(self._scope.members)
        later = self._chosen(self._scope.later_members)
        if record == _EARLIER:
            return earlier
        if record == _NEXT or self._fault == _ONE_STEP:
            return later
        return tuple(number for number in earlier if number in later)

    def _chosen(self, members: tuple[int, ...]) -> tuple[int, ...]:
        return members[: max(1, self._scope.burst // _MIN_PART_TOKENS)]

    def _part_count(self, instance: Instance) -> int:
        earlier = len(self._chosen(self._scope.members))
        later = len(self._chosen(self._scope.later_members))
        if instance.record == _HANDOVER:
            return max(earlier, later)
        return later if instance.record == _NEXT else earlier

    def _is_owner(self, number: int, instance: Instance) -> bool:
        return number in self._owners(instance.record)

    def _add(self, number: int, instance: Instance, tokens: int) -> Instance:
        limit = _MAX_TOKENS_WITHOUT_PART
        if self._is_owner(number, instance):
            limit = self.part(instance)
        added = min(tokens, max(0, limit - instance.tokens))
        if self._fault == _STORED_BEYOND_PART:
            added = tokens
        return instance._replace(tokens=instance.tokens + added)

    def _tick(self, state: State) -> State:
        """Let all parts earn what they earn in one tick."""
        scope = self._scope
        instances = []
        for number, instance in enumerate(state.instances):
            tokens = instance.tokens
            if self._is_owner(number, instance):
                earned = scope.rate // self._part_count(instance)
                room = max(0, self.part(instance) - tokens)
                tokens += min(earned, room)
            instances.append(instance._replace(tokens=tokens))
        return state._replace(
            instances=tuple(instances),
            excess=max(0, state.excess - scope.rate),
            # Returned at once, or not at all.
            kept=state.kept if self._fault == _LATE_RETURN else 0,
        )

    def _use_steps(
        self, state: State, number: int, instance: Instance
    ) -> Iterator[tuple[str, State]]:
        if not instance.tokens or not self._may_use(instance):
            return
        given = _set(
            state, number, instance._replace(tokens=instance.tokens - 1)
        )
        yield (
            f'{number} gives a token to a request',
            given._replace(excess=state.excess + 1),
        )
        if self._scope.can_return and state.kept < _MAX_KEPT_TOKENS:
            yield (
                f'{number} gives a token that no request uses',
                given._replace(kept=state.kept + 1),
            )

    def _member_steps(
        self, state: State, number: int, instance: Instance
    ) -> Iterator[tuple[str, State]]:
        scope = self._scope
        if instance.record < state.committed and instance.has_lease:
            ended = instance._replace(has_lease=False)
            yield f'lease of {number} ends', _set(state, number, ended)
        for record in range(instance.record, state.committed + 1):
            learned = self._learn(number, instance, record)
            if record == state.committed:
                learned = learned._replace(has_lease=True)
            if learned != instance:
                yield (
                    f'{number} learns record {record}',
                    _set(state, number, learned),
                )
        is_changed = instance.record > _EARLIER
        if scope.can_restart_after_change if is_changed else scope.can_restart:
            for record in range(instance.record + 1):
                yield (
                    f'{number} restarts with record {record}',
                    _set(state, number, self._restarted(instance, record)),
                )

    def _learn(self, number: int, instance: Instance, record: int) -> Instance:
        learned = instance._replace(record=record)
        is_same = self._is_owner(number, learned) == self._is_owner(
            number, instance
        )
        # Others may have used the part by a record that was missed.
        keeps_tokens = is_same and record <= instance.record + 1
        tokens = min(instance.tokens, self.part(learned))
        return learned._replace(tokens=tokens if keeps_tokens else 0)

    def _restarted(self, instance: Instance, record: int) -> Instance:
        started = Instance(record, has_lease=self._fault == _DISK_IS_FRESH)
        if self._fault == 'part starts full after a restart':
            tokens = self.part(started)
            started = started._replace(tokens=tokens, has_lease=True)
        return started

    def _draw_steps(
        self, state: State, number: int, instance: Instance
    ) -> Iterator[tuple[str, State]]:
        if instance.drawn:
            without_draw = instance._replace(drawn=0)
            yield (
                f'reply to {number} arrives',
                _set(
                    state,
                    number,
                    self._add(number, without_draw, instance.drawn),
                ),
            )
            yield f'reply to {number} lost', _set(state, number, without_draw)
        for source_number, source in enumerate(state.instances):
            if source_number != number and self._may_use(source):
                yield from self._draw_from(
                    state, (number, instance), (source_number, source)
                )

    def _draw_from(
        self,
        state: State,
        asking: tuple[int, Instance],
        asked: tuple[int, Instance],
    ) -> Iterator[tuple[str, State]]:
        number, instance = asking
        source_number, source = asked
        if instance.drawn and self._fault == _TAKEN_BACK:
            yield (
                f'{source_number} takes back the tokens for {number}',
                _set(
                    state,
                    source_number,
                    self._add(source_number, source, instance.drawn),
                ),
            )
        for count in range(1, self.part(instance) + 1):
            taken = min(count, source.tokens)
            left = source.tokens - taken
            if self._fault == _STAYS_IN_SOURCE:
                left = source.tokens
            given = _set(state, source_number, source._replace(tokens=left))
            # The asking instance no longer waits, or has its reply.
            yield f'{source_number} gives {taken} to a late request', given
            if instance.drawn and self._fault != _BESIDE_A_DRAW:
                continue
            arriving = taken
            if self._fault == 'asked tokens are added, not given ones':
                arriving = count
            yield (
                f'{number} draws {taken} from {source_number}',
                _set(
                    given,
                    number,
                    instance._replace(drawn=instance.drawn + arriving),
                ),
            )


def _set(state: State, number: int, instance: Instance) -> State:
    before, after = state.instances[:number], state.instances[number + 1 :]
    return state._replace(instances=(*before, instance, *after))
