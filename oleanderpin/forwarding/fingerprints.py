"""Rejects requests that repeatedly crash the targets that run them.

Crashes are counted by fingerprint of the request and exchanged between
instances, so that retries and resends do not crash all targets of a service.
"""

import hashlib
import json
import secrets
import threading
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from ..core.errors import Refusal, RefusalDetails
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..targets.exchange import Exchange
from ..wire.generated.exchange.ttypes import SoftRecord

RECORD_KIND = 'crash'
SUSPECT_TTL_S = 600.0
CRASHES_TO_REFUSE = 2
_MAX_SUSPECTS = 10000
_CRASH_ID_BYTES = 6


def request_fingerprint(
    *, service: str, method: str, path_and_query: str, body_digest: str
) -> str:
    """Return a digest that is equal for resends of a request."""
    text = '\n'.join((service, method, path_and_query, body_digest))
    return hashlib.sha256(text.encode()).hexdigest()


@dataclass(slots=True)
class _Suspect:
    expires_s: float
    last_crash_s: float
    crashes: set[str] = field(default_factory=set)


@plugins.register('fingerprints')
class Fingerprints(Plugin):
    """Counts crashes by fingerprint across all instances.

    A crash is ignored if its request was already running when another crash
    with the same fingerprint was recorded: when a rack fails, many equal
    requests are lost at once without having caused it. A response clears the
    fingerprint.
    """

    roles = frozenset(('entry',))

    def __init__(self, kernel: Any) -> None:
        """Subscribe to the crash records of other instances."""
        super().__init__(kernel)
        self._lock = threading.Lock()
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._exchange = kernel.plugin(Exchange)
        self._exchange.on_record(RECORD_KIND, self.receive)

    def check(self, fingerprint: str) -> None:
        """Reject a request that has crashed two targets.

        Raises
        ------
        Refusal
            For ten minutes after the last recorded crash.
        """
        if not self._suspects:
            return
        with self._lock:
            suspect = self._unexpired(fingerprint)
            is_refused = (
                suspect is not None
                and len(suspect.crashes) >= CRASHES_TO_REFUSE
            )
        if is_refused:
            raise Refusal(
                'crashes_targets',
                'targets crashed while they ran this request',
                remedy='report it to the operators of the service',
                details=RefusalDetails(status=503, retry_after_s=SUSPECT_TTL_S),
            )

    def record_crash(self, fingerprint: str, *, started_s: float) -> None:
        """Record a crash and publish it to the other instances.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        started_s : float
            Monotonic time at which the attempt began.
        """
        with self._lock:
            suspect = self._unexpired(fingerprint)
            if suspect is not None and started_s < suspect.last_crash_s:
                return
            crash_id = secrets.token_hex(_CRASH_ID_BYTES)
            crashes = sorted(self._add(fingerprint, {crash_id}))
        EVENTS.labels('forwarding', 'crash').inc()
        self._publish(fingerprint, crashes)

    def record_response(self, fingerprint: str) -> None:
        """Clear the crashes of a request that got a response."""
        if not self._suspects:
            return
        with self._lock:
            is_known = self._suspects.pop(fingerprint, None) is not None
        if is_known:
            self._publish(fingerprint, [])

    def receive(self, record: SoftRecord) -> None:
        """Merge a crash record of another instance."""
        crashes = set(json.loads(record.payload)['crashes'])
        with self._lock:
            if crashes:
                self._add(record.name, crashes)
            else:
                self._suspects.pop(record.name, None)

    def _publish(self, fingerprint: str, crashes: list[str]) -> None:
        self._exchange.publish(
            RECORD_KIND,
            fingerprint,
            json.dumps({'crashes': crashes}).encode(),
            ttl_s=SUSPECT_TTL_S,
            is_urgent=True,
        )

    def _unexpired(self, fingerprint: str) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.expires_s > self.kernel.clock.now_s():
            return suspect
        self._suspects.pop(fingerprint)
        return None

    def _add(self, fingerprint: str, crashes: set[str]) -> set[str]:
        now_s = self.kernel.clock.now_s()
        suspect = self._unexpired(fingerprint)
        if suspect is None:
            suspect = _Suspect(now_s + SUSPECT_TTL_S, now_s)
            self._suspects[fingerprint] = suspect
        suspect.crashes |= crashes
        suspect.expires_s = now_s + SUSPECT_TTL_S
        suspect.last_crash_s = now_s
        while len(self._suspects) > _MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return set(suspect.crashes)
