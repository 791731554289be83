"""Idempotency records: a request runs once or is rejected."""

import shutil
import threading
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from ...control.state import ControlState
from ...control.view import ControlView
from ...core.settings import ControlSettings, PeersSettings
from ...forwarding.idempotency_store import (
    MAX_ACCOUNT_BYTES,
    RECORD_TTL_S,
    IdempotencyStore,
    RecordTable,
)
from ...testing import ManualClock, ScriptedConnection, ScriptedTarget
from ...wire.generated.idempotency.ttypes import Record, Verdict
from ...wire.network import PeerNetwork
from ...wire.server import PeerServer
from .harness import FakeKernel, FakeNetwork, Instance

NAMES = ('a', 'b', 'c')
MEMBERS = tuple((name, port) for port, name in enumerate(NAMES, start=1))


def peer_address(name: str) -> str:
    return f'127.0.0.1:{dict(MEMBERS)[name]}'


class Voters:
    """Three stores on a network that can be partitioned."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.clock = ManualClock()
        self.network = FakeNetwork()
        self.stores: dict[str, IdempotencyStore] = {}
        for name in NAMES:
            self.make(name)
        self.settle(*NAMES)

    def make(self, name: str) -> None:
        members = [f'{each}={peer_address(each)}' for each in NAMES]
        settings = SimpleNamespace(
            instance=SimpleNamespace(name=name, data_dir=self.folder / name),
            control=ControlSettings(initial_members=members),
            peers=PeersSettings(),
            listen=SimpleNamespace(peer=peer_address(name)),
        )
        server = SimpleNamespace(register=lambda *_arguments: None)
        kernel = FakeKernel(
            settings,
            {
                PeerNetwork: self.network,
                PeerServer: server,
                ControlView: SimpleNamespace(state=ControlState()),
            },
        )
        kernel.clock = self.clock
        kernel.wait_while_running = lambda _s: False  # type: ignore
        store = kernel.plugin(IdempotencyStore)
        store._has_held = store._marker_path().exists()
        self.stores[name] = store
        self.network.handlers[peer_address(name)] = store

    def settle(self, *names: str) -> None:
        """Let stores try to copy once, in the calling thread."""
        for name in names:
            self.stores[name].copy_records()

    def cut(self, *names: str) -> None:
        self.network.cut = {peer_address(name) for name in names}


@pytest.fixture
def voters(tmp_path: Path) -> Voters:
    return Voters(tmp_path)


@pytest.fixture
def entries(voters: Voters, make_instance: Any) -> list[Instance]:
    return [
        make_instance(members=MEMBERS, network=voters.network, name=name)
        for name in ('entry-1', 'entry-2')
    ]


class CountingTarget:
    """A target that counts the requests that it runs."""

    def __init__(self) -> None:
        self.runs = 0
        self.release = threading.Event()
        self.release.set()
        self.arrived = threading.Event()
        self.target = ScriptedTarget(self.serve)

    def serve(self, connection: ScriptedConnection) -> None:
        while connection.read_head():
            self.runs += 1
            self.arrived.set()
            self.release.wait(5)
            body = f'run {self.runs}'.encode()
            connection.answer(body, status='201 Made', extra='X-Id: 7\r\n')


@pytest.fixture
def counter(entries: list[Instance]) -> CountingTarget:
    made = CountingTarget()
    for entry in entries:
        entry.use_targets(made.target)
    return made


def post(entry: Instance, key: str = 'key-1', path: str = '/orders') -> Any:
    return entry.request('POST', path, headers={'Idempotency-Key': key})


def test_resend_gets_the_first_outcome_on_any_instance(
    entries: list[Instance], counter: CountingTarget
) -> None:
    """Guards against an order that is placed twice."""
    first = post(entries[0])
    second = post(entries[1])
    assert (first.status, first.body) == (201, b'run 1')
    assert (second.status, second.body) == (201, b'run 1')
    assert second.headers['X-Id'] == '7'
    assert second.headers['X-Idempotent-Replay'] == 'true'
    assert counter.runs == 1
    assert post(entries[1], 'key-2').body == b'run 2'


def test_concurrent_duplicate_is_refused(
    entries: list[Instance], counter: CountingTarget
) -> None:
    counter.release.clear()
    responses: list[Any] = []
    sender = threading.Thread(target=lambda: responses.append(post(entries[0])))
    sender.start()
    assert counter.arrived.wait(5)
    problem = post(entries[1]).problem
    counter.release.set()
    sender.join()
    assert problem['reason'] == 'duplicate_in_progress'
    assert problem['not_run'] is False
    assert responses[0].status == 201
    assert counter.runs == 1


def test_key_of_another_request_is_refused(
    entries: list[Instance], counter: CountingTarget
) -> None:
    post(entries[0])
    problem = post(entries[1], path='/other').problem
    assert problem['reason'] == 'idempotency_key_reused'
    assert counter.runs == 1


def test_request_is_refused_without_a_majority_of_voters(
    entries: list[Instance], counter: CountingTarget, voters: Voters
) -> None:
    """Guards against running a request without records on a majority."""
    voters.cut('a', 'b')
    problem = post(entries[0]).problem
    assert problem['reason'] == 'idempotency_unavailable'
    assert problem['not_run'] is True
    assert counter.runs == 0
    voters.cut('a')
    assert post(entries[0]).status == 201


def test_outcome_survives_the_loss_of_each_single_voter(
    entries: list[Instance], counter: CountingTarget, voters: Voters
) -> None:
    voters.cut('c')
    post(entries[0])
    for name in ('a', 'b'):
        voters.cut(name)
        assert post(entries[1]).body == b'run 1'
    assert counter.runs == 1


def test_not_run_refusal_frees_the_key(
    entries: list[Instance], counter: CountingTarget
) -> None:
    entries[0].use_targets()
    assert post(entries[0]).problem['not_run'] is True
    assert post(entries[1]).body == b'run 1'


def test_lost_connection_leaves_the_outcome_unknown(
    entries: list[Instance], counter: CountingTarget
) -> None:
    """Guards against a second run after a first run of unknown outcome."""

    def lose(connection: ScriptedConnection) -> None:
        connection.read_head()
        connection.reset()

    entries[0].use_targets(ScriptedTarget(lose))
    assert post(entries[0]).problem['not_run'] is False
    problem = post(entries[1]).problem
    assert problem['reason'] == 'outcome_unknown'
    assert problem['not_run'] is False
    assert counter.runs == 0


def test_profile_can_require_a_key(entries: list[Instance]) -> None:
    entries[0].set_profile(idempotency_required=True)
    problem = entries[0].request('POST').problem
    assert problem['reason'] == 'idempotency_key_required'


def make_record(name: str = 'r', claim_id: str = '1', size: int = 0) -> Record:
    return Record(
        name=name,
        account='shop',
        claim_id=claim_id,
        request_digest='d',
        is_done=bool(size),
        outcome=b'x' * size,
    )


def test_restarted_store_abstains_until_it_has_copied(
    voters: Voters,
) -> None:
    """Guards against granting a claim again that was lost in a restart."""
    for name in ('a', 'b'):
        voters.stores[name].claim(make_record())
    voters.make('b')
    voters.cut('a')
    voters.settle('b')
    reply = voters.stores['b'].claim(make_record(claim_id='2'))
    assert reply.verdict == Verdict.ABSTAIN
    voters.cut()
    voters.settle('b')
    reply = voters.stores['b'].claim(make_record(claim_id='2'))
    assert reply.verdict == Verdict.HELD


def test_two_restarted_stores_do_not_settle_on_each_other(
    voters: Voters,
) -> None:
    """Guards against a majority of stores that have all lost a claim."""
    for name in ('a', 'b'):
        voters.stores[name].claim(make_record())
    voters.make('a')
    voters.make('b')
    voters.settle('a', 'b')
    for name in ('a', 'b'):
        reply = voters.stores[name].claim(make_record(claim_id='2'))
        assert reply.verdict == Verdict.ABSTAIN
    voters.clock.advance(RECORD_TTL_S + 1)
    reply = voters.stores['c'].claim(make_record(claim_id='2'))
    assert reply.verdict == Verdict.GRANTED


def test_record_expires(voters: Voters) -> None:
    store = voters.stores['a']
    store.claim(make_record())
    assert store.claim(make_record(claim_id='2')).verdict == Verdict.HELD
    voters.clock.advance(RECORD_TTL_S + 1)
    assert store.claim(make_record(claim_id='2')).verdict == Verdict.GRANTED


def test_completion_of_another_claim_is_ignored(voters: Voters) -> None:
    """Guards against a rejected request that withdraws the granted claim."""
    store = voters.stores['a']
    store.claim(make_record())
    store.complete(make_record(claim_id='2'))
    assert store.claim(make_record(claim_id='2')).verdict == Verdict.HELD


def test_memory_of_one_account_is_limited() -> None:
    """Guards against one account that fills the table for all others."""
    table = RecordTable()
    size = MAX_ACCOUNT_BYTES // 8
    kept = [
        table.put(make_record(f'r{number}', size=size), expires_s=1)
        for number in range(10)
    ]
    assert kept == [True] * 7 + [False] * 3
    other = make_record('other', size=size)
    other.account = 'other'
    assert table.put(other, expires_s=1)


def test_copy_is_paged() -> None:
    table = RecordTable()
    for number in range(1200):
        table.put(make_record(f'{number:05}'), expires_s=10)
    names: list[str] = []
    after = ''
    while True:
        records, after = table.page(after, 0)
        names.extend(record.name for record in records)
        if not after:
            break
    assert names == [f'{number:05}' for number in range(1200)]


def test_stale_instance_does_not_claim(
    entries: list[Instance], counter: CountingTarget
) -> None:
    """Guards against claims on voters that have been replaced."""
    entries[0].is_fresh = False
    response = post(entries[0])
    assert response.status == 503
    assert b'idempotency_unavailable' in response.body
    assert not counter.runs


def test_copy_from_a_wiped_voter_does_not_count(voters: Voters) -> None:
    """Guards against losing a record to a wiped disk and a restart at once."""
    for name in NAMES:
        record = Record(name='k', account='', claim_id='1', request_digest='d')
        voters.stores[name].claim(record)
    shutil.rmtree(voters.folder / 'a')
    voters.make('a')
    voters.make('b')
    voters.cut('c')
    voters.settle('b', 'a')
    other = Record(name='k', account='', claim_id='2', request_digest='d')
    for name in ('a', 'b'):
        reply = voters.stores[name].claim(other)
        assert reply.verdict == Verdict.ABSTAIN
