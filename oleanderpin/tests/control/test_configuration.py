"""Configuration documents: compare-and-set, resends and validation."""

import json
from typing import Any

import pytest

from ...control.change import Change, Outcome
from ...control.machine import StateMachine

HASH = 'ab' * 32


def document(number: int, based_on: int, **objects: Any) -> dict[str, Any]:
    """Return a valid document, with some tables replaced."""
    tables: dict[str, Any] = {
        'profiles': {'counter': {'is_repeatable': True}},
        'services': {'desk': {'profile': 'counter'}},
        'routes': {'all': route()},
        'accounts': {'shop': {'key_hashes': [HASH], 'rate_per_s': 10}},
    }
    return {
        'number': number,
        'based_on': based_on,
        'objects': tables | objects,
    }


def route(**changes: Any) -> dict[str, Any]:
    """Return a valid route."""
    fields = {
        'host': 'shop.example',
        'path_prefix': '/desk/',
        'profile': 'counter',
        'services': ['desk'],
        'weights': [1],
    }
    return fields | changes


class Machine:
    """A state machine that assigns revisions and request ids to changes."""

    def __init__(self) -> None:
        self.machine = StateMachine()

    def apply(self, command: str, arguments: dict[str, Any]) -> Outcome:
        revision = self.machine.revision + 1
        change = Change(
            request_id=f'request-{revision}',
            command=command,
            arguments=arguments,
        )
        outcome = self.machine.apply(revision, change.encode())
        assert outcome is not None
        return outcome

    def replace(self, arguments: dict[str, Any]) -> Outcome:
        return self.apply('configuration.replace', arguments)


@pytest.fixture
def machine() -> Machine:
    made = Machine()
    assert made.replace(document(1, 0)).kind == 'ok'
    return made


def test_one_of_two_racing_changes_wins(machine: Machine) -> None:
    """Guards against accepting two changes based on the same number."""
    first = document(2, 1)
    second = document(3, 1, accounts={})
    assert machine.replace(first).kind == 'ok'
    assert machine.replace(second).kind == 'conflict'
    assert machine.machine.state.configuration.number == 2
    assert 'shop' in machine.machine.state.accounts


def test_resend_is_accepted_again(machine: Machine) -> None:
    """Guards against rejecting a resent change whose first reply was lost."""
    second = document(2, 1)
    machine.replace(second)
    machine.replace(document(5, 2, accounts={}))
    assert machine.replace(second).kind == 'ok'
    assert machine.machine.state.configuration.number == 5


def test_same_number_with_other_content_is_refused(machine: Machine) -> None:
    """Guards against two configurations with the same number."""
    other = document(1, 0, accounts={})
    assert machine.replace(other).kind == 'conflict'
    assert machine.replace(document(1, 1, accounts={})).kind == 'invalid_input'


@pytest.mark.parametrize(
    'objects',
    [
        {'routes': {'all': route(services=['other'])}},
        {'routes': {'all': route(weights=[0])}},
        {'routes': {'all': route(weights=[-1])}},
        {'routes': {'all': route(weights=[1, 1])}},
        {'routes': {'all': route(path_prefix='desk/')}},
        {'routes': {'all': route(profile='other')}},
        {'routes': {'all': route(), 'again': route()}},
        {'routes': {'all': route(unknown=1)}},
        {
            'accounts': {
                'shop': {'key_hashes': [HASH]},
                'other': {'key_hashes': [HASH]},
            }
        },
        {'accounts': {'shop': {'rate_per_s': -1}}},
    ],
)
def test_invalid_document_changes_nothing(
    machine: Machine, objects: dict[str, Any]
) -> None:
    """Guards against an invalid configuration coming into force."""
    before = machine.machine.state
    outcome = machine.replace(document(2, 1, **objects))
    assert outcome.kind == 'invalid_input'
    assert outcome.problem
    assert machine.machine.state is before


def test_edit_sets_and_removes_named_objects(machine: Machine) -> None:
    """Guards against an edit that changes objects it does not name."""
    outcome = machine.apply(
        'configuration.edit',
        {
            'number': 4,
            'based_on': 1,
            'upsert': {'routes': {'more': route(path_prefix='/more/')}},
            'remove': {'accounts': ['shop']},
        },
    )
    assert outcome.kind == 'ok'
    state = machine.machine.state
    assert set(state.routes) == {'all', 'more'}
    assert not state.accounts
    assert not state.keys


def test_removed_key_is_gone(machine: Machine) -> None:
    """Guards against a key that remains valid after its removal."""
    account = {'shop': {'key_hashes': ['cd' * 32]}}
    machine.replace(document(2, 1, accounts=account))
    assert set(machine.machine.state.keys) == {'cd' * 32}


def test_version_of_a_service_outlives_configurations(
    machine: Machine,
) -> None:
    """Guards against losing the version of a service.

    Its requests would then go to targets of any version.
    """
    machine.apply(
        'service.adopt_version',
        {'name': 'desk', 'version': 'v1', 'previous': ''},
    )
    machine.replace(document(2, 1))
    assert machine.machine.state.services['desk'].version == 'v1'


def test_snapshot_holds_the_configuration(machine: Machine) -> None:
    """Guards against a restart that loses routes or accepted digests."""
    copied = StateMachine.decode(machine.machine.encode())
    assert copied.state.configuration == machine.machine.state.configuration
    assert copied.state.routes == machine.machine.state.routes


def test_snapshot_of_an_earlier_version_is_read(machine: Machine) -> None:
    """Guards against a start that fails on a snapshot without routes."""
    stored = json.loads(machine.machine.encode())
    stored['tables'].pop('routes')
    decoded = StateMachine.decode(json.dumps(stored).encode())
    assert not decoded.state.routes
