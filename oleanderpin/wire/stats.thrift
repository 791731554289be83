include "common.thrift"

namespace py oleanderpin.wire.generated.stats

/** Counts of one route over one interval, for both versions. */
struct RouteBatch {
  1: string route,
  2: i32 new_count,
  3: i32 new_errors,
  4: i32 new_slow,
  5: i32 old_count,
  6: i32 old_errors,
  7: i32 old_slow,
}

struct MoveReport {
  1: string instance,
  2: i64 incarnation,
  /** Increases with each report, so that a repeated one is dropped. */
  3: i64 sequence,
  4: string service_name,
  5: string to_version,
  6: list<RouteBatch> batches,
  /** Why this instance halted its own share; empty while it has not. */
  7: string local_halt,
}

service Stats {
  void report(1: list<MoveReport> reports) throws (1: common.NotLeader not_leader),
}
