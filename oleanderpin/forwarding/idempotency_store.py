"""In-memory store of idempotency records on a control voter.

A restarted voter copies the records of the other voters before it grants
claims, so that no claim is granted twice.
"""

import copy
import logging
import os
import threading
from collections import OrderedDict, defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..core.background import background_thread
from ..core.errors import UnavailableError
from ..core.metrics import EVENTS
from ..core.plugin import Plugin, plugins
from ..wire.generated.idempotency import Idempotency
from ..wire.generated.idempotency.ttypes import (
    ClaimReply,
    CopyReply,
    Record,
    Verdict,
)
from ..wire.network import PeerNetwork
from ..wire.server import PeerServer
from .voters import idempotency_voters, majority

_LOG = logging.getLogger(__name__)
RECORD_TTL_S = 600.0
# One client account may use a quarter of the 64 MiB, so that it cannot fill
# the table for all others.
MAX_TOTAL_BYTES = 64 * 1024 * 1024
MAX_ACCOUNT_BYTES = MAX_TOTAL_BYTES // 4
# Size of an empty record with its keys in the tables, rounded up.
_RECORD_OVERHEAD_BYTES = 1024
_MAX_PAGE_RECORDS = 500
_MAX_PAGE_BYTES = 4 * 1024 * 1024
_COPY_RETRY_S = 0.5
_COPY_TIMEOUT_S = 2.0
_MARKER_FILE = 'idempotency-held'
_CLOCK_MARGIN_S = 1.0


@dataclass(slots=True)
class _Entry:
    record: Record
    expires_s: float

    def size(self) -> int:
        return _RECORD_OVERHEAD_BYTES + len(self.record.outcome or b'')


