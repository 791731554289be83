namespace py oleanderpin.wire.generated.idempotency

/** Answer of a holder to a claim. */
enum Verdict {
  GRANTED = 1,
  /** Another claim is in progress, or its outcome is unknown. */
  HELD = 2,
  /** The first request was answered; the outcome is in the record. */
  DONE = 3,
  /** The holder has restarted and not yet copied the records, or is full. */
  ABSTAIN = 4,
}

/** What a holder keeps for one Idempotency-Key of one client account. */
struct Record {
  /** Digest of account, service and Idempotency-Key. */
  1: string name,
  2: string account,
  /** Random; identifies the request that made the claim. */
  3: string claim_id,
  /** Digest of the request, so that a key is not reused for another one. */
  4: string request_digest,
  5: bool is_done,
  /** JSON of the outcome; empty while the claim is in progress. */
  6: binary outcome,
  7: i32 ttl_ms,
}

struct ClaimReply {
  1: Verdict verdict,
  2: Record record,
}

struct CopyReply {
  /** False while the holder itself copies the records of others. */
  1: bool is_settled,
  /** Whether the holder has ever granted a claim on its disk's identity. */
  2: bool has_held,
  3: list<Record> records,
  /** Name to continue after; empty at the end. */
  4: string next_after,
}

service Idempotency {
  ClaimReply claim(1: Record record),
  /** Keeps the outcome; a record that is not done withdraws the claim. */
  void complete(1: Record record),
  CopyReply copy(1: string after),
}
