"""Settings files: validation, and errors that name a remedy."""

from pathlib import Path

import pytest

from ...core.errors import SettingsError
from ...core.settings import load_settings
from ...testing import settings_text


def write(folder: Path, text: str) -> Path:
    path = folder / 'instance.ini'
    path.write_text(text)
    return path


def valid_text(extra: str = '') -> str:
    return settings_text(
        name='north-1', ports=[8080, 8081, 8082], seeds=[8082], extra=extra
    )


def test_valid_file_is_loaded(tmp_path: Path) -> None:
    settings = load_settings(write(tmp_path, valid_text()))
    assert settings.listen.peer == '127.0.0.1:8082'
    assert settings.instance.roles == ('entry',)


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (valid_text('[limts]\nlease_s = 1'), ['[limts]', 'limits']),
        (
            valid_text('[limits]\nlease_s = soon'),
            ['[limits] lease_s', "'soon'", 'remedy'],
        ),
        (
            valid_text('[forwarding]\ntimeout = 3'),
            ['[forwarding]', "'timeout'", 'connect_timeout_s'],
        ),
        (valid_text().replace('8081', '8080'), ['duplicate address']),
        (valid_text().replace('127.0.0.1:8080', 'host:80'), ["'host:80'"]),
        (
            valid_text().replace('roles = entry', 'roles = entry, control'),
            ['data_dir'],
        ),
        (
            valid_text('[limits]\nfloor_percent = 75'),
            ['floor_percent', 'leave it at 0'],
        ),
    ],
)
def test_invalid_file_is_rejected_with_remedy(
    tmp_path: Path, text: str, expected: list[str]
) -> None:
    """Guards against a daemon that starts with misinterpreted settings."""
    path = write(tmp_path, text)
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    message = str(caught.value)
    assert str(path) in message
    for part in expected:
        assert part in message


@pytest.mark.parametrize(('value', 'expected'), [('60', 60), ('28.857', 28)])
def test_reserve_of_retries_may_be_a_fraction(
    tmp_path: Path, value: str, expected: int
) -> None:
    """Guards against a fleet that does not start for a computed bound."""
    extra = f'[gateway]\nretry_reserve = {value}\n'
    settings = load_settings(write(tmp_path, valid_text(extra)))
    assert int(settings.gateway.retry_reserve) == expected


def test_retry_budget_follows_the_ratio(tmp_path: Path) -> None:
    """Guards against a fixed budget where fewer retries are allowed."""
    extra = '[gateway]\nretry_budget_ratio = 0.1\n'
    settings = load_settings(write(tmp_path, valid_text(extra)))
    assert 9 <= settings.gateway.retry_percent < 10
