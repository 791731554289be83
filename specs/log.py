"""The replicated log: elections, commits, a membership change, a wiped disk.

Granting a vote and replicating a log entry are atomic steps between two
members; a step that is not taken models a lost message or a partition. An
entry is a pair of its term and the voting members that take effect with it,
or None for an entry that leaves the membership unchanged. A membership change
adds member 3 as the replacement; in the scopes with removals it may also remove
a voter, which keeps its vote and its log, or add a removed one again.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

Entry = tuple[int, tuple[int, ...] | None]
Log = tuple[Entry, ...]

_FIRST_MEMBERS = (0, 1, 2)
_REPLACEMENT = 3
_WIPED = 2

FAULTS = {
    'terms': (
        'commits entries of earlier terms by counting',
        'vote without comparing logs',
        'minority commits',
    ),
    'failures': ('vote is not synced', 'wiped disk keeps its identity'),
    'removals': ('replaces a voter in one change',),
    'full': ('vote is not synced', 'wiped disk keeps its identity'),
}


class Scope(NamedTuple):
    """Bounds of the state space that is searched."""

    max_term: int
    max_entries: int
    wipes: int
    restarts: int
    can_add_member: bool
    can_remove_member: bool = False


# Many terms expose faults of overwritten entries; few terms suffice for wiped
# disks, restarts and a membership change.
SCOPES = {
    'terms': Scope(4, 1, wipes=0, restarts=0, can_add_member=False),
    'failures': Scope(2, 2, wipes=1, restarts=1, can_add_member=True),
    'removals': Scope(
        2,
        3,
        wipes=0,
        restarts=0,
        can_add_member=True,
        can_remove_member=True,
    ),
    'full': Scope(3, 2, wipes=1, restarts=1, can_add_member=True),
}


class Member(NamedTuple):
    """Durable and volatile state of one member.

    ``has_followed`` is set, in the scopes with removals, once the member has
    accepted an entry of its term's leader; it can no longer win that term's
    election then. Without removals its candidacy goes on, which is harmless.
    """

    term: int = 0
    voted_for: int = -1
    is_leader: bool = False
    log: Log = ()
    has_followed: bool = False


class State(NamedTuple):
    """All members, the committed entries and the failures that may follow."""

    wipes: int
    restarts: int
    members: tuple[Member, ...] = (Member(),) * 4
    committed: Log = ()
    is_lost: bool = False
    has_two_leaders: bool = False


def build(fault: str = '', *, scope_name: str = 'full') -> Protocol:
    """Return the model, with the seeded fault ``fault`` unless it is empty."""
    scope = SCOPES[scope_name]

    def transitions(values: tuple) -> list:
        state = State(*values)
        if state.is_lost or state.has_two_leaders:
            return []
        return [
            (name, tuple(after)) for name, after in _steps(state, fault, scope)
        ]

    return Protocol(
        name='log',
        candidate=False,
        fields=State._fields,
        initial=tuple(State(wipes=scope.wipes, restarts=scope.restarts)),
        transitions=transitions,
        invariants={
            'accepted entries are kept': lambda each: not each['is_lost'],
            'one leader in a term': lambda each: not each['has_two_leaders'],
        },
    )


def _steps(
    state: State, fault: str, scope: Scope
) -> Iterator[tuple[str, State]]:
    for number, member in enumerate(state.members):
        if number in _voters(member) and member.term < scope.max_term:
            yield f'{number} stands', _start_election(state, number)
        is_candidate = member.voted_for == number and not member.has_followed
        if is_candidate and not member.is_leader:
            yield from _vote_steps(state, number, fault)
        if member.is_leader:
            yield from _leader_steps(state, number, fault, scope)
    yield from _failure_steps(state, fault)


def _voters(member: Member) -> tuple[int, ...]:
    for _term, members in reversed(member.log):
        if members is not None:
            return members
    return _FIRST_MEMBERS


def _replace(state: State, number: int, member: Member) -> State:
    members = list(state.members)
    members[number] = member
    return state._replace(members=tuple(members))


def _start_election(state: State, number: int) -> State:
    member = state.members[number]
    candidate = Member(member.term + 1, number, is_leader=False, log=member.log)
    return _replace(state, number, candidate)


def _vote_steps(
    state: State, number: int, fault: str
) -> Iterator[tuple[str, State]]:
    candidate = state.members[number]
    voters = _voters(candidate)
    votes = 0
    for other in voters:
        voter = state.members[other]
        if voter.term == candidate.term and voter.voted_for == number:
            votes += 1
        elif _may_vote(voter, candidate, fault):
            granted = Member(candidate.term, number, False, voter.log)
            yield f'{other} votes for {number}', _replace(state, other, granted)
    if votes * 2 > len(voters):
        yield f'{number} leads', _become_leader(state, number)


def _may_vote(voter: Member, candidate: Member, fault: str) -> bool:
    if voter.term > candidate.term:
        return False
    if voter.term == candidate.term and voter.voted_for != -1:
        return False
    if fault == 'vote without comparing logs':
        return True
    return _position(candidate.log) >= _position(voter.log)


def _position(log: Log) -> tuple[int, int]:
    return (log[-1][0] if log else 0, len(log))


def _become_leader(state: State, number: int) -> State:
    member = state.members[number]
    has_two_leaders = any(
        other.is_leader and other.term == member.term for other in state.members
    )
    state = _replace(state, number, member._replace(is_leader=True))
    is_lost = member.log[: len(state.committed)] != state.committed
    return state._replace(has_two_leaders=has_two_leaders, is_lost=is_lost)


def _leader_steps(
    state: State, number: int, fault: str, scope: Scope
) -> Iterator[tuple[str, State]]:
    leader = state.members[number]
    if len(leader.log) < scope.max_entries:
        for name, entry in _proposals(state, leader, fault, scope):
            appended = leader._replace(log=(*leader.log, entry))
            yield f'{number} {name}', _replace(state, number, appended)
    for other, follower in enumerate(state.members):
        is_behind = follower.log != leader.log
        can_receive = other != _REPLACEMENT or scope.can_add_member
        if not can_receive:
            continue
        if other != number and follower.term <= leader.term and is_behind:
            copied = _copy_next_entry(follower, leader, scope)
            yield f'{number} copies to {other}', _replace(state, other, copied)
    committed = _committed_prefix(state, number, fault)
    if len(committed) > len(state.committed):
        is_lost = committed[: len(state.committed)] != state.committed
        yield (
            f'{number} commits {len(committed)}',
            state._replace(committed=committed, is_lost=is_lost),
        )


def _proposals(
    state: State, leader: Member, fault: str, scope: Scope
) -> list[tuple[str, Entry]]:
    proposals: list[tuple[str, Entry]] = [('appends', (leader.term, None))]
    is_committed = state.committed[: len(leader.log)] == leader.log
    has_own_term_entry = any(
        term == leader.term for term, _members in leader.log
    )
    if scope.can_add_member and is_committed and has_own_term_entry:
        # One membership change at a time, and only after an entry of the
        # leader's own term is committed.
        for name, voters in _member_changes(_voters(leader), fault, scope):
            proposals.append((name, (leader.term, voters)))
    return proposals


def _member_changes(
    voters: tuple[int, ...], fault: str, scope: Scope
) -> Iterator[tuple[str, tuple[int, ...]]]:
    if _REPLACEMENT not in voters:
        yield 'adds a member', (*voters, _REPLACEMENT)
    if not scope.can_remove_member:
        return
    for number in voters:
        remaining = tuple(each for each in voters if each != number)
        if fault == 'replaces a voter in one change':
            yield f'replaces {number}', (*remaining, _REPLACEMENT)
        elif len(remaining) > 1:
            yield f'removes {number}', remaining
    for number in _FIRST_MEMBERS:
        if number not in voters:
            yield f'adds {number} again', (*voters, number)


def _copy_next_entry(follower: Member, leader: Member, scope: Scope) -> Member:
    voted_for = follower.voted_for if follower.term == leader.term else -1
    # Appends one entry after the longest common prefix of both logs.
    common_length = 0
    for own_entry, leader_entry in zip(follower.log, leader.log, strict=False):
        if own_entry != leader_entry:
            break
        common_length += 1
    return Member(
        leader.term,
        voted_for,
        False,
        leader.log[: common_length + 1],
        has_followed=scope.can_remove_member,
    )


def _committed_prefix(state: State, number: int, fault: str) -> Log:
    leader = state.members[number]
    longest: Log = ()
    for length in range(1, len(leader.log) + 1):
        prefix = leader.log[:length]
        voters = _voters(leader)
        holders = sum(
            state.members[other].log[:length] == prefix for other in voters
        )
        needed = 1 if fault == 'minority commits' else len(voters) // 2 + 1
        is_own_term = prefix[-1][0] == leader.term
        if fault == 'commits entries of earlier terms by counting':
            is_own_term = True
        if holders >= needed and is_own_term:
            longest = prefix
    return longest


def _failure_steps(state: State, fault: str) -> Iterator[tuple[str, State]]:
    wiped = state.members[_WIPED]
    if state.wipes and wiped != Member():
        fresh = Member()
        if fault != 'wiped disk keeps its identity':
            # The old identity does not respond again: no candidate or leader
            # reaches term 99.
            fresh = Member(term=99)
        yield (
            'disk is wiped',
            _replace(state, _WIPED, fresh)._replace(wipes=state.wipes - 1),
        )
    if not state.restarts:
        return
    for number, member in enumerate(state.members):
        if member == Member() or member.term == 99:
            continue
        voted_for = member.voted_for
        if fault == 'vote is not synced':
            voted_for = -1
        restarted = Member(member.term, voted_for, False, member.log)
        if restarted != member:
            yield (
                f'{number} restarts',
                _replace(state, number, restarted)._replace(
                    restarts=state.restarts - 1
                ),
            )
