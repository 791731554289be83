"""Routing against round robin, on an event loop with fake targets.

Run ``python -m bench.routing [steady|drain|loss|cost ...]``. Times are
simulated, except for the cost of one choice. Policies: ``robin`` is round
robin over all announced targets, ``router`` the router with the reserve and
its own shift budget alone, ``ledger`` the router with a stand-in for the
ledger on the leader, which lends spare slots and the shared shift pool.
"""

import math
import sys
import time

from bench.routing_simulation import PROFILE, SITES, Simulation
from oleanderpin.routing.outcome import AttemptOutcome
from oleanderpin.testing.clock import ManualClock
from oleanderpin.testing.routing import RoutingWorld, make_target


def measure_cost(count: int) -> float:
    """Return the microseconds of one choice, released at once."""
    clock = ManualClock()
    world = RoutingWorld(clock, PROFILE)
    domains = [f'{r}-{d}' for r in SITES[-1].regions for d in 'ab']
    for index in range(count):
        domain = domains[index % len(domains)]
        world.put(make_target(f't{index}', failure_domain=domain, slots=7))
    router = world.router('i0', failure_domain=domains[0])
    rounds = 20000
    outcome = AttemptOutcome('ok', 10.0)
    best_us = math.inf
    for _repeat in range(5):
        started_s = time.perf_counter()
        for _round in range(rounds):
            # 500 requests in a second, so the surroundings are read again
            # every 125 choices.
            clock.advance(0.002)
            with router.choose(world.service, route='r') as selection:
                selection.record(outcome)
        took_s = time.perf_counter() - started_s
        best_us = min(best_us, took_s / rounds * 1e6)
    return best_us


def main(names: list[str]) -> None:
    """Run the named scenarios, or all; ``short`` leaves out two sites."""
    sites = SITES
    if 'short' in names:
        names.remove('short')
        sites = (SITES[0], SITES[3])
    for scenario in names or ('steady', 'drain', 'loss', 'cost'):
        if scenario == 'cost':
            for count in (42, 2000):
                print(f'cost   {count:5} targets {measure_cost(count):7.1f} us')
            continue
        for site in sites:
            for policy in ('robin', 'router', 'ledger'):
                run = Simulation(site, policy=policy, scenario=scenario)
                run.run()
                print(run.report(policy), flush=True)


if __name__ == '__main__':
    main(sys.argv[1:])
