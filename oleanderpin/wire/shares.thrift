include "common.thrift"

namespace py oleanderpin.wire.generated.shares

/** What a holder holds of one resource and what it could use. */
struct Holding {
  1: string resource,
  2: optional double rate_per_s,
  3: optional double burst,
  /** Tokens given back under this lease, cumulative. */
  4: optional double returned,
  5: optional double demand_per_s,
  6: optional double wanted_burst,
  7: optional double reserve,
  /** Sequence number of the last applied grants that listed the resource. */
  8: optional i64 applied,
}

struct RenewRequest {
  1: string holder,
  2: i64 incarnation,
  3: i64 number,
  4: i64 lease_id,
  /** Sequence number of the last grants that the holder applied. */
  5: i64 applied,
  6: list<Holding> holdings,
  7: bool is_leaving,
}

struct Grant {
  1: string resource,
  2: optional double rate_per_s,
  3: optional double burst,
  /** Tokens transferred under this lease, cumulative. */
  4: optional double given,
  5: optional bool is_exhausted,
  /** Units are lent for waiting requests only. */
  6: optional bool is_on_demand,
}

struct RenewReply {
  1: i64 incarnation,
  2: i64 number,
  3: i64 lease_id,
  /** 0 for an answer to an outdated request. */
  4: i64 sequence,
  5: bool is_adopted,
  6: list<Grant> grants,
  /** Nothing grows yet after a leader change. */
  7: bool is_recovering,
}

service Shares {
  RenewReply renew(1: RenewRequest request)
    throws (1: common.NotLeader not_leader),
  /**
   * Renews the whole lease, but lists only the resources that changed. A
   * ledger that does not know the lease answers with sequence 0.
   */
  RenewReply renew_changes(1: RenewRequest request)
    throws (1: common.NotLeader not_leader),
}
