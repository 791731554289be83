"""State of a member of the Raft group."""

from dataclasses import dataclass, field
from enum import Enum

from ..core.errors import StorageError
from .entries import EntryLog
from .progress import Progress
from .records import HardState, Identity

_NEVER_S = float('-inf')


class Role(Enum):
    """Role of a member in its term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclass(slots=True)
class RaftState:
    """State of a member, protected by the lock of its node.

    ``leader_contact_s`` is when a leader last sent a message, ``elected_s``
    when this member last became leader, ``election_deadline_s`` when the next
    election may begin, and ``read_barrier_s`` when a read barrier was last
    requested. ``disk_failure`` and ``apply_failure`` tell why this member takes
    no part in the group.
    """

    identity: Identity
    hard_state: HardState
    log: EntryLog
    commit_index: int
    applied_index: int
    durable_index: int
    started_s: float
    election_deadline_s: float
    leader_contact_s: float = _NEVER_S
    elected_s: float = _NEVER_S
    role: Role = Role.FOLLOWER
    leader_address: str = ''
    term_start_index: int = 0
    read_barrier_s: float = _NEVER_S
    progress: dict[str, Progress] = field(default_factory=dict)
    disk_failure: StorageError | None = None
    apply_failure: StorageError | None = None

    @property
    def failure(self) -> StorageError | None:
        """Why this member takes no part in the group; None if it does."""
        return self.disk_failure or self.apply_failure
