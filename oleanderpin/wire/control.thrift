include "common.thrift"

namespace py oleanderpin.wire.generated.control

/** One committed change of the control state. */
struct Entry {
  1: i64 revision,
  2: i64 term,
  /** JSON of a Change; empty for an entry that a new leader commits first. */
  3: binary payload,
}

struct ProposeRequest {
  /** JSON of a Change. */
  1: binary payload,
  /** Number of times the request was passed on, to stop loops. */
  2: i32 hops,
}

struct ProposeReply {
  /** JSON of an Outcome. */
  1: binary payload,
}

struct WatchRequest {
  1: string instance,
  2: i64 revision,
  3: i32 hold_ms,
  /**
   * Lowest revision on which the instance, or one that watches it directly or
   * through others, may still act.
   */
  4: i64 confirmed_revision,
  /** Random number of the process; tells it from one before a restart. */
  5: i32 start_id,
  /** Reply without the changes; the other source of the instance sends them. */
  6: optional bool wants_revision_only,
  /**
   * The instance asks once, for changes that it missed. The reply gives it no
   * authority, so its confirmation is not waited for.
   */
  7: optional bool is_catch_up,
}

struct WatchReply {
  1: i64 revision,
  /**
   * Age of the freshness of this copy when the request arrived; negative when
   * it is not fresh.
   */
  2: i32 freshness_age_ms,
  3: list<Entry> entries,
  /** Whole state as JSON, in place of entries, when these were compacted. */
  4: binary snapshot,
  /** Sent by a control instance that does not lead. */
  5: optional string leader_address,
  /**
   * Time from the arrival of the request to the moment up to which this copy is
   * known to hold all accepted changes; negative if that is earlier.
   */
  6: optional i64 current_after_arrival_ms,
}

service Control {
  ProposeReply propose(1: ProposeRequest request)
    throws (1: common.NotLeader not_leader, 2: common.Unavailable unavailable),
  WatchReply watch(1: WatchRequest request),
  /** Raises confirmed_revision while a watch of the same instance is held. */
  void confirm(1: WatchRequest request),
  /** Asks the leader; false when it is not in force within the time. */
  bool in_force(1: i64 revision, 2: i32 hold_ms)
    throws (1: common.NotLeader not_leader, 2: common.Unavailable unavailable),
}
