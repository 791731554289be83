"""Replication progress of the other members, and majorities over it."""

from collections.abc import Mapping
from dataclasses import dataclass

from .records import Members

_NEVER_S = float('-inf')


@dataclass(slots=True)
class Progress:
    """Replication progress of one member.

    ``created_s`` is when the leader began to replicate to the member,
    ``acked_s`` when the last acknowledged message was sent and ``synced_s``
    when the last one was sent whose reply shows that the member's disk takes
    writes; by the monotonic clock of the leader.
    """

    next_index: int
    created_s: float
    match_index: int = 0
    sent_s: float = _NEVER_S
    acked_s: float = _NEVER_S
    synced_s: float = _NEVER_S

    def record_match(self, matched_index: int, sent_index: int) -> None:
        """Record that a member holds, and up to which index it has synced.

        Entries that it holds but has not synced are not sent again: it refuses
        the next request if it loses them.
        """
        if matched_index > self.match_index or matched_index >= sent_index:
            self.synced_s = self.sent_s
        self.match_index = max(self.match_index, matched_index)
        self.next_index = max(self.match_index, sent_index) + 1

    def has_work(self, last_index: int) -> bool:
        """Return whether the member has entries to get or to sync."""
        is_synced = self.match_index >= self.next_index - 1
        return last_index >= self.next_index or not is_synced


def voter_ids(members: Members) -> tuple[str, ...]:
    """Return the ids of the members that count towards a majority."""
    return tuple(each.member_id for each in members if each.is_voter)


def majority_size(members: Members) -> int:
    """Return the number of voters that form a majority."""
    return len(voter_ids(members)) // 2 + 1


def majority_index(
    members: Members,
    progress: Mapping[str, Progress],
    *,
    own_id: str,
    own_index: int,
) -> int:
    """Return the highest index that a majority of voters has synced."""
    indexes = []
    for member_id in voter_ids(members):
        member_progress = progress.get(member_id)
        if member_id == own_id:
            indexes.append(own_index)
        else:
            indexes.append(
                member_progress.match_index if member_progress else 0
            )
    indexes.sort(reverse=True)
    return indexes[majority_size(members) - 1] if indexes else 0


def majority_acked_s(
    members: Members, progress: Mapping[str, Progress], *, own_id: str
) -> float:
    """Return the latest send time that a majority has acknowledged."""
    times = []
    for member_id in voter_ids(members):
        member_progress = progress.get(member_id)
        if member_id == own_id:
            times.append(float('inf'))
        else:
            times.append(
                member_progress.acked_s if member_progress else _NEVER_S
            )
    times.sort(reverse=True)
    return times[majority_size(members) - 1] if times else _NEVER_S
