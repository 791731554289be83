"""Which control instances own parts of small accounts' rates, and hand-over.

Load pattern: control instances restart, are replaced, added or cut off, while
some of the others cannot know. Owners are therefore a record of the replicated
control state, and change in two steps. In the first one, the record names the
earlier and the next owners: an instance uses a part only if it is among both,
and all parts are as small as the smaller of both divisions. The second step
follows when each earlier owner has confirmed the first one, or must have
stopped by itself, since it uses parts only while it hears from the leader.

There is one owner in each failure domain with a control instance, and three at
least if there are so many instances: their number does not grow with the
control group or with the fleet.
"""

import itertools
from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass

from ..control.sources import rendezvous_hash
from ..control.state import Account, PartOwners

# With a single failure domain, the loss of one owner leaves two of three parts.
_MIN_OWNERS = 3
# An account has fewer owners if its parts would have fewer tokens than this: a
# part of one token is empty after each request.
_MIN_PART_TOKENS = 2.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A member of the control group that may own parts."""

    address: str
    region: str
    failure_domain: str
    is_available: bool = True


def choose_owners(
    candidates: Iterable[Candidate], current: Collection[str]
) -> dict[str, str]:
    """Return the region of each instance that should own parts, by address.

    Parameters
    ----------
    candidates : iterable of Candidate
        Members of the control group with a known place.
    current : collection of str
        Addresses of the owners until now, which are kept if possible. One that
        is not available is replaced only by an available instance of its
        failure domain.
    """
    ordered = sorted(
        candidates,
        key=lambda each: (
            not each.is_available,
            each.address not in current,
            rendezvous_hash(each.failure_domain, each.address),
        ),
    )
    usable = [
        each for each in ordered if each.is_available or each.address in current
    ]
    chosen: dict[str, Candidate] = {}
    for each in usable:
        chosen.setdefault(each.failure_domain, each)
    found = list(chosen.values())
    spare = [each for each in usable if each not in found]
    while len(found) < _MIN_OWNERS and spare:
        found.append(_take_from_emptiest_domain(spare, found))
    return {each.address: each.region for each in found}


def _take_from_emptiest_domain(
    spare: list[Candidate], found: Iterable[Candidate]
) -> Candidate:
    owner_counts = Counter(each.failure_domain for each in found)
    taken = min(spare, key=lambda each: owner_counts[each.failure_domain])
    spare.remove(taken)
    return taken


def next_record(
    current: PartOwners, chosen: Mapping[str, str], *, is_handed_over: bool
) -> PartOwners | None:
    """Return the record to commit; None if there is nothing to do yet.

    Parameters
    ----------
    current : PartOwners
        The committed record.
    chosen : mapping of str to str
        Region of each instance that should own parts, by address.
    is_handed_over : bool
        Whether each owner of ``current`` has confirmed it or has stopped using
        what it knew before.
    """
    number = current.number + 1
    if not current.number:
        # Nobody has owned a part before.
        return PartOwners(number, chosen, chosen) if chosen else None
    if chosen != current.next_owners and chosen:
        return PartOwners(number, current.owners, chosen)
    if current.is_settled or not is_handed_over:
        return None
    return PartOwners(number, current.next_owners, current.next_owners)


def preferred(name: str, owners: Mapping[str, str]) -> Iterator[str]:
    """Yield the addresses of owners in the order in which an account uses them.

    One of each region comes first, so that few owners are near to as many
    callers as possible.

    Parameters
    ----------
    name : str
        Name of the account.
    owners : mapping of str to str
        Region of each owner by address.
    """
    ordered = sorted(owners, key=lambda each: rendezvous_hash(name, each))
    ranks: Counter[str] = Counter()
    ranked = []
    for position, address in enumerate(ordered):
        region = owners[address]
        ranked.append((ranks[region], position, address))
        ranks[region] += 1
    for _rank, _position, address in sorted(ranked):
        yield address


@dataclass(frozen=True, slots=True)
class AccountOwners:
    """Owners of one account, and how its rate and burst are divided.

    ``owners`` may use their parts, and ``part_count`` parts make up the whole.
    """

    owners: tuple[str, ...]
    part_count: int


def owners_of(account: Account, record: PartOwners) -> AccountOwners:
    """Return the owners of an account and the number of its parts.

    During a hand-over an owner uses its part only if it has one before and
    after it, and parts are as small as the smaller of both divisions.

    Parameters
    ----------
    account : Account
        Client account; it has fewer owners where the burst has fewer tokens.
    record : PartOwners
        Committed owners.
    """
    earlier = _chosen(account, record.owners)
    later = _chosen(account, record.next_owners)
    return AccountOwners(
        owners=tuple(owner for owner in earlier if owner in later),
        part_count=max(1, len(earlier), len(later)),
    )


def _chosen(account: Account, owners: Mapping[str, str]) -> tuple[str, ...]:
    most = max(1, int(account.burst / _MIN_PART_TOKENS))
    return tuple(itertools.islice(preferred(account.name, owners), most))
