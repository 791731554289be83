namespace py oleanderpin.wire.generated.membership

/** What an instance tells about itself. */
struct PeerInfo {
  1: string name,
  2: string region,
  3: string failure_domain,
  4: string site,
  5: string caller_address,
  6: string admin_address,
  7: string peer_address,
  /** Set anew at each start, higher than before. */
  8: i64 incarnation,
  9: list<string> roles,
  10: bool draining,
}

struct PingReply {
  1: PeerInfo info,
}

service Membership {
  PingReply ping(1: PeerInfo sender),
}
