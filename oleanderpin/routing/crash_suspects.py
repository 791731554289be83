"""Requests that may crash the targets that run them.

Load pattern: a request crashes each target that begins to run it, and its
caller sends it again, to any gateway. Each crash also ends the sound requests
that run on the target, and some of these run again.

The two differ in this: no target ever answers a request that crashes targets.
So a request is refused after several crashes in a row, without an answer of
any target in between, and not if one has answered it a short time before.
Crashes whose requests ran at the same time count as one, since a rack or a
process that fails ends many copies of a sound request.
"""

import math
import threading
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..wire.generated.loads import ttypes
from .change_versions import ChangeVersions, is_same_numbering
from .recent_answers import RecentAnswers

# Time after the last crash for which a request is refused.
REFUSED_S = 600.0
# Crashes in a row after which a request is refused, in percent of a crash at a
# time at which few other requests are lost.
_REFUSE_PERCENT = 300
# From two crashes on, other gateways are told, so that their answers count too.
_SHARE_PERCENT = 101
# Answered requests are remembered for as long as a report of a crash before the
# answer may be on its way.
_ANSWERED_KEPT_S = 30.0
# A request that was answered within this time is not suspected.
_SOUND_S = 60.0
_MAX_SUSPECTS = 2000
_FORGET_INTERVAL_S = 1.0
_NEVER_S = -math.inf
_MAX_AGE_MS = 2**31 - 1


@dataclass(frozen=True, slots=True)
class Crash:
    """The end of a target while it ran a request.

    Parameters
    ----------
    crash_id : int
        Identifies the crash at all gateways.
    started_s, ended_s : float
        Monotonic times at which the request was sent and at which its
        connection ended.
    weight_percent : int
        What the crash counts, see `LossRate.weight_percent`.
    """

    crash_id: int
    started_s: float
    ended_s: float
    weight_percent: int


@dataclass(slots=True)
class Suspect:
    """Crashes in a row of one request, none of which overlap.

    ``answered_s`` is the monotonic time of the last answer that is known.
    """

    crashes: tuple[Crash, ...] = ()
    answered_s: float = _NEVER_S

    @property
    def percent(self) -> int:
        """Return the weights of the crashes, added up."""
        return sum(crash.weight_percent for crash in self.crashes)

    @property
    def crash_ids(self) -> set[int]:
        """Return the identifiers of the crashes."""
        return {crash.crash_id for crash in self.crashes}

    @property
    def is_refused(self) -> bool:
        """Return whether the request has crashed too many targets."""
        return self.percent >= _REFUSE_PERCENT

    @property
    def last_s(self) -> float:
        """Return the time of the last crash or answer."""
        ends_s = (crash.ended_s for crash in self.crashes)
        return max(ends_s, default=self.answered_s)

    def add(self, crashes: Iterable[Crash], answered_s: float) -> bool:
        """Add what is known elsewhere; return whether that changes anything.

        Parameters
        ----------
        crashes : iterable of Crash
            Crashes, some of which may be known.
        answered_s : float
            Monotonic time of an answer; minus infinity if there is none.
        """
        answered_s = max(self.answered_s, answered_s)
        by_id = {crash.crash_id: crash for crash in crashes}
        by_id.update({crash.crash_id: crash for crash in self.crashes})
        new = Suspect(_in_a_row(by_id.values(), answered_s), answered_s)
        is_changed = new != self
        self.crashes = new.crashes
        self.answered_s = new.answered_s
        return is_changed

    def is_forgotten(self, now_s: float) -> bool:
        """Return whether nothing of it matters any more."""
        kept_s = REFUSED_S if self.crashes else _ANSWERED_KEPT_S
        return now_s - self.last_s >= kept_s


