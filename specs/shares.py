"""Share leases: the shares in use never exceed the total.

A ledger grants units to two holders. A holder's lease starts when it sends the
request, the ledger's record of it when the ledger answers. Requests and answers
can be delayed or lost, a holder can restart, and a new ledger can take over. A
new ledger grants no more than is claimed until both holders have claimed the
shares that they hold or one lease duration has passed. A holder may also extend
its lease without reporting its share; the ledger then keeps its record.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

_LEASE_TICKS = 2
_NONE = -1

FAULTS = (
    'shrink without confirmation',
    'lease from reception',
    'new ledger does not wait',
    'late request confirms',
    'renewal revives an expired share',
    'earlier answer counts after a claim',
    'one claim ends the wait',
    'unknown lease is extended',
)
# A holder that ignores earlier answers masks the fault of a ledger that takes a
# late request as a confirmation. That fault is therefore checked with a holder
# that accepts them, and without a takeover, so that nothing else can break the
# invariant.
_LATE_REQUEST_FAULT = 'late request confirms'
_FAULTS_ACCEPTING_EARLIER_ANSWERS = (
    'earlier answer counts after a claim',
    _LATE_REQUEST_FAULT,
)


class Holder(NamedTuple):
    """One holder and the ledger's record of it.

    ``held`` is the holder's share and ``left`` the remaining ticks of its
    lease. ``request`` is the held amount that the request in flight reports,
    and ``asked`` the remaining ticks of a lease that started when it was sent.
    ``answer`` is the grant in flight and ``answer_left`` its remaining lease.
    ``lent`` and ``lent_left`` are the ledger's record of the share.
    ``has_claimed`` tells whether the current ledger knows the holder's claim.
    ``is_extension`` marks the request in flight as one that reports no share;
    ``extension_left`` is the remaining lease in the answer to such a request.
    """

    held: int = 0
    left: int = 0
    asked: int = _NONE
    request: int = _NONE
    is_request_current: bool = False
    answer: int = _NONE
    answer_left: int = 0
    is_renewal: bool = False
    has_unapplied_grant: bool = False
    lent: int = 0
    lent_left: int = 0
    has_claimed: bool = False
    is_extension: bool = False
    extension_left: int = 0


class State(NamedTuple):
    """Both holders, and the ticks that a new ledger still waits for claims."""

    first: Holder = Holder()
    second: Holder = Holder()
    wait: int = 0
    takeovers: int = 1


def build(fault: str = '', *, total_units: int = 1) -> Protocol:
    """Return the model of ``total_units`` units, with ``fault`` unless empty."""

    def transitions(values: tuple) -> list:
        state = State(*values)
        return [
            (name, tuple(after))
            for name, after in _steps(state, fault, total_units)
        ]

    return Protocol(
        name='shares',
        candidate=False,
        fields=State._fields,
        initial=tuple(State(takeovers=int(fault != _LATE_REQUEST_FAULT))),
        transitions=transitions,
        invariants={
            'held shares stay within the whole': lambda each: (
                _usable(each['first']) + _usable(each['second']) <= total_units
            ),
        },
    )


def _usable(holder: Holder) -> int:
    return holder.held if holder.left > 0 else 0


def _steps(
    state: State, fault: str, total_units: int
) -> Iterator[tuple[str, State]]:
    yield (
        'tick',
        state._replace(
            first=_tick(state.first),
            second=_tick(state.second),
            wait=max(0, state.wait - 1),
        ),
    )
    if state.takeovers:
        yield 'new ledger', _take_over(state, fault)
    pairs = (('first', state.second), ('second', state.first))
    for name, other in pairs:
        holder: Holder = getattr(state, name)
        for step, after in _holder_steps(holder, fault):
            yield f'{name} {step}', state._replace(**{name: after})
        if holder.is_extension and holder.asked > 0:
            extended = _extend(holder, fault)
            yield (
                f'ledger extends the lease of {name}',
                state._replace(**{name: extended}),
            )
        elif holder.request != _NONE and holder.asked > 0:
            for amount in range(total_units + 1):
                after = _grant(
                    state,
                    holder,
                    other,
                    amount,
                    fault=fault,
                    total_units=total_units,
                )
                if after is not None:
                    yield (
                        f'ledger grants {amount} to {name}',
                        _end_wait(state._replace(**{name: after}), fault),
                    )


def _tick(holder: Holder) -> Holder:
    lent_left = max(0, holder.lent_left - 1)
    left = max(0, holder.left - 1)
    answer_left = max(0, holder.answer_left - 1)
    return holder._replace(
        left=left,
        held=holder.held if left else 0,
        asked=holder.asked
        if holder.asked == _NONE
        else max(0, holder.asked - 1),
        # A grant whose lease expires in transit has no effect.
        answer=holder.answer if answer_left else _NONE,
        answer_left=answer_left,
        is_renewal=holder.is_renewal and bool(answer_left),
        extension_left=max(0, holder.extension_left - 1),
        lent_left=lent_left,
        lent=holder.lent if lent_left else 0,
    )


def _end_wait(state: State, fault: str) -> State:
    """End the wait of a new ledger once both holders have claimed."""
    claims = (state.first.has_claimed, state.second.has_claimed)
    needs_all = fault != 'one claim ends the wait'
    if all(claims) if needs_all else any(claims):
        return state._replace(wait=0)
    return state


def _take_over(state: State, fault: str) -> State:
    reset_fields = {
        'lent': 0,
        'lent_left': 0,
        'has_unapplied_grant': True,
        'has_claimed': False,
    }
    wait = 0 if fault == 'new ledger does not wait' else _LEASE_TICKS
    return State(
        state.first._replace(**reset_fields),
        state.second._replace(**reset_fields),
        wait,
        state.takeovers - 1,
    )


def _holder_steps(holder: Holder, fault: str) -> Iterator[tuple[str, Holder]]:
    if holder.request == _NONE:
        # An answer that arrives after the next request is not applied.
        requester = holder._replace(
            answer=_NONE, answer_left=0, is_renewal=False, extension_left=0
        )
        if fault in _FAULTS_ACCEPTING_EARLIER_ANSWERS:
            requester = holder
        yield (
            'asks',
            requester._replace(
                asked=_LEASE_TICKS,
                request=holder.held,
                is_request_current=not holder.has_unapplied_grant,
            ),
        )
        if holder.left:
            yield (
                'asks to extend',
                requester._replace(
                    asked=_LEASE_TICKS, request=holder.held, is_extension=True
                ),
            )
    else:
        yield (
            'request lost',
            holder._replace(
                request=_NONE,
                asked=_NONE,
                is_request_current=False,
                is_extension=False,
            ),
        )
    if holder.extension_left:
        # A share that expired meanwhile stays lost.
        yield (
            'applies extension',
            holder._replace(left=holder.extension_left, extension_left=0),
        )
    if holder.answer != _NONE:
        without_answer = holder._replace(
            answer=_NONE, answer_left=0, is_renewal=False
        )
        yield 'applies grant', _apply_grant(holder, without_answer, fault)
        yield 'answer lost', without_answer
    yield (
        'restarts',
        Holder(
            has_unapplied_grant=True,
            lent=holder.lent,
            lent_left=holder.lent_left,
            has_claimed=holder.has_claimed,
        ),
    )


def _apply_grant(holder: Holder, without_answer: Holder, fault: str) -> Holder:
    left = holder.answer_left
    if fault == 'lease from reception':
        left = _LEASE_TICKS
    has_expired = holder.left == 0
    if holder.is_renewal and has_expired:
        # The share may have been granted to the other holder since.
        if fault != 'renewal revives an expired share':
            return without_answer
    return without_answer._replace(
        held=holder.answer, left=left, has_unapplied_grant=False
    )


def _extend(holder: Holder, fault: str) -> Holder:
    """Return the holder after an extension; the ledger must know its lease."""
    answered = holder._replace(request=_NONE, asked=_NONE, is_extension=False)
    is_known = holder.lent_left > 0 or fault == 'unknown lease is extended'
    if not is_known:
        return answered
    return answered._replace(
        extension_left=holder.asked,
        lent_left=_LEASE_TICKS if holder.lent else 0,
    )


def _grant(
    state: State,
    holder: Holder,
    other: Holder,
    amount: int,
    *,
    fault: str,
    total_units: int,
) -> Holder | None:
    """Return the holder after a grant, None if the ledger rejects it."""
    is_confirmed = holder.is_request_current or fault == _LATE_REQUEST_FAULT
    confirmed = holder.request if is_confirmed else total_units
    if state.wait:
        # Until its wait ends, a new ledger grants at most the claimed share.
        if amount > holder.request:
            return None
        lent = max(holder.request, holder.lent)
    else:
        in_use = max(min(holder.lent, confirmed), amount)
        if fault == 'shrink without confirmation':
            in_use = amount
        if in_use + other.lent > total_units:
            return None
        lent = in_use
    return holder._replace(
        request=_NONE,
        asked=_NONE,
        is_request_current=False,
        answer=amount,
        answer_left=holder.asked,
        is_renewal=state.wait > 0,
        has_unapplied_grant=True,
        lent=lent,
        lent_left=_LEASE_TICKS if lent else 0,
        has_claimed=True,
    )
