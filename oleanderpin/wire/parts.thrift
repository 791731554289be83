namespace py oleanderpin.wire.generated.parts

/** Tokens of an account that requests at a gateway wait for. */
struct Need {
  1: string account,
  2: i32 count,
  /** Tokens of earlier replies that no request used. */
  3: optional i32 returned,
  /** Longest time for which the requests may wait. */
  4: optional i32 max_wait_ms,
}

struct Given {
  1: string account,
  2: i32 count,
  /** Time until more tokens are expected. */
  3: optional i32 wait_ms,
  /** No part of the account is expected to have a token before that time. */
  4: optional bool is_exhausted,
  /** Time for which the reply was held until tokens came. */
  5: optional i32 held_ms,
  /**
   * This instance does not know the account, or not that it has parts, or may
   * not use its part now.
   */
  6: optional bool is_unknown,
}

struct Drawn {
  1: i32 count,
  /** Tokens that the part still has. */
  2: double left,
}

/** Parts of the rates of small accounts, each owned by a control instance. */
service Parts {
  /** Tokens for requests at a gateway. */
  list<Given> take(1: list<Need> needs),
  /** Tokens for the part of another control instance. */
  Drawn draw(1: string account, 2: i32 count),
  /** Revision of the control state by which this instance uses its parts. */
  i64 applied_revision(),
}
