"""Benchmarks of shares, the fair queue and the cost of renewals.

Run with ``.venv/bin/python -m bench.limits``. Seeds are fixed; apart from
the processor times, figures are the same on each run.
"""

import heapq
import random
import statistics
import sys
from collections import Counter
from typing import Any

from oleanderpin.limits.messages import Quota
from oleanderpin.limits.round_robin import Waiter
from oleanderpin.limits.slots import ServiceSlots

from .limits_cost import bench_cost
from .limits_fleet import (
    ACCOUNTS,
    HOLDERS,
    PATIENCE_S,
    RATE_PER_S,
    RUN_S,
    SEEDS,
    Baseline,
    Shares,
    Tally,
    arrivals,
    exceeds,
    fresh_tallies,
    percentile,
    steady,
)


def bench_shares(burst_s: float) -> None:
    """Print refusals in rate for shares and for the baseline."""
    whole = Quota(RATE_PER_S, RATE_PER_S * burst_s)
    print(f'Requests refused although in rate; burst = {burst_s} s of rate')
    print('  variant    one-way  account    in rate  refused    %  p99 wait ms')
    variants: list[tuple[str, float]] = [
        ('baseline', 0),
        ('shares', 0.055),
        ('shares', 0.012),
    ]
    for variant, delay_s in variants:
        totals = {account: Tally() for account in ACCOUNTS}
        renewals = 0
        for seed in SEEDS:
            requests = arrivals(seed)
            tallies = fresh_tallies(requests, whole)
            if variant == 'baseline':
                Baseline(whole).run(requests, tallies)
            else:
                shares = Shares(whole, delay_s)
                shares.run(requests, tallies)
                renewals += shares.renewals
            for account, tally in tallies.items():
                if variant == 'shares' and exceeds(tally.admitted_s, whole):
                    sys.exit(f'{account}: a window exceeds the whole')
                totals[account].in_rate += tally.in_rate
                totals[account].waits_s += tally.waits_s
        for account, total in totals.items():
            percent = 100 * total.refused_in_rate / total.in_rate
            wait_ms = 1000 * percentile(total.waits_s, 0.99)
            print(
                f'  {variant:9} {delay_s * 1000:5.0f} ms  {account:9}'
                f' {total.in_rate:8} {total.refused_in_rate:8}'
                f' {percent:6.2f} {wait_ms:8.0f}'
            )
        if renewals:
            per_s = renewals / RUN_S / len(SEEDS) / HOLDERS
            print(f'    renewals per holder: {per_s:.1f}/s')


SMALL_RATES_PER_S = (5, 20, 100)
FLEET_SIZES = (11, 66)
# Callers ask for this part of what their account may.
_SMALL_DEMAND_PART = 1 / 1.6
_FAR_S = 0.055
_SMALL = ('steady',)


def bench_small_accounts() -> None:
    """Print refusals in rate of small accounts at random instances."""
    print('Small accounts; burst = 1 s of rate, 55 ms one way')
    print('  instances  rate/s  in rate  refused      %  mean ms  p99 ms')
    for size in FLEET_SIZES:
        for rate_per_s in SMALL_RATES_PER_S:
            whole = Quota(rate_per_s, rate_per_s)
            total = Tally()
            for seed in SEEDS:
                _run_small(seed, whole, size, total)
            percent = 100 * total.refused_in_rate / total.in_rate
            mean_ms = 1000 * statistics.fmean(total.waits_s)
            p99_ms = 1000 * percentile(total.waits_s, 0.99)
            print(
                f'  {size:9} {rate_per_s:7} {total.in_rate:8}'
                f' {total.refused_in_rate:8} {percent:6.2f}'
                f' {mean_ms:8.0f} {p99_ms:7.0f}'
            )


def _run_small(seed: int, whole: Quota, size: int, total: Tally) -> None:
    demand_per_s = whole.rate_per_s * _SMALL_DEMAND_PART
    chance = random.Random(seed)
    found = steady(chance, demand_per_s, holders=size)
    requests = [each for each in found if each[0] < RUN_S]
    tallies = fresh_tallies(requests, whole, accounts=_SMALL)
    Shares(whole, _FAR_S, size=size, accounts=_SMALL).run(requests, tallies)
    tally = tallies['steady']
    if exceeds(tally.admitted_s, whole):
        sys.exit('a window exceeds the whole')
    total.in_rate += tally.in_rate
    total.waits_s += tally.waits_s


QUEUE_SLOTS = 21
QUEUE_PLACES = 32
FLOOD_FACTOR = 5


def bench_queue() -> None:
    """Print the latency of the worst-served account under a flood."""
    print('Fair queue: 8 accounts, one sends 5 x the slots; 60 s')
    print('  variant    account   served  refused   p50 ms   p99 ms')
    for is_fair in (False, True):
        waits: dict[str, list[float]] = {}
        refused: Counter[str] = Counter()
        for seed in SEEDS:
            _run_queue(seed, is_fair, waits, refused)
        quiet = [name for name in waits if name != 'flood']
        worst = max(quiet, key=lambda name: percentile(waits[name], 0.99))
        for account in (worst, 'flood'):
            found = waits[account]
            label = 'worst' if account == worst else account
            print(
                f'  {"fair" if is_fair else "one FIFO":9}  {label:8}'
                f' {len(found):7} {refused[account]:8}'
                f' {1000 * statistics.median(found):8.0f}'
                f' {1000 * percentile(found, 0.99):8.0f}'
            )


def _run_queue(
    seed: int,
    is_fair: bool,
    waits: dict[str, list[float]],
    refused: Counter[str],
) -> None:
    chance = random.Random(seed)
    mean_s = 0.05
    capacity_per_s = QUEUE_SLOTS / mean_s
    slots = ServiceSlots(places=QUEUE_PLACES)
    slots.set_slots(QUEUE_SLOTS)
    started: dict[int, float] = {}
    events: list[tuple[float, int, str, Any]] = []
    rates = {f'account-{i}': capacity_per_s * 0.08 for i in range(7)}
    rates['flood'] = capacity_per_s * FLOOD_FACTOR
    count = 0
    for account, rate in rates.items():
        at_s = chance.expovariate(rate)
        while at_s < RUN_S:
            count += 1
            events.append((at_s, count, account, None))
            at_s += chance.expovariate(rate)
    heapq.heapify(events)

    def start(account: str, at_s: float, now_s: float) -> None:
        nonlocal count
        waits.setdefault(account, []).append(now_s - at_s)
        count += 1
        duration_s = chance.expovariate(1 / mean_s)
        finish = (now_s + duration_s, count, '', (account, duration_s))
        heapq.heappush(events, finish)

    while events:
        now_s, _count, account, finished = heapq.heappop(events)
        if finished:
            slots.release(finished[0], 'small', finished[1])
        elif slots.start_at_once('small', now_s):
            start(account, now_s, now_s)
        else:
            # One FIFO is the same queue with a single line.
            line = account if is_fair else ''
            waiter = Waiter(line, now_s + PATIENCE_S)
            started[id(waiter)] = now_s
            waiter.event.owner = account  # type: ignore[attr-defined]
            if not slots.push(waiter, 'small'):
                refused[account] += 1
        for waiter in slots.dispatch(now_s):
            owner = waiter.event.owner  # type: ignore[attr-defined]
            start(owner, started.pop(id(waiter)), now_s)


def main() -> None:
    """Run all benchmarks."""
    for burst_s in (1.0, 0.5):
        bench_shares(burst_s)
    bench_small_accounts()
    bench_queue()
    bench_cost()


if __name__ == '__main__':
    main()
