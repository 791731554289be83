include "common.thrift"

namespace py oleanderpin.wire.generated.raft

/** A member of the group that keeps the log. */
struct RaftMember {
  /** Random, written once to an empty disk. */
  1: string member_id,
  2: string name,
  /** Peer address. */
  3: string address,
  /** A learner receives entries but does not count towards a majority. */
  4: bool is_voter,
}

struct RaftEntry {
  1: i64 index,
  2: i64 term,
  /** 0: change or empty; 1: members. */
  3: i32 kind,
  4: binary payload,
}

/** Sender, addressee and group of a message; others refuse it. */
struct Envelope {
  1: string cluster_id,
  2: string from_id,
  3: string to_id,
  4: i64 term,
}

struct VoteRequest {
  1: Envelope envelope,
  2: i64 last_index,
  3: i64 last_term,
}

struct VoteReply {
  1: i64 term,
  2: bool granted,
}

struct AppendRequest {
  1: Envelope envelope,
  2: string leader_address,
  3: i64 prev_index,
  4: i64 prev_term,
  5: list<RaftEntry> entries,
  6: i64 commit_index,
}

struct AppendReply {
  1: i64 term,
  2: bool accepted,
  /** Synced up to here when accepted; else the index to continue after. */
  3: i64 match_index,
}

struct SnapshotRequest {
  1: Envelope envelope,
  2: string leader_address,
  3: i64 last_index,
  4: i64 last_term,
  5: list<RaftMember> members,
  6: i64 offset_bytes,
  7: binary chunk,
  8: bool is_last,
}

struct SnapshotReply {
  1: i64 term,
  /** Bytes received so far; the sender continues there. */
  2: i64 received_bytes,
}

struct IdentityReply {
  1: string member_id,
  2: string cluster_id,
  3: string name,
  4: string address,
  5: i64 last_index,
}

struct AdoptRequest {
  1: Envelope envelope,
  2: list<RaftMember> members,
}

struct MemberStatus {
  1: RaftMember member,
  2: bool is_leader,
  3: i64 synced_revision,
  /** Since the leader last got an answer; negative when never. */
  4: i32 last_answer_age_ms,
}

struct MembersReply {
  1: string cluster_id,
  2: i64 revision,
  3: bool change_in_progress,
  4: list<MemberStatus> members,
}

struct MemberAdd {
  1: string address,
}

struct MemberRemove {
  /** Member id, name or peer address. */
  1: string member,
}

/** A member change that is refused. */
exception MemberProblem {
  1: string kind,
  2: string problem,
  3: string remedy,
}

service Raft {
  VoteReply pre_vote(1: VoteRequest request)
    throws (1: common.Unavailable unavailable),
  VoteReply request_vote(1: VoteRequest request)
    throws (1: common.Unavailable unavailable),
  AppendReply append_entries(1: AppendRequest request)
    throws (1: common.Unavailable unavailable),
  SnapshotReply install_snapshot(1: SnapshotRequest request)
    throws (1: common.Unavailable unavailable),
  IdentityReply identity(),
  void adopt(1: AdoptRequest request)
    throws (1: common.Unavailable unavailable),
  MembersReply members()
    throws (1: common.NotLeader not_leader, 2: common.Unavailable unavailable),
  MembersReply add_member(1: MemberAdd request)
    throws (1: common.NotLeader not_leader, 2: common.Unavailable unavailable,
            3: MemberProblem problem),
  MembersReply remove_member(1: MemberRemove request)
    throws (1: common.NotLeader not_leader, 2: common.Unavailable unavailable,
            3: MemberProblem problem),
}
