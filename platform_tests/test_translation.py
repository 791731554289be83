"""Tests of decoding and encoding the platform's messages."""

import json
from typing import Any

import pydantic
import pytest
from adapter.messages import ConfigurationPatch, Heartbeat, WholeConfiguration
from adapter.translation import (
    convert_configuration,
    convert_patch,
    export_configuration,
)

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


def apply_command(machine: StateMachine, command: str, arguments: Any) -> str:
    revision = machine.revision + 1
    change = Change(
        request_id=f'request-{revision}',
        command=command,
        arguments=arguments.model_dump(mode='json'),
    )
    outcome = machine.apply(revision, change.encode())
    assert outcome is not None
    return outcome.kind


def configuration(**changes: Any) -> WholeConfiguration:
    document = json.dumps(WHOLE | changes)
    return WholeConfiguration.model_validate_json(document)


def test_configuration_round_trip() -> None:
    """Guards against fields that are lost or changed in translation."""
    machine = StateMachine()
    kind = apply_command(
        machine,
        'configuration.replace',
        convert_configuration(configuration()),
    )
    assert kind == 'ok'
    read = export_configuration(machine.state)
    expected = {key: WHOLE[key] for key in WHOLE if key != 'baseVersion'}
    assert read == expected


def test_durations_and_kinds_are_decoded() -> None:
    """Guards against wrong time units and retries of unsafe requests."""
    profile = convert_configuration(configuration()).objects.profiles['r-1']
    assert profile.request_timeout_s == pytest.approx(1.2)
    assert profile.latency_objective_s == pytest.approx(0.3)
    assert not profile.is_repeatable


def test_patch_sets_and_removes_items() -> None:
    """Guards against keys that stay valid after their tenant is removed."""
    machine = StateMachine()
    apply_command(
        machine,
        'configuration.replace',
        convert_configuration(configuration()),
    )
    patch = ConfigurationPatch.model_validate(
        {
            'version': 9,
            'baseVersion': 7,
            'upsert': {'routes': {'r-2': ROUTE | {'pathPrefix': '/other/'}}},
            'remove': {'tenants': ['kaje80']},
        }
    )
    assert (
        apply_command(machine, 'configuration.edit', convert_patch(patch))
        == 'ok'
    )
    assert set(export_configuration(machine.state)['routes']) == {'r-1', 'r-2'}
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
def test_invalid_route_is_rejected(change: dict[str, Any]) -> None:
    """Guards against accepting an invalid configuration."""
    with pytest.raises(pydantic.ValidationError):
        convert_configuration(configuration(routes={'r-1': ROUTE | change}))


@pytest.mark.parametrize(
    'change',
    [
        {'address': 7},
        {'info': {'service': 's', 'zone': 'z'}},
        {'status': {'state': 'odd', 'sequence': 1}},
        {'status': {'state': 'ready', 'sequence': '1'}},
    ],
)
def test_invalid_heartbeat_is_rejected(change: dict[str, Any]) -> None:
    """Guards against recording a target from a malformed heartbeat."""
    heartbeat = {
        'address': '10.0.0.1:80',
        'info': {'service': 's', 'zone': 'z', 'slots': 9, 'version': 'v1'},
        'status': {'state': 'ready', 'sequence': 4, 'coldRemaining': '0ms'},
    }
    Heartbeat.model_validate(heartbeat)
    with pytest.raises(pydantic.ValidationError):
        Heartbeat.model_validate(heartbeat | change)
