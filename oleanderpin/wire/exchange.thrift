namespace py oleanderpin.wire.generated.exchange

/** A record of soft state, owned by the instance that heard it. */
struct SoftRecord {
  1: string kind,
  2: string name,
  /** Increases with each change of the record. */
  3: i64 version,
  /** JSON of the record; empty when the record is withdrawn. */
  4: binary payload,
  5: i32 ttl_ms,
}

struct Push {
  1: string origin,
  2: i64 incarnation,
  3: list<SoftRecord> records,
}

service Exchange {
  void push(1: Push update),
}
