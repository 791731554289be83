"""Random sequences of commands, each valid or not when it is applied."""

import random
from collections.abc import Callable
from typing import Any

import pytest

from ...control import configuration  # noqa: F401 - registers commands
from ...control.change import Change
from ...control.commands import commands
from ...control.machine import StateMachine

_NAMES = ('a', 'b')
_VERSIONS = ('v1', 'v2')
_KEY_HASHES = ('0' * 64, '1' * 64)


class _Arguments:
    """Draws arguments of each command from few names.

    Few names make commands meet what others have added, changed or removed.
    """

    def __init__(self, seed: int) -> None:
        self._choose = random.Random(seed)
        self._drawers: dict[str, Callable[[StateMachine], dict[str, Any]]] = {
            'account.put': lambda _machine: {
                'name': self._name(),
                'rate_per_s': 5,
                'burst': 5,
            },
            'service.put': self._service,
            'service.adopt_version': lambda _machine: {
                'name': self._name(),
                'version': self._pick(_VERSIONS),
                'previous': self._pick(('', *_VERSIONS)),
            },
            'key.add': lambda _machine: {
                'key_hash': self._pick(_KEY_HASHES),
                'account': self._name(),
            },
            'key.revoke': lambda _machine: {
                'key_hash': self._pick(_KEY_HASHES)
            },
            'drain.start': lambda _machine: {
                'name': self._name(),
                'kind': self._pick(('target', 'failure_domain')),
            },
            'move.start': lambda _machine: {
                'service': self._name(),
                'to_version': self._pick(_VERSIONS),
                'deadline_s': 10,
            },
            'move.advance': lambda _machine: {
                'service': self._name(),
                'share_percent': 50,
            },
            'move.finish': lambda _machine: {
                'service': self._name(),
                'status': self._pick(('done', 'taken_back')),
                'reason': 'test',
            },
            'blocks.put': lambda _machine: {'blocks': {'10.0.0.0/8': 'a'}},
            'blocks.delete': lambda _machine: {'cidrs': ['10.0.0.0/8']},
            'members.set': lambda _machine: {'members': []},
            'share_holders.add': lambda _machine: {'names': [self._name()]},
            'part_owners.set': lambda machine: {
                'owners': {},
                'next_owners': {},
                'expected_number': machine.state.owners_of_parts.number
                + self._pick((0, 0, 1)),
            },
            'configuration.replace': self._replacement,
            'configuration.edit': self._edit,
        }

    def draw(self, machine: StateMachine) -> tuple[str, dict[str, Any]]:
        """Return a command and its arguments."""
        command = self._pick(sorted(commands))
        drawer = self._drawers.get(command, self._named)
        return command, drawer(machine)

    def _pick(self, options: Any) -> Any:
        return self._choose.choice(options)

    def _name(self) -> str:
        return self._pick(_NAMES)

    def _named(self, _machine: StateMachine) -> dict[str, Any]:
        return {'name': self._name()}

    def _service(self, _machine: StateMachine) -> dict[str, Any]:
        return {
            'name': self._name(),
            'profile': self._name(),
            'version': self._pick(('', *_VERSIONS)),
        }

    def _objects(self) -> dict[str, Any]:
        services = [each for each in _NAMES if self._pick((True, False))]
        return {
            'profiles': {each: {} for each in _NAMES},
            'services': {each: {'profile': 'a'} for each in services},
            'routes': {
                each: {
                    'host': 'shop.example',
                    'path_prefix': f'/{each}',
                    'profile': self._name(),
                    'services': [self._name()],
                    'weights': [1],
                }
                for each in services[:1]
            },
            'accounts': {self._name(): {'key_hashes': [_KEY_HASHES[0]]}},
        }

    def _numbers(self, machine: StateMachine) -> dict[str, Any]:
        current = machine.state.configuration.number
        return {
            'number': current + self._pick((1, 1, 1, 0)),
            'based_on': current + self._pick((0, 0, 0, 1)),
        }

    def _replacement(self, machine: StateMachine) -> dict[str, Any]:
        return {**self._numbers(machine), 'objects': self._objects()}

    def _edit(self, machine: StateMachine) -> dict[str, Any]:
        removed = {
            table: [self._name()]
            for table in ('profiles', 'services', 'routes', 'accounts')
            if self._pick((True, False))
        }
        return {
            **self._numbers(machine),
            'upsert': self._pick(({}, self._objects())),
            'remove': removed,
        }


@pytest.mark.parametrize('seed', range(20))
def test_each_command_has_an_outcome_in_each_state(seed: int) -> None:
    """Guards against a committed change that no member can apply.

    A change is checked against the state in which it is proposed and applied
    to a later one, which other changes may have made in between. A member that
    starts from a snapshot reaches the same state.
    """
    arguments = _Arguments(seed)
    machine = StateMachine()
    restarted = StateMachine()
    accepted: set[str] = set()
    for revision in range(1, 800):
        command, fields = arguments.draw(machine)
        payload = Change(
            request_id=f'request-{revision}', command=command, arguments=fields
        ).encode()
        outcome = machine.apply(revision, payload)
        assert outcome is not None
        if outcome.kind == 'ok':
            accepted.add(command)
        assert restarted.apply(revision, payload) == outcome
        if revision % 50 == 0:
            assert restarted.state == machine.state
            restarted = StateMachine.decode(machine.encode())
    assert accepted == set(commands)


def test_entry_that_cannot_be_applied_is_not_skipped() -> None:
    """Guards against a member that goes on without one of the changes."""
    machine = StateMachine()
    with pytest.raises(Exception, match='request_id'):
        machine.apply(1, b'{}')
    assert machine.revision == 0
    with pytest.raises(ValueError, match='directly after revision 0'):
        machine.apply(2, b'')
