"""Control instances that give tokens of their parts and draw others."""

import threading
from collections.abc import Callable
from types import MappingProxyType, SimpleNamespace
from typing import Any

from ...control.state import (
    Account,
    ControlMember,
    ControlState,
    PART_OWNERS_KEY,
)
from ...control.view import ControlView
from ...core.errors import UnavailableError
from ...core.settings import LimitsSettings
from ...limits.part_owner import PartOwner
from ...membership.peers import Peers
from ...testing import ManualClock
from ...testing.builders import settled_owners
from ...wire.generated.parts.ttypes import Drawn, Need
from ...wire.network import PeerNetwork

ACCOUNT = 'small'
RATE_PER_S = 6.0
ADDRESSES = tuple(f'10.0.0.{number}:7220' for number in range(6))
CALL_TIMEOUT_S = 0.5


class ScriptedKernel:
    """Plug-ins of one owner; calls to other owners are scripted."""

    def __init__(self, call: Callable[[str], Drawn]) -> None:
        self.clock = ManualClock(0.0)
        self.fresh_as_of_s = 0.0
        self.stopping = threading.Event()
        self.settings = SimpleNamespace(
            listen=SimpleNamespace(peer=ADDRESSES[0]),
            limits=LimitsSettings(floor_percent=75),
        )
        peers = [
            SimpleNamespace(
                peer_address=address,
                region=f'r{number // 2}',
                roles=('control',),
            )
            for number, address in enumerate(ADDRESSES)
        ]
        self.plugins: dict[Any, Any] = {
            ControlView: SimpleNamespace(
                state=control_state(),
                revision=1,
                subscribe=lambda _callback: None,
                freshness_age_s=lambda: self.clock.now_s() - self.fresh_as_of_s,
            ),
            Peers: SimpleNamespace(
                own=lambda: peers[0], alive=lambda: tuple(peers)
            ),
            PeerNetwork: SimpleNamespace(
                call=lambda address, *_rest, timeout_s: call(address)
            ),
        }

    def wait_while_running(self, _duration_s: float) -> bool:
        """Return at once: background threads have nothing to do."""
        return False

    def plugin(self, wanted: Any) -> Any:
        """Return a plug-in."""
        empty = SimpleNamespace(register=lambda _name, _processor: None)
        return self.plugins.get(wanted, empty)


def control_state() -> ControlState:
    """Return a state with six control instances and one small account."""
    members = {
        address: ControlMember(address, address, address, is_voter=True)
        for address in ADDRESSES
    }
    limited = Account(ACCOUNT, rate_per_s=RATE_PER_S, burst=12)
    return ControlState(
        accounts=MappingProxyType({ACCOUNT: limited}),
        members=MappingProxyType(members),
        part_owners=MappingProxyType(
            {PART_OWNERS_KEY: settled_owners(ADDRESSES)}
        ),
    )


def asked_wait_s(owner: PartOwner) -> float:
    """Ask for one token; return the wait, 0 if there was one."""
    given = owner.give([Need(account=ACCOUNT, count=1)])[0]
    return 0.0 if given.count else given.wait_ms / 1000


def note_all_empty(owner: PartOwner) -> None:
    """Note that no other owner has a token."""
    for address in ADDRESSES[1:]:
        owner._parts.note_level(ACCOUNT, address, 0.0)


def test_refused_requests_do_not_lengthen_later_waits() -> None:
    """Guards against a wait for requests that were refused long ago.

    An account sends five times its rate to all owners for twenty seconds. Ten
    seconds later a request has to wait for one token of the part, which takes
    a second.
    """
    kernel = ScriptedKernel(lambda _address: Drawn(count=0, left=0.0))
    owner = PartOwner(kernel)
    owner.start()
    for _request in range(100):
        kernel.clock.advance(0.2)
        note_all_empty(owner)
        asked_wait_s(owner)
    kernel.clock.advance(10)
    note_all_empty(owner)
    waits_s = [asked_wait_s(owner) for _request in range(3)]
    owner.stop()
    assert waits_s[:2] == [0, 0]
    assert waits_s[2] <= 2


def test_request_does_not_ask_for_tokens_of_silent_owners() -> None:
    """Guards against a request that asks again each millisecond in a cut.

    The part is empty and earns its next token in a second.
    """
    kernel = ScriptedKernel(lambda _address: Drawn(count=0, left=0.0))
    owner = PartOwner(kernel)
    owner.start()
    owner._silent_until_s = dict.fromkeys(ADDRESSES, float('inf'))
    kernel.clock.advance(10)
    waits_s = [asked_wait_s(owner) for _request in range(3)]
    owner.stop()
    assert waits_s[:2] == [0, 0]
    assert waits_s[2] >= 0.9


def test_draw_ends_while_most_owners_are_silent() -> None:
    """Guards against a thread that asks silent owners for ever.

    The time-outs of three owners in turn take longer than the time for which
    the first one is not asked again.
    """
    asked: list[str] = []

    def call(address: str) -> Drawn:
        asked.append(address)
        kernel.clock.advance(CALL_TIMEOUT_S)
        if len(asked) >= 30:
            kernel.stopping.set()
        raise UnavailableError(f'{address} is silent')

    kernel = ScriptedKernel(call)
    owner = PartOwner(kernel)
    owner.start()
    owner._draw(ACCOUNT, 1)
    owner.stop()
    assert len(asked) <= len(ADDRESSES)


def test_paused_owner_checks_its_part_after_it_wakes_up() -> None:
    """Guards against an owner that uses a part that others have by now.

    Its process stands still for longer than the lease; meanwhile the part is
    handed over.
    """
    kernel = ScriptedKernel(lambda _address: Drawn(count=0, left=0.0))
    owner = PartOwner(kernel)
    owner.start()
    kernel.clock.advance(10)
    assert owner.give([Need(account=ACCOUNT, count=1)])[0].count == 1
    kernel.clock.advance(kernel.settings.limits.part_lease_s)
    given = owner.give([Need(account=ACCOUNT, count=1)])[0]
    drawn = owner.give_owner(ACCOUNT, 1)
    kernel.fresh_as_of_s = kernel.clock.now_s()
    again = owner.give([Need(account=ACCOUNT, count=1)])[0]
    owner.stop()
    assert (given.count, given.is_unknown, drawn.count) == (0, True, 0)
    assert again.count == 1


def test_owner_uses_the_newest_record_although_it_was_not_told() -> None:
    """Guards against a pause between reading a change and applying it.

    Another thread has already noted that the state is current.
    """
    kernel = ScriptedKernel(lambda _address: Drawn(count=0, left=0.0))
    owner = PartOwner(kernel)
    owner.start()
    kernel.clock.advance(10)
    others = settled_owners(ADDRESSES[1:], number=2)
    view = kernel.plugin(ControlView)
    view.state = view.state.with_record('part_owners', PART_OWNERS_KEY, others)
    view.revision = 2
    assert owner.applied_revision() == 2
    given = owner.give([Need(account=ACCOUNT, count=1)])[0]
    owner.stop()
    assert given.count == 0


def test_accounts_are_not_over_their_rate_before_there_are_owners() -> None:
    """Guards against a refusal that blames the caller after the first start."""
    kernel = ScriptedKernel(lambda _address: Drawn(count=0, left=0.0))
    view = kernel.plugin(ControlView)
    view.state = view.state.without_record('part_owners', PART_OWNERS_KEY)
    owner = PartOwner(kernel)
    owner.start()
    given = owner.give([Need(account=ACCOUNT, count=1)])[0]
    owner.stop()
    assert given.is_unknown
    assert not given.is_exhausted