class CrashSuspects:
    """Suspected requests known to one gateway; thread-safe."""

    def __init__(self) -> None:
        """Start without suspects."""
        self._lock = threading.Lock()
        self._known: dict[bytes, Suspect] = {}
        self._unreported: set[bytes] = set()
        self._answers = RecentAnswers()
        self.version = 0

    def __bool__(self) -> bool:
        """Return whether any request is suspected."""
        return bool(self._known)

    @property
    def has_news(self) -> bool:
        """Return whether something is not reported yet."""
        return bool(self._unreported)

    def percent(self, fingerprint: bytes) -> int:
        """Return what the crashes of a request count, in percent of one."""
        suspect = self._known.get(fingerprint)
        return suspect.percent if suspect else 0

    def refused_for_s(self, fingerprint: bytes, now_s: float) -> float:
        """Return for how long a request is refused, 0 if it is not."""
        suspect = self._known.get(fingerprint)
        if suspect is None or not suspect.is_refused:
            return 0.0
        return max(0.0, suspect.last_s + REFUSED_S - now_s)

    def observe_crash(self, fingerprint: bytes, crash: Crash) -> int:
        """Record a crash; return what the crashes in a row count in percent."""
        answered_s = self._answers.answered_s(fingerprint)
        if crash.ended_s - answered_s < _SOUND_S:
            return 0
        with self._lock:
            suspect = self._known.setdefault(fingerprint, Suspect())
            if suspect.add((crash,), _NEVER_S):
                self._unreported.add(fingerprint)
            self._keep(crash.ended_s)
            return suspect.percent

    def observe_answer(self, fingerprint: bytes, now_s: float) -> None:
        """Record that a target has answered a request."""
        self._answers.note(fingerprint, now_s)
        suspect = self._known.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return
        with self._lock:
            suspect.add((), now_s)
            self._unreported.add(fingerprint)

    def unreported(self, now_s: float) -> ttypes.CrashSuspects:
        """Return what the instance that counts for the fleet is to be told."""
        with self._lock:
            self._keep(now_s)
            return _encode(
                {each: self._known[each] for each in self._unreported},
                self.version,
                now_s,
            )

    def note_reported(self, reported: ttypes.CrashSuspects) -> None:
        """Record that a report has arrived."""
        with self._lock:
            for each in reported.suspects:
                known = self._known.get(each.fingerprint)
                told_ids = {crash.crash_id for crash in each.crashes}
                if known and told_ids == known.crash_ids:
                    self._unreported.discard(each.fingerprint)

    def merge(self, news: ttypes.CrashSuspects, now_s: float) -> list[bytes]:
        """Add what other gateways have reported.

        Parameters
        ----------
        news : ttypes.CrashSuspects
            Suspects that are new since the last report.
        now_s : float
            Monotonic time of the request that returned them.

        Returns
        -------
        list of bytes
            Fingerprints of the requests that are refused from now on.
        """
        refused = []
        with self._lock:
            for each in news.suspects:
                suspect = self._known.setdefault(each.fingerprint, Suspect())
                was_refused = suspect.is_refused
                suspect.add(*_decode(each, now_s))
                answered_s = self._answers.answered_s(each.fingerprint)
                if suspect.add((), answered_s):
                    self._unreported.add(each.fingerprint)
                if suspect.is_refused and not was_refused:
                    refused.append(each.fingerprint)
            if not is_same_numbering(self.version, news.version):
                # Another instance counts now, or it has lost its memory.
                self._unreported.update(
                    each
                    for each, suspect in self._known.items()
                    if suspect.crashes
                )
            self.version = news.version
            self._keep(now_s)
        return refused

    def _keep(self, now_s: float) -> None:
        """Forget old suspects, and the oldest ones of too many."""
        self._known = _kept(self._known, now_s)
        self._unreported &= self._known.keys()


