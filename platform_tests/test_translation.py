"""Messages of the platform, decoded and laid out again."""

import json
from typing import Any

import pydantic
import pytest
from adapter.messages import ConfigurationPatch, Heartbeat, WholeConfiguration
from adapter.translation import edit_of, layout_of, replacement_of

from oleanderpin.control.change import Change
from oleanderpin.control.machine import StateMachine

ROUTE = {
    'host': 'ficu95.example',
    'pathPrefix': '/pufi791/',
    'kind': 'unsafe',
    'timeout': '1200ms',
    'targetLatency': '0.3s',
    'priority': 1,
    'service': 'huvo11a',
    'maxAttempts': 2,
    'public': False,
    'sticky': True,
    'allowedRegions': [],
    'fieldOfTomorrow': 3,
}
WHOLE: dict[str, Any] = {
    'version': 7,
    'baseVersion': 0,
    'routes': {'r-1': ROUTE},
    'services': {
        'huvo11a': {
            'healthPath': '/health',
            'maxConnections': 390,
            'coldStart': '3s',
            'coldPerS': 17.0,
        }
    },
    'limits': {'maxHeaderBytes': 16384, 'idleTimeout': '15000ms'},
    'tenants': {'kaje80': {'apiKeys': ['k1', 'k2'], 'ratePerS': 393}},
}


def applied(machine: StateMachine, command: str, arguments: Any) -> str:
    revision = machine.revision + 1
    change = Change(
        request_id=f'request-{revision}',
        command=command,
        arguments=arguments.model_dump(mode='json'),
    )
    outcome = machine.apply(revision, change.encode())
    assert outcome is not None
    return outcome.kind


def whole(**changes: Any) -> WholeConfiguration:
    document = json.dumps(WHOLE | changes)
    return WholeConfiguration.model_validate_json(document)


def test_configuration_is_read_back_as_it_was_put() -> None:
    """Guards against fields that get lost or change on their way."""
    machine = StateMachine()
    kind = applied(machine, 'configuration.replace', replacement_of(whole()))
    assert kind == 'ok'
    read = layout_of(machine.state)
    expected = {key: WHOLE[key] for key in WHOLE if key != 'baseVersion'}
    assert read == expected


def test_times_and_kinds_are_decoded() -> None:
    """Guards against times of another unit and repeated actions."""
    profile = replacement_of(whole()).objects.profiles['r-1']
    assert profile.request_timeout_s == pytest.approx(1.2)
    assert profile.latency_objective_s == pytest.approx(0.3)
    assert not profile.is_repeatable


def test_patch_sets_and_removes_items() -> None:
    """Guards against a patch that leaves a removed tenant's keys."""
    machine = StateMachine()
    applied(machine, 'configuration.replace', replacement_of(whole()))
    patch = ConfigurationPatch.model_validate(
        {
            'version': 9,
            'baseVersion': 7,
            'upsert': {'routes': {'r-2': ROUTE | {'pathPrefix': '/other/'}}},
            'remove': {'tenants': ['kaje80']},
        }
    )
    assert applied(machine, 'configuration.edit', edit_of(patch)) == 'ok'
    assert set(layout_of(machine.state)['routes']) == {'r-1', 'r-2'}
    assert not machine.state.keys


@pytest.mark.parametrize(
    'change',
    [
        {'kind': 'sometimes'},
        {'pathPrefix': 'pufi791/'},
        {'timeout': 1200},
        {'backends': [{'service': 'huvo11a', 'weight': -1}]},
    ],
)
def test_unreadable_route_is_refused(change: dict[str, Any]) -> None:
    """Guards against an invalid configuration that is acknowledged."""
    with pytest.raises(pydantic.ValidationError):
        replacement_of(whole(routes={'r-1': ROUTE | change}))


@pytest.mark.parametrize(
    'change',
    [
        {'address': 7},
        {'info': {'service': 's', 'zone': 'z'}},
        {'status': {'state': 'odd', 'sequence': 1}},
        {'status': {'state': 'ready', 'sequence': '1'}},
    ],
)
def test_foreign_heartbeat_is_refused(change: dict[str, Any]) -> None:
    """Guards against targets that no server has announced."""
    beat = {
        'address': '10.0.0.1:80',
        'info': {'service': 's', 'zone': 'z', 'slots': 9, 'version': 'v1'},
        'status': {'state': 'ready', 'sequence': 4, 'coldRemaining': '0ms'},
    }
    Heartbeat.model_validate(beat)
    with pytest.raises(pydantic.ValidationError):
        Heartbeat.model_validate(beat | change)
