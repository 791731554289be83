namespace py oleanderpin.wire.generated.lending

/** What a gateway needs of a client account's rate. */
struct TokenRequest {
  1: string account,
  /** Requests that arrived since the last call. */
  2: i32 arrivals,
  /** Requests that wait for a token now. */
  3: i32 waiting,
  /** Tokens of earlier calls that were not used. */
  4: i32 returned,
}

struct TokenGrant {
  1: string account,
  2: i32 granted,
  /** The account has used up its rate. */
  3: bool is_exhausted,
}

struct TakeReply {
  1: list<TokenGrant> grants,
  /** The lender cannot reach the leader, so its shares run out. */
  2: bool is_cut_off,
}

service Lending {
  TakeReply take(1: string instance, 2: list<TokenRequest> requests),
}
