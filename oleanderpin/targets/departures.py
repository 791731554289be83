"""Confirms a target's leave once enough other instances know of it.

Fault: a control instance that is partitioned from the others still accepts
announcements. If it confirmed a leave that only it knows, the target would
stop while gateways on the other side of the partition still send it requests.
"""

import logging
from collections.abc import Collection
from typing import Any

from ..control.view import ControlView
from ..core.errors import UnavailableError
from ..core.logs import age_ms
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from .announcement import Departure
from .exchange import Exchange
from .table import TargetTable

_LOG = logging.getLogger(__name__)
_GATEWAY_ROLE = 'gateway'


@plugins.register('departures')
class Departures(Plugin):
    """Records leaves and waits until enough instances have confirmed them."""

    roles = frozenset(('control',))

    def __init__(self, kernel: Any) -> None:
        """Look up the plug-ins that this one uses."""
        super().__init__(kernel)
        self._table = kernel.plugin(TargetTable)
        self._exchange = kernel.plugin(Exchange)
        self._view = kernel.plugin(ControlView)
        self._own_name = kernel.settings.instance.name

    def leave(self, departure: Departure, *, timeout_s: float) -> None:
        """Stop new requests to a target on all instances.

        Parameters
        ----------
        departure : Departure
            The target's notice.
        timeout_s : float
            Seconds to wait for others to confirm.

        Raises
        ------
        UnavailableError
            If neither a majority of the control group nor all gateways have
            confirmed the notice in time. It stays in force here and is still
            sent to peers.
        """
        version = self._table.leave(departure)
        if version is None:
            return
        if self._exchange.wait_for_confirmations(
            version, self._is_widely_known, timeout_s=timeout_s
        ):
            return
        EVENTS.labels('targets', 'leave_unconfirmed').inc()
        confirmed_by = self._exchange.confirmed_by(version)
        _LOG.warning(
            'leave of target not confirmed in time',
            extra={
                'service': departure.service,
                'target': departure.target_id,
                'known_to': sorted(confirmed_by),
                'freshness_age_ms': age_ms(self._view.freshness_age_s()),
            },
        )
        raise UnavailableError(
            f'the leave of {departure.target_id!r} was confirmed in time by '
            f'only {len(confirmed_by)} other instances',
            remedy='send it to another instance',
            maybe_applied=True,
        )

    def require_known_targets(self) -> None:
        """Check that a target which is not known here has left or never was.

        Raises
        ------
        UnavailableError
            If this instance has not received the records of others since its
            start.
        """
        if not self._exchange.has_all_records:
            EVENTS.labels('targets', 'leave_of_unknown_target').inc()
            raise UnavailableError(
                'this instance does not know all targets yet',
                remedy='send it to another instance',
            )

    def _is_widely_known(self, confirmed_by: Collection[str]) -> bool:
        """Return whether a leave known to these peers takes effect everywhere.

        A gateway that is reachable from a majority of the control group is
        also reachable from here once that majority is.
        """
        voters = {
            member.name
            for member in self._view.state.members.values()
            if member.is_voter
        }
        known_voters = voters & {self._own_name, *confirmed_by}
        if voters and len(known_voters) * 2 > len(voters):
            return True
        gateways = self._exchange.recent_peers(_GATEWAY_ROLE)
        return bool(gateways) and gateways <= set(confirmed_by)