@dataclass(slots=True)
class SharedSuspects:
    """Suspected requests that the gateways have reported. Not thread-safe."""

    _versions: ChangeVersions[bytes] = field(default_factory=ChangeVersions)
    _known: dict[bytes, Suspect] = field(default_factory=dict)
    _forgotten_s: float = _NEVER_S

    def exchange(
        self, news: ttypes.CrashSuspects, now_s: float
    ) -> ttypes.CrashSuspects:
        """Record a gateway's report; return what is new to it.

        A request with a single crash is not told to others: most of them are
        sound ones that ran beside the one at fault.

        Parameters
        ----------
        news : ttypes.CrashSuspects
            What the gateway reports, and the version that it was told last.
        now_s : float
            Monotonic time.
        """
        for each in news.suspects:
            suspect = self._known.setdefault(each.fingerprint, Suspect())
            was_shared = self._versions.has(each.fingerprint)
            is_changed = suspect.add(*_decode(each, now_s))
            if is_changed and (was_shared or suspect.percent >= _SHARE_PERCENT):
                self._versions.note(each.fingerprint)
        self._forget(now_s)
        changed = self._versions.changed_since(news.version)
        return _encode(
            {each: self._known[each] for each in changed},
            self._versions.version,
            now_s,
        )

    def _forget(self, now_s: float) -> None:
        if now_s - self._forgotten_s < _FORGET_INTERVAL_S:
            return
        self._forgotten_s = now_s
        before = self._known
        self._known = _kept(before, now_s)
        for fingerprint in before.keys() - self._known.keys():
            self._versions.forget(fingerprint)


def _in_a_row(crashes: Iterable[Crash], answered_s: float) -> tuple[Crash, ...]:
    """Return the crashes after an answer that did not run at the same time."""
    chain: list[Crash] = []
    for crash in sorted(crashes, key=lambda each: each.ended_s):
        last_s = chain[-1].ended_s if chain else _NEVER_S
        if crash.ended_s > answered_s and crash.started_s >= last_s:
            chain.append(crash)
    return tuple(chain)


def _kept(known: dict[bytes, Suspect], now_s: float) -> dict[bytes, Suspect]:
    remaining = {
        fingerprint: suspect
        for fingerprint, suspect in known.items()
        if not suspect.is_forgotten(now_s)
    }
    if len(remaining) <= _MAX_SUSPECTS:
        return remaining
    by_importance = sorted(
        remaining,
        key=lambda each: (remaining[each].percent, remaining[each].last_s),
    )
    return {each: remaining[each] for each in by_importance[-_MAX_SUSPECTS:]}


def _age_ms(time_s: float, now_s: float) -> int:
    return min(int(max(0.0, now_s - time_s) * 1000), _MAX_AGE_MS)


def _encode(
    suspects: dict[bytes, Suspect], version: int, now_s: float
) -> ttypes.CrashSuspects:
    return ttypes.CrashSuspects(
        suspects=[
            ttypes.CrashSuspect(
                fingerprint=fingerprint,
                crashes=[
                    ttypes.Crash(
                        crash_id=crash.crash_id,
                        started_age_ms=_age_ms(crash.started_s, now_s),
                        ended_age_ms=_age_ms(crash.ended_s, now_s),
                        weight_percent=crash.weight_percent,
                    )
                    for crash in suspect.crashes
                ],
                answered_age_ms=(
                    None
                    if suspect.answered_s == _NEVER_S
                    else _age_ms(suspect.answered_s, now_s)
                ),
            )
            for fingerprint, suspect in suspects.items()
        ],
        version=version,
    )


def _decode(
    suspect: ttypes.CrashSuspect, now_s: float
) -> tuple[list[Crash], float]:
    crashes = [
        Crash(
            crash.crash_id,
            now_s - crash.started_age_ms / 1000,
            now_s - crash.ended_age_ms / 1000,
            crash.weight_percent,
        )
        for crash in suspect.crashes
    ]
    if suspect.answered_age_ms is None:
        return crashes, _NEVER_S
    return crashes, now_s - suspect.answered_age_ms / 1000
