"""Parts of the rates of small accounts, each owned by one control instance.

Load pattern: many accounts whose burst has less than one token for each
gateway, and a leader that is far away or does not reply. Every owner has a
fixed part of the rate and of the burst, and needs no other instance to use it.
Tokens that are missing at one owner are drawn from another. Stored tokens never
exceed the part of their owner, and a token that is drawn has been taken from
the part it came from, so that all parts together stay within rate and burst.
Who owns the parts is committed (`part_ownership`).
"""

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from ..control.state import Account, PartOwners
from ..core.clock import Clock
from .part_ownership import owners_of

# A token that was drawn by an instance without a part is used or lost within
# this time.
_DRAWN_VALID_S = 1.0
# Longest time for which an owner holds a reply until tokens come. It saves a
# round trip on the gateway's link, and covers a draw from another region.
MAX_HOLD_S = 0.15
# Draws that follow each other sooner take more tokens each.
_FREQUENT_DRAW_S = 1.0


def _always() -> bool:
    return True


@dataclass(frozen=True, slots=True)
class _Level:
    """Tokens that another owner had at a time."""

    tokens: float
    noted_s: float


@dataclass(slots=True)
class _Part:
    """One account: tokens of the own part, and what other owners had.

    ``owner_per_s`` and ``owner_burst`` are what each owner has of the rate and
    of the burst. An instance that is no owner earns nothing; it keeps what it
    has drawn for waiting requests for a short time.
    """

    refilled_s: float
    owner_per_s: float = 0.0
    owner_burst: float = 0.0
    is_owner: bool = False
    tokens: float = 0.0
    drawn_s: float = 0.0
    draw_count: int = 1
    draw_started_s: float = -math.inf
    owners: tuple[str, ...] = ()
    others: dict[str, _Level] = field(default_factory=dict)

    def set_division(self, *, is_owner: bool, keeps_tokens: bool) -> None:
        """Start empty as a new owner, and keep nothing as a former one."""
        if is_owner != self.is_owner or not keeps_tokens:
            self.tokens = 0.0
        self.is_owner = is_owner
        self.tokens = min(self.tokens, self.owner_burst)

    def refill(self, now_s: float) -> None:
        """Add the tokens that the own part earned until ``now_s``."""
        elapsed_s = max(0.0, now_s - self.refilled_s)
        self.refilled_s = max(now_s, self.refilled_s)
        if self.is_owner:
            self.add(elapsed_s * self.owner_per_s)
        elif now_s - self.drawn_s > _DRAWN_VALID_S:
            self.tokens = 0.0

    def add(self, tokens: float) -> None:
        """Add tokens as far as there is room for them."""
        limit = self.owner_burst if self.is_owner else max(1, self.owner_burst)
        self.tokens += min(tokens, max(0.0, limit - self.tokens))
        self.drawn_s = self.refilled_s

    def start_draw(self, missing: int) -> int:
        """Return how many tokens to draw; more while draws follow each other.

        The number is bounded by the part, which would lose what does not fit.
        """
        elapsed_s = self.refilled_s - self.draw_started_s
        self.draw_started_s = self.refilled_s
        limit = max(1, int(self.owner_burst))
        if elapsed_s < _FREQUENT_DRAW_S:
            self.draw_count = min(limit, self.draw_count * 2)
        else:
            self.draw_count = max(1, self.draw_count // 2)
        return min(limit, max(missing, self.draw_count))

    @property
    def is_low(self) -> bool:
        """Whether to draw before requests have to wait."""
        return self.draw_count > 1 and self.tokens < self.draw_count / 2

    def next_token_s(self) -> float:
        """Return the time until the own part has earned a token."""
        if not self.is_owner or self.owner_per_s <= 0:
            return math.inf
        return max(0.0, 1 - self.tokens) / self.owner_per_s

    def expected(self, owner: str, now_s: float) -> float:
        """Return the most tokens that another owner may have now."""
        level = self.others.get(owner)
        if level is None:
            return self.owner_burst
        earned = (now_s - level.noted_s) * self.owner_per_s
        return min(self.owner_burst, level.tokens + earned)


class Parts:
    """Own parts of all accounts, and estimates of the others. Not thread-safe.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    address : str
        Peer address of this control instance.
    handover_s : float
        Time after which holders have stopped using an account's earlier
        shares, in seconds.
    may_use : callable
        Returns whether this instance may use its parts now. It is asked at
        each use, so that a process that was paused does not use a part that
        was handed over meanwhile.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        address: str,
        handover_s: float,
        may_use: Callable[[], bool] = _always,
    ) -> None:
        """Start without accounts."""
        self._may_use = may_use
        self._clock = clock
        self._address = address
        self._handover_s = handover_s
        self._parts: dict[str, _Part] = {}
        self._lent: set[str] = set()
        self._number = 0

    def update(
        self,
        accounts: Iterable[Account],
        record: PartOwners,
        *,
        lent: Iterable[str] = (),
    ) -> None:
        """Set the accounts with parts, and the control instances that own them.

        Parameters
        ----------
        accounts : iterable of Account
            Accounts that control instances own in parts.
        record : PartOwners
            Committed owners.
        lent : iterable of str
            Names of the accounts that the leader lends. One that gets parts
            later earns its first token only after the hand-over time.
        """
        owned = {account.name: account for account in accounts}
        for name in self._parts.keys() - owned.keys():
            self._parts.pop(name)
        # Others may have owned the parts in a record that was missed.
        keeps_tokens = record.number <= self._number + 1
        self._number = record.number
        for account in owned.values():
            self._update_part(account, record, keeps_tokens=keeps_tokens)
        self._lent = set(lent)

    def __contains__(self, name: str) -> bool:
        """Return whether control instances own the account in parts."""
        return name in self._parts

    def _update_part(
        self, account: Account, record: PartOwners, *, keeps_tokens: bool
    ) -> None:
        now_s = self._clock.now_s()
        known = owners_of(account, record)
        part = self._parts.get(account.name)
        if part is None:
            is_lent = account.name in self._lent
            part = _Part(now_s + self._handover_s * is_lent)
            self._parts[account.name] = part
        part.refill(now_s)
        part.owner_per_s = account.rate_per_s / known.part_count
        part.owner_burst = account.burst / known.part_count
        part.owners = known.owners
        part.set_division(
            is_owner=self._address in known.owners,
            keeps_tokens=keeps_tokens,
        )

    def take(self, name: str, count: int) -> int:
        """Take up to ``count`` whole tokens of the own part."""
        if not self._may_use():
            return 0
        part = self._refilled(name)
        taken = min(count, int(part.tokens))
        part.tokens -= taken
        return taken

    def add(self, name: str, tokens: int) -> None:
        """Add tokens that were drawn or returned, as far as there is room."""
        self._refilled(name).add(tokens)

    def start_draw(self, name: str, missing: int) -> int:
        """Return how many tokens to draw for requests that wait."""
        return self._refilled(name).start_draw(missing)

    def is_low(self, name: str) -> bool:
        """Return whether to draw tokens before requests have to wait."""
        return self._refilled(name).is_low

    def left(self, name: str) -> float:
        """Return the tokens of the own part."""
        return self._refilled(name).tokens

    def owner_per_s(self, name: str) -> float:
        """Return the tokens a second that one part of an account earns."""
        return self._parts[name].owner_per_s

    def note_level(self, name: str, owner: str, tokens: float) -> None:
        """Record the tokens that another owner had left."""
        if name in self._parts:
            level = _Level(tokens, self._clock.now_s())
            self._parts[name].others[owner] = level

    def next_source(
        self,
        name: str,
        *,
        near: Collection[str] = (),
        silent: Collection[str] = (),
    ) -> str | None:
        """Return the owner to draw tokens from; None if none should have one.

        Parameters
        ----------
        name : str
            Name of the account.
        near : collection of str
            Addresses that are preferred.
        silent : collection of str
            Addresses that do not reply.
        """
        part = self._parts[name]
        now_s = self._clock.now_s()
        expected = {
            owner: part.expected(owner, now_s)
            for owner in part.owners
            if owner != self._address and owner not in silent
        }
        return min(
            (owner for owner, tokens in expected.items() if tokens >= 1),
            key=lambda owner: (owner not in near, -expected[owner]),
            default=None,
        )

    def next_token_s(self, name: str, *, silent: Collection[str] = ()) -> float:
        """Return the time until an owner that replies may have a token."""
        part = self._refilled(name)
        waits_s = [part.next_token_s()]
        for owner in part.owners:
            if owner != self._address and owner not in silent:
                expected = part.expected(owner, self._clock.now_s())
                missing = max(0.0, 1 - expected)
                waits_s.append(missing / part.owner_per_s)
        return min(waits_s)

    def _refilled(self, name: str) -> _Part:
        part = self._parts[name]
        part.refill(self._clock.now_s())
        return part
