"""Keys never reach a target, wherever the request contains them."""

import base64

import pytest

from ...testing import ScriptedTarget, answer_all
from .harness import KEY, Instance

BASIC = base64.b64encode(f'user:{KEY}'.encode()).decode()
PERCENT = ''.join(f'%{ord(char):02x}' for char in KEY)


@pytest.mark.parametrize('with_bearer', [True, False])
@pytest.mark.parametrize(
    ('path', 'headers'),
    [
        (f'/a?key={KEY}', {}),
        (f'/a/{KEY}/b', {}),
        (f'/a?key={PERCENT}', {}),
        (f'/a?key={PERCENT.replace("%", "%25")}', {}),
        (f'/a?key={BASIC}', {}),
        ('/a', {'X-Api-Key': KEY}),
        ('/a', {'Cookie': f'session=1; key={KEY}'}),
        ('/a', {'Cookie': f'key="{PERCENT}"'}),
        ('/a', {'X-Forwarded-Authorization': f'Bearer {KEY}'}),
        ('/a', {'X-Authorization': f'Basic {BASIC}'}),
        ('/a', {'Referer': f'http://desk/?key={KEY}&x=1'}),
    ],
)
def test_key_outside_authorization_is_refused(
    instance: Instance,
    path: str,
    headers: dict[str, str],
    with_bearer: bool,
) -> None:
    """Guards against breaking invariant 4: no target ever sees a key."""
    target = ScriptedTarget(answer_all)
    instance.use_targets(target)
    if not with_bearer:
        headers = headers | {'Authorization': 'Bearer other'}
    response = instance.request(path=path, headers=headers)
    assert response.status == 400
    assert response.problem['reason'] == 'key_in_unexpected_place'
    assert response.problem['not_run'] is True
    assert KEY not in response.body.decode()
    assert target.connections == 0


def test_basic_authorization_is_refused(instance: Instance) -> None:
    response = instance.request(headers={'Authorization': f'Basic {BASIC}'})
    assert response.problem['reason'] == 'bad_authorization'
    assert BASIC not in response.body.decode()


def test_harmless_headers_pass(instance: Instance) -> None:
    instance.use_targets(ScriptedTarget(answer_all))
    headers = {'Cookie': 'a=b', 'X-Data': base64.b64encode(b'text').decode()}
    assert instance.request(path='/a?b=%20c', headers=headers).status == 200


@pytest.mark.parametrize(('is_fresh', 'status'), [(True, 404), (False, 503)])
def test_service_is_denied_by_a_current_copy_only(
    instance: Instance, is_fresh: bool, status: int
) -> None:
    """Guards against 404 for a service that was added before power was lost."""
    instance.is_fresh = is_fresh
    response = instance.request(headers={'Host': 'other'})
    assert response.status == status
    assert response.problem['not_run'] is True
