"""The example settings are valid and consistent with each other."""

from collections import Counter
from pathlib import Path

import pytest

from ...core.settings import Settings, load_settings

EXAMPLES = Path(__file__).parents[3] / 'examples'
USERS = {
    'dalakit': (11, 300),
    'jinling': (10, 4000),
}
FOLDERS = (*USERS, 'tour')


def load_all(folder: str) -> dict[Path, Settings]:
    paths = sorted((EXAMPLES / folder).glob('*.ini'))
    return {path: load_settings(path) for path in paths}


@pytest.mark.parametrize('folder', FOLDERS)
def test_names_and_addresses_are_unique(folder: str) -> None:
    """Guards against two instances with the same name or address."""
    loaded = load_all(folder)
    uses = Counter[str]()
    for path, settings in loaded.items():
        listen = settings.listen
        assert settings.instance.name == path.stem
        uses.update((settings.instance.name,))
        uses.update((listen.caller, listen.admin, listen.peer))
    assert uses
    assert [use for use, count in uses.items() if count > 1] == []


@pytest.mark.parametrize('folder', FOLDERS)
def test_members_and_seeds_are_existing_instances(folder: str) -> None:
    """Guards against a group that waits for an instance that does not exist."""
    loaded = load_all(folder).values()
    peers = {each.listen.peer for each in loaded}
    control = {
        f'{each.instance.name}={each.listen.peer}'
        for each in loaded
        if 'control' in each.instance.roles
    }
    assert control
    for settings in loaded:
        assert set(settings.control.initial_members) == control
        assert settings.peers.seeds
        assert set(settings.peers.seeds) <= peers


@pytest.mark.parametrize('user', USERS)
def test_examples_have_the_size_of_the_deployment(user: str) -> None:
    """Guards against examples that drift from the users' deployments."""
    loaded = load_all(user).values()
    count, mbit_per_s = USERS[user]
    locations = {
        (each.instance.region, each.instance.failure_domain) for each in loaded
    }
    regions = Counter(region for region, _domain in locations)
    control_regions = sorted(
        each.instance.region
        for each in loaded
        if 'control' in each.instance.roles
    )
    assert len(loaded) == count
    assert sorted(regions.values()) == [2, 2, 2]
    assert control_regions == sorted(regions)
    assert {each.forwarding.link_mbit_per_s for each in loaded} == {mbit_per_s}
