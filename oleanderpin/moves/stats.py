"""Counts requests, errors and slow responses by version during a move."""

import threading
from dataclasses import dataclass, field
from typing import Any

from ddsketch import DDSketch

from ..control.state import Move
from ..control.view import ControlView
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..routing.router import Observation, Router
from ..wire.generated.stats.ttypes import RouteBatch

_SKETCH_RELATIVE_ACCURACY = 0.02
_SLOW_QUANTILE = 0.95
_SLOW_FACTOR = 1.5
# With fewer responses of the old version, its quantile is too uncertain.
_MIN_SKETCH_SAMPLES = 40
_MAX_SKETCH_SAMPLES = 2000
_MIN_ERROR_STATUS = 500
_MAX_ROUTES = 200
_OTHER_ROUTES = '*'


@dataclass(slots=True)
class _RouteState:
    batch: RouteBatch
    sketch: DDSketch
    previous_sketch: DDSketch | None = None
    slow_above_ms: float = float('inf')


@dataclass(slots=True)
class _MoveState:
    move: Move
    routes: dict[str, _RouteState] = field(default_factory=dict)


@plugins.register('version-stats')
class VersionStats(Plugin):
    """Counts the attempts of services that have a running move."""

    def __init__(self, kernel: Any) -> None:
        """Subscribe to attempt outcomes and to the control state."""
        super().__init__(kernel)
        self._lock = threading.Lock()
        self._moves: dict[str, _MoveState] = {}
        kernel.plugin(Router).on_outcome(self.observe)
        kernel.plugin(ControlView).subscribe(self._sync_moves)

    def observe(self, observation: Observation) -> None:
        """Count one attempt."""
        state = self._moves.get(observation.service)
        if state is None:
            return
        is_new = observation.target.version == state.move.to_version
        with self._lock:
            route = _route_state(state, observation.route)
            is_error = _is_error(observation)
            first_byte_ms = observation.outcome.first_byte_ms
            is_slow = not is_error and first_byte_ms > route.slow_above_ms
            if is_new:
                _count_new(route.batch, is_error=is_error, is_slow=is_slow)
                return
            _count_old(route.batch, is_error=is_error, is_slow=is_slow)
            if not is_error:
                route.sketch.add(first_byte_ms)

    def take_batches(self) -> dict[str, tuple[Move, list[RouteBatch]]]:
        """Return the counts since the last call, by service.

        The limit above which a response is slow is then updated from the
        latencies of the old version so far, so that it is fixed before the
        next batch begins.
        """
        taken = {}
        with self._lock:
            for service, state in self._moves.items():
                batches = []
                for route in state.routes.values():
                    batches.append(route.batch)
                    route.batch = _empty_batch(route.batch.route)
                    _update_slow_limit(route)
                active = [
                    batch
                    for batch in batches
                    if batch.new_count or batch.old_count
                ]
                taken[service] = (state.move, active)
        return taken

    def _sync_moves(self, control_state: Any) -> None:
        running = {
            name: move
            for name, move in control_state.moves.items()
            if move.status == 'running'
        }
        with self._lock:
            for name in set(self._moves) - set(running):
                self._moves.pop(name)
            for name, move in running.items():
                state = self._moves.get(name)
                if state is None or not is_same_move(state.move, move):
                    EVENTS.labels('moves', 'observed').inc()
                    self._moves[name] = _MoveState(move)
                else:
                    state.move = move


def is_same_move(first: Move, second: Move) -> bool:
    """Return whether two records describe the same move."""
    return (first.service, first.to_version, first.started_unix_s) == (
        second.service,
        second.to_version,
        second.started_unix_s,
    )


def _is_error(observation: Observation) -> bool:
    outcome = observation.outcome
    return outcome.result != 'ok' or outcome.status >= _MIN_ERROR_STATUS


def _route_state(state: _MoveState, route: str) -> _RouteState:
    if route not in state.routes and len(state.routes) >= _MAX_ROUTES:
        route = _OTHER_ROUTES
    found = state.routes.get(route)
    if found is None:
        found = _RouteState(
            _empty_batch(route), DDSketch(_SKETCH_RELATIVE_ACCURACY)
        )
        state.routes[route] = found
    return found


def _empty_batch(route: str) -> RouteBatch:
    return RouteBatch(route, 0, 0, 0, 0, 0, 0)


def _count_new(batch: RouteBatch, *, is_error: bool, is_slow: bool) -> None:
    batch.new_count += 1
    batch.new_errors += is_error
    batch.new_slow += is_slow


def _count_old(batch: RouteBatch, *, is_error: bool, is_slow: bool) -> None:
    batch.old_count += 1
    batch.old_errors += is_error
    batch.old_slow += is_slow


def _update_slow_limit(route: _RouteState) -> None:
    if route.sketch.count >= _MAX_SKETCH_SAMPLES:
        # Two sketch generations let latencies under earlier load expire.
        route.previous_sketch = route.sketch
        route.sketch = DDSketch(_SKETCH_RELATIVE_ACCURACY)
    sketch = route.sketch
    if sketch.count < _MIN_SKETCH_SAMPLES and route.previous_sketch is not None:
        sketch = route.previous_sketch
    if sketch.count >= _MIN_SKETCH_SAMPLES:
        quantile_ms = sketch.get_quantile_value(_SLOW_QUANTILE) or 0.0
        route.slow_above_ms = quantile_ms * _SLOW_FACTOR
