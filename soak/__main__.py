"""Runs the soak: ``python -m soak [--seeds N ...] [--count N] [--duration S]``."""

import argparse
import secrets
import sys
import tempfile
from pathlib import Path

from oleanderpin.testing import free_network

from . import changes

_MAX_SEED = 10**6
# Each run gets its own loopback network, so that connections of the last one
# do not meet its processes.
_NETWORKS = 200


def main() -> int:
    """Run the seeds and print what each run has shown.

    Returns
    -------
    int
        1 if a promise was broken.
    """
    parser = argparse.ArgumentParser(prog='soak')
    parser.add_argument('--seeds', type=int, nargs='*', default=[])
    parser.add_argument('--count', type=int, default=0, help='fresh seeds')
    parser.add_argument('--duration', type=float, default=30.0, help='seconds')
    parser.add_argument('--keep', type=Path, help='folder for logs')
    parser.add_argument(
        '--network',
        help='first two numbers of the loopback addresses; left out, one that '
        'no other soak uses at the same time',
    )
    parsed = parser.parse_args()
    network = parsed.network or free_network()
    fresh = [secrets.randbelow(_MAX_SEED) for _each in range(parsed.count)]
    failed = []
    for number, seed in enumerate([*parsed.seeds, *fresh]):
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(scratch)
            if parsed.keep is not None:
                folder = parsed.keep / str(seed)
                folder.mkdir(parents=True)
            seen = changes.run(
                seed,
                duration_s=parsed.duration,
                folder=folder,
                network=f'{network}.{number % _NETWORKS}',
            )
        print(
            f'seed {seed}: {len(seen.confirmed)} changes, '
            f'{len(seen.faults)} faults, {seen.polls} readings, '
            f'{len(seen.problems)} problems, {seen.requests}',
            flush=True,
        )
        for problem in seen.problems[:20]:
            print(f'  {problem}', flush=True)
        if seen.problems:
            failed.append(seed)
    print(f'{len(failed)} of {len(parsed.seeds) + len(fresh)} seeds failed')
    return int(bool(failed))


if __name__ == '__main__':
    sys.exit(main())
