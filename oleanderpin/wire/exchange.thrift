namespace py oleanderpin.wire.generated.exchange

/** A record of soft state, owned by the instance that heard it. */
struct SoftRecord {
  1: string kind,
  2: string name,
  /** Increases with each record of the same origin. */
  3: i64 version,
  /** JSON of the record; empty when the record is withdrawn. */
  4: binary payload,
  5: i32 ttl_ms,
  /** Time since the origin published the record. */
  6: i32 age_ms,
  /** Each later push of the origin starts the time to live again. */
  7: bool is_renewed,
}

/** Records that changed since the last push to the same peer. */
struct Push {
  1: string origin,
  2: i64 incarnation,
  3: list<SoftRecord> records,
  /** Random number of the origin's process. */
  4: i32 start_id,
}

struct PushReply {
  /** Random number of the receiving process; it changes with a restart. */
  1: i32 start_id,
}

service Exchange {
  PushReply push(1: Push update),
  /** Returns all records, one item for each origin. */
  list<Push> pull(),
}