class RecordTable:
    """Records by name, limited in lifetime and memory."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        self._account_bytes: defaultdict[str, int] = defaultdict(int)
        self._total_bytes = 0

    def get(self, name: str, now_s: float) -> Record | None:
        """Return an unexpired record, evicting expired ones."""
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if oldest.expires_s > now_s:
                break
            self.remove(oldest.record.name)
        entry = self._entries.get(name)
        return entry.record if entry and entry.expires_s > now_s else None

    def put(self, record: Record, *, expires_s: float) -> bool:
        """Store a record; return False if a memory limit is reached."""
        entry = _Entry(record, expires_s)
        size = entry.size()
        account = record.account or ''
        self.remove(record.name)
        if (
            self._total_bytes + size > MAX_TOTAL_BYTES
            or self._account_bytes[account] + size > MAX_ACCOUNT_BYTES
        ):
            EVENTS.labels('idempotency', 'full').inc()
            return False
        self._entries[record.name] = entry
        self._account_bytes[account] += size
        self._total_bytes += size
        return True

    def remove(self, name: str) -> None:
        """Remove a record if it exists."""
        entry = self._entries.pop(name, None)
        if entry is None:
            return
        account = entry.record.account or ''
        self._total_bytes -= entry.size()
        self._account_bytes[account] -= entry.size()
        if not self._account_bytes[account]:
            self._account_bytes.pop(account)

    def page(self, after: str, now_s: float) -> tuple[list[Record], str]:
        """Return the records after a name, and the name to continue after."""
        records: list[Record] = []
        size = 0
        for name in sorted(name for name in self._entries if name > after):
            entry = self._entries[name]
            if entry.expires_s <= now_s:
                continue
            if len(records) >= _MAX_PAGE_RECORDS or size > _MAX_PAGE_BYTES:
                return records, records[-1].name
            entry.record.ttl_ms = int((entry.expires_s - now_s) * 1000)
            records.append(entry.record)
            size += entry.size()
        return records, ''


class _IdempotencyHandler:
    """Serves the Thrift service ``Idempotency``."""

    def __init__(self, store: 'IdempotencyStore') -> None:
        self._store = store

    def claim(self, record: Record) -> ClaimReply:
        return self._store.claim(record)

    def complete(self, record: Record) -> None:
        self._store.complete(record)

    def copy(self, after: str) -> CopyReply:
        return self._store.copy(after)


@plugins.register('idempotency-holder')
class IdempotencyStore(Plugin):
    """Grants at most one claim for each record name.

    The voters copied from intersect every majority that may have granted a
    claim, so a restarted store knows all granted claims once it has copied.
    """

    roles = frozenset(('control',))

    def __init__(self, kernel: Any) -> None:
        """Register the Thrift service."""
        super().__init__(kernel)
        self._network = kernel.plugin(PeerNetwork)
        self._lock = threading.Lock()
        self._table = RecordTable()
        self._is_settled = False
        self._has_held = False
        kernel.plugin(PeerServer).register(
            'Idempotency', Idempotency.Processor(_IdempotencyHandler(self))
        )

    def start(self) -> None:
        """Start the thread that copies the records of the other voters."""
        self._has_held = self._marker_path().exists()
        background_thread(
            self.kernel, self._follow_membership, name='idempotency-copy'
        ).start()

    def claim(self, record: Record) -> ClaimReply:
        """Grant a claim unless the name is claimed or completed."""
        now_s = self.kernel.clock.now_s()
        with self._lock:
            if not self._is_settled:
                return ClaimReply(verdict=Verdict.ABSTAIN)
            known = self._table.get(record.name, now_s)
            if known is not None and known.is_done:
                return ClaimReply(verdict=Verdict.DONE, record=known)
            if known is not None and known.claim_id != record.claim_id:
                return ClaimReply(verdict=Verdict.HELD, record=known)
            if not self._put(record, expires_s=now_s + RECORD_TTL_S):
                return ClaimReply(verdict=Verdict.ABSTAIN)
        return ClaimReply(verdict=Verdict.GRANTED)

    def complete(self, record: Record) -> None:
        """Store an outcome, or withdraw a claim."""
        now_s = self.kernel.clock.now_s()
        with self._lock:
            known = self._table.get(record.name, now_s)
            if known is not None and known.claim_id != record.claim_id:
                EVENTS.labels('idempotency', 'foreign_claim').inc()
            elif record.is_done:
                if not self._put(record, expires_s=now_s + RECORD_TTL_S):
                    # If the outcome does not fit, the claim must remain.
                    claim = copy.copy(record)
                    claim.outcome = b''
                    claim.is_done = False
                    self._put(claim, expires_s=now_s + RECORD_TTL_S)
            elif known is not None:
                self._table.remove(record.name)

    def copy(self, after: str) -> CopyReply:
        """Return a page of records for a store that copies them."""
        with self._lock:
            records, next_after = self._table.page(
                after, self.kernel.clock.now_s()
            )
            return CopyReply(
                is_settled=self._is_settled,
                has_held=self._has_held,
                records=records,
                next_after=next_after,
            )

    def _follow_membership(self) -> None:
        """Copy the records whenever this instance becomes a voter."""
        was_voter = False
        is_first_check = True
        while not self.kernel.stopping.is_set():
            is_voter = self._is_voter()
            if is_voter and not was_voter:
                if not is_first_check:
                    # Until then instances may still use the previous voters.
                    self._wait_for_fresh_views()
                self.copy_records()
            if was_voter and not is_voter:
                with self._lock:
                    self._is_settled = False
            was_voter = is_voter
            is_first_check = False
            self.kernel.wait_while_running(_COPY_RETRY_S)

    def _is_voter(self) -> bool:
        own_address = self.kernel.settings.listen.peer
        voters = idempotency_voters(self.kernel)
        return own_address in {address for _name, address in voters}

    def _wait_for_fresh_views(self) -> None:
        limit_s = self.kernel.settings.control.freshness_limit_s
        self.kernel.wait_while_running(limit_s + _CLOCK_MARGIN_S)

    def copy_records(self) -> None:
        """Copy the records of the other voters, then grant claims."""
        own_address = self.kernel.settings.listen.peer
        # After the lifetime of a record there is nothing left to copy.
        deadline_s = self.kernel.clock.now_s() + RECORD_TTL_S
        copied: set[str] = set()
        while self.kernel.clock.now_s() < deadline_s:
            voters = idempotency_voters(self.kernel)
            other_voters = {
                name: address
                for name, address in voters
                if address != own_address
            }
            needed = len(voters) - majority(len(voters)) + 1
            if not other_voters and not self._has_held:
                needed = 0
            copied |= self._copy_from_all(other_voters, exclude_names=copied)
            if len(copied & set(other_voters)) >= needed:
                break
            if not self.kernel.wait_while_running(_COPY_RETRY_S):
                return
        with self._lock:
            self._is_settled = True
        _LOG.info('copying of idempotency records has ended; granting claims')

    def _copy_from_all(
        self, other_voters: dict[str, str], *, exclude_names: set[str]
    ) -> set[str]:
        return {
            name
            for name, peer_address in other_voters.items()
            if name not in exclude_names and self._copy_from(peer_address)
        }

    def _copy_from(self, peer_address: str) -> bool:
        after = ''
        while True:
            try:
                reply = self._network.call(
                    peer_address,
                    'Idempotency',
                    'copy',
                    after,
                    timeout_s=_COPY_TIMEOUT_S,
                )
            except UnavailableError:
                return False
            # A voter that restarted or whose disk was wiped may have lost
            # records; only at the first start of all voters are there none.
            is_first_start = not reply.has_held and not self._has_held
            if not reply.is_settled and not is_first_start:
                return False
            self._merge(reply.records)
            after = reply.next_after
            if not after:
                return True

    def _merge(self, records: list[Record]) -> None:
        now_s = self.kernel.clock.now_s()
        with self._lock:
            for record in records:
                known = self._table.get(record.name, now_s)
                if known is None or (record.is_done and not known.is_done):
                    self._put(
                        record, expires_s=now_s + (record.ttl_ms or 0) / 1000
                    )

    def _put(self, record: Record, *, expires_s: float) -> bool:
        try:
            self._write_marker()
        except OSError:
            _LOG.exception(
                'cannot write the marker file; the record is not stored'
            )
            return False
        return self._table.put(record, expires_s=expires_s)

    def _write_marker(self) -> None:
        """Mark on disk that records exist, before the first one is stored."""
        if self._has_held:
            return
        marker = self._marker_path()
        marker.parent.mkdir(parents=True, exist_ok=True)
        marker.touch()
        descriptor = os.open(marker.parent, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        self._has_held = True

    def _marker_path(self) -> Path:
        data_dir = self.kernel.settings.instance.data_dir
        if data_dir is None:
            raise RuntimeError('data_dir is not set on a control instance')
        return data_dir / _MARKER_FILE
