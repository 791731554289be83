"""Cost of adding up the loads of the fleet on one control instance.

Run with ``.venv/bin/python -m bench.loads``.
"""

import time

from oleanderpin.routing.region_loads import LoadKey, ReportedLoads

FLEET_SIZES = (11, 66, 530)
SERVICES = 2
REGIONS = 4
_ROUNDS = 5


def measure(size: int) -> float:
    """Return the processor time of one report, in seconds."""
    reports = ReportedLoads()
    in_flight = {
        LoadKey(f's{service}', f'r{region}'): 1.5
        for service in range(SERVICES)
        for region in range(REGIONS)
    }
    names = [f'g{number}' for number in range(size)]
    started_s = 0.0
    for round_number in range(_ROUNDS + 1):
        # The first round only fills the table.
        if round_number == 1:
            started_s = time.process_time()
        for name in names:
            reports.record_report(name, in_flight, float(round_number))
            reports.sums(float(round_number))
    return (time.process_time() - started_s) / (_ROUNDS * size)


def main() -> None:
    """Print the cost by size of the fleet."""
    print(f'Reports of loads: {SERVICES} services, {REGIONS} regions')
    print('  gateways  us/report  % of a core at one a second each')
    for size in FLEET_SIZES:
        cost_s = measure(size)
        print(f'  {size:8} {cost_s * 1e6:10.0f} {cost_s * size * 100:10.2f}')


if __name__ == '__main__':
    main()
