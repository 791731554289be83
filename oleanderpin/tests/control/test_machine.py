"""The state machine: conflicts, resends and snapshots."""

from ...control.change import Change, Outcome
from ...control.machine import StateMachine


def put_account(
    request_id: str, *, rate_per_s: float = 10, expected: int | None = None
) -> bytes:
    return Change(
        request_id=request_id,
        command='account.put',
        arguments={'name': 'shop', 'rate_per_s': rate_per_s, 'burst': 5},
        expected_revision=expected,
        operator='anna',
    ).encode()


def apply(machine: StateMachine, payload: bytes) -> Outcome:
    outcome = machine.apply(machine.revision + 1, payload)
    assert outcome is not None
    return outcome


def test_race_with_equal_revisions_has_one_winner() -> None:
    """Guards against two operators overwriting each other unnoticed."""
    machine = StateMachine()
    first = apply(machine, put_account('request-1', expected=0))
    loser = apply(machine, put_account('request-2', rate_per_s=99, expected=0))
    assert first.kind == 'ok'
    assert loser.kind == 'conflict'
    assert loser.winner_request_id == 'request-1'
    assert loser.object_revision == first.revision
    assert machine.state.accounts['shop'].rate_per_s == 10


def test_resend_gets_first_answer_after_snapshot() -> None:
    """Guards against a resent change that is applied a second time."""
    machine = StateMachine()
    first = apply(machine, put_account('request-1'))
    apply(machine, put_account('request-2', rate_per_s=20))
    restored = StateMachine.decode(machine.encode())
    assert apply(restored, put_account('request-1')) == first
    assert restored.state.accounts['shop'].rate_per_s == 20


def test_malformed_arguments_change_nothing() -> None:
    machine = StateMachine()
    outcome = apply(machine, put_account('request-1', rate_per_s=-1))
    assert outcome.kind == 'invalid_input'
    assert 'rate_per_s=-1' in outcome.problem
    assert not machine.state.accounts


def test_snapshot_of_many_records_is_complete() -> None:
    """Guards against records lost between the chunks of a snapshot."""
    machine = StateMachine()
    blocks = {f'10.{i // 256}.{i % 256}.0/24': 'north' for i in range(2500)}
    change = Change(
        request_id='request-1',
        command='blocks.put',
        arguments={'blocks': blocks},
    )
    apply(machine, change.encode())
    apply(machine, put_account('request-2'))
    copied = machine.copy()
    restored = StateMachine.decode(copied.encode())
    assert restored.state == machine.state
    assert restored.outcomes == machine.outcomes
    assert restored.history == machine.history
    apply(machine, put_account('request-3', rate_per_s=20))
    assert copied.state == restored.state
    assert 'request-3' not in copied.outcomes


def test_change_of_what_it_does_not_refer_to_is_refused() -> None:
    """Guards against an old order that acts on a later object of its name.

    Removing the object and creating it again does not make the order new.
    """
    machine = StateMachine()
    steps = [
        ('drain.start', None, 'ok'),
        ('drain.cancel', 1, 'ok'),
        ('drain.cancel', 1, 'conflict'),
        ('drain.start', 1, 'conflict'),
        ('drain.start', 4, 'ok'),
        ('drain.cancel', 1, 'conflict'),
        ('drain.cancel', 5, 'ok'),
    ]
    for revision, (command, since, kind) in enumerate(steps, start=1):
        fields = {'name': 'north-a'}
        if command == 'drain.start':
            fields['kind'] = 'failure_domain'
        change = Change(
            request_id=f'request-{revision}',
            command=command,
            arguments=fields,
            unchanged_since=since,
        )
        outcome = machine.apply(revision, change.encode())
        assert outcome is not None
        assert outcome.kind == kind, (revision, outcome)
