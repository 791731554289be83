"""Load beyond the fleet's room, played against the gateway's decisions.

Run with ``.venv/bin/python -m bench.overload``; ``--plot FILE`` draws what is
served in aim. Seeds are fixed; figures are the same on each run.
"""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import Any

import fire

from oleanderpin.core.errors import NotFoundError
from oleanderpin.core.registry import Registry
from oleanderpin.testing.emulator import (
    Emulation,
    RequestKind,
    Scenario,
    Tally,
)

LOADS = (0.5, 0.8, 1.0, 1.3, 1.6, 2.0)

# Fleets like those of the users: one region has a tenth of the targets and a
# third of the callers.
SCENARIOS = {
    'counter-desk': Scenario(
        targets={'north': 14, 'central': 4, 'south': 12},
        kinds=(
            RequestKind('stock-lookup', 4.5, 0.376, 0.25, 2.0, 149, rank=2),
            RequestKind('order-place', 1.7, 0.48, 0.3, 2.5, 56),
        ),
    ),
    'board-api': Scenario(
        targets={'almaty': 12, 'astana': 13, 'shymkent': 3},
        kinds=(
            RequestKind('panel-read', 6.2, 0.48, 0.4, 2.5, 149, rank=2),
            RequestKind('once-action', 2.0, 0.64, 0.5, 3.0, 56),
        ),
        caller_delay_s=0.001,
        region_delay_s=0.055,
    ),
}

Variant = Callable[..., Emulation]
variants: Registry[Variant] = Registry('variant')


def earlier_wait_s(
    objective_s: float, usual_s: float, *, rank: int, spent_s: float
) -> float:
    """Return the wait that the version landed before accepts."""
    patience = max(0.9, 1.0 - rank * 0.05)
    return max(0.1, objective_s * patience - usual_s - spent_s)


def any_wait_s(*_arguments: float, **_options: float) -> float:
    """Accept each wait."""
    return math.inf


variants.register('product')(Emulation)
variants.register('landed before')(
    partial(Emulation, max_wait=earlier_wait_s, knows_fleet=False)
)
variants.register('no admission')(partial(Emulation, max_wait=any_wait_s))


@dataclass(frozen=True, slots=True)
class Row:
    """Outcome of one run."""

    scenario: str
    variant: str
    load: float
    tally: Tally
    worst_region_worth: float


def measure(scenario: str, variant: str, load: float) -> Row:
    """Play one scenario."""
    emulation = variants.get(variant)(SCENARIOS[scenario], load=load)
    tally = emulation.run()
    worst = min(each.worth for each in emulation.by_region.values())
    return Row(scenario, variant, load, tally, worst)


def _rows() -> Iterator[Row]:
    for scenario in SCENARIOS:
        for variant in variants:
            for load in LOADS:
                yield measure(scenario, variant, load)


def print_table() -> None:
    """Print what is served at each load, by variant."""
    print(
        'scenario      variant        load  asked/s in aim/s  late% refused%'
        '  worth worst region  ready% p50 ms p99 ms'
    )
    for row in _rows():
        tally = row.tally
        duration_s = SCENARIOS[row.scenario].duration_s
        asked = max(1, tally.asked)
        works = max(1, tally.hits + tally.loads)
        print(
            f'{row.scenario:13} {row.variant:14} {row.load:4.1f} '
            f'{asked / duration_s:8.0f} {tally.in_aim / duration_s:8.0f} '
            f'{100 * tally.late / asked:6.1f} '
            f'{100 * tally.refused / asked:8.1f} {tally.worth:6.3f} '
            f'{row.worst_region_worth:12.3f} {100 * tally.hits / works:7.1f} '
            f'{tally.percentile_s(0.5) * 1000:6.0f} '
            f'{tally.percentile_s(0.99) * 1000:6.0f}',
            flush=True,
        )


def draw(path: str) -> None:
    """Draw what is served in aim over the load, one line for each variant.

    Parameters
    ----------
    path : str
        PNG file to write.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise NotFoundError(
            'matplotlib is not installed',
            remedy="install the extra: pip install -e '.[plots]'",
        ) from error

    rows = list(_rows())
    figure = Figure(figsize=(10, 4))
    axes = figure.subplots(1, len(SCENARIOS))
    for axis, scenario in zip(axes, SCENARIOS, strict=True):
        for variant in variants:
            found = [
                row
                for row in rows
                if (row.scenario, row.variant) == (scenario, variant)
            ]
            served: list[Any] = [
                row.tally.in_aim / SCENARIOS[scenario].duration_s
                for row in found
            ]
            axis.plot([row.load for row in found], served, label=variant)
        axis.set_title(scenario)
        axis.set_xlabel("load in parts of the warm fleet's room")
        axis.set_ylabel('answers in aim a second')
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)


def main(*, plot: str = '') -> None:
    """Print what is served at each load, or draw it.

    Parameters
    ----------
    plot : str
        PNG file to write; empty to print a table.
    """
    if plot:
        draw(plot)
    else:
        print_table()


if __name__ == '__main__':
    fire.Fire(main)
