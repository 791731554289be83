"""Processor time and bytes of share renewals."""

import time
from collections import Counter
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from oleanderpin.limits.codec import (
    decode_grants,
    decode_renewal,
    encode_grants,
    encode_renewal,
)
from oleanderpin.limits.holder import Holder
from oleanderpin.limits.ledger import Ledger
from oleanderpin.limits.messages import Quota
from oleanderpin.testing import ManualClock
from oleanderpin.wire.generated.shares import ttypes

from .limits_fleet import HOLDERS, LEASE_S, RATE_PER_S, RENEW_INTERVAL_S

COST_ACCOUNTS = 8
COST_ROUNDS = 2000


def bench_cost() -> None:
    """Print processor time and bytes of one renewal."""
    clock = ManualClock()
    ledger = Ledger(clock=clock, lease_s=LEASE_S)
    clock.advance(LEASE_S)
    names = [f'account/customer-{i}' for i in range(COST_ACCOUNTS)]
    for name in names:
        ledger.set_whole(name, Quota(RATE_PER_S, RATE_PER_S))
    holders = []
    for index in range(HOLDERS):
        holder = Holder(
            clock=clock,
            name=f'instance-{index}',
            incarnation=1,
            lease_s=LEASE_S,
        )
        for name in names:
            holder.track(name)
        holders.append(holder)
    spent: Counter[str] = Counter()
    sizes: Counter[str] = Counter()
    for number in range(COST_ROUNDS):
        holder = holders[number % HOLDERS]
        clock.advance(RENEW_INTERVAL_S / HOLDERS)
        holder.note_arrival(names[number % COST_ACCOUNTS])
        holder.take(names[number % COST_ACCOUNTS])
        _measure(ledger, holder, spent, sizes)
    per_s = 1 / RENEW_INTERVAL_S
    holder_us = spent['holder'] / COST_ROUNDS / 1000
    ledger_us = spent['ledger'] / COST_ROUNDS / 1000
    request = sizes['request'] / COST_ROUNDS
    reply = sizes['reply'] / COST_ROUNDS
    print(f'Cost of renewals: {COST_ACCOUNTS} accounts, every 0.5 s')
    print('  side     us/renewal   % of a core')
    print(f'  holder   {holder_us:10.0f}   {holder_us * per_s / 1e4:8.3f}')
    print(
        f'  ledger   {ledger_us:10.0f}   {ledger_us * per_s / 1e4 * HOLDERS:8.3f}'
        f' with {HOLDERS} holders,'
        f' {ledger_us * per_s / 1e4 * 530:.1f} with 530'
    )
    print(
        f'  bytes    request {request:.0f}, reply {reply:.0f},'
        f' per holder {(request + reply) * per_s:.0f}/s'
    )


def _measure(
    ledger: Ledger, holder: Holder, spent: Counter[str], sizes: Counter[str]
) -> None:
    began = time.process_time_ns()
    request = _bytes_of(encode_renewal(holder.request()))
    sent = time.process_time_ns()
    renewal = decode_renewal(_read(request, 'RenewRequest'))
    reply = _bytes_of(encode_grants(ledger.renew(renewal)))
    answered = time.process_time_ns()
    holder.apply(decode_grants(_read(reply, 'RenewReply')))
    applied = time.process_time_ns()
    spent['holder'] += sent - began + applied - answered
    spent['ledger'] += answered - sent
    sizes['request'] += len(request)
    sizes['reply'] += len(reply)


def _bytes_of(message: Any) -> bytes:
    buffer = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def _read(payload: bytes, struct: str) -> Any:
    message = getattr(ttypes, struct)()
    message.read(TCompactProtocolAccelerated(TMemoryBuffer(payload)))
    return message
