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
  /** Lowest revision applied by the instance and those that watch it. */
  4: i64 confirmed_revision,
}

struct WatchReply {
  1: i64 revision,
  /** Age of the freshness of this copy; negative when it is not fresh. */
  2: i32 freshness_age_ms,
  3: list<Entry> entries,
  /** Whole state as JSON, in place of entries, when these were compacted. */
  4: binary snapshot,
}

service Control {
  ProposeReply propose(1: ProposeRequest request)
    throws (1: common.NotLeader not_leader, 2: common.Unavailable unavailable),
  WatchReply watch(1: WatchRequest request),
}
